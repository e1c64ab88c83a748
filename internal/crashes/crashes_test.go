package crashes

import (
	"fmt"
	"testing"
	"time"
)

func mayHaveEnded(time.Time, string, time.Time) bool { return true }

// Guards against ends that count twice, for another request, for endpoints that have responded since, or for ever.
func TestEndedCountsEachEndpointOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	for i, id := range []string{"a", "b", "b", "c"} {
		tracker.Add(now, End{1, id, uint64(i)}, now)
	}
	if got, want := tracker.Ended(now, 1, mayHaveEnded), (Ended{Endpoints: 3, Last: now, Until: now.Add(holdTime)}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := tracker.Ended(now, 2, mayHaveEnded).Endpoints; got != 0 {
		t.Errorf("another request has %d ends", got)
	}
	if got := tracker.Ended(now, 1, func(_ time.Time, id string, _ time.Time) bool { return id != "b" }).Endpoints; got != 2 {
		t.Errorf("%d ends without the endpoint that responds, want 2", got)
	}
	if got := tracker.Ended(now.Add(holdTime), 1, mayHaveEnded).Endpoints; got != 0 {
		t.Errorf("%d ends after %v", got, holdTime)
	}
}

// Guards against a flood of different requests at endpoints that end, which must not use memory without bound.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	for i := range 4 * maxEnds {
		tracker.Add(now, End{Content(i), fmt.Sprint(i % 7), 0}, now)
	}
	if n := tracker.log.Len(); n > maxEnds {
		t.Errorf("%d ends are remembered", n)
	}
	if n := len(tracker.ends); n > maxEnds {
		t.Errorf("%d contents are remembered", n)
	}
}
