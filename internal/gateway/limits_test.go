package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/peak"
)

// Load pattern: three times the rate that the only endpoint of a service names, for some seconds. Guards against an endpoint
// that gets more, and against callers that are held until their time is over instead of being told when to come back.
func TestCallersOfALimitedEndpoint(t *testing.T) {
	const perSecond, d = 5, 6 * time.Second
	var named atomic.Bool
	named.Store(true)
	var mu sync.Mutex
	var arrivals []time.Time
	r := newRig(t, map[string]endpointScript{"plain-1": func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if named.Load() {
			w.Header().Set("Limit", fmt.Sprint(perSecond))
		}
		good(w, q)
	}})
	r.fleet.SetLimitShare(time.Now(), 1)
	if a := r.send("first", "/plain/", ""); a.status != http.StatusOK {
		t.Fatalf("first request: %+v", a)
	}
	var clients sync.WaitGroup
	var served, refused atomic.Int64
	interval := time.Second / (3 * perSecond)
	for i := range int(d / interval) {
		clients.Go(func() {
			a := r.send(fmt.Sprint(i), "/plain/", "")
			switch {
			case a.status == http.StatusOK:
				served.Add(1)
			case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "":
				refused.Add(1)
				// A request that comes after others have waited for a second can be judged at once.
				if late := 2 * time.Second; i > int(late/interval) && a.took > late {
					t.Errorf("request %d was refused after %v", i, a.took)
				}
			default:
				t.Errorf("request %d: %+v", i, a)
			}
		})
		time.Sleep(interval)
	}
	clients.Wait()
	if served.Load() < perSecond*int64(d.Seconds())/2 || refused.Load() == 0 {
		t.Errorf("%d served and %d refused", served.Load(), refused.Load())
	}
	mu.Lock()
	times := arrivals
	mu.Unlock()
	const window = 4 * time.Second
	if in, allowed := peak.Within(times, window), perSecond*int(window.Seconds())+2; in > allowed {
		t.Fatalf("%d requests in %v to an endpoint that takes %d a second", in, window, perSecond)
	}

	// The endpoint is well again: its next answer says so, and all are served.
	named.Store(false)
	time.Sleep(time.Second)
	r.send("last", "/plain/", "")
	for i := range 20 {
		if a := r.send(fmt.Sprint("after-", i), "/plain/", ""); a.status != http.StatusOK || a.took > time.Second {
			t.Fatalf("request %d after the end of the limit: %+v", i, a)
		}
	}
}
