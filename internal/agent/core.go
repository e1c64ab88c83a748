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

// decision is the outcome for a waiting request: it starts, or it is refused.
type decision struct {
	refusal *admission.Refusal
	cold    bool
}

// pendingRequest is a request in the agent's queue.
type pendingRequest struct {
	request admission.Request
	decided chan decision
	// cold is set when the target could not run at once.
	cold bool
	// holdUntil is when a held batch request is reported to the machine at the latest, so that its model is loaded.
	holdUntil time.Time
}

// newPendingRequest returns a request that has not been offered to the core yet.
func newPendingRequest(r admission.Request) *pendingRequest {
	return &pendingRequest{request: r, decided: make(chan decision, 1)}
}

// deliver hands the decision to the exchange; only the first one counts.
func (w *pendingRequest) deliver(d decision) {
	select {
	case w.decided <- d:
	default:
	}
}

// actionExecutor executes the machine's actions. It is called without the core's lock and must not block.
type actionExecutor interface {
	execute(actions []loading.Action)
}

// core combines the queue of waiting requests with the loading machine under one lock, without I/O.
type core struct {
	clock    clock.Clock
	executor actionExecutor
	onChange func()
	capacity int
	// maxBatchHold is the longest time a batch request is held so that one load serves several requests.
	maxBatchHold time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	times   *admission.ServiceTimes
	machine *loading.Machine
	policy  IdlePolicy
	limits  map[string]int
	waiting map[string]*pendingRequest
	// held are the waiting batch requests that have not been reported to the machine yet.
	held            map[string]*pendingRequest
	running         map[string]admission.Target
	runningByTarget map[admission.Target]int
	usable          map[admission.Target]bool
	leaving         bool
	serviceUp       bool
}

// newCore returns the core of an engine's agent, or of a plain service's agent when machine is nil.
func newCore(c clock.Clock, queue *admission.Queue, machine *loading.Machine, policy IdlePolicy, capacity int) *core {
	return &core{
		clock:           c,
		queue:           queue,
		times:           admission.NewServiceTimes(),
		machine:         machine,
		policy:          policy,
		capacity:        capacity,
		limits:          map[string]int{},
		waiting:         map[string]*pendingRequest{},
		held:            map[string]*pendingRequest{},
		running:         map[string]admission.Target{},
		runningByTarget: map[admission.Target]int{},
		usable:          map[admission.Target]bool{},
	}
}

// offer queues a request or refuses it at once.
func (c *core) offer(w *pendingRequest) *admission.Refusal {
	c.mu.Lock()
	refusal, actions := c.offerLocked(w)
	c.mu.Unlock()
	c.executor.execute(actions)
	c.onChange()
	return refusal
}

func (c *core) offerLocked(w *pendingRequest) (*admission.Refusal, []loading.Action) {
	now := c.clock.Now()
	r := w.request
	if refusal := c.checkAvailable(r); refusal != nil {
		return refusal, nil
	}
	displaced, refusal := c.queue.Offer(now, r, c.estimate(r.Target))
	actions := c.refuseAll(displaced)
	if refusal != nil {
		c.decayServiceTimes(r.Target, refusal)
		return refusal, append(actions, c.wantSlotIfOverloaded(r.Target, refusal.Reason)...)
	}
	w.cold = !c.isUsable(r.Target)
	c.waiting[r.ID] = w
	return nil, append(actions, c.enqueueDemand(now, w)...)
}

// decayServiceTimes lowers the observed service times of a target when a request is refused for its deadline although
// nothing runs or waits ahead of it. Without new requests nothing else would correct an outdated estimate.
func (c *core) decayServiceTimes(t admission.Target, refusal *admission.Refusal) {
	alone := c.runningOf(t) == 0 && c.queue.Waiting(t) == 0
	if alone && refusal.Reason == wirepb.RefusalReason_DEADLINE {
		c.times.Decay(t)
	}
}

