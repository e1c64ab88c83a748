package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
	"balsamsail/internal/faultlink"
	"balsamsail/internal/faultlink/unframedtest"
	"balsamsail/platform/standin"
)

const (
	// endpointID is the ID of all requests of these tests: what the endpoints send echoes one ID.
	endpointID = "endpoint"
	// endpointTimeout is the time that the clients have, and probeTimeout that of requests that ask whether they reach an endpoint.
	endpointTimeout = 3 * time.Second
	probeTimeout    = 100 * time.Millisecond
	// maxAnswerBytes bounds what is read of an answer to a single request.
	maxAnswerBytes = 64 << 10
	// crowdOfEndless is more than a gateway has connections. One of plainRequests requests is no stream.
	crowdOfEndless = 400
	plainRequests  = 4
)

// exchange sends a request to a path and returns the answer; a status of 0 stands for none.
func (r *rig) exchange(path string, timeout time.Duration, body []byte) (status int, answer string, whole bool) {
	conn, err := net.Dial("tcp", r.clients)
	if err != nil {
		return 0, "", false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout + 2*time.Second))
	go func() {
		_, _ = io.WriteString(conn, endpointRequest(path, timeout, len(body)))
		_, _ = conn.Write(body)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, string(data), err == nil && len(data) < maxAnswerBytes
}

func endpointRequest(path string, timeout time.Duration, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		path, siteHost, standin.HeaderRequestID, endpointID, standin.HeaderDeadline, timeout.Milliseconds(), length)
}

// Guards against endpoints that send without end, in a head, a body or a stream, to all requests of a gateway at once: the sum of what it
// keeps of them takes the memory of its host, and the requests of other clients end with it.
func TestEndpointsThatSendWithoutEnd(t *testing.T) {
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", standin.HeaderRequestID, endpointID, standin.HeaderSignature, standin.Signature(endpointID))
	for name, answer := range faultlink.EndlessAnswers(fields) {
		t.Run(name, func(t *testing.T) {
			r := startGateway(t, descriptors)
			t.Cleanup(answer.Close)
			if err := answer.Start(); err != nil {
				t.Fatal(err)
			}
			prefixes := r.declareAt(answer.Address(), "endless")
			var crowd sync.WaitGroup
			crowd.Go(func() {
				visit(t, r.clients, crowdOfEndless, func(conn net.Conn, i int) {
					prefix := prefixes[len(prefixes)-1]
					if i%plainRequests == 0 {
						prefix = prefixes[0]
					}
					_, _ = io.WriteString(conn, endpointRequest(prefix, endpointTimeout, 0))
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

// Guards against endpoints that answer an upload at once, send a part and reset the connection, whose part reaches clients as a whole
// answer. Whole answers that end with their connection, and come as early, are passed on.
func TestEarlyAnswersToUploads(t *testing.T) {
	const uploads = 20
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", standin.HeaderRequestID, endpointID, standin.HeaderSignature, standin.Signature(endpointID))
	r := startGateway(t, descriptors)
	services := 0
	unframedtest.EarlyAnswers(t, head, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", func(t *testing.T, answer unframedtest.Answer) {
		services++
		prefixes := r.declareAt(unframedtest.Start(t, answer), fmt.Sprintf("early-%d", services))
		for i := range uploads * len(prefixes) {
			prefix := prefixes[i%len(prefixes)]
			// Endpoints that reset connections may have ended under a request, which is not sent on after a few times.
			status, body, whole := r.exchange(fmt.Sprint(prefix, i), endpointTimeout, wholeBody)
			switch {
			case answer.Reset && whole && status == http.StatusOK:
				t.Errorf("%s: the client got %q as a whole answer", prefix, body)
			case answer.Reset && whole && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
				t.Errorf("%s: status %d for a request that may have run", prefix, status)
			case !answer.Reset && (status != http.StatusOK || !whole || body != answer.Body):
				t.Errorf("%s: status %d, %q, whole: %t", prefix, status, body, whole)
			}
		}
	})
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

// Guards against a stream that breaks off and looks whole to a client of HTTP/1.0, for which it ends with the connection.
func TestBrokenStreamsOfOldClients(t *testing.T) {
	const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", standin.HeaderRequestID, endpointID, standin.HeaderSignature, standin.Signature(endpointID))
	r := startGateway(t, descriptors)
	for name, answer := range map[string]unframedtest.Answer{
		"whole": {Head: head, Body: events}, "reset": {Head: head, Body: events, Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			prefixes := r.declareAt(unframedtest.Start(t, answer), "old-"+name)
			conn, err := net.Dial("tcp", r.clients)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(endpointTimeout))
			request := endpointRequest(prefixes[len(prefixes)-1]+"old", endpointTimeout, 0)
			if _, err := io.WriteString(conn, strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1)); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(conn)
			if !strings.HasSuffix(string(data), events) || (err != nil) != answer.Reset {
				t.Errorf("%q, %v", data, err)
			}
		})
	}
}
