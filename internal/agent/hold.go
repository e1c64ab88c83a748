package agent

import (
	"time"

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

// hold keeps a batch request for a sleeping model back, so that one wake serves many, and reports whether it did. The
// request runs at once when another one wakes the model.
func (c *core) hold(now time.Time, w *waiting) bool {
	t := w.request.Target
	if c.isUsable(t) || c.longestHold == 0 {
		return false
	}
	w.wakeAt = idle.HoldUntil(t.Model, now, w.request.Deadline, c.readyIn(w), idle.HoldOptions{Longest: c.longestHold})
	if !w.wakeAt.After(now) {
		return false
	}
	c.held[w.request.ID] = w
	return true
}

// wake tells the machine of a waiting request.
func (c *core) wake(now time.Time, w *waiting) []loading.Action {
	delete(c.held, w.request.ID)
	return c.stepLocked(now, loading.Demanded{
		Request:  w.request.ID,
		Model:    w.request.Target.Model,
		Adapter:  w.request.Target.Adapter,
		Deadline: w.request.Deadline,
		Class:    w.request.Class,
	})
}

// wakeDue wakes the models of the held requests whose time has come, and returns when the next one's comes. All held
// requests of such a model are told, so that it stays loaded for them.
func (c *core) wakeDue(now time.Time) ([]loading.Action, time.Time) {
	due := map[string]bool{}
	for _, w := range c.held {
		due[w.request.Target.Model] = due[w.request.Target.Model] || !w.wakeAt.After(now)
	}
	var actions []loading.Action
	var next time.Time
	for _, w := range c.held {
		if due[w.request.Target.Model] {
			actions = append(actions, c.wake(now, w)...)
		} else {
			next = earlier(next, w.wakeAt)
		}
	}
	return actions, next
}
