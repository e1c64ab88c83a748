package agent

import (
	"sync"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/loading"
	"balsamsail/internal/wire/wirepb"
)

// decision is what becomes of a waiting request: it starts, or it is refused.
type decision struct {
	refusal *admission.Refusal
	cold    bool
}

// waiting is a request in the agent's queue.
type waiting struct {
	request admission.Request
	decided chan decision
	// cold is set when the target could not run at once.
	cold bool
	// wakeAt is until when a batch request waits for others before it wakes its model.
	wakeAt time.Time
}

// newWaiting returns a request that has not been offered to the core yet.
func newWaiting(r admission.Request) *waiting {
	return &waiting{request: r, decided: make(chan decision, 1)}
}

// decide delivers the decision; only the first one counts.
func (w *waiting) decide(d decision) {
	select {
	case w.decided <- d:
	default:
	}
}

// performer carries out the machine's actions. It is called without the core's lock and must not block.
type performer interface {
	perform(actions []loading.Action)
}

// core joins the queue of waiting requests with the loading machine: one lock, no I/O.
type core struct {
	clock    clock.Clock
	perform  performer
	changed  func()
	capacity int
	// longestHold bounds how long a batch request waits for others before it wakes a model.
	longestHold time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	times   *admission.ServiceTimes
	machine *loading.Machine
	policy  IdlePolicy
	limits  map[string]int
	waiting map[string]*waiting
	// held are the waiting batch requests that the machine was not told of yet.
	held    map[string]*waiting
	running map[string]admission.Target
	busy    map[admission.Target]int
	usable  map[admission.Target]bool
	leaving bool
	up      bool
}

// newCore returns the core of an engine's agent, or of a plain service's when machine is nil.
func newCore(c clock.Clock, queue *admission.Queue, machine *loading.Machine, policy IdlePolicy, capacity int) *core {
	return &core{
		clock:    c,
		queue:    queue,
		times:    admission.NewServiceTimes(),
		machine:  machine,
		policy:   policy,
		capacity: capacity,
		limits:   map[string]int{},
		waiting:  map[string]*waiting{},
		held:     map[string]*waiting{},
		running:  map[string]admission.Target{},
		busy:     map[admission.Target]int{},
		usable:   map[admission.Target]bool{},
	}
}

// offer takes a request into the queue or refuses it at once.
func (c *core) offer(w *waiting) *admission.Refusal {
	c.mu.Lock()
	refusal, actions := c.offerLocked(w)
	c.mu.Unlock()
	c.perform.perform(actions)
	c.changed()
	return refusal
}

func (c *core) offerLocked(w *waiting) (*admission.Refusal, []loading.Action) {
	now := c.clock.Now()
	r := w.request
	if refusal := c.unavailable(r); refusal != nil {
		return refusal, nil
	}
	displaced, refusal := c.queue.Offer(now, r, c.estimate(r.Target))
	actions := c.refuseAll(displaced)
	if refusal != nil {
		c.doubt(r.Target, refusal)
		return refusal, append(actions, c.overloaded(r.Target, refusal.Reason)...)
	}
	w.cold = !c.isUsable(r.Target)
	c.waiting[r.ID] = w
	return nil, append(actions, c.demand(now, w)...)
}

// doubt lets the times of a target fade by which a request was refused although nothing runs or waits before it.
func (c *core) doubt(t admission.Target, refusal *admission.Refusal) {
	alone := c.runningOf(t) == 0 && c.queue.Waiting(t) == 0
	if alone && refusal.Reason == wirepb.RefusalReason_DEADLINE {
		c.times.Fade(t)
	}
}

// unavailable refuses a request that this endpoint cannot take whatever its queue.
func (c *core) unavailable(r admission.Request) *admission.Refusal {
	if c.leaving {
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_LEAVING, Detail: "the endpoint is leaving"}
	}
	if c.machine == nil && !c.up {
		return &admission.Refusal{
			ID:         r.ID,
			Reason:     wirepb.RefusalReason_ENDPOINT_UNREACHABLE,
			RetryAfter: time.Second,
			Detail:     "the endpoint does not answer",
		}
	}
	if c.machine == nil && r.Target.Service == "" || c.machine != nil && r.Target.Model == "" {
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_UNKNOWN_TARGET, Detail: "not served here"}
	}
	return nil
}

// cancel takes a waiting request away; it reports whether the request was still waiting, that is, certainly not run.
func (c *core) cancel(id string) bool {
	c.mu.Lock()
	_, ok := c.waiting[id]
	var actions []loading.Action
	if ok {
		actions = c.removeLocked(id)
	}
	c.mu.Unlock()
	c.perform.perform(actions)
	return ok
}

// removeLocked takes a waiting request out of the queue and its demand out of the machine.
func (c *core) removeLocked(id string) []loading.Action {
	delete(c.waiting, id)
	delete(c.held, id)
	c.queue.Remove(id)
	if c.machine == nil {
		return nil
	}
	return c.stepLocked(c.clock.Now(), loading.DemandGone{Request: id})
}

