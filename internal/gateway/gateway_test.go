package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// Each case is a fault that all endpoints have. The test checks the status that a client gets for a request that must
// run at most once, and for an idempotent one.
func TestFaultsOfEndpoints(t *testing.T) {
	wrongID := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Id", "another")
		good(w, r)
	}
	refusesAnother := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Id", "another")
		refuses(w, r)
	}
	unsigned := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "done")
	}
	encoded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		good(w, r)
	}
	unconfirmedStatus := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		good(w, r)
		resetsConnection(w, r)
	}
	cases := []struct {
		name  string
		fault endpointScript
		// onceStatus and idempotentStatus are the expected statuses for the two kinds of requests.
		onceStatus, idempotentStatus int
		// maxRuns bounds how often a request that must run at most once reaches an endpoint.
		maxRuns int
	}{
		{"answers", good, 200, 200, 1},
		{"refuses each request", refuses, 503, 503, 2},
		{"resets the connection", resetsConnection, 502, 502, 1},
		{"wrong request ID", wrongID, 502, 502, 1},
		{"refusal with another request's ID", refusesAnother, 502, 502, 1},
		{"no signature", unsigned, 502, 502, 1},
		{"unexpected content encoding", encoded, 502, 502, 1},
		{"503 without a header that confirms that it did not run", unconfirmedStatus, 502, 502, 1},
		{"truncated body", truncated, 502, 502, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"plain-1": c.fault, "plain-2": c.fault})
			if got := r.send("a", "/plain/x", ""); got.status != c.onceStatus || got.err != nil {
				t.Errorf("run once: status %d, error %v, want %d", got.status, got.err, c.onceStatus)
			}
			if n := r.attempts("a"); n > c.maxRuns {
				t.Errorf("run once: sent to endpoints %d times, want at most %d", n, c.maxRuns)
			}
			if got := r.send("b", "/read/x", ""); got.status != c.idempotentStatus {
				t.Errorf("idempotent: status %d, want %d", got.status, c.idempotentStatus)
			}
			r.gateway.fleet.SetEndpoints(nil)
			if got := r.send("c", "/plain/x", ""); got.status != 503 || got.header.Get("Retry-After") == "" || got.took > time.Second {
				t.Errorf("no endpoints: status %d, Retry-After %q after %v, want an immediate 503 with Retry-After", got.status, got.header.Get("Retry-After"), got.took)
			}
		})
	}
}

// One of two endpoints fails or refuses all requests. Idempotent requests must be served by the other one.
func TestSecondEndpointServes(t *testing.T) {
	for name, fault := range map[string]endpointScript{"resets the connection": resetsConnection, "refuses": refuses} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, map[string]endpointScript{"plain-1": fault, "plain-2": good})
			for i := range 20 {
				id := string(rune('a' + i))
				if got := r.send(id, "/read/x", ""); got.status != 200 || got.body != "done" {
					t.Fatalf("status %d, body %q, want the second endpoint's response", got.status, got.body)
				}
			}
		})
	}
}

// An engine crashes in the middle of an event. A resumable stream must reach the client complete, with each event once;
// any other stream must be aborted, so that the client sees that it is incomplete.
func TestBrokenStream(t *testing.T) {
	script := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			events(1, 3, true)(w, r)
			return
		}
		events(1, 6, false)(w, r)
	}
	r := newRig(t, map[string]endpointScript{"engine-1": script, "engine-2": script})
	if got := r.send("a", "/resumable/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4,5,6" {
		t.Errorf("resumable: events %s, error %v, want 1 to 6 once each", numbers(got.body), got.err)
	}
	if got := r.send("b", "/chat/x", "m"); got.err == nil || numbers(got.body) != "1,2,3" {
		t.Errorf("not resumable: events %s, error %v, want 1 to 3 and an aborted connection", numbers(got.body), got.err)
	}
}

