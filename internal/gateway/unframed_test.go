package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"balsamsail/internal/catalog"
	"balsamsail/internal/faultlink/invalidtest"
	"balsamsail/internal/faultlink/unframedtest"
)

// endsWithConnection answers with a body of neither a length nor chunks and ends the connection; with a reset, if reset is set.
func endsWithConnection(body string, reset bool) endpointScript {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), body)
		_ = buffered.Flush()
		if reset {
			resetAfterReading(conn)
			return
		}
		_ = conn.Close()
	}
}

// Guards against answers that end with their connection: whole ones are lost, or cut ones taken for whole. A stream that ends inside
// an event has been broken off: it goes on elsewhere, or the client's connection breaks off too.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	stream := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for _, c := range []struct {
		name, service, path, model, body string
		reset                            bool
		whole                            bool
		want                             string
		attempts                         int
	}{
		{"whole body", "plain", "/plain/", "", "answer", false, true, "answer", 1},
		{"empty body", "plain", "/plain/", "", "", false, true, "", 1},
		{"body cut by a reset", "plain", "/plain/", "", "ans", true, false, "", 1},
		{"whole stream", "engine", "/chat/", "m", stream, false, true, "1,2", 1},
		{"stream cut by a reset", "engine", "/chat/", "m", stream, true, false, "1,2", 1},
		{"stream that ends inside an event", "engine", "/chat/", "m", stream + "id: 3\nda", false, false, "1,2", 1},
		{"stream that ends before the blank line", "engine", "/chat/", "m", stream + "id: 3\ndata: 3\n", false, false, "1,2", 1},
		{"stream that ends within its first event", "engine", "/chat/", "m", "id: 1\nda", false, false, "", 1},
		{"stream without an event", "engine", "/chat/", "m", "", false, false, "", 1},
		{"resumable stream that ends inside an event", "engine", "/resumable/", "m", stream + "id: 3\nda", false, true, "1,2,3", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var attempts atomic.Int64
			script := func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					endsWithConnection(c.body, c.reset)(w, r)
					return
				}
				events(1, 3, false)(w, r)
			}
			r := newRig(t, map[string]endpointScript{c.service + "-0": script, c.service + "-1": script})
			a := r.send("a", c.path, c.model)
			if whole := a.err == nil && a.status == http.StatusOK; whole != c.whole {
				t.Errorf("status %d, error %v; whole: %v, want %v", a.status, a.err, whole, c.whole)
			}
			got := a.body
			if c.model != "" {
				got = numbers(a.body)
			}
			if a.status == http.StatusOK && strings.TrimSpace(got) != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if n := attempts.Load(); n != int64(c.attempts) {
				t.Errorf("%d attempts, want %d", n, c.attempts)
			}
		})
	}
}

// Guards against an endpoint that answers an upload before it has read it and resets the connection: the sender learns of the reset,
// and the client gets the part of the answer that has arrived as a whole one. A whole answer is forwarded however early it comes.
func TestEarlyAnswersToUploads(t *testing.T) {
	const uploads = 10
	upload := make([]byte, unframedtest.UploadBytes)
	for _, route := range []struct{ service, path, model, body string }{
		{"plain", "/plain/", "", "answer"}, {"plain", "/read/", "", "answer"},
		{"engine", "/chat/", "m", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"},
	} {
		t.Run(route.path, func(t *testing.T) {
			unframedtest.EarlyAnswers(t, "Id: a\r\nSigned: yes\r\n", route.body, func(t *testing.T, answer unframedtest.Answer) {
				r := newRig(t, nil)
				r.fleet.SetEndpoints([]catalog.Endpoint{{ID: route.service + "-1", Service: route.service, Address: unframedtest.Start(t, answer), Models: []string{"m"}, Revision: 1}})
				for range uploads {
					var body strings.Builder
					a := r.upload(route.path, http.Header{"Id": {"a"}, "Model": {route.model}}, upload, &body)
					whole := a.err == nil && a.status == http.StatusOK
					switch {
					case whole && answer.Reset:
						t.Errorf("the client got %q as a whole answer", body.String())
					case !answer.Reset && (!whole || body.String() != route.body):
						t.Fatalf("status %d, body %q, error %v", a.status, body.String(), a.err)
					case answer.Reset && a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout:
						t.Errorf("status %d for a request that may have run", a.status)
					}
				}
			})
		})
	}
}

// Guards against an endpoint whose answers are not valid in HTTP, and whose client gets them as answers: with the line that is not valid,
// or with a body that the endpoint did not send. The client gets a failure that says that the request may have run.
func TestInvalidAnswers(t *testing.T) {
	const stream = "id: 1\ndata: 1\n\n"
	for _, route := range []struct{ service, path, model, body string }{
		{"plain", "/plain/", "", "answer"}, {"plain", "/read/", "", "answer"}, {"engine", "/chat/", "m", stream}, {"engine", "/resumable/", "m", stream},
	} {
		for name, answer := range invalidtest.Answers("Id: a\r\nSigned: yes\r\n", route.body) {
			t.Run(route.path+" "+name, func(t *testing.T) {
				r := newRig(t, nil)
				r.fleet.SetEndpoints([]catalog.Endpoint{{ID: route.service + "-1", Service: route.service, Address: unframedtest.Start(t, answer), Models: []string{"m"}, Revision: 1}})
				a := r.send("a", route.path, route.model)
				if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
					t.Errorf("status %d, body %q, header %v", a.status, a.body, a.header)
				}
			})
		}
	}
}
