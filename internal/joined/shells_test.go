package joined

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/clock"
	"balsamsail/internal/replicas"
)

// discardRegisterer is a prometheus.Registerer that registers nothing.
type discardRegisterer struct{}

func (discardRegisterer) Register(prometheus.Collector) error  { return nil }
func (discardRegisterer) MustRegister(...prometheus.Collector) {}
func (discardRegisterer) Unregister(prometheus.Collector) bool { return true }

var discardLogger = slog.New(slog.DiscardHandler)

// firedTimer is a clock.Timer that has already fired.
type firedTimer struct{ c chan time.Time }

func newFiredTimer(now time.Time) firedTimer {
	c := make(chan time.Time, 1)
	c <- now
	return firedTimer{c}
}

func (t firedTimer) C() <-chan time.Time    { return t.c }
func (firedTimer) Stop() bool               { return false }
func (firedTimer) Reset(time.Duration) bool { return false }

// skippingClock is a clock.Clock whose timers fire at once and advance it by their duration. It is based on the time of the
// synctest bubble, which the deadlines of contexts use too.
type skippingClock struct{ skipped time.Duration }

// Now implements clock.Clock.
func (c *skippingClock) Now() time.Time { return time.Now().Add(c.skipped) }

// NewTimer implements clock.Clock.
func (c *skippingClock) NewTimer(d time.Duration) clock.Timer {
	c.skipped += max(0, d)
	return newFiredTimer(c.Now())
}

// roundClock is a clock.Clock that lets a replicas.Manager run one round at a time: the manager's Run is ended when it sets
// the timer for the next round.
type roundClock struct {
	process *process
	// started is the start time of the process, which the manager reads first in each run.
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

// NewTimer implements clock.Clock. The first timer of a run is the one between rounds.
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

// round runs one round of a manager and returns the time until the next one. The manager is notified before, so that
// exactly one of the events for which it waits is pending.
func (c *roundClock) round(m *replicas.Manager) time.Duration {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	c.fresh, c.timers, c.end = true, 0, end
	m.Notify()
	_ = m.Run(ctx)
	return c.next
}