// An engine preempts a stream for 1.5 s, because more urgent requests need its memory, and then resumes it. No other
// engine has the model. The gateway must not treat the pause as a failure: it used to cancel the stream, found no
// engine to resume it, and aborted a response that was still being generated.
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
	if got := r.send("a", "/resumable/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4" || r.attempts("a") != 1 {
		t.Errorf("events %s, error %v, %d attempts, want 1 to 4 from one attempt", numbers(got.body), got.err, r.attempts("a"))
	}
}

// The only engine that has a model resets a connection in the middle of a stream and keeps serving. A resumable stream
// must be resumed on the same engine instead of being aborted.
func TestBrokenStreamGoesOnAtItsOnlyEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t, map[string]endpointScript{"engine-1": func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("After") == "" {
			events(1, 3, true)(w, request)
			return
		}
		events(1, 6, false)(w, request)
	}})
	if got := r.send("a", "/resumable/x", "m"); got.err != nil || numbers(got.body) != "1,2,3,4,5,6" {
		t.Errorf("events %s, error %v, want 1 to 6 once each", numbers(got.body), got.err)
	}
	if got := r.send("b", "/chat/x", "m"); got.err == nil {
		t.Error("a stream that is not resumable was sent again")
	}
}

// After all hosts have lost power, a gateway's endpoint list still names eight engine incarnations from before, which
// had a model loaded. Attempts that reach another incarnation must not count against the attempt limit: a request used
// to be refused after six of them although a ninth engine had the model. Each stale entry may be tried only once.
func TestStaleEntriesDoNotUseUpARequest(t *testing.T) {
	scripts := map[string]endpointScript{"engine-good": events(1, 2, false)}
	for i := range 8 {
		scripts[fmt.Sprintf("engine-%d", i)] = otherIncarnation
	}
	r := newRig(t, scripts)
	for _, id := range []string{"a", "b", "c"} {
		if got := r.send(id, "/resumable/x", "m"); got.status != 200 || got.err != nil {
			t.Errorf("request %s: status %d, error %v after %d attempts", id, got.status, got.err, r.attempts(id))
		}
	}
	if total := r.attempts("a") + r.attempts("b") + r.attempts("c"); total > 11 {
		t.Errorf("three requests were sent %d times, want each stale entry tried at most once", total)
	}
}

// Two thirds of a large site's endpoints reset connections. The burst of the retry budget must be divided by the actual
// number of gateways: when it was divided by a constant six, the many gateways of the site overloaded the remaining
// endpoints with retries. With a hundred gateways each may save up one retry; further ones wait until the budget has grown
// by one, at one a second and a fifth for each request.
func TestRetryBudgetIsDividedByTheGateways(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"plain-1": resetsConnection, "plain-2": resetsConnection})
	r.gateways = 100
	retries := 0
	began := time.Now()
	ids := []string{"a", "b", "c", "d"}
	for i, id := range ids {
		r.send(id, "/read/x", "")
		retries += r.attempts(id) - 1
		allowed := 1 + 0.2*float64(i+1) + time.Since(began).Seconds()
		if float64(retries) > allowed {
			t.Errorf("%d retries %v after the start, want %.1f at most", retries, time.Since(began), allowed)
		}
	}
	if retries != len(ids) {
		t.Errorf("%d retries, want one for each request once the budget allows it", retries)
	}
}

// A gateway shuts down while one request waits for a model that no engine has loaded and another is at an endpoint that
// does not respond. Both connections used to be closed without an answer, so that the clients could not determine
// whether their requests had run. The first must be refused with Retry-After, the second answered with an unknown
// outcome.
func TestStopAnswersWhatItHolds(t *testing.T) {
	noResponse := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	r := newRig(t, map[string]endpointScript{"engine-1": good, "plain-1": noResponse})
	waiting, running := make(chan answer, 1), make(chan answer, 1)
	go func() { waiting <- r.send("w", "/chat/x", "not-loaded") }()
	go func() { running <- r.send("r", "/plain/x", "") }()
	time.Sleep(100 * time.Millisecond)
	exitAt := time.Now().Add(refuseWaitingBeforeExit + 300*time.Millisecond)
	r.gateway.ShutdownAt(exitAt, exitAt)
	if got := <-waiting; got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("waiting: status %d, Retry-After %q, error %v, want 503 with Retry-After", got.status, got.header.Get("Retry-After"), got.err)
	}
	if r.attempts("w") != 0 {
		t.Error("waiting: sent to an endpoint")
	}
	if got := <-running; got.status != 502 {
		t.Errorf("running: status %d, error %v, want 502", got.status, got.err)
	}
}

