package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// crashingEndpoints returns n endpoints of a service each of which ends when a request reaches it, and the number that have
// ended.
func crashingEndpoints(service string, n int, crash endpointScript) (endpoints map[string]endpointScript, ended *atomic.Int64) {
	endpoints, ended = make(map[string]endpointScript), &atomic.Int64{}
	for i := range n {
		endpoints[fmt.Sprintf("%s-%d", service, i)] = func(w http.ResponseWriter, r *http.Request) {
			ended.Add(1)
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
