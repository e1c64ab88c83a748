package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/clock"
)

// partCrash ends an endpoint that begins to write an answer on the part "bad", and with it all requests that are there; other
// requests get a whole answer, those with the part "slow" not before the endpoint ends.
type partCrash struct {
	mu    sync.Mutex
	ended int
	// slow holds the requests that wait for the end of their endpoint.
	slow []chan struct{}
	// beforeEnd and onEnd are called around each end, if they are set.
	beforeEnd, onEnd func()
}

func (c *partCrash) serve(w http.ResponseWriter, r *http.Request) {
	parts := r.Header.Get("Parts")
	switch {
	case strings.Contains(parts, "bad"):
		if c.beforeEnd != nil {
			c.beforeEnd()
		}
		c.end()
		resetsConnection(w, r)
	case strings.Contains(parts, "slow"):
		end := make(chan struct{})
		c.mu.Lock()
		c.slow = append(c.slow, end)
		c.mu.Unlock()
		select {
		case <-end:
		case <-r.Context().Done():
		}
		resetsConnection(w, r)
	default:
		events(1, 3, false)(w, r)
	}
}

// end counts an end, and ends the requests that wait for it.
func (c *partCrash) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onEnd != nil {
		c.onEnd()
	}
	c.ended++
	for _, end := range c.slow {
		close(end)
	}
	c.slow = nil
}

// Guards against requests with a part that ends endpoints being sent on because no two of them are alike, and against refusals of
// the sound ones with the same first part.
func TestRequestsWithAPartThatEndsEndpointsAreNotSentOn(t *testing.T) {
	const mostEnded = 5
	crash := &partCrash{}
	endpoints := make(map[string]endpointScript)
	for i := range 4 {
		endpoints[fmt.Sprintf("engine-%d", i)] = crash.serve
	}
	r := newRig(t, endpoints)
	r.restart()
	for i := range 20 {
		r.sendParts(fmt.Sprintf("bad-%d", i), fmt.Sprintf("first,bad,own-%d", i))
		r.restart()
		id := fmt.Sprintf("sound-%d", i)
		if a := r.sendParts(id, fmt.Sprintf("first,own-%d", i)); a.status != http.StatusOK || r.attempts(id) != 1 {
			t.Errorf("sound request %d: status %d after %d attempts", i, a.status, r.attempts(id))
		}
	}
	if crash.ended > mostEnded {
		t.Errorf("%d processes of endpoints ended under requests with one part, want at most %d", crash.ended, mostEnded)
	}
	if a := r.sendParts("last", "other,bad,last"); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("the last request got %d, Retry-After %q; want 503 with the time of return", a.status, a.header.Get("Retry-After"))
	}
}

// Guards against sound requests that are refused because endpoints have ended three times beside one with a bad part.
func TestSoundRequestThatEndedBesideABadOneIsSentOn(t *testing.T) {
	crash := &partCrash{}
	r := newRig(t, map[string]endpointScript{"engine-0": crash.serve})
	r.restart()
	waits := func() bool {
		crash.mu.Lock()
		defer crash.mu.Unlock()
		return len(crash.slow) > 0
	}
	crash.beforeEnd = func() { r.await("the sound request is at the endpoint", waits) }
	crash.onEnd = r.restart
	ctx, stop := context.WithCancel(t.Context())
	var sound sync.WaitGroup
	defer sound.Wait()
	defer stop()
	sound.Go(func() {
		for ctx.Err() == nil {
			r.sendParts("sound", "first,slow")
			clock.Pause(ctx, 20*time.Millisecond)
		}
	})
	for i := range 3 {
		r.sendParts(fmt.Sprintf("bad-%d", i), fmt.Sprintf("first,bad,own-%d", i))
	}
	r.await("the sound request is sent on", waits)
	stop()
	crash.onEnd = func() {}
	crash.end()
}
