package agent

import (
	"time"

	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/wire/wirepb"
)

// enqueueDemand reports a queued request to the machine, unless it is held, and dispatches what can run.
func (c *core) enqueueDemand(now time.Time, w *pendingRequest) []loading.Action {
	if c.machine == nil {
		return c.dispatch(now)
	}
	if w.request.Class == wirepb.Class_BATCH && c.holdBatch(now, w) {
		return nil
	}
	if w.request.Class != wirepb.Class_BATCH {
		c.policy.Observe(w.request.Target.Model, now)
	}
	return append(c.reportDemand(now, w), c.dispatch(now)...)
}

// holdBatch holds a batch request for a model that is not loaded, so that one load serves several requests, and reports
// whether it did. A held request is dispatched as soon as another request gets the model loaded.
func (c *core) holdBatch(now time.Time, w *pendingRequest) bool {
	t := w.request.Target
	if c.isUsable(t) || c.maxBatchHold == 0 {
		return false
	}
	w.holdUntil = idle.HoldUntil(t.Model, now, w.request.Deadline, c.timeToReady(w), idle.HoldOptions{MaxHold: c.maxBatchHold})
	if !w.holdUntil.After(now) {
		return false
	}
	c.held[w.request.ID] = w
	return true
}

// reportDemand reports a waiting request to the machine.
func (c *core) reportDemand(now time.Time, w *pendingRequest) []loading.Action {
	delete(c.held, w.request.ID)
	return c.stepLocked(now, loading.RequestWaiting{
		Request:  w.request.ID,
		Model:    w.request.Target.Model,
		Adapter:  w.request.Target.Adapter,
		Deadline: w.request.Deadline,
		Class:    w.request.Class,
	})
}

// releaseHeld reports the held requests of every model for which one is due to the machine, and returns when the next
// one is due. All held requests of such a model are reported, so that the model stays loaded for them.
func (c *core) releaseHeld(now time.Time) ([]loading.Action, time.Time) {
	due := map[string]bool{}
	for _, w := range c.held {
		due[w.request.Target.Model] = due[w.request.Target.Model] || !w.holdUntil.After(now)
	}
	var actions []loading.Action
	var next time.Time
	for _, w := range c.held {
		if due[w.request.Target.Model] {
			actions = append(actions, c.reportDemand(now, w)...)
		} else {
			next = earlier(next, w.holdUntil)
		}
	}
	return actions, next
}
