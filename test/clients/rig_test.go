// Package clients holds tests of processes whose clients do not behave: processes of the system on loopback addresses, with low
// limits, and a small crowd of such clients. Each test checks that the process lives, that its memory and its sockets stay within the
// limits of its settings, and that an ordinary request is answered beside the crowd.
package clients

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

// The limits of each process under test. The memory is that of a small host, so that a small crowd is too much for it.
const (
	memoryMB    = 96
	descriptors = 4100
	// fewDescriptors is the limit of the tests that are about descriptors.
	fewDescriptors = 500
	// fileDescriptors are those that sockets may not use.
	fileDescriptors = 200
)

// The limits of clients, as the operator declares them.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// The site's host name and routes. Requests to prefixHeld are never answered, those to prefixLarge with a long body, those to
// prefixEvents with a stream without end. Those to prefixEngine are for models.
const (
	siteHost       = "site.test"
	prefixOrdinary = "/ordinary/"
	prefixHeld     = "/held/"
	prefixLarge    = "/large/"
	prefixEvents   = "/events/"
	prefixEngine   = "/engine/"
)

// largeBytes is the length of a long response.
const largeBytes = 6 << 20

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "balsamsail-clients")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "balsamsail")
	if err := childprocess.BuildProgram(binary); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// rig is a gateway with the store and the endpoints that it needs.
type rig struct {
	t        testing.TB
	process  *childprocess.Process
	store    *standin.Store
	operator *standin.Operator
	// held counts the requests to prefixHeld that have reached their endpoint.
	held atomic.Int64
	// clients, readiness, metrics and control are the addresses of the gateway.
	clients, readiness, metrics, control string
	sent                                 int
}

// startGateway starts a gateway that may have so many descriptors, and waits until it is ready.
func startGateway(t testing.TB, descriptors int) *rig {
	t.Helper()
	r := &rig{t: t, store: standin.NewStore()}
	store := httptest.NewServer(r.store)
	t.Cleanup(store.Close)
	for i, service := range []string{"ordinary", "held", "large", "events", "engine"} {
		endpoint := httptest.NewServer(r.endpoint(service))
		t.Cleanup(endpoint.CloseClientConnections)
		r.store.Put(standin.EndpointTable, fmt.Sprintf("i-%d", i), map[string]any{
			"service": service, "address": endpoint.Listener.Addr().String(), "zone": "domain-1", "version": "v1", "slots": 4000, "state": "ready",
			"born": time.Now().UnixMilli(),
		})
	}
	route := func(service, kind string) standin.Route {
		return standin.Route{Name: service, Host: siteHost, Prefix: "/" + service + "/", Type: kind, TimeoutMS: 60_000, TargetLatencyMS: 500, TargetGapMS: 300, Service: service, MaxAttempts: 2}
	}
	r.operator = standin.NewOperator(r.store)
	r.operator.Change(func(c *standin.Config) {
		c.Limits = standin.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
		c.Routes = []standin.Route{route("ordinary", standin.RouteSafe), route("held", standin.RouteUnsafe), route("large", standin.RouteSafe), route("events", standin.RouteStreaming)}
		for _, service := range c.Routes {
			c.Services = append(c.Services, standin.Service{Name: service.Service, MaxConnections: 4000})
		}
		c.Routes = append(c.Routes, route("engine", standin.RouteStreaming))
		c.Services = append(c.Services, standin.Service{Name: "engine", MaxConnections: 4000, Engine: &standin.EngineClass{
			Slots: 64, WeightsMB: 1000, AdapterCapacity: 8, LoadsPerS: 4, Models: []standin.Model{{Name: "declared", WeightsMB: 100, LoadTimeS: 6, Adapters: 2}},
		}})
	})
	ports := freePorts(t, 5)
	r.clients, r.readiness, r.control = ports[0], ports[1], ports[2]
	_, controlPort, _ := net.SplitHostPort(r.control)
	_, agentPort, _ := net.SplitHostPort(ports[3])
	r.process = r.configure("gateway", map[string]string{
		"node_name": "gateway-1", "zone": "domain-1", "ip": "127.0.0.1", "listen.frontend": r.clients, "listen.readiness": r.readiness,
		"platform.address": store.Listener.Addr().String(), "internal_ports.0": agentPort, "internal_ports.1": controlPort,
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "50", "bounds.budget_window_s": "10", "bounds.grace_s": "8",
		"limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": strconv.Itoa(descriptors),
	}, "-set", "gateway.metrics_listen="+ports[4])
	r.metrics = ports[4]
	r.start()
	return r
}

// declareAt declares a service of each kind of route, whose names begin with a text, with one endpoint at the address. It returns the
// prefixes of the routes once requests to them reach the endpoint.
func (r *rig) declareAt(address, name string) (prefixes []string) {
	r.t.Helper()
	r.operator.Change(func(c *standin.Config) {
		for _, kind := range []string{standin.RouteUnsafe, standin.RouteSafe, standin.RouteStreaming} {
			service := name + "-" + kind
			prefixes = append(prefixes, "/"+service+"/")
			c.Routes = append(c.Routes, standin.Route{Name: service, Host: siteHost, Prefix: "/" + service + "/", Type: kind, TimeoutMS: 60_000, TargetLatencyMS: 500, TargetGapMS: 300, Service: service, MaxAttempts: 2})
			c.Services = append(c.Services, standin.Service{Name: service, MaxConnections: 4000})
			r.store.Put(standin.EndpointTable, "e-"+service, map[string]any{
				"service": service, "address": address, "zone": "domain-1", "version": "v1", "slots": 4000, "state": "ready", "born": time.Now().UnixMilli(),
			})
		}
	})
	for _, prefix := range prefixes {
		r.await("requests to "+prefix+" reach the endpoint", func() bool {
			status, _, _ := r.exchange(prefix, probeTimeout, nil)
			return status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable
		})
	}
	return prefixes
}

