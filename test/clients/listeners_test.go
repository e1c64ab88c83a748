package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
	productstandin "balsamsail/internal/standin/platform"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

const (
	crowdOfLongBodies = 20
	// longBodyBytes is the product's own limit of a body.
	longBodyBytes = 16 << 20
	// metricsRequests is the number of pipelined requests for metrics of a client that reads none.
	metricsRequests = 100
)

// Guards against connections to the gateway's other listeners that say nothing, and take the descriptors of clients.
func TestSilentConnectionsToOtherListeners(t *testing.T) {
	r := startGateway(t, fewDescriptors)
	for _, address := range []string{r.readiness, r.metrics, r.control} {
		join(t, address, crowdOfSilence, func(net.Conn, int) {})
	}
	r.checkCrowd(fewDescriptors)
	r.checkOthers()
}

// Guards against unfinished heads of short lines at the listeners of readiness and metrics.
func TestHeadsToOtherListeners(t *testing.T) {
	r := startGateway(t, descriptors)
	head := strings.TrimSuffix(r.headOf(http.MethodGet, "/metrics?", "", shortLines, longHeadBytes), "\r\n")
	for _, address := range []string{r.readiness, r.metrics} {
		join(t, address, crowdOfLongHeads, say(func(int) string { return head }))
	}
	r.checkCrowd(descriptors)
	r.checkOthers()
}

// Guards against scrapers that ask for metrics and do not read them.
func TestMetricsThatAreNotRead(t *testing.T) {
	r := startGateway(t, descriptors)
	requests := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n", metricsRequests)
	join(t, r.metrics, crowdOfLongHeads, say(func(int) string { return requests }))
	r.checkCrowd(descriptors)
	r.checkOthers()
}

// Guards against bytes on the links of peers that are not those of a peer.
func TestGarbageOnLinks(t *testing.T) {
	r := startGateway(t, descriptors)
	for _, text := range []string{strings.Repeat("\xff", 1<<20), strings.Repeat("\x00", 1<<20), "GET / HTTP/1.1\r\n\r\n"} {
		join(t, r.control, crowdOfLongHeads, say(func(int) string { return text }))
	}
	r.checkCrowd(descriptors)
}

// checkOthers checks that readiness and metrics are answered.
func (r *rig) checkOthers() {
	r.t.Helper()
	r.await("readiness is answered", func() bool { return status("http://"+r.readiness+platform.ReadinessPath) == http.StatusOK })
	r.await("metrics are answered", func() bool { return status("http://"+r.metrics+"/metrics") == http.StatusOK })
}