// checkAvailable returns a refusal for a request that this endpoint cannot take whatever the state of its queue,
// otherwise nil.
func (c *core) checkAvailable(r admission.Request) *admission.Refusal {
	if c.leaving {
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_LEAVING, Detail: "the endpoint is leaving"}
	}
	if c.machine == nil && !c.serviceUp {
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

// cancel removes a waiting request. It reports whether the request was still waiting and thus was certainly not run.
func (c *core) cancel(id string) bool {
	c.mu.Lock()
	_, ok := c.waiting[id]
	var actions []loading.Action
	if ok {
		actions = c.removeLocked(id)
	}
	c.mu.Unlock()
	c.executor.execute(actions)
	return ok
}

// removeLocked removes a waiting request from the queue and its demand from the machine.
func (c *core) removeLocked(id string) []loading.Action {
	delete(c.waiting, id)
	delete(c.held, id)
	c.queue.Remove(id)
	if c.machine == nil {
		return nil
	}
	return c.stepLocked(c.clock.Now(), loading.RequestGone{Request: id})
}

// step passes an event to the machine and executes the resulting actions.
func (c *core) step(e loading.Event) {
	if c.machine == nil {
		return
	}
	c.mu.Lock()
	actions := c.stepLocked(c.clock.Now(), e)
	c.mu.Unlock()
	c.executor.execute(actions)
	c.onChange()
}

// stepLocked passes an event to the machine, applies the actions that concern the queue and returns all of them.
func (c *core) stepLocked(now time.Time, e loading.Event) []loading.Action {
	actions := c.machine.Step(now, e)
	for _, a := range actions {
		actions = append(actions, c.applyLocked(now, a)...)
	}
	return actions
}

// applyLocked applies an action to the queue.
func (c *core) applyLocked(now time.Time, a loading.Action) []loading.Action {
	switch a := a.(type) {
	case loading.Usable:
		target := admission.Target{Model: a.Model, Adapter: a.Adapter}
		c.usable[target] = true
		return c.dispatch(now)
	case loading.Unusable:
		c.setUnusable(a)
	case loading.RefuseRequests:
		c.refuseRequests(a)
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

// refuseRequests refuses the waiting requests that match an action.
func (c *core) refuseRequests(a loading.RefuseRequests) {
	for id, w := range c.waiting {
		if !refusalMatches(a, w.request) {
			continue
		}
		delete(c.waiting, id)
		delete(c.held, id)
		c.queue.Remove(id)
		w.deliver(decision{refusal: &admission.Refusal{
			ID:         id,
			Reason:     a.Reason,
			RetryAfter: a.RetryAfter,
			Detail:     a.Detail,
		}})
	}
}

// refusalMatches reports whether a refusal of demand applies to a request.
func refusalMatches(a loading.RefuseRequests, r admission.Request) bool {
	if a.Request != "" {
		return a.Request == r.ID
	}
	t := r.Target
	return t.Model == a.Model && (a.Adapter == "" || t.Adapter == a.Adapter)
}

// refuseAll delivers the refusals decided by the queue and withdraws the demand of the refused requests.
func (c *core) refuseAll(refusals []admission.Refusal) []loading.Action {
	var actions []loading.Action
	for _, r := range refusals {
		w, ok := c.waiting[r.ID]
		if !ok {
			continue
		}
		refusal := r
		w.deliver(decision{refusal: &refusal})
		actions = append(actions, c.removeLocked(r.ID)...)
		actions = append(actions, c.wantSlotIfOverloaded(w.request.Target, r.Reason)...)
	}
	return actions
}

// wantSlotIfOverloaded asks for another slot when a loaded replica refused a request because it is at capacity.
func (c *core) wantSlotIfOverloaded(t admission.Target, reason wirepb.RefusalReason) []loading.Action {
	full := reason == wirepb.RefusalReason_QUEUE_FULL || reason == wirepb.RefusalReason_DEADLINE
	if c.machine == nil || !full || !c.isUsable(t) {
		return nil
	}
	return []loading.Action{loading.WantSlot{Model: t.Model, Reason: reason}}
}

// expire refuses requests that can no longer meet their deadlines, releases held batch requests and ticks the machine.
// It returns when it must be called next; the zero time means that nothing is scheduled.
func (c *core) expire() time.Time {
	c.mu.Lock()
	now := c.clock.Now()
	actions := c.refuseAll(c.queue.Expire(now, c.estimate))
	next := c.queue.NextExpiry()
	if c.machine != nil {
		released, nextRelease := c.releaseHeld(now)
		actions = append(actions, released...)
		actions = append(actions, c.stepLocked(now, loading.Tick{})...)
		next = earlier(next, nextRelease)
		next = earlier(next, c.machine.NextDeadline())
	}
	c.mu.Unlock()
	c.executor.execute(actions)
	return next
}

// earlier returns the earlier of two times, where the zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// leave refuses all waiting and later requests; running requests continue.
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
	c.executor.execute(actions)
	c.onChange()
}

// setServiceUp records whether a plain service is up. When it comes up again, requests that waited meanwhile are
// dispatched here, because nothing else would dispatch them if no request runs or arrives.
func (c *core) setServiceUp(up bool) {
	c.mu.Lock()
	changed := c.serviceUp != up
	c.serviceUp = up
	var actions []loading.Action
	if changed && up {
		actions = c.dispatch(c.clock.Now())
	}
	c.mu.Unlock()
	c.executor.execute(actions)
	if changed {
		c.onChange()
	}
}

// declare applies new declarations.
func (c *core) declare(set *declarations.Set) {
	c.mu.Lock()
	c.limits = concurrencyLimits(set)
	limits := set.Limits()
	c.policy.SetWeights(limits.GetColdStartWeight(), limits.GetIdleWeight())
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepLocked(c.clock.Now(), loadingSpecs(set))
	}
	actions = append(actions, c.dispatch(c.clock.Now())...)
	c.mu.Unlock()
	c.executor.execute(actions)
	c.onChange()
}
