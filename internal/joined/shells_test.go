package joined

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/clock"
	"balsamsail/internal/replicas"
)

// noMetrics takes metrics and drops them.
type discardRegisterer struct{}

func (discardRegisterer) Register(prometheus.Collector) error  { return nil }
func (discardRegisterer) MustRegister(...prometheus.Collector) {}
func (discardRegisterer) Unregister(prometheus.Collector) bool { return true }

var discardLogger = slog.New(slog.DiscardHandler)

// firedTimer has fired.
type firedTimer struct{ c chan time.Time }

func newFiredTimer(now time.Time) firedTimer {
	c := make(chan time.Time, 1)
	c <- now
	return firedTimer{c}
}

func (t firedTimer) C() <-chan time.Time    { return t.c }
func (firedTimer) Stop() bool               { return false }
func (firedTimer) Reset(time.Duration) bool { return false }

// skippingClock lets a call that waits go on at once, as if the time had passed. Its time is that of the bubble, to which
// the deadlines of contexts belong as well. It implements clock.Clock.
type skippingClock struct{ skipped time.Duration }

// Now implements clock.Clock.
func (c *skippingClock) Now() time.Time { return time.Now().Add(c.skipped) }

// NewTimer implements clock.Clock.
func (c *skippingClock) NewTimer(d time.Duration) clock.Timer {
	c.skipped += max(0, d)
	return newFiredTimer(c.Now())
}

// roundClock lets a replicas.Manager do one round at a time: its timer ends the run when it is set for the next round. It
// implements clock.Clock.
type roundClock struct {
	process *process
	// started is when the process started, which the manager reads first in each run.
	started time.Time
	fresh   bool
	timers  int
	next    time.Duration
	end     context.CancelFunc
}

// Now implements clock.Clock.
func (c *roundClock) Now() time.Time {
	if c.fresh {
		c.fresh = false
		return c.started
	}
	return c.process.now()
}

// NewTimer implements clock.Clock. The first timer of a run is that between the rounds.
func (c *roundClock) NewTimer(time.Duration) clock.Timer {
	c.timers++
	if c.timers == 1 {
		return roundTimer{c}
	}
	return newFiredTimer(c.process.now())
}

type roundTimer struct{ clock *roundClock }

func (roundTimer) C() <-chan time.Time { return nil }
func (roundTimer) Stop() bool          { return false }
func (t roundTimer) Reset(d time.Duration) bool {
	t.clock.next = d
	t.clock.end()
	return false
}

// round runs one round of a manager and returns the time until the next one. The manager is woken first, so that of the
// things it waits for just one is there.
func (c *roundClock) round(m *replicas.Manager) time.Duration {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	c.fresh, c.timers, c.end = true, 0, end
	m.Notify()
	_ = m.Run(ctx)
	return c.next
}
