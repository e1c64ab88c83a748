package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resources are what processes of one role use at the end of a run.
type resources struct {
	role string
	// processor is in shares of a core since the process's start, memory in MB.
	processor, memory, descriptors float64
}

// most takes the larger of each figure.
func (r *resources) most(o resources) {
	r.processor, r.memory, r.descriptors = max(r.processor, o.processor), max(r.memory, o.memory), max(r.descriptors, o.descriptors)
}

// The bounds of the smallest hosts that the programs run on.
const (
	mostMemoryMB    = 184
	mostDescriptors = 3900
)

// checkResources asks each process what it uses, and counts one that would not fit its host as a broken promise.
func (s *site) checkResources() {
	for _, group := range []struct {
		role  string
		hosts []*host
	}{{"gateway", s.gateways}, {"agent", s.agents}} {
		most := resources{role: group.role}
		for _, h := range group.hosts {
			used, err := s.resourcesOf(h)
			if err != nil {
				s.judge.Violate("metrics", "%s tells nothing of itself: %v", h.name, err)
				continue
			}
			if used.memory > mostMemoryMB || used.descriptors > mostDescriptors {
				s.judge.Violate("resources", "%s uses %.0f MB and %.0f descriptors", h.name, used.memory, used.descriptors)
			}
			most.most(used)
		}
		s.judge.uses(most)
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
	lived := float64(time.Now().UnixMilli())/1000 - values["process_start_time_seconds"]
	if values["process_resident_memory_bytes"] == 0 || lived <= 0 {
		return resources{}, fmt.Errorf("no figures of the process among %d", len(values))
	}
	return resources{
		processor: values["process_cpu_seconds_total"] / lived, memory: values["process_resident_memory_bytes"] / (1 << 20),
		descriptors: values["process_open_fds"],
	}, lines.Err()
}
