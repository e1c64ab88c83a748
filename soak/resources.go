package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resources is the resource usage of the processes of one role at the end of a run.
type resources struct {
	role string
	// cpu is the average number of cores used since the process's start. memory is in MB. descriptors is the number of open
	// file descriptors.
	cpu, memory, descriptors float64
}

// takeMax sets each value to the larger of the two.
func (r *resources) takeMax(o resources) {
	r.cpu, r.memory, r.descriptors = max(r.cpu, o.cpu), max(r.memory, o.memory), max(r.descriptors, o.descriptors)
}

// The limits of the smallest hosts that the programs run on.
const (
	maxMemoryMB    = 184
	maxDescriptors = 3900
)

// checkResources reads the resource usage of each process and reports those that exceed the limits.
func (s *site) checkResources() {
	for _, group := range []struct {
		role  string
		hosts []*host
	}{{"gateway", s.gateways}, {"agent", s.agents}} {
		peak := resources{role: group.role}
		for _, h := range group.hosts {
			used, err := s.resourcesOf(h)
			if err != nil {
				s.checker.addViolation("metrics", "%s: read metrics: %v", h.name, err)
				continue
			}
			if used.memory > maxMemoryMB || used.descriptors > maxDescriptors {
				s.checker.addViolation("resources", "%s uses %.0f MB and %.0f descriptors", h.name, used.memory, used.descriptors)
			}
			peak.takeMax(used)
		}
		s.checker.recordUsage(peak)
	}
}

// resourcesOf reads a process's own metrics.
func (s *site) resourcesOf(h *host) (resources, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return resources{}, err
	}
	defer func() { _ = response.Body.Close() }()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	age := float64(time.Now().UnixMilli())/1000 - values["process_start_time_seconds"]
	if values["process_resident_memory_bytes"] == 0 || age <= 0 {
		return resources{}, fmt.Errorf("no process metrics among %d values", len(values))
	}
	return resources{
		cpu: values["process_cpu_seconds_total"] / age, memory: values["process_resident_memory_bytes"] / (1 << 20),
		descriptors: values["process_open_fds"],
	}, lines.Err()
}
