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

// enqueueDemand reports a queued request to the loading machine, or holds a batch request, and starts requests that can
// run.
func (c *core) enqueueDemand(now time.Time, w *queuedRequest) []loading.Action {
	if c.machine == nil {
		return c.startReady(now)
	}
	if w.request.Class == wirepb.Class_BATCH && c.hold(now, w) {
		return nil
	}
	if w.request.Class != wirepb.Class_BATCH {
		c.policy.Observe(w.request.Target.Model, now)
	}
	return append(c.demandLoad(now, w), c.startReady(now)...)
}

// maxHold is the maximum time for which a batch request is held, to share a load with others.
const maxHold = 3 * time.Second

func (c *core) hold(now time.Time, w *queuedRequest) bool {
	t := w.request.Target
	if c.isUsable(t) {
		return false
	}
	options := idle.HoldOptions{MaxHold: maxHold, Margin: 2 * time.Second}
	w.loadAt = idle.HoldUntil(t.Model, now, w.request.Deadline, c.readyIn(w), options)
	if !w.loadAt.After(now) {
		return false
	}
	c.heldBatch[w.request.ID] = w
	return true
}

func (c *core) demandLoad(now time.Time, w *queuedRequest) []loading.Action {
	delete(c.heldBatch, w.request.ID)
	t := w.request.Target
	return c.stepMachine(now, loading.RequestWaiting{
		Request: w.request.ID, Model: t.Model, Adapter: t.Adapter, Deadline: w.request.Deadline, Class: w.request.Class,
	})
}

func (c *core) releaseDue(now time.Time) ([]loading.Action, time.Time) {
	due := map[string]bool{}
	for _, w := range c.heldBatch {
		due[w.request.Target.Model] = due[w.request.Target.Model] || !w.loadAt.After(now)
	}
	var actions []loading.Action
	var next time.Time
	for _, id := range slices.Sorted(maps.Keys(c.heldBatch)) {
		w := c.heldBatch[id]
		switch {
		case w == nil:
		case due[w.request.Target.Model]:
			actions = append(actions, c.demandLoad(now, w)...)
		default:
			next = earlier(next, w.loadAt)
		}
	}
	return actions, next
}

// readyIn returns the expected time until a request's target is usable, 0 if it is usable now or the time is unknown.
func (c *core) readyIn(w *queuedRequest) time.Duration {
	if !w.cold || c.machine == nil {
		return 0
	}
	at, known := c.machine.ReadyAt(w.request.Target.Model, w.request.Target.Adapter, w.request.Deadline)
	if !known {
		return 0
	}
	return max(0, at.Sub(c.now()))
}

// load returns the endpoint's load for answers and reports.
func (c *core) load(t admission.Target) *wirepb.Load {
	wait := time.Duration(0)
	if t != (admission.Target{}) {
		wait = c.queue.Wait(t, wirepb.Class_INTERACTIVE, c.estimate(t))
	}
	return &wirepb.Load{Running: int32(len(c.running)), Queued: int32(c.queue.Len()), WaitMicros: wait.Microseconds()}
}
