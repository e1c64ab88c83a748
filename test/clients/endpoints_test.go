package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
	"balsamsail/internal/faultlink"
	"balsamsail/platform/standin"
)

const (
	prefixEndless       = "/endless/"
	prefixEndlessEvents = "/endless-events/"
	// endlessID is the ID of all requests to endpoints that send without end: their answers echo one ID.
	endlessID = "endless"
	// endlessTimeout is the time that their clients have.
	endlessTimeout = 3 * time.Second
	// crowdOfEndless is more than a gateway has connections. One of plainRequests requests is no stream.
	crowdOfEndless = 400
	plainRequests  = 4
)

// declareEndless declares two services whose endpoints send without end, one for plain requests and one for streams.
func (r *rig) declareEndless(answer *faultlink.Endless) {
	r.t.Helper()
	if err := answer.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.operator.Change(func(c *standin.Config) {
		for prefix, kind := range map[string]string{prefixEndless: standin.RouteUnsafe, prefixEndlessEvents: standin.RouteStreaming} {
			service := prefix[1 : len(prefix)-1]
			c.Routes = append(c.Routes, standin.Route{Name: service, Host: siteHost, Prefix: prefix, Type: kind, TimeoutMS: 60_000, TargetLatencyMS: 500, TargetGapMS: 300, Service: service, MaxAttempts: 2})
			c.Services = append(c.Services, standin.Service{Name: service, MaxConnections: 4000})
			r.store.Put(standin.EndpointTable, "e-"+service, map[string]any{
				"service": service, "address": answer.Address(), "zone": "domain-1", "version": "v1", "slots": 4000, "state": "ready", "born": time.Now().UnixMilli(),
			})
		}
	})
	r.await("the routes are in force", func() bool {
		return answer.Sent() > 0 || r.try(prefixEndless, 100*time.Millisecond) != "HTTP/1.1 404 Not Found\r\n"
	})
}

// try sends a request to a prefix and returns the first line of the response; empty without one.
func (r *rig) try(prefix string, timeout time.Duration) string {
	conn, err := net.Dial("tcp", r.clients)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout + 2*time.Second))
	_, _ = io.WriteString(conn, endlessRequest(prefix, timeout))
	line := make([]byte, 64)
	n, _ := conn.Read(line)
	for i := range n {
		if line[i] == '\n' {
			return string(line[:i+1])
		}
	}
	return ""
}

func endlessRequest(prefix string, timeout time.Duration) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", prefix, siteHost, standin.HeaderRequestID, endlessID, standin.HeaderDeadline, timeout.Milliseconds())
}

// Guards against endpoints that send without end, in a head, a body or a stream, to all requests of a gateway at once: the sum of what it
// keeps of them takes the memory of its host, and the requests of other clients end with it.
func TestEndpointsThatSendWithoutEnd(t *testing.T) {
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", standin.HeaderRequestID, endlessID, standin.HeaderSignature, standin.Signature(endlessID))
	for name, answer := range faultlink.EndlessAnswers(fields) {
		t.Run(name, func(t *testing.T) {
			r := startGateway(t, descriptors)
			t.Cleanup(answer.Close)
			r.declareEndless(answer)
			var crowd sync.WaitGroup
			crowd.Go(func() {
				visit(t, r.clients, crowdOfEndless, func(conn net.Conn, i int) {
					prefix := prefixEndlessEvents
					if i%plainRequests == 0 {
						prefix = prefixEndless
					}
					_, _ = io.WriteString(conn, endlessRequest(prefix, endlessTimeout))
					_, _ = io.Copy(io.Discard, conn)
				})
			})
			time.Sleep(settle)
			r.checkCrowd(descriptors)
			r.process.Kill()
			crowd.Wait()
		})
	}
}

// Guards against an engine that sends without end to the agent beside it.
func TestEngineThatSendsWithoutEnd(t *testing.T) {
	r := startGateway(t, descriptors)
	r.checkEach("engine-agent", func(name string, answer *faultlink.Endless, ports []string) *childprocess.Process {
		_, port, _ := net.SplitHostPort(ports[0])
		return r.configure("engine-agent", map[string]string{
			"node_name": "agent-1", "zone": "domain-1", "ip": "127.0.0.1", "app": answer.Address(), "internal_ports.0": port, "internal_ports.1": port,
			"limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": strconv.Itoa(descriptors),
		}, "-set", "engine_agent.metrics_listen="+ports[1])
	})
}

// Guards against a store that sends without end to a gateway, which follows several tables at once.
func TestStoreThatSendsWithoutEnd(t *testing.T) {
	r := &rig{t: t}
	r.checkEach("gateway", func(name string, answer *faultlink.Endless, ports []string) *childprocess.Process {
		_, port, _ := net.SplitHostPort(ports[0])
		return r.configure("gateway", map[string]string{
			"node_name": "gateway-1", "zone": "domain-1", "ip": "127.0.0.1", "listen.frontend": ports[2], "listen.readiness": ports[3],
			"platform.address": answer.Address(), "internal_ports.0": port, "internal_ports.1": port,
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "50", "bounds.budget_window_s": "10", "bounds.grace_s": "8",
			"limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": strconv.Itoa(descriptors),
		}, "-set", "gateway.metrics_listen="+ports[1])
	})
}

// checkEach starts a process beside each kind of server that sends without end, all at once, and checks that each stays within its limits.
func (r *rig) checkEach(role string, configure func(name string, answer *faultlink.Endless, ports []string) *childprocess.Process) {
	r.t.Helper()
	processes := make(map[string]*childprocess.Process)
	for name, answer := range faultlink.EndlessAnswers("") {
		if err := answer.Start(); err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(answer.Close)
		ports := freePorts(r.t, 4)
		p := configure(name, answer, ports)
		p.Name = role + ", " + name
		if err := p.Start(); err != nil {
			r.t.Fatal(err)
		}
		r.await(p.Name+" serves metrics", func() bool { return status("http://"+ports[1]+"/metrics") == http.StatusOK })
		r.await(p.Name+" has made a call", func() bool { return answer.Sent() > 0 })
		processes[name] = p
	}
	time.Sleep(2 * settle)
	for _, p := range processes {
		checkWithin(r.t, p, descriptors)
		// The server waits until its callers have closed.
		p.Kill()
	}
}
