package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// Each case is a fault of endpoints, and what the client of a request that may run once, and of one that may run more often,
// must get.
func TestFaultsOfEndpoints(t *testing.T) {
	wrongID := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Id", "another")
		good(w, r)
	}
	unsigned := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "done")
	}
	encoded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		good(w, r)
	}
	falsePromise := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	short := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		good(w, r)
		hangsUp(w, r)
	}
	cases := []struct {
		name  string
		fault endpointScript
		// once and often are the statuses for the two kinds of requests when every endpoint has the fault.
		once, often int
		// runs bounds how often a request that may run once reaches endpoints.
		runs int
	}{
		{"answers", good, 200, 200, 1},
		{"refuses all", refuses, 503, 503, 2},
		{"hangs up", hangsUp, 502, 502, 1},
		{"answers another request", wrongID, 502, 502, 1},
		{"does not sign", unsigned, 502, 502, 1},
		{"encodes", encoded, 502, 502, 1},
		{"says not run by the status alone", falsePromise, 502, 502, 1},
		{"breaks off", short, 502, 502, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"plain-1": c.fault, "plain-2": c.fault})
			if got := r.send("a", "/plain/x", ""); got.status != c.once || got.err != nil {
				t.Errorf("run once: status %d, error %v, want %d", got.status, got.err, c.once)
			}
			if n := r.ran("a"); n > c.runs {
				t.Errorf("run once: reached endpoints %d times, want at most %d", n, c.runs)
			}
			if got := r.send("b", "/read/x", ""); got.status != c.often {
				t.Errorf("idempotent: status %d, want %d", got.status, c.often)
			}
			r.gateway.fleet.SetEndpoints(nil)
			if got := r.send("c", "/plain/x", ""); got.status != 503 || got.header.Get("Retry-After") == "" || got.took > time.Second {
				t.Errorf("no endpoints: status %d, Retry-After %q after %v, want 503 at once with a time", got.status, got.header.Get("Retry-After"), got.took)
			}
		})
	}
}

// Story: one endpoint of two fails requests in its own way. A request that may run more often is served by the other one; one
// that may run once is only where the first said that it did not run it.
func TestSecondEndpointServes(t *testing.T) {
	for name, fault := range map[string]endpointScript{"hangs up": hangsUp, "refuses": refuses} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"plain-1": fault, "plain-2": good})
			for i := range 20 {
				id := string(rune('a' + i))
				if got := r.send(id, "/read/x", ""); got.status != 200 || got.body != "done" {
					t.Fatalf("status %d, body %q, want the second endpoint's answer", got.status, got.body)
				}
			}
		})
	}
}

// Story: an engine crashes in the middle of an event. A stream that may go on elsewhere reaches the client whole, each event
// once; one that may not is cut, so that the client sees that it is not complete.
func TestBrokenStream(t *testing.T) {
	script := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			events(1, 3, true)(w, r)
			return
		}
		events(1, 6, false)(w, r)
	}
	r := newRig(t, map[string]endpointScript{"engine-1": script, "engine-2": script})
	if got := r.send("a", "/case/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4,5,6" {
		t.Errorf("resumable: events %s, error %v, want 1 to 6 once each", numbers(got.body), got.err)
	}
	if got := r.send("b", "/chat/x", "m"); got.err == nil || numbers(got.body) != "1,2,3" {
		t.Errorf("not resumable: events %s, error %v, want 1 to 3 and a broken connection", numbers(got.body), got.err)
	}
}

// Story: an engine puts a stream back for a second and a half, because more urgent requests need its memory, and goes on. No
// other engine holds the model. The gateway took the pause for a failure, cancelled the stream, found nobody to go on with it,
// and cut the client off in the middle of an answer that was being made.
func TestStalledStreamStaysWhereNobodyElseServes(t *testing.T) {
	t.Parallel()
	pauses := func(w http.ResponseWriter, r *http.Request) {
		events(1, 2, false)(w, r)
		time.Sleep(minStall + 400*time.Millisecond)
		for i := 3; i <= 4; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
	}
	r := newRig(t, map[string]endpointScript{"engine-1": pauses})
	if got := r.send("a", "/case/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4" || r.ran("a") != 1 {
		t.Errorf("events %s, error %v, %d runs, want 1 to 4 of one run", numbers(got.body), got.err, r.ran("a"))
	}
}

// Story: the only engine that holds a model resets a connection in the middle of a stream, as a faulty one does, and serves on.
// The client was cut off, although the stream can go on at the same engine.
func TestBrokenStreamGoesOnAtItsOnlyEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t, map[string]endpointScript{"engine-1": func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("After") == "" {
			events(1, 3, true)(w, request)
			return
		}
		events(1, 6, false)(w, request)
	}})
	if got := r.send("a", "/case/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4,5,6" {
		t.Errorf("events %s, error %v, want 1 to 6 once each", numbers(got.body), got.err)
	}
	if got := r.send("b", "/chat/x", "m"); got.err == nil {
		t.Error("a stream that may run only once was sent again")
	}
}

