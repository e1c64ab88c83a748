package admission

import (
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

func TestLimiterKeepsRoomForInteractive(t *testing.T) {
	cases := []struct {
		name                       string
		interactiveHeld, batchHeld int
		interactiveMore, batchMore bool
	}{
		{"empty", 0, 0, true, true},
		{"batch at its bound", 0, 2, true, false},
		{"full", 1, 2, false, false},
		{"full of interactive", 3, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLimiter(LimiterOptions{MaxInFlight: 3, MaxBatch: 2})
			acquireN(t, l, interactive, c.interactiveHeld)
			acquireN(t, l, batch, c.batchHeld)
			if got := l.Acquire(start, batch) == nil; got != c.batchMore {
				t.Errorf("one more batch request accepted: %v", got)
			} else if got {
				l.Release(start, batch)
			}
			if got := l.Acquire(start, interactive) == nil; got != c.interactiveMore {
				t.Errorf("one more interactive request accepted: %v", got)
			}
		})
	}
}

func acquireN(t *testing.T, l *Limiter, class wirepb.Class, n int) {
	t.Helper()
	for range n {
		if refused := l.Acquire(start, class); refused != nil {
			t.Fatalf("refused below the bound: %+v", refused)
		}
	}
}

// A full entry refuses a hundred requests at once while one request ends every 100 ms. With equal retry delays nearly
// all of them would be refused again, so the delays must be spread at the limiter's release rate.
func TestLimiterTellsItsPace(t *testing.T) {
	l := NewLimiter(LimiterOptions{MaxInFlight: 1, Seed: 1})
	now := start
	for range 50 {
		acquireN(t, l, interactive, 1)
		now = now.Add(100 * time.Millisecond)
		l.Release(now, interactive)
	}
	acquireN(t, l, interactive, 1)
	latest := time.Duration(0)
	for range 100 {
		latest = max(latest, l.Acquire(now, interactive).RetryAfter)
	}
	if latest < 8*time.Second || latest > 15*time.Second {
		t.Errorf("longest of 100 retry delays is %v, want about 10 s", latest)
	}
}

func TestServiceTimesLearnAndFallBackToTheModel(t *testing.T) {
	s := NewServiceTimes()
	adapter := Target{Model: target.Model, Adapter: "a"}
	for range 50 {
		s.Observe(target, 2*time.Second)
		s.ObserveFirst(target, 100*time.Millisecond)
	}
	for _, seen := range []Target{target, adapter} {
		var e Estimate
		s.Fill(seen, &e)
		if e.MeanServiceTime != 2*time.Second || e.TotalTime < e.MeanServiceTime || e.TimeToFirstToken < 100*time.Millisecond || e.TimeToFirstToken > 110*time.Millisecond {
			t.Errorf("%v: %+v", seen, e)
		}
	}
	s.Observe(adapter, time.Minute)
	if got := s.Expected(adapter); got != time.Minute {
		t.Errorf("adapter with one sample of 1 m: expected time %v", got)
	}
	if got := s.Expected(Target{Model: "never seen"}); got != 0 {
		t.Errorf("model without samples: expected time %v, want 0", got)
	}
}
