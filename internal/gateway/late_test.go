package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// lateEndpoint is an endpoint that sends some of its answers once more, where the answer to the next request on the connection is due.
type lateEndpoint struct {
	listener net.Listener
	// status is that of the rejections; body is what they hold.
	status int
	body   string
	// rejects tells whether to reject a request that has been here a number of times before.
	rejects func(id string, before int) bool
	// repeatsBefore tells whether the rejection of a request is sent again before the answer to the next one.
	repeatsBefore func(rejected, next string) bool
	// repeatsAnswers is set if each answer is sent again before the next one, be it a rejection or not. In chunks, if chunked is set.
	repeatsAnswers, chunked bool

	mu       sync.Mutex
	arrivals map[string]int
	runs     map[string]int
}

// listLateEndpoints starts endpoints and lists them, and no others.
func (r *rig) listLateEndpoints(endpoints ...*lateEndpoint) {
	r.t.Helper()
	var list []catalog.Endpoint
	for n, e := range endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.t.Fatal(err)
		}
		e.listener, e.arrivals, e.runs = listener, make(map[string]int), make(map[string]int)
		r.t.Cleanup(func() { _ = listener.Close() })
		go e.accept()
		address := listener.Addr().String()
		list = append(list,
			catalog.Endpoint{ID: fmt.Sprintf("plain-%d", n), Service: "plain", Address: address, Revision: 1},
			catalog.Endpoint{ID: fmt.Sprintf("engine-%d", n), Service: "engine", Address: address, Models: []string{"m"}, Revision: 1})
	}
	r.fleet.SetEndpoints(list)
}

func (e *lateEndpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (e *lateEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var rejection, rejected, last string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		if rejection != "" && e.repeatsBefore(rejected, id) {
			_, _ = io.WriteString(conn, rejection)
			rejection = ""
		}
		if e.repeatsAnswers {
			_, _ = io.WriteString(conn, last)
		}
		e.mu.Lock()
		rejects := e.rejects(id, e.arrivals[id])
		e.arrivals[id]++
		if !rejects {
			e.runs[id]++
		}
		e.mu.Unlock()
		if rejects {
			rejected, rejection = id, e.rejection(id)
			_, _ = io.WriteString(conn, rejection)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		last = e.answer(id)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
	}
}

// answer returns the answer to a request that has run.
func (e *lateEndpoint) answer(id string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n", id)
	event := fmt.Sprintf("id: 100\ndata: %s\n\n", id)
	if e.chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(event), event)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(event), event)
}

func (e *lateEndpoint) rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\nNot-Run: yes\r\nContent-Length: %d\r\n\r\n%s", e.status, http.StatusText(e.status), id, len(e.body), e.body)
}

// judgeLate checks that a request that may run once has not run twice, nor at all if its answer says so.
func judgeLate(t *testing.T, id string, got answer, endpoints ...*lateEndpoint) {
	t.Helper()
	runs := 0
	for _, e := range endpoints {
		e.mu.Lock()
		runs += e.runs[id]
		e.mu.Unlock()
	}
	if runs > 1 {
		t.Errorf("request %s, answered %d, ran %d times, want at most once", id, got.status, runs)
	}
	if runs > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusMisdirectedRequest) {
		t.Errorf("request %s ran and was answered %d, which says that it did not", id, got.status)
	}
}

// noRetries is the number of gateways with which none has a retry left.
const noRetries = 10_000

// Guards against a late copy of the rejection of one request being taken for the answer to the next one on the connection.
func TestLateRejectionOfAnotherRequest(t *testing.T) {
	for _, c := range []struct {
		name, path, model, body string
		status, gateways        int
	}{
		{"plain", "/plain/", "", "", 503, 1},
		{"plain, no retry left", "/plain/", "", "", 503, noRetries},
		{"plain, rejection with a body", "/plain/", "", "full", 503, 1},
		{"stream", "/chat/", "m", "", 503, 1},
		{"stream, no retry left", "/chat/", "m", "", 503, noRetries},
		{"stream, another incarnation", "/chat/", "m", "", 421, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, nil)
			late := func() *lateEndpoint {
				return &lateEndpoint{
					status: c.status, body: c.body,
					rejects:       func(id string, before int) bool { return strings.HasPrefix(id, "full") && before == 0 },
					repeatsBefore: func(rejected, next string) bool { return next != rejected },
				}
			}
			one, two := late(), late()
			r.listLateEndpoints(one, two)
			_ = r.send("full-1", c.path, c.model)
			r.gateways = c.gateways
			for n := range 6 {
				id := fmt.Sprintf("next-%d", n)
				judgeLate(t, id, r.send(id, c.path, c.model), one, two)
			}
		})
	}
}

