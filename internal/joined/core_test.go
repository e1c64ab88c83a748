package joined

import (
	"maps"
	"slices"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/declarations"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/wire/wirepb"
)

// decision is the queue's decision on a request: it starts, or it is refused.
type decision struct{ refusal *admission.Refusal }

// queuedRequest is a request in an agent's queue.
type queuedRequest struct {
	request admission.Request
	decided bool
	// decide is called with the first decision.
	decide func(decision)
	cold   bool
	loadAt time.Time
}

// core connects the request queue with the loading machine, like the core of package agent.
type core struct {
	*agent
	queue        *admission.Queue
	times        *admission.ServiceTimes
	machine      *loading.Machine
	policy       *idle.Policy
	limits       map[string]int
	queued       map[string]*queuedRequest
	heldBatch    map[string]*queuedRequest
	running      map[string]admission.Target
	runningCount map[admission.Target]int
	usable       map[admission.Target]bool
	leaving      bool
	up           bool
}

func newCore(a *agent, queue *admission.Queue, machine *loading.Machine, policy *idle.Policy) *core {
	return &core{
		agent: a, queue: queue, times: admission.NewServiceTimes(), machine: machine, policy: policy,
		limits: map[string]int{}, queued: map[string]*queuedRequest{}, heldBatch: map[string]*queuedRequest{},
		running: map[string]admission.Target{}, runningCount: map[admission.Target]int{}, usable: map[admission.Target]bool{},
	}
}

func (w *queuedRequest) resolve(d decision) {
	if !w.decided {
		w.decided = true
		w.decide(d)
	}
}

// offer queues a request or returns a refusal.
func (c *core) offer(w *queuedRequest) *admission.Refusal {
	refusal, actions := c.enqueue(w)
	c.perform(actions)
	c.scheduleWrites()
	return refusal
}

func (c *core) enqueue(w *queuedRequest) (*admission.Refusal, []loading.Action) {
	now, r := c.now(), w.request
	if refusal := c.unavailable(r); refusal != nil {
		return refusal, nil
	}
	displaced, refusal := c.queue.Offer(now, r, c.estimate(r.Target))
	actions := c.refuseAll(displaced)
	if c.w.disabledGuard == guardDisplacedActions {
		actions = nil
	}
	if refusal != nil {
		c.fadeEstimate(r.Target, refusal)
		return refusal, actions
	}
	w.cold = !c.isUsable(r.Target)
	c.queued[r.ID] = w
	return nil, append(actions, c.enqueueDemand(now, w)...)
}

// fadeEstimate fades a target's service time estimate if it causes a refusal although the target is idle. Otherwise a
// single slow request could cause the refusal of all later ones, and no shorter time would ever be observed.
func (c *core) fadeEstimate(t admission.Target, refusal *admission.Refusal) {
	alone := c.runningOf(t) == 0 && c.queue.Waiting(t) == 0
	if alone && refusal.Reason == wirepb.RefusalReason_DEADLINE && c.w.disabledGuard != guardEstimateFade {
		c.times.Decay(t)
	}
}

func (c *core) unavailable(r admission.Request) *admission.Refusal {
	switch {
	case c.leaving:
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_LEAVING}
	case c.machine == nil && !c.up:
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_ENDPOINT_UNREACHABLE, RetryAfter: time.Second}
	case c.machine == nil && r.Target.Service == "" || c.machine != nil && r.Target.Model == "":
		return &admission.Refusal{ID: r.ID, Reason: wirepb.RefusalReason_UNKNOWN_TARGET}
	}
	return nil
}

// cancel removes a waiting request.
func (c *core) cancel(id string) {
	if c.queued[id] != nil {
		c.perform(c.remove(id))
	}
}

func (c *core) remove(id string) []loading.Action {
	delete(c.queued, id)
	delete(c.heldBatch, id)
	c.queue.Remove(id)
	if c.machine == nil {
		return nil
	}
	return c.stepMachine(c.now(), loading.RequestGone{Request: id})
}

// step passes an event to the loading machine and performs its actions.
func (c *core) step(e loading.Event) {
	if c.machine == nil {
		return
	}
	c.perform(c.stepMachine(c.now(), e))
	c.scheduleWrites()
}

func (c *core) stepMachine(now time.Time, e loading.Event) []loading.Action {
	actions := c.machine.Step(now, e)
	if _, tick := e.(loading.Tick); !tick || len(actions) > 0 {
		c.logf("%s %T%+v", c.name, e, e)
	}
	for _, a := range actions {
		c.logf("    -> %T%+v", a, a)
	}
	for _, a := range actions {
		actions = append(actions, c.apply(now, a)...)
	}
	return actions
}

func (c *core) apply(now time.Time, a loading.Action) []loading.Action {
	switch a := a.(type) {
	case loading.Usable:
		c.usable[admission.Target{Model: a.Model, Adapter: a.Adapter}] = true
		return c.startReady(now)
	case loading.Unusable:
		maps.DeleteFunc(c.usable, func(t admission.Target, _ bool) bool {
			return t.Model == a.Model && (a.Adapter == "" || t.Adapter == a.Adapter)
		})
	case loading.RefuseRequests:
		c.refuseDemand(a)
	}
	return nil
}

