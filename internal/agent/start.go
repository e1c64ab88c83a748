package agent

import (
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/loading"
)

// serviceTime is how long a request ran until the first bytes of its response and until its end. A value of 0 means
// that it did not get that far.
type serviceTime struct{ firstByte, total time.Duration }

// finish removes a running request and dispatches waiting ones.
func (c *core) finish(id string, took serviceTime) {
	c.mu.Lock()
	now := c.clock.Now()
	target, ok := c.running[id]
	if !ok {
		c.mu.Unlock()
		return
	}
	delete(c.running, id)
	c.runningByTarget[target]--
	if c.runningByTarget[target] == 0 {
		delete(c.runningByTarget, target)
	}
	c.recordServiceTime(target, took)
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(now, loading.Finished{Request: id})
	}
	actions = append(actions, c.dispatch(now)...)
	c.mu.Unlock()
	c.executor.execute(actions)
	c.onChange()
}

// recordServiceTime records how long a request of a target ran.
func (c *core) recordServiceTime(t admission.Target, took serviceTime) {
	if took.firstByte > 0 {
		c.times.ObserveFirst(t, took.firstByte)
	}
	if took.total > 0 {
		c.times.Observe(t, took.total)
	}
}

// dispatch starts waiting requests, the most urgent first, while their targets are usable and below their concurrency
// limits.
func (c *core) dispatch(now time.Time) []loading.Action {
	var actions []loading.Action
	for {
		r, expired, ok := c.queue.NextAny(now, c.startable)
		actions = append(actions, c.refuseAll(expired)...)
		if !ok {
			return actions
		}
		actions = append(actions, c.startLocked(now, r)...)
	}
}

// startable reports whether the target's next request may start now, with the estimate that the queue needs.
func (c *core) startable(t admission.Target) (admission.Estimate, bool) {
	if !c.isUsable(t) || !c.hasRoom(t) {
		return admission.Estimate{}, false
	}
	return c.estimate(t), true
}

// startLocked moves a request from waiting to running.
func (c *core) startLocked(now time.Time, r admission.Request) []loading.Action {
	w := c.waiting[r.ID]
	delete(c.waiting, r.ID)
	delete(c.held, r.ID)
	c.running[r.ID] = r.Target
	c.runningByTarget[r.Target]++
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(now, loading.Started{Request: r.ID, Model: r.Target.Model, Adapter: r.Target.Adapter})
	}
	w.deliver(decision{cold: w.cold})
	return actions
}

func (c *core) isUsable(t admission.Target) bool {
	if c.machine == nil {
		return c.serviceUp
	}
	return c.usable[t]
}

// hasRoom reports whether one more request of the target may run. Requests with and without adapters share the
// replica's batch.
func (c *core) hasRoom(t admission.Target) bool { return c.runningOf(t) < c.limit(t) }

// limit returns the concurrency limit of the target's replica or service.
func (c *core) limit(t admission.Target) int {
	name := t.Model
	if t.Service != "" {
		name = t.Service
	}
	if limit := c.limits[name]; limit > 0 {
		return limit
	}
	return c.capacity
}

// runningOf counts the running requests of the target's replica or service.
func (c *core) runningOf(t admission.Target) int {
	n := 0
	for other, count := range c.runningByTarget {
		if other.Model == t.Model && other.Service == t.Service {
			n += count
		}
	}
	return n
}