// Story: all hosts have lost power, and a gateway reads a list that still names the engines' incarnations from before, eight of
// which held a busy model. The first request for it was refused after six of them had said that they are others, although the ninth
// engine held the model. Each stale entry shows once and is not asked again.
func TestStaleEntriesDoNotUseUpARequest(t *testing.T) {
	scripts := map[string]endpointScript{"engine-good": events(1, 2, false)}
	for i := range 8 {
		scripts[fmt.Sprintf("engine-%d", i)] = isAnother
	}
	r := newRig(t, scripts)
	for _, id := range []string{"a", "b", "c"} {
		if got := r.send(id, "/case/x", "m"); got.status != 200 || got.err != nil {
			t.Errorf("request %s: status %d, error %v after %d sendings", id, got.status, got.err, r.ran(id))
		}
	}
	if total := r.ran("a") + r.ran("b") + r.ran("c"); total > 11 {
		t.Errorf("three requests were sent %d times, want each stale entry asked once at most", total)
	}
}

// Story: two thirds of a large site's endpoints begin to hang up. Each of its gateways repeated as much as a sixth of the site's
// budget allows, although there were many more of them, and the endpoints that were left got several times what they were to
// bear. With a hundred gateways each has one repetition saved up.
func TestRetryBudgetIsDividedByTheGateways(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"plain-1": hangsUp, "plain-2": hangsUp})
	r.gateways = 100
	sent := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		r.send(id, "/read/x", "")
		sent += r.ran(id)
	}
	if sent != 5 {
		t.Errorf("4 requests were sent %d times, want one repetition", sent)
	}
}

// Story: a gateway is told to stop while a request waits for a model that no engine holds, and another is at an endpoint that
// does not answer. Both connections used to be closed without an answer when the time to stop was over; the clients could not
// know whether their requests had run. The first must be refused with a time to come back, the second be told that its
// outcome is unknown.
func TestStopAnswersWhatItHolds(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	r := newRig(t, map[string]endpointScript{"engine-1": good, "plain-1": silent})
	waiting, running := make(chan answer, 1), make(chan answer, 1)
	go func() { waiting <- r.send("w", "/chat/x", "sleeping") }()
	go func() { running <- r.send("r", "/plain/x", "") }()
	time.Sleep(100 * time.Millisecond)
	r.gateway.StopBy(time.Now().Add(refuseBeforeCut + 300*time.Millisecond))
	if got := <-waiting; got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("waiting: status %d, Retry-After %q, error %v, want 503 with a time", got.status, got.header.Get("Retry-After"), got.err)
	}
	if r.ran("w") != 0 {
		t.Error("waiting: reached an endpoint")
	}
	if got := <-running; got.status != 502 {
		t.Errorf("running: status %d, error %v, want 502", got.status, got.err)
	}
}

// Story: a client leaves while its request is at an endpoint. The endpoint must see the end of it at once.
func TestClientLeaves(t *testing.T) {
	left := make(chan struct{})
	silent := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}
	r := newRig(t, map[string]endpointScript{"plain-1": silent})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/plain/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "site"
	if _, err := http.DefaultTransport.RoundTrip(request); err == nil {
		t.Fatal("got an answer")
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Error("the endpoint still works on the request a second after its client left")
	}
}

// Story: the only engine that holds a model crashes; its address refuses connections, and its registration stands for three more
// heartbeats. Each request for the model was sent there six times within 50 ms and then refused, though 20 s were left and
// another engine had the model a second later. It must wait and be served there.
func TestCrashedEngineIsNotTriedOverAndOver(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"engine-1": events(1, 2, false)})
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crashed := catalog.Endpoint{ID: "engine-0", Service: "engine", Address: unused.Addr().String(), Models: []string{"sleeping"}, Revision: 1}
	unused.Close()
	r.fleet.SetEndpoints([]catalog.Endpoint{crashed})
	served := make(chan answer, 1)
	go func() { served <- r.send("a", "/chat/x", "sleeping") }()
	time.Sleep(300 * time.Millisecond)
	select {
	case got := <-served:
		t.Fatalf("status %d after %v, want the request to wait", got.status, got.took)
	default:
	}
	other := r.endpoints["engine-1"]
	other.Models, other.Revision = []string{"sleeping"}, 2
	r.fleet.SetEndpoints([]catalog.Endpoint{crashed, other})
	if got := <-served; got.status != 200 || numbers(got.body) != "1,2" {
		t.Errorf("status %d, body %q, error %v, want the other engine's answer", got.status, got.body, got.err)
	}
}

// Story: a model that no host has a copy of is asked for; it takes six seconds from the weight store, and clients leave a stream
// that has not begun after two. Held, each of them waited in vain. They must be refused at once and told when the model will be
// there; and the model must be loaded for them, which did not happen while refused requests were not counted as waiting.
func TestModelThatComesTooLateIsRefusedWithItsTime(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"engine-1": good})
	got := r.send("a", "/chat/x", "distant")
	after, err := time.ParseDuration(got.header.Get("Retry-After"))
	if got.status != 503 || err != nil || got.took > 500*time.Millisecond {
		t.Fatalf("status %d, Retry-After %q after %v, want 503 at once with a time", got.status, got.header.Get("Retry-After"), got.took)
	}
	if after < 6*time.Second || after > 8*time.Second {
		t.Errorf("told to come back in %v, want some 6 s", after)
	}
	waiting := int32(0)
	for _, m := range r.fleet.Demand(time.Now()).Models {
		if m.Model == "distant" {
			waiting = m.Waiting
		}
	}
	if waiting != 1 {
		t.Errorf("%d requests count as waiting for the model, want the refused one until it is back", waiting)
	}
}