// configure writes the settings file of a role from its template and returns the process, which ends with the test.
func (r *rig) configure(role string, values map[string]string, args ...string) *childprocess.Process {
	r.t.Helper()
	dir := r.t.TempDir()
	file := filepath.Join(dir, role+".ini")
	if err := standin.FillTemplate(filepath.Join("..", "..", "platform", role+".ini"), file, values); err != nil {
		r.t.Fatal(err)
	}
	p := &childprocess.Process{Name: role, Path: binary, Args: append([]string{role, "-config", file}, args...), Log: filepath.Join(dir, role+".log")}
	r.t.Cleanup(func() {
		p.Kill()
		if r.t.Failed() {
			printEnd(r.t, p.Log)
		}
	})
	return p
}

// printEnd prints the last lines of a process's log.
func printEnd(t testing.TB, file string) {
	const kept = 4 << 10
	text, err := os.ReadFile(file)
	if err != nil {
		t.Error(err)
	}
	t.Logf("end of %s:\n%s", filepath.Base(file), text[max(0, len(text)-kept):])
}

// start starts the gateway and waits until it is ready.
func (r *rig) start() {
	r.t.Helper()
	if err := r.process.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.await("the gateway is ready", func() bool { return status("http://"+r.readiness+platform.ReadinessPath) == http.StatusOK })
}

// endpoint returns the handler of an endpoint of a service.
func (r *rig) endpoint(service string) http.HandlerFunc {
	large, event := bytes.Repeat([]byte("x"), largeBytes), []byte("id: 1\ndata: "+strings.Repeat("x", 1000)+"\n\n")
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get(standin.HeaderRequestID)
		w.Header().Set(standin.HeaderRequestID, id)
		w.Header().Set(standin.HeaderSignature, standin.Signature(id))
		switch service {
		case "held":
			r.held.Add(1)
			<-q.Context().Done()
		case "large":
			w.Header().Set("Content-Length", strconv.Itoa(len(large)))
			_, _ = w.Write(large)
		case "events":
			for q.Context().Err() == nil {
				if _, err := w.Write(event); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		default:
			_, _ = io.WriteString(w, "done")
		}
	}
}

// freePorts returns addresses on which nothing listens.
func freePorts(t testing.TB, n int) (addresses []string) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// await waits until a condition holds.
func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	const limit = 30 * time.Second
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// status returns the status of a GET, or 0 without an answer.
func status(url string) int {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// requestHead returns the first lines of a request's head, without the empty line at its end.
func (r *rig) requestHead(method, path string) string {
	r.sent++
	return fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\n%s: 60000\r\n", method, path, r.sent, siteHost, standin.HeaderRequestID, r.sent, standin.HeaderDeadline)
}

// ordinaryTries bounds how often an ordinary client comes back.
const ordinaryTries = 10

// checkServes sends an ordinary request, as a client does that comes back after a refusal, and checks that it is answered.
func (r *rig) checkServes(path string, body []byte) {
	r.t.Helper()
	var last string
	for range ordinaryTries {
		r.sent++
		call := standin.Call{ID: fmt.Sprintf("o-%d", r.sent), Host: siteHost, Method: http.MethodPost, Path: path, Body: body, Timeout: 5 * time.Second}
		ctx, cancel := context.WithTimeout(r.t.Context(), call.Timeout)
		request, err := call.Request(ctx, r.clients)
		if err != nil {
			r.t.Fatal(err)
		}
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(err)
		pause := 100 * time.Millisecond
		if err == nil {
			last = response.Status
			if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
				pause = time.Duration(seconds * float64(time.Second))
			}
		}
		time.Sleep(pause)
	}
	r.t.Errorf("an ordinary request to %s is not answered in %d tries; last: %s", path, ordinaryTries, last)
}

// checkWithin checks that a process lives and has stayed within its memory and its descriptors.
func checkWithin(t testing.TB, p *childprocess.Process, descriptors int) {
	t.Helper()
	if !p.Signal(0) {
		t.Errorf("%s has ended: %v", p.Name, p.ExitError())
		return
	}
	peak := peakMemory(t, p.Pid())
	t.Logf("%s: at most %d MB, %d sockets", p.Name, peak/1_000_000, sockets(t, p.Pid()))
	if peak > memoryMB*1_000_000 {
		t.Errorf("%s has used %d MB of %d", p.Name, peak/1_000_000, memoryMB)
	}
	if n := sockets(t, p.Pid()); n > descriptors-fileDescriptors {
		t.Errorf("%s has %d sockets open of %d", p.Name, n, descriptors-fileDescriptors)
	}
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(t testing.TB, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}

// sockets returns the number of sockets that a process has open.
func sockets(t testing.TB, pid int) (n int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// stop sends SIGTERM and waits until the process has exited.
func (r *rig) stop() {
	r.t.Helper()
	r.process.Signal(syscall.SIGTERM)
	select {
	case <-r.process.Exited():
	case <-time.After(time.Minute):
		r.t.Error("the gateway does not end")
	}
}