func (c *core) refuseDemand(a loading.RefuseRequests) {
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		w := c.queued[id]
		if !refusalMatches(a, w.request) {
			continue
		}
		delete(c.queued, id)
		delete(c.heldBatch, id)
		c.queue.Remove(id)
		w.resolve(decision{refusal: &admission.Refusal{ID: id, Reason: a.Reason, RetryAfter: a.RetryAfter, Detail: a.Detail}})
	}
}

func refusalMatches(a loading.RefuseRequests, r admission.Request) bool {
	if a.Request != "" {
		return a.Request == r.ID
	}
	return r.Target.Model == a.Model && (a.Adapter == "" || r.Target.Adapter == a.Adapter)
}

func (c *core) refuseAll(refusals []admission.Refusal) []loading.Action {
	var actions []loading.Action
	for _, r := range refusals {
		w := c.queued[r.ID]
		if w == nil {
			continue
		}
		w.resolve(decision{refusal: &r})
		actions = append(actions, c.remove(r.ID)...)
	}
	return actions
}

// expire refuses requests that cannot be served in time and ticks the loading machine. It returns when it must run next.
func (c *core) expire() time.Time {
	now := c.now()
	actions := c.refuseAll(c.queue.Expire(now, c.estimate))
	next := c.queue.NextExpiry()
	if c.machine != nil {
		woken, wakeNext := c.releaseDue(now)
		actions = append(actions, woken...)
		actions = append(actions, c.stepMachine(now, loading.Tick{})...)
		next = earlier(earlier(next, wakeNext), c.machine.NextDeadline())
	}
	c.perform(actions)
	return next
}

// earlier returns the earlier of two times; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// leave refuses the waiting requests and all new ones. Running requests continue.
func (c *core) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	actions := c.refuseAll(c.queue.Drain(wirepb.RefusalReason_LEAVING))
	if c.machine != nil {
		actions = append(actions, c.stepMachine(c.now(), loading.Leaving{})...)
	}
	c.perform(actions)
	c.scheduleWrites()
}

// declare applies new declarations.
func (c *core) declare(set *declarations.Set) {
	specs := loading.SpecsChanged{}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			name := declarations.ModelVersion(m.Name, version)
			c.limits[name] = int(m.MaxConcurrency)
			specs.Models = append(specs.Models, loading.ModelSpec{
				Model: name, MemoryBytes: m.MemoryBytes, KVFloorBytes: m.KvFloorBytes, WarmReplicas: int(m.WarmReplicas),
				ExpectedLoad: time.Duration(m.LoadMillis) * time.Millisecond,
			})
		}
	}
	for _, d := range set.Adapters() {
		specs.Adapters = append(specs.Adapters, loading.AdapterSpec{
			Adapter: d.Name, Model: declarations.ModelVersion(d.Model, d.Version), MemoryBytes: d.MemoryBytes,
		})
	}
	for _, s := range set.Services() {
		c.limits[s.Name] = int(s.MaxConcurrency)
	}
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepMachine(c.now(), specs)
	}
	c.perform(append(actions, c.startReady(c.now())...))
	c.scheduleWrites()
}

// finish records the end of a running request.
func (c *core) finish(id string, d durations) {
	now := c.now()
	target, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.runningCount[target]--
	if d.firstByte > 0 {
		c.times.ObserveFirst(target, d.firstByte)
	}
	if d.whole > 0 {
		c.times.Observe(target, d.whole)
	}
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepMachine(now, loading.Finished{Request: id})
	}
	c.perform(append(actions, c.startReady(now)...))
	c.scheduleWrites()
}

// durations are a request's times to the first answer byte and to the end, 0 if it did not get there.
type durations struct{ firstByte, whole time.Duration }

// startReady starts waiting requests whose targets are usable and below their concurrency limit.
func (c *core) startReady(now time.Time) []loading.Action {
	var actions []loading.Action
	for {
		r, expired, ok := c.queue.NextAny(now, c.startable)
		actions = append(actions, c.refuseAll(expired)...)
		if !ok {
			return actions
		}
		actions = append(actions, c.startRequest(now, r)...)
	}
}

func (c *core) startable(t admission.Target) (admission.Estimate, bool) {
	if !c.isUsable(t) || c.runningOf(t) >= c.limit(t) {
		return admission.Estimate{}, false
	}
	return c.estimate(t), true
}

func (c *core) startRequest(now time.Time, r admission.Request) []loading.Action {
	w := c.queued[r.ID]
	delete(c.queued, r.ID)
	delete(c.heldBatch, r.ID)
	c.running[r.ID] = r.Target
	c.runningCount[r.Target]++
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepMachine(now, loading.Started{Request: r.ID, Model: r.Target.Model, Adapter: r.Target.Adapter})
	}
	w.resolve(decision{})
	return actions
}

func (c *core) isUsable(t admission.Target) bool {
	if c.machine == nil {
		return c.up
	}
	return c.usable[t]
}

func (c *core) limit(t admission.Target) int {
	if limit := c.limits[t.Model+t.Service]; limit > 0 {
		return limit
	}
	return 2
}

func (c *core) runningOf(t admission.Target) int {
	n := 0
	for other, count := range c.runningCount {
		if other.Model == t.Model && other.Service == t.Service {
			n += count
		}
	}
	return n
}

func (c *core) estimate(t admission.Target) admission.Estimate {
	e := admission.Estimate{Ready: c.isUsable(t), Concurrency: c.limit(t), Running: c.runningOf(t)}
	c.times.Fill(t, &e)
	return e
}
