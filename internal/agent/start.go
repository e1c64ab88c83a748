package agent

import (
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/loading"
)

// spent is how long a request ran: to its first answer bytes and to its end, 0 where it did not get there.
type spent struct{ first, whole time.Duration }

// finish ends a running request.
func (c *core) finish(id string, took spent) {
	c.mu.Lock()
	now := c.clock.Now()
	target, ok := c.running[id]
	if !ok {
		c.mu.Unlock()
		return
	}
	delete(c.running, id)
	c.busy[target]--
	if c.busy[target] == 0 {
		delete(c.busy, target)
	}
	c.learn(target, took)
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(now, loading.Finished{Request: id})
	}
	actions = append(actions, c.pump(now)...)
	c.mu.Unlock()
	c.perform.perform(actions)
	c.changed()
}

// learn notes how long a request of a target ran.
func (c *core) learn(t admission.Target, took spent) {
	if took.first > 0 {
		c.times.ObserveFirst(t, took.first)
	}
	if took.whole > 0 {
		c.times.Observe(t, took.whole)
	}
}

// pump starts waiting requests, the most urgent first, while their targets can run and have room.
func (c *core) pump(now time.Time) []loading.Action {
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

// startable tells the queue whether a target's next request may start now.
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
	c.busy[r.Target]++
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(now, loading.Started{Request: r.ID, Model: r.Target.Model, Adapter: r.Target.Adapter})
	}
	w.decide(decision{cold: w.cold})
	return actions
}

func (c *core) isUsable(t admission.Target) bool {
	if c.machine == nil {
		return c.up
	}
	return c.usable[t]
}

// hasRoom reports whether one more request of the target may run. Requests with and without adapters share the
// replica's batch.
func (c *core) hasRoom(t admission.Target) bool { return c.runningOf(t) < c.limit(t) }

// limit is how many requests run at once at the target's replica or service.
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

// runningOf counts the requests that run at the target's replica or service.
func (c *core) runningOf(t admission.Target) int {
	n := 0
	for other, count := range c.busy {
		if other.Model == t.Model && other.Service == t.Service {
			n += count
		}
	}
	return n
}