// step gives the machine an event.
func (c *core) step(e loading.Event) {
	if c.machine == nil {
		return
	}
	c.mu.Lock()
	actions := c.stepLocked(c.clock.Now(), e)
	c.mu.Unlock()
	c.perform.perform(actions)
	c.changed()
}

// stepLocked gives the machine an event, applies the actions that concern the queue and returns all of them.
func (c *core) stepLocked(now time.Time, e loading.Event) []loading.Action {
	actions := c.machine.Step(now, e)
	for _, a := range actions {
		actions = append(actions, c.applyLocked(now, a)...)
	}
	return actions
}

// applyLocked carries out an action on the queue.
func (c *core) applyLocked(now time.Time, a loading.Action) []loading.Action {
	switch a := a.(type) {
	case loading.Usable:
		target := admission.Target{Model: a.Model, Adapter: a.Adapter}
		c.usable[target] = true
		return c.pump(now)
	case loading.Unusable:
		c.setUnusable(a)
	case loading.RefuseDemand:
		c.refuseDemand(a)
	}
	return nil
}

func (c *core) setUnusable(a loading.Unusable) {
	for target := range c.usable {
		if target.Model == a.Model && (a.Adapter == "" || target.Adapter == a.Adapter) {
			delete(c.usable, target)
		}
	}
}

// refuseDemand refuses the waiting requests that an action names.
func (c *core) refuseDemand(a loading.RefuseDemand) {
	for id, w := range c.waiting {
		if !concerns(a, w.request) {
			continue
		}
		delete(c.waiting, id)
		delete(c.held, id)
		c.queue.Remove(id)
		w.decide(decision{refusal: &admission.Refusal{
			ID:         id,
			Reason:     a.Reason,
			RetryAfter: a.RetryAfter,
			Detail:     a.Detail,
		}})
	}
}

// concerns reports whether a refusal of demand is meant for a request.
func concerns(a loading.RefuseDemand, r admission.Request) bool {
	if a.Request != "" {
		return a.Request == r.ID
	}
	t := r.Target
	return t.Model == a.Model && (a.Adapter == "" || t.Adapter == a.Adapter)
}

// refuseAll delivers refusals that the queue decided and withdraws their demands.
func (c *core) refuseAll(refusals []admission.Refusal) []loading.Action {
	var actions []loading.Action
	for _, r := range refusals {
		w, ok := c.waiting[r.ID]
		if !ok {
			continue
		}
		refusal := r
		w.decide(decision{refusal: &refusal})
		actions = append(actions, c.removeLocked(r.ID)...)
		actions = append(actions, c.overloaded(w.request.Target, r.Reason)...)
	}
	return actions
}

// overloaded asks for another slot when a loaded replica has more to do than it can do in time.
func (c *core) overloaded(t admission.Target, reason wirepb.RefusalReason) []loading.Action {
	full := reason == wirepb.RefusalReason_QUEUE_FULL || reason == wirepb.RefusalReason_DEADLINE
	if c.machine == nil || !full || !c.isUsable(t) {
		return nil
	}
	return []loading.Action{loading.WantSlot{Model: t.Model, Reason: reason}}
}

// expire refuses what cannot be served in time any more and lets the machine's time pass. It returns when it is needed
// next.
func (c *core) expire() time.Time {
	c.mu.Lock()
	now := c.clock.Now()
	actions := c.refuseAll(c.queue.Expire(now, c.estimate))
	next := c.queue.Wake()
	if c.machine != nil {
		woken, wakeNext := c.wakeDue(now)
		actions = append(actions, woken...)
		actions = append(actions, c.stepLocked(now, loading.Tick{})...)
		next = earlier(next, wakeNext)
		next = earlier(next, c.machine.NextDeadline())
	}
	c.mu.Unlock()
	c.perform.perform(actions)
	return next
}

// earlier returns the earlier of two times, of which the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// leave refuses what waits and takes nothing more; what runs goes on.
func (c *core) leave() {
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		return
	}
	c.leaving = true
	actions := c.refuseAll(c.queue.Drain(wirepb.RefusalReason_LEAVING))
	if c.machine != nil {
		actions = append(actions, c.stepLocked(c.clock.Now(), loading.Leaving{})...)
	}
	c.mu.Unlock()
	c.perform.perform(actions)
	c.changed()
}

// setUp notes whether a plain service answers. What waited while it did not starts when it does again: nothing else would
// start it where nothing runs and nobody comes.
func (c *core) setUp(up bool) {
	c.mu.Lock()
	changed := c.up != up
	c.up = up
	var actions []loading.Action
	if changed && up {
		actions = c.pump(c.clock.Now())
	}
	c.mu.Unlock()
	c.perform.perform(actions)
	if changed {
		c.changed()
	}
}

// declare takes in new declarations.
func (c *core) declare(set *declarations.Set) {
	c.mu.Lock()
	c.limits = concurrencyLimits(set)
	limits := set.Limits()
	c.policy.SetWeights(limits.GetColdStartWeight(), limits.GetIdleWeight())
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(c.clock.Now(), specsOf(set))
	}
	actions = append(actions, c.pump(c.clock.Now())...)
	c.mu.Unlock()
	c.perform.perform(actions)
	c.changed()
}