// A client disconnects while its request is at an endpoint. The endpoint's request must be cancelled at once.
func TestClientLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	noResponse := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}
	r := newRig(t, map[string]endpointScript{"plain-1": noResponse})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/plain/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "site"
	request.Header.Set("Id", "a")
	if _, err := http.DefaultTransport.RoundTrip(request); err == nil {
		t.Fatal("got a response, want a timeout")
	}
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Error("the request at the endpoint was not cancelled within a second after its client disconnected")
	}
}

// The only engine that has a model crashes; its address refuses connections, but it stays registered for three more
// heartbeats. A request used to be sent there six times within 50 ms and then refused, although 20 s were left and
// another engine had the model a second later. It must wait and be served there.
func TestCrashedEngineIsNotTriedOverAndOver(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"engine-1": events(1, 2, false)})
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crashed := catalog.Endpoint{ID: "engine-0", Service: "engine", Address: unused.Addr().String(), Models: []string{"not-loaded"}, Revision: 1}
	unused.Close()
	r.fleet.SetEndpoints([]catalog.Endpoint{crashed})
	result := make(chan answer, 1)
	go func() { result <- r.send("a", "/chat/x", "not-loaded") }()
	time.Sleep(300 * time.Millisecond)
	select {
	case got := <-result:
		t.Fatalf("status %d after %v, want the request to wait", got.status, got.took)
	default:
	}
	other := r.endpoints["engine-1"]
	other.Models, other.Revision = []string{"not-loaded"}, 2
	r.fleet.SetEndpoints([]catalog.Endpoint{crashed, other})
	if got := <-result; got.status != 200 || numbers(got.body) != "1,2" {
		t.Errorf("status %d, body %q, error %v, want the other engine's response", got.status, got.body, got.err)
	}
}

// No host has a copy of the requested model; loading it from the weight store takes six seconds, but clients abandon a
// stream that has not begun after two. The request must be refused at once with the load time as Retry-After instead of
// being held. It must also count as waiting until the client is back, because otherwise the model would not be loaded.
func TestModelThatComesTooLateIsRefusedWithItsTime(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"engine-1": good})
	got := r.send("a", "/chat/x", "store-only")
	after, err := time.ParseDuration(got.header.Get("Retry-After"))
	if got.status != 503 || err != nil || got.took > 500*time.Millisecond {
		t.Fatalf("status %d, Retry-After %q after %v, want an immediate 503 with Retry-After", got.status, got.header.Get("Retry-After"), got.took)
	}
	if after < 6*time.Second || after > 8*time.Second {
		t.Errorf("Retry-After is %v, want 6 s to 8 s", after)
	}
	waiting := 0
	for _, m := range r.fleet.Demand(time.Now()) {
		if m.Model == "store-only" {
			waiting = m.Waiting
		}
	}
	if waiting != 1 {
		t.Errorf("%d requests count as waiting for the model, want 1, the refused request", waiting)
	}
}