// Guards against an agent beside an engine that has no descriptors left for its gateways.
func TestCrowdAtTheEngineAgent(t *testing.T) {
	r := startGateway(t, descriptors)
	engine, err := standin.StartEndpoint(standin.EndpointOptions{
		Listen: "127.0.0.1:0", Listed: "127.0.0.1:1", Service: "engines", Slots: 4, Heartbeat: time.Second, Engine: &standin.EngineOptions{}, Store: r.store,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { engine.Stop(true) })
	ports := freePorts(t, 2)
	_, port, _ := net.SplitHostPort(ports[0])
	agent := r.configure("engine-agent", map[string]string{
		"node_name": "agent-1", "zone": "domain-1", "ip": "127.0.0.1", "app": engine.Address(), "internal_ports.0": port, "internal_ports.1": port,
		"limits.memory_mb": fmt.Sprint(memoryMB), "limits.max_fds": fmt.Sprint(fewDescriptors),
	}, "-set", "engine_agent.metrics_listen="+ports[1])
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	r.await("the agent serves metrics", func() bool { return status("http://"+ports[1]+"/metrics") == http.StatusOK })
	join(t, ports[0], crowdOfSilence, func(net.Conn, int) {})
	join(t, ports[1], crowdOfSilence, func(net.Conn, int) {})
	join(t, ports[0], crowdOfLongHeads, say(func(int) string { return strings.Repeat("\xff", 1<<20) }))
	checkWithin(t, agent, fewDescriptors)
	r.await("the agent serves metrics", func() bool { return status("http://"+ports[1]+"/metrics") == http.StatusOK })
}

// Guards against a gateway that waits for its crowd when it is told to stop, and one that a crowd keeps from starting.
func TestCrowdBesideADrainAndARestart(t *testing.T) {
	r := startGateway(t, descriptors)
	head := r.requestHead(http.MethodPost, prefixHeld) + lengthField(maxBodyBytes) + "\r\n"
	crowds := func() {
		join(t, r.clients, crowdOfSilence, func(net.Conn, int) {})
		join(t, r.clients, crowdOfBodies, func(conn net.Conn, _ int) {
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Write(wholeBody[missingBytes:])
		})
	}
	crowds()
	checkWithin(t, r.process, descriptors)
	r.stop()
	if err := r.process.ExitError(); err != nil {
		t.Errorf("told to stop, the gateway ended with %v", err)
	}
	r.start()
	crowds()
	r.process.Kill()
	r.start()
	crowds()
	r.checkCrowd(descriptors)
}

// Guards against a crowd that keeps a gateway from reaching its store again: a change made afterwards has to come into force.
func TestCrowdWhileTheStoreIsLost(t *testing.T) {
	r := startGateway(t, fewDescriptors)
	r.store.SetFaults(func(f *standin.StoreFaults) { f.Down = true })
	join(t, r.clients, crowdOfSilence, func(net.Conn, int) {})
	request := r.requestHead(http.MethodGet, prefixHeld) + "\r\n"
	join(t, r.clients, crowdOfSilence, say(func(int) string { return request }))
	r.checkCrowd(fewDescriptors)
	r.store.SetFaults(func(f *standin.StoreFaults) { f.Down = false })
	r.operator.Change(func(c *standin.Config) {
		added := c.Routes[0]
		added.Name, added.Prefix = "added", "/added/"
		c.Routes = append(c.Routes, added)
	})
	r.checkServes("/added/", nil)
	r.checkCrowd(fewDescriptors)
}

// startRole starts a process of the product's own interface with low limits, and waits until a URL is answered.
func (r *rig) startRole(role, text string, ready string) *childprocess.Process {
	r.t.Helper()
	dir := r.t.TempDir()
	file := filepath.Join(dir, role+".ini")
	text += fmt.Sprintf("\n[resources]\nmemory = %dMB\ndescriptors = %d\n", memoryMB, fewDescriptors)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	p := &childprocess.Process{Name: role, Path: binary, Args: []string{role, "-config", file}, Log: filepath.Join(dir, role+".log")}
	r.t.Cleanup(func() {
		p.Kill()
		if r.t.Failed() {
			printEnd(r.t, p.Log)
		}
	})
	if err := p.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.await(role+" is ready", func() bool { return status(ready) == http.StatusOK })
	return p
}

// startProductPlatform starts the stand-in of the platform behind the product's own interface.
func startProductPlatform(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(productstandin.New(productstandin.Options{}).Handler())
	t.Cleanup(server.Close)
	return fmt.Sprintf("[platform]\ntable_url = %[1]s\nobjects_url = %[1]s\nhosts_url = %[1]s\n", server.URL)
}

// Guards against an entry that a crowd of callers ends: silent ones, heads of short lines, and large bodies that stop short of their end.
func TestCrowdAtTheEntry(t *testing.T) {
	ports := freePorts(t, 2)
	crowds := map[string]func(*rig){
		"silent": func(r *rig) {
			join(t, ports[0], crowdOfSilence, func(net.Conn, int) {})
			join(t, ports[1], crowdOfSilence, func(net.Conn, int) {})
		},
		"heads": func(r *rig) {
			head := strings.TrimSuffix(r.headOf(http.MethodGet, "/v1/models?", "", shortLines, longHeadBytes), "\r\n")
			join(t, ports[0], crowdOfLongHeads, say(func(int) string { return head }))
			join(t, ports[1], crowdOfLongHeads, say(func(int) string { return head }))
		},
		"bodies": func(r *rig) {
			head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nX-Deadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n", longBodyBytes)
			body := strings.Repeat(" ", longBodyBytes-missingBytes)
			join(t, ports[0], crowdOfLongBodies, say(func(int) string { return head + body }))
		},
	}
	for name, crowd := range crowds {
		t.Run(name, func(t *testing.T) {
			r := &rig{t: t}
			text := fmt.Sprintf("[entry]\nid = entry-1\nfailure_domain = a\nlisten = %s\noperator_listen = %s\n", ports[0], ports[1]) + startProductPlatform(t)
			entry := r.startRole("entry", text, "http://"+ports[1]+"/readyz")
			crowd(r)
			checkWithin(t, entry, fewDescriptors)
			r.await("models are listed", func() bool { return status("http://"+ports[0]+"/v1/models") == http.StatusOK })
			r.await("the operators' interface is answered", func() bool { return status("http://"+ports[1]+"/healthz") == http.StatusOK })
			response, err := http.Post("http://"+ports[0]+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"none"}`))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusNotFound {
				t.Errorf("a chat with an unknown model is answered with %s", response.Status)
			}
		})
	}
}

// Guards against an agent of the product's own interface that a crowd takes the descriptors from.
func TestCrowdAtTheAgent(t *testing.T) {
	r := &rig{t: t}
	service := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(service.Close)
	ports := freePorts(t, 2)
	text := fmt.Sprintf("[agent]\nhost = host-1\nfailure_domain = a\nlisten = %s\nmetrics_listen = %s\n[endpoint]\nkind = service\nname = ledger-1\nurl = %s\n", ports[0], ports[1], service.URL)
	agent := r.startRole("agent", text+startProductPlatform(t), "http://"+ports[1]+"/healthz")
	for _, address := range ports {
		join(t, address, crowdOfSilence, func(net.Conn, int) {})
		join(t, address, crowdOfLongHeads, say(func(int) string { return strings.Repeat("\xff", 1<<20) }))
	}
	checkWithin(t, agent, fewDescriptors)
	r.await("health is answered", func() bool { return status("http://"+ports[1]+"/healthz") == http.StatusOK })
	agent.Signal(syscall.SIGTERM)
	r.await("the agent ends when it is told to", func() bool { return !agent.Signal(0) })
}
