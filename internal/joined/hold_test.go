package joined

import (
	"maps"
	"slices"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/wire/wirepb"
)

// demand tells the machine of a waiting request and starts what can run.
func (c *core) demand(now time.Time, w *waiting) []loading.Action {
	if c.machine == nil {
		return c.pump(now)
	}
	if w.request.Class == wirepb.Class_BATCH && c.hold(now, w) {
		return nil
	}
	if w.request.Class != wirepb.Class_BATCH {
		c.policy.Observe(w.request.Target.Model, now)
	}
	return append(c.wake(now, w), c.pump(now)...)
}

// longestHold bounds how long a batch request waits for others before it wakes a model.
const longestHold = 3 * time.Second

func (c *core) hold(now time.Time, w *waiting) bool {
	t := w.request.Target
	if c.isUsable(t) {
		return false
	}
	options := idle.HoldOptions{MaxHold: longestHold, Margin: 2 * time.Second}
	w.wakeAt = idle.HoldUntil(t.Model, now, w.request.Deadline, c.readyIn(w), options)
	if !w.wakeAt.After(now) {
		return false
	}
	c.held[w.request.ID] = w
	return true
}

func (c *core) wake(now time.Time, w *waiting) []loading.Action {
	delete(c.held, w.request.ID)
	t := w.request.Target
	return c.stepMachine(now, loading.RequestWaiting{
		Request: w.request.ID, Model: t.Model, Adapter: t.Adapter, Deadline: w.request.Deadline, Class: w.request.Class,
	})
}

func (c *core) wakeDue(now time.Time) ([]loading.Action, time.Time) {
	due := map[string]bool{}
	for _, w := range c.held {
		due[w.request.Target.Model] = due[w.request.Target.Model] || !w.wakeAt.After(now)
	}
	var actions []loading.Action
	var next time.Time
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		w := c.held[id]
		switch {
		case w == nil:
		case due[w.request.Target.Model]:
			actions = append(actions, c.wake(now, w)...)
		default:
			next = earlier(next, w.wakeAt)
		}
	}
	return actions, next
}

// readyIn is the expected time until a request's target can run, 0 when it can now or nothing is known.
func (c *core) readyIn(w *waiting) time.Duration {
	if !w.cold || c.machine == nil {
		return 0
	}
	at, known := c.machine.ReadyAt(w.request.Target.Model, w.request.Target.Adapter, w.request.Deadline)
	if !known {
		return 0
	}
	return max(0, at.Sub(c.now()))
}

// load is what answers and reports say of the endpoint's load.
func (c *core) load(t admission.Target) *wirepb.Load {
	wait := time.Duration(0)
	if t != (admission.Target{}) {
		wait = c.queue.Wait(t, wirepb.Class_INTERACTIVE, c.estimate(t))
	}
	return &wirepb.Load{Running: int32(len(c.running)), Queued: int32(c.queue.Len()), WaitMicros: wait.Microseconds()}
}