// An endpoint restarts under its ID while its host is unreachable, so that nothing closes the connection of a request that
// it was running. Once the gateway knows of the new process, the request is lost: one that may be repeated goes to another
// endpoint at once, and one that must run at most once ends as unknown and is not sent again.
func TestRequestsOfARestartedEndpoint(t *testing.T) {
	cases := []struct {
		name, path string
		status     int
		runs       int
	}{
		{"idempotent", "/read/x", http.StatusOK, 2},
		{"run once", "/plain/x", http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reached := make(chan string, 1)
			var arrivals atomic.Int32
			hangsFirst := func(id string) endpointScript {
				return func(w http.ResponseWriter, r *http.Request) {
					if arrivals.Add(1) > 1 {
						good(w, r)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					reached <- id
					<-r.Context().Done()
				}
			}
			r := newRig(t, map[string]endpointScript{"plain-1": hangsFirst("plain-1"), "plain-2": hangsFirst("plain-2")})
			list := func(restarted string) []catalog.Endpoint {
				var all []catalog.Endpoint
				for id, e := range r.endpoints {
					if e.Started = 100; id == restarted {
						e.Started = 200
					}
					all = append(all, e)
				}
				return all
			}
			r.fleet.SetEndpoints(list(""))
			go func() { r.fleet.SetEndpoints(list(<-reached)) }()
			got := r.send("a", c.path, "")
			if got.status != c.status || got.err != nil || got.took > 2*time.Second {
				t.Errorf("status %d after %v, error %v; want %d at once", got.status, got.took, got.err, c.status)
			}
			if n := r.attempts("a"); n != c.runs {
				t.Errorf("%d runs, want %d", n, c.runs)
			}
		})
	}
}

// The retry budget is used up when an idempotent request fails without an answer. It must wait for the budget, which grows
// by one retry a second, instead of ending as unknown with most of its time left. Each retry still comes out of the budget.
func TestRequestWaitsForTheRetryBudget(t *testing.T) {
	var arrivals atomic.Int32
	failsTwice := func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) <= 2 {
			resetsConnection(w, r)
			return
		}
		good(w, r)
	}
	r := newRig(t, map[string]endpointScript{"plain-1": failsTwice, "plain-2": failsTwice})
	r.gateways = 100
	r.gateway.spendRetry("plain", time.Now())
	got := r.send("a", "/read/x", "")
	if got.status != http.StatusBadGateway || r.attempts("a") != 2 {
		t.Errorf("two failures: status %d after %d attempts, want 502 after the route's two", got.status, r.attempts("a"))
	}
	if got.took < 200*time.Millisecond {
		t.Errorf("took %v, want a wait for the budget", got.took)
	}
	arrivals.Store(1)
	if got := r.send("b", "/read/x", ""); got.status != http.StatusOK || got.took > 3*time.Second {
		t.Errorf("one failure: status %d after %v, want 200", got.status, got.took)
	}
}

// Guards against a gateway that passes on requests that arrive late in a shutdown, as at the end of an upload, and cuts them at its end.
// One that ends before is served.
func TestRequestsLateInAShutdown(t *testing.T) {
	r := newRig(t, map[string]endpointScript{"plain-1": good, "engine-1": events(1, 3, false)})
	now := time.Now()
	r.gateway.ShutdownAt(now, now.Add(3*time.Second))
	for _, c := range []struct {
		id, path, model, timeout string
		want                     int
	}{
		{"long", "/plain/", "", "5000", http.StatusServiceUnavailable},
		{"long-read", "/read/", "", "5000", http.StatusServiceUnavailable},
		{"long-stream", "/chat/", "m", "5000", http.StatusServiceUnavailable},
		{"short", "/plain/", "", "1000", http.StatusOK},
		{"short-stream", "/chat/", "m", "1000", http.StatusOK},
	} {
		a := r.sendTo(c.path, http.Header{"Id": {c.id}, "Model": {c.model}, "Timeout": {c.timeout}}, io.Discard)
		if a.status != c.want || a.err != nil {
			t.Errorf("%s: status %d, error %v, want %d", c.id, a.status, a.err, c.want)
		}
		if refused := a.status == http.StatusServiceUnavailable; refused && (r.attempts(c.id) != 0 || a.header.Get("Retry-After") == "") {
			t.Errorf("%s: %d attempts, Retry-After %q", c.id, r.attempts(c.id), a.header.Get("Retry-After"))
		}
	}
}
