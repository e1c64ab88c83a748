package crashes

import (
	"fmt"
	"testing"
	"time"
)

func mayHaveEnded(time.Time, Process, time.Time) bool { return true }

// Guards against ends that count twice, for another request, for processes that have responded since, or for ever.
func TestEndedCountsEachProcessOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	for i, p := range []Process{{"a", 1}, {"b", 1}, {"b", 1}, {"b", 2}} {
		tracker.Add(now, End{1, p, uint64(i)}, now)
	}
	if got, want := tracker.Ended(now, 1, mayHaveEnded), (Ended{Processes: 3, Last: now, Until: now.Add(holdTime)}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := tracker.Ended(now, 2, mayHaveEnded).Processes; got != 0 {
		t.Errorf("another request has %d ends", got)
	}
	if got := tracker.Ended(now, 1, func(_ time.Time, p Process, _ time.Time) bool { return p != Process{"b", 1} }).Processes; got != 2 {
		t.Errorf("%d ends without the process that responds, want 2", got)
	}
	if got := tracker.Ended(now.Add(holdTime), 1, mayHaveEnded).Processes; got != 0 {
		t.Errorf("%d ends after %v", got, holdTime)
	}
}

// Guards against a flood of different requests at endpoints that end, which must not use memory without bound.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New()
	for i := range 4 * maxEnds {
		tracker.Add(now, End{Content(i), Process{fmt.Sprint(i % 7), 1}, 0}, now)
	}
	if n := tracker.log.Len(); n > maxEnds {
		t.Errorf("%d ends are remembered", n)
	}
	if n := len(tracker.ends); n > maxEnds {
		t.Errorf("%d contents are remembered", n)
	}
}