// Guards against a late copy of a rejection being taken for the answer to the same request, which was sent to the endpoint again.
func TestLateRejectionOfTheSameRequest(t *testing.T) {
	for _, rejections := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d rejections", rejections), func(t *testing.T) {
			r := newRig(t, nil)
			only := &lateEndpoint{
				status:        http.StatusServiceUnavailable,
				rejects:       func(_ string, before int) bool { return before < rejections },
				repeatsBefore: func(rejected, next string) bool { return next == rejected },
			}
			r.listLateEndpoints(only)
			got := r.send("a", "/chat/", "m")
			judgeLate(t, "a", got, only)
			if got.status != http.StatusOK {
				t.Errorf("status %d, want the engine's answer", got.status)
			}
		})
	}
}

// Guards against a request being answered 502, or run again, though its answer follows a late copy of that to an earlier request, and
// against the copy being taken for its answer.
func TestAnswerAfterALateCopy(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, c := range []struct{ path, model string }{{"/plain/", ""}, {"/read/", ""}, {"/chat/", "m"}, {"/resumable/", "m"}} {
			t.Run(fmt.Sprintf("%s chunked %t", c.path, chunked), func(t *testing.T) {
				r := newRig(t, nil)
				late := &lateEndpoint{rejects: func(string, int) bool { return false }, repeatsAnswers: true, chunked: chunked}
				r.listLateEndpoints(late)
				for n := range 6 {
					id := fmt.Sprintf("next-%d", n)
					got := r.send(id, c.path, c.model)
					if got.status != http.StatusOK || numbers(got.body) != id || got.err != nil {
						t.Errorf("request %s: status %d, event of %q, error %v; want its own answer", id, got.status, numbers(got.body), got.err)
					}
					late.mu.Lock()
					if late.arrivals[id] != 1 {
						t.Errorf("request %s was sent %d times, want once", id, late.arrivals[id])
					}
					late.mu.Unlock()
				}
			})
		}
	}
}

// Guards against events of another stream in one that is resumed over a connection on which a late copy of that stream arrives.
func TestStreamResumedAfterALateCopy(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"engine-1": events(1, 3, true)})
	late := &lateEndpoint{rejects: func(string, int) bool { return false }, repeatsAnswers: true}
	r.listLateEndpoints(late)
	if got := r.send("other", "/chat/", "m"); got.status != http.StatusOK {
		t.Fatalf("status %d of the other stream, want 200", got.status)
	}
	engine := r.endpoints["engine-1"]
	r.fleet.SetEndpoints([]catalog.Endpoint{engine})
	resumed := make(chan answer)
	go func() { resumed <- r.send("4", "/resumable/", "m") }()
	r.await("the stream has begun", func() bool { return r.attempts("4") > 0 })
	engine.ID, engine.Address = "engine-0", late.listener.Addr().String()
	r.fleet.SetEndpoints([]catalog.Endpoint{engine})
	if got := <-resumed; numbers(got.body) != "1,2,3,4" || got.err != nil || late.arrivals["4"] != 1 {
		t.Errorf("events %s, error %v, sent %d times; want 1 to 4 of the stream itself", numbers(got.body), got.err, late.arrivals["4"])
	}
}

