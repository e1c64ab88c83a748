package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
)

// crashingEndpoints returns n endpoints of a service each of which ends when a request reaches it, and the number that have
// ended.
func crashingEndpoints(service string, n int, crash endpointScript) (endpoints map[string]endpointScript, ended *atomic.Int64) {
	endpoints, ended = make(map[string]endpointScript), &atomic.Int64{}
	for i := range n {
		var once sync.Once
		endpoints[fmt.Sprintf("%s-%d", service, i)] = func(w http.ResponseWriter, r *http.Request) {
			once.Do(func() { ended.Add(1) })
			crash(w, r)
		}
	}
	return endpoints, ended
}

// Guards against a request that ends every endpoint that runs it being sent to more than three, over all tries of its client.
func TestRequestThatEndsEndpointsIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name, service, path, model string
		crash                      endpointScript
	}{
		{"idempotent request", "plain", "/read/", "", resetsConnection},
		{"stream before its first event", "engine", "/resumable/", "m", resetsConnection},
		{"stream after some events", "engine", "/resumable/", "m", events(1, 3, true)},
	} {
		t.Run(c.name, func(t *testing.T) {
			const mostEnded = 3
			endpoints, ended := crashingEndpoints(c.service, 12, c.crash)
			r := newRig(t, endpoints)
			for try := range 5 {
				a := r.send(fmt.Sprintf("try-%d", try), c.path, c.model)
				t.Logf("try %d: status %d, error %v, Retry-After %q, %d endpoints have ended", try, a.status, a.err, a.header.Get("Retry-After"), ended.Load())
			}
			if n := ended.Load(); n > mostEnded {
				t.Errorf("%d endpoints ended under one request, want at most %d", n, mostEnded)
			}
			last := r.send("last", c.path, c.model)
			if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
				t.Errorf("the last try got %d, Retry-After %q; want 503 with the time of return", last.status, last.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a request that ends endpoints which restart under their IDs, and so counts as having ended few.
func TestRequestThatEndsRestartedEndpointsIsNotSentOn(t *testing.T) {
	const mostEnded = 3
	r := newRig(t, map[string]endpointScript{"plain-0": resetsConnection, "plain-1": resetsConnection})
	r.restart()
	ended := 0
	for try := range 6 {
		id := fmt.Sprintf("try-%d", try)
		r.send(id, "/read/", "")
		ended += r.attempts(id)
		r.restart()
	}
	if ended > mostEnded {
		t.Errorf("%d processes of endpoints ended under one request, want at most %d", ended, mostEnded)
	}
}

// Guards against a request that ends endpoints and counts as having ended none, as its client leaves at the same time.
func TestEndOfAnEndpointThatItsClientHasLeftCounts(t *testing.T) {
	for _, c := range []struct {
		name string
		ends bool
		want int
	}{
		{"the endpoint ends", true, http.StatusServiceUnavailable},
		{"the endpoint lives on", false, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var left atomic.Bool
			r := newRig(t, map[string]endpointScript{"plain-0": func(w http.ResponseWriter, r *http.Request) {
				if left.Load() {
					good(w, r)
					return
				}
				// The server notices that its client has left once the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}})
			r.gateway.options.InContact = func() bool { return false }
			r.restart()
			ctx, leave := context.WithCancel(t.Context())
			var client sync.WaitGroup
			client.Go(func() { r.sendUntil(ctx, "/read/", http.Header{"Id": {"first"}, "Model": {""}}, io.Discard) })
			r.await("the request runs", func() bool { return r.attempts("first") == 1 })
			leave()
			client.Wait()
			left.Store(true)
			r.await("the gateway knows that the client has left", func() bool { return r.gateway.Active() == 0 })
			if c.ends {
				r.restart()
			}
			time.Sleep(fleet.EndDetectionTime + 200*time.Millisecond)
			if a := r.send("last", "/read/", ""); a.status != c.want {
				t.Errorf("the last try got %d, want %d", a.status, c.want)
			}
		})
	}
}

// Guards against a gateway that hears from no other and sends a request on whose client has been at others before.
func TestGatewayAloneSendsNothingOnWhoseEndpointEnded(t *testing.T) {
	endpoints, ended := crashingEndpoints("plain", 6, resetsConnection)
	r := newRig(t, endpoints)
	r.gateway.options.InContact = func() bool { return false }
	for try := range 3 {
		r.send(fmt.Sprintf("try-%d", try), "/read/", "")
	}
	if n := ended.Load(); n != maxEndedAlone {
		t.Errorf("%d endpoints ended under one request, want %d", n, maxEndedAlone)
	}
}

// Guards against refusals of a request whose connections were reset by endpoints that go on serving others.
func TestRequestIsSentOnWhereEndpointsLive(t *testing.T) {
	var resets atomic.Int64
	endpoints := make(map[string]endpointScript)
	for i := range 4 {
		endpoints[fmt.Sprintf("plain-%d", i)] = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/reset" {
				resets.Add(1)
				resetsConnection(w, r)
				return
			}
			good(w, r)
		}
	}
	r := newRig(t, endpoints)
	const tries = 4
	for try := range tries {
		if a := r.send(fmt.Sprintf("reset-%d", try), "/read/reset", ""); a.status != http.StatusBadGateway {
			t.Errorf("try %d: %d", try, a.status)
		}
		for i := range 20 {
			r.send(fmt.Sprintf("other-%d-%d", try, i), "/read/other", "")
		}
	}
	if n := resets.Load(); n != 2*tries {
		t.Errorf("%d attempts in %d tries, want two in each", n, tries)
	}
}

// Guards against requests that differ in one part only and count as the same, or a client's tries that do not.
func TestContentIsTheSameInAllTriesOfAClient(t *testing.T) {
	endpoints, _ := crashingEndpoints("plain", 3, resetsConnection)
	r := newRig(t, endpoints)
	r.send("first", "/read/", "")
	r.send("second", "/read/", "")
	r.send("third", "/read/other", "")
	now := time.Now()
	ends, _ := r.gateway.options.Crashes.Since(now, 0, 100)
	perContent := make(map[crashes.Content]int)
	for _, e := range ends {
		perContent[e.Key.Content]++
	}
	if len(perContent) != 2 {
		t.Errorf("%d contents in two requests: %v", len(perContent), perContent)
	}
}
