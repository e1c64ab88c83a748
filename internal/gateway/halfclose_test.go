package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// sendHalfClosed sends a request, closes its side of the connection once ready is closed, and returns what comes back.
func (r *rig) sendHalfClosed(request string, ready <-chan struct{}) (rawAnswer, error) {
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		return rawAnswer{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return rawAnswer{}, err
	}
	<-ready
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return rawAnswer{}, err
	}
	data, err := io.ReadAll(conn)
	if err != nil {
		return rawAnswer{}, err
	}
	return parseRaw(data)
}

// Guards against a client that closes its side of the connection before its answer is complete and gets a success that no endpoint
// gave, or a stream that looks complete.
func TestClientThatClosesItsSide(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	post := func(path, rest string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: site\r\nId: a\r\nModel: m\r\nTimeout: 5000\r\n" + rest
	}
	hangs := func(reached chan<- struct{}, head string) endpointScript {
		return func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Id", "a")
			w.Header().Set("Signed", "yes")
			_, _ = io.WriteString(w, head)
			_ = http.NewResponseController(w).Flush()
			time.AfterFunc(20*time.Millisecond, func() { close(reached) })
			<-q.Context().Done()
		}
	}
	for _, c := range []struct {
		name, endpoint, request string
		// sent is what the endpoint sends before it hangs.
		sent string
		// atOnce closes the client's side with the request, not while the request is at its endpoint.
		atOnce bool
		status int
	}{
		{name: "at an endpoint that has not answered", endpoint: "plain-1", request: post("/plain/", body)},
		{name: "at an endpoint, idempotent", endpoint: "plain-1", request: post("/read/", body)},
		{name: "stream before its first event", endpoint: "engine-1", request: post("/chat/", body)},
		{name: "stream after an event", endpoint: "engine-1", request: post("/chat/", body), sent: "id: 1\ndata: 1\n\n"},
		{name: "stream within an event", endpoint: "engine-1", request: post("/chat/", body), sent: "id: 1\ndata: 1\n\nid: 2\n"},
		{name: "resumable stream after an event", endpoint: "engine-1", request: post("/resumable/", body), sent: "id: 1\ndata: 1\n\n"},
		{name: "waiting for a model", request: strings.Replace(post("/chat/", body), "Model: m", "Model: not-loaded", 1), atOnce: true},
		{name: "no endpoint", request: post("/plain/", body), atOnce: true, status: http.StatusServiceUnavailable},
		{name: "no route", request: post("/none/", body), atOnce: true, status: http.StatusNotFound},
		{name: "body that is not complete", request: post("/plain/", "Content-Length: 5\r\n\r\nbody"), atOnce: true, status: http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The gateway may see the close before or after it refuses a request.
			for range 10 {
				ready := make(chan struct{})
				endpoints := map[string]endpointScript{"engine-2": refuses}
				if c.endpoint != "" {
					endpoints = map[string]endpointScript{c.endpoint: hangs(ready, c.sent)}
				}
				if c.atOnce {
					close(ready)
				}
				a, err := newRig(t, endpoints).sendHalfClosed(c.request, ready)
				switch {
				case err != nil:
					t.Fatal(err)
				case a.whole && a.status/100 == 2:
					t.Fatalf("a success that looks whole: %+v", a)
				case a.whole && c.status == 0, a.status != c.status && a.status/100 != 2 && a.status != 0:
					t.Fatalf("got %+v, want status %d", a, c.status)
				case !strings.HasPrefix(c.sent, a.body):
					t.Fatalf("a body that the endpoint did not send: %+v", a)
				}
			}
		})
	}
}

// Guards against a request that is refused when its client has already left, and whose handler returns without having answered.
func TestRefusalOfClientThatHasLeft(t *testing.T) {
	r := newRig(t, nil)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/plain/": 0} {
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("body"))
		request.Host = "site"
		request.Header.Set("Id", "a")
		w := httptest.NewRecorder()
		w.Code = 0
		func() {
			defer func() {
				if got := recover(); (got == nil) != (want != 0) || got != nil && got != http.ErrAbortHandler {
					t.Errorf("%s: the handler ended with %v", path, got)
				}
			}()
			r.gateway.ServeHTTP(w, request)
		}()
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", path, w.Code, want)
		}
	}
}

// failingWriter is a connection to a client on which writes fail after a number of them.
type failingWriter struct {
	*httptest.ResponseRecorder
	writes int
}

// Write implements http.ResponseWriter.
func (w *failingWriter) Write(data []byte) (int, error) {
	if w.writes--; w.writes < 0 {
		return 0, errors.New("the client does not read")
	}
	return w.ResponseRecorder.Write(data)
}

// Guards against a stream that could not be written to its client and whose handler returns, so that its body ends as if complete.
func TestStreamThatCannotBeWritten(t *testing.T) {
	for writes := range 3 {
		t.Run(fmt.Sprint(writes), func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"engine-1": func(w http.ResponseWriter, q *http.Request) {
				for n := 1; q.Context().Err() == nil; n++ {
					events(n, n, false)(w, q)
					time.Sleep(5 * time.Millisecond)
				}
			}})
			request := httptest.NewRequest(http.MethodPost, "/chat/", strings.NewReader("body"))
			request.Host = "site"
			request.Header = http.Header{"Id": {"a"}, "Model": {"m"}, "Timeout": {"5000"}}
			defer func() {
				if got := recover(); got != http.ErrAbortHandler {
					t.Errorf("the handler ended with %v, not by aborting the connection", got)
				}
			}()
			r.gateway.ServeHTTP(&failingWriter{ResponseRecorder: httptest.NewRecorder(), writes: writes}, request)
		})
	}
}