// Guards against what another incarnation at an endpoint's address says of itself being held against the endpoint, and against requests
// being sent to an endpoint whose address another one has.
func TestAnswerOfAnotherIncarnation(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var reached atomic.Int64
			r := newRig(t, map[string]endpointScript{"plain-1": good, "plain-2": func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				for field, value := range map[string]string{"Id": r.Header.Get("Id"), "Not-Run": "yes", "Incarnation": "another", "Load": "0", "Limit": "1"} {
					w.Header().Set(field, value)
				}
				w.WriteHeader(status)
			}})
			send := func(id string) {
				if got := r.send(id, "/plain/", ""); got.status != http.StatusOK {
					t.Fatalf("status %d, want the answer of the other endpoint", got.status)
				}
			}
			r.await("a request reaches the other incarnation", func() bool { send("before"); return reached.Load() > 0 })
			for range 30 {
				send("after")
			}
			if n, limited := reached.Load(), r.fleet.LimitedEndpoints(); n != 1 || limited > 0 {
				t.Errorf("%d requests reached the other incarnation, want 1; %d endpoints name a limit, want none", n, limited)
			}
		})
	}
}

// Guards against a rejection that names no request being taken for that of this request, on a connection that has carried others.
func TestRejectionWithoutRequestID(t *testing.T) {
	unnamed := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "first" {
			good(w, r)
			return
		}
		w.Header().Set("Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r := newRig(t, map[string]endpointScript{"plain-1": unnamed})
	if got := r.send("a", "/plain/", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("on a new connection: status %d, want 503", got.status)
	}
	r = newRig(t, map[string]endpointScript{"plain-1": unnamed})
	_ = r.send("first", "/plain/", "")
	if got := r.send("b", "/plain/", ""); got.status != http.StatusBadGateway {
		t.Errorf("on a connection that has carried another request: status %d, want 502", got.status)
	}
	if got := r.send("", "/plain/", ""); got.status != http.StatusBadRequest || r.attempts("") > 0 {
		t.Errorf("a request without an ID: status %d, %d attempts, want 400 and none", got.status, r.attempts(""))
	}
}

// Guards against a request being sent over a connection to the earlier process of an endpoint that has restarted under its ID.
func TestRestartClosesKeptConnections(t *testing.T) {
	var mu sync.Mutex
	var connections []string
	r := newRig(t, map[string]endpointScript{"plain-1": func(w http.ResponseWriter, request *http.Request) {
		mu.Lock()
		connections = append(connections, request.RemoteAddr)
		mu.Unlock()
		good(w, request)
	}})
	// The endpoint states the start of its process from now on.
	r.restart()
	_ = r.send("a", "/plain/", "")
	_ = r.send("b", "/plain/", "")
	r.restart()
	time.Sleep(50 * time.Millisecond)
	_ = r.send("c", "/plain/", "")
	mu.Lock()
	defer mu.Unlock()
	if len(connections) != 3 || connections[0] != connections[1] || connections[1] == connections[2] {
		t.Errorf("connections %v, want the first one twice and then another", connections)
	}
}

// leavingWriter is the connection of a client that leaves while the gateway writes to it.
type leavingWriter struct {
	http.ResponseWriter
	leaves func()
}

func (w leavingWriter) Write([]byte) (int, error) {
	w.leaves()
	return 0, io.ErrClosedPipe
}

// Guards against the request of one client being cut because another one leaves, whose whole stream came over the same connection.
func TestClientThatLeavesCutsNoOtherRequest(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	r := newRig(t, map[string]endpointScript{"engine-1": func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "next" {
			close(arrived)
			<-proceed
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
	}})
	next := make(chan answer, 1)
	leaving, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://site/chat/", nil)
	if err != nil {
		t.Fatal(err)
	}
	leaving.Header = http.Header{"Id": {"leaving"}, "Model": {"m"}}
	func() {
		defer func() {
			if aborted := recover(); aborted != http.ErrAbortHandler {
				t.Errorf("the handler ended with %v, want that it aborts the connection", aborted)
			}
		}()
		r.gateway.ServeHTTP(leavingWriter{httptest.NewRecorder(), func() {
			go func() { next <- r.send("next", "/chat/", "m") }()
			<-arrived
		}}, leaving)
	}()
	close(proceed)
	if got := <-next; got.status != http.StatusOK {
		t.Errorf("status %d for the other client, want 200", got.status)
	}
}
