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

// decision is what becomes of a waiting request: it starts, or it is refused.
type decision struct{ refusal *admission.Refusal }

// waiting is a request in an agent's queue.
type waiting struct {
	request admission.Request
	decided bool
	// decide takes the first decision.
	decide func(decision)
	cold   bool
	wakeAt time.Time
}

// core joins the queue of waiting requests with the loading machine, as the agent's core does.
type core struct {
	*agent
	queue   *admission.Queue
	times   *admission.ServiceTimes
	machine *loading.Machine
	policy  *idle.Policy
	limits  map[string]int
	waiting map[string]*waiting
	held    map[string]*waiting
	running map[string]admission.Target
	busy    map[admission.Target]int
	usable  map[admission.Target]bool
	leaving bool
	up      bool
}

func newCore(a *agent, queue *admission.Queue, machine *loading.Machine, policy *idle.Policy) *core {
	return &core{
		agent: a, queue: queue, times: admission.NewServiceTimes(), machine: machine, policy: policy,
		limits: map[string]int{}, waiting: map[string]*waiting{}, held: map[string]*waiting{},
		running: map[string]admission.Target{}, busy: map[admission.Target]int{}, usable: map[admission.Target]bool{},
	}
}

func (w *waiting) settle(d decision) {
	if !w.decided {
		w.decided = true
		w.decide(d)
	}
}

// offer takes a request into the queue or refuses it at once.
func (c *core) offer(w *waiting) *admission.Refusal {
	refusal, actions := c.offerTo(w)
	c.perform(actions)
	c.stir()
	return refusal
}

func (c *core) offerTo(w *waiting) (*admission.Refusal, []loading.Action) {
	now, r := c.now(), w.request
	if refusal := c.unavailable(r); refusal != nil {
		return refusal, nil
	}
	displaced, refusal := c.queue.Offer(now, r, c.estimate(r.Target))
	actions := c.refuseAll(displaced)
	if c.w.without == guardDisplaced {
		actions = nil
	}
	if refusal != nil {
		c.doubt(r.Target, refusal)
		return refusal, actions
	}
	w.cold = !c.isUsable(r.Target)
	c.waiting[r.ID] = w
	return nil, append(actions, c.demand(now, w)...)
}

// doubt lets the estimate of a target fade by which a request is refused although nothing is before it: a single slow one
// would else have all later ones refused, and no shorter time would ever be seen.
func (c *core) doubt(t admission.Target, refusal *admission.Refusal) {
	alone := c.runningOf(t) == 0 && c.queue.Waiting(t) == 0
	if alone && refusal.Reason == wirepb.RefusalReason_DEADLINE && c.w.without != guardFade {
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

// cancel takes a waiting request away.
func (c *core) cancel(id string) {
	if c.waiting[id] != nil {
		c.perform(c.remove(id))
	}
}

func (c *core) remove(id string) []loading.Action {
	delete(c.waiting, id)
	delete(c.held, id)
	c.queue.Remove(id)
	if c.machine == nil {
		return nil
	}
	return c.stepMachine(c.now(), loading.RequestGone{Request: id})
}

// step gives the machine an event and carries out its actions.
func (c *core) step(e loading.Event) {
	if c.machine == nil {
		return
	}
	c.perform(c.stepMachine(c.now(), e))
	c.stir()
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
		return c.pump(now)
	case loading.Unusable:
		maps.DeleteFunc(c.usable, func(t admission.Target, _ bool) bool {
			return t.Model == a.Model && (a.Adapter == "" || t.Adapter == a.Adapter)
		})
	case loading.RefuseRequests:
		c.refuseRequests(a)
	}
	return nil
}

func (c *core) refuseRequests(a loading.RefuseRequests) {
	for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
		w := c.waiting[id]
		if !concerns(a, w.request) {
			continue
		}
		delete(c.waiting, id)
		delete(c.held, id)
		c.queue.Remove(id)
		w.settle(decision{refusal: &admission.Refusal{ID: id, Reason: a.Reason, RetryAfter: a.RetryAfter, Detail: a.Detail}})
	}
}

func concerns(a loading.RefuseRequests, r admission.Request) bool {
	if a.Request != "" {
		return a.Request == r.ID
	}
	return r.Target.Model == a.Model && (a.Adapter == "" || r.Target.Adapter == a.Adapter)
}

func (c *core) refuseAll(refusals []admission.Refusal) []loading.Action {
	var actions []loading.Action
	for _, r := range refusals {
		w := c.waiting[r.ID]
		if w == nil {
			continue
		}
		w.settle(decision{refusal: &r})
		actions = append(actions, c.remove(r.ID)...)
	}
	return actions
}

// expire refuses what cannot be served in time and lets the machine's time pass. It returns when it is needed next.
func (c *core) expire() time.Time {
	now := c.now()
	actions := c.refuseAll(c.queue.Expire(now, c.estimate))
	next := c.queue.NextExpiry()
	if c.machine != nil {
		woken, wakeNext := c.wakeDue(now)
		actions = append(actions, woken...)
		actions = append(actions, c.stepMachine(now, loading.Tick{})...)
		next = earlier(earlier(next, wakeNext), c.machine.NextDeadline())
	}
	c.perform(actions)
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
	if c.leaving {
		return
	}
	c.leaving = true
	actions := c.refuseAll(c.queue.Drain(wirepb.RefusalReason_LEAVING))
	if c.machine != nil {
		actions = append(actions, c.stepMachine(c.now(), loading.Leaving{})...)
	}
	c.perform(actions)
	c.stir()
}

// declare takes in new declarations.
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
	c.perform(append(actions, c.pump(c.now())...))
	c.stir()
}

// finish ends a running request.
func (c *core) finish(id string, took spent) {
	now := c.now()
	target, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.busy[target]--
	if took.first > 0 {
		c.times.ObserveFirst(target, took.first)
	}
	if took.whole > 0 {
		c.times.Observe(target, took.whole)
	}
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepMachine(now, loading.Finished{Request: id})
	}
	c.perform(append(actions, c.pump(now)...))
	c.stir()
}

// spent is how long a request ran: to its first answer bytes and to its end, 0 where it did not get there.
type spent struct{ first, whole time.Duration }

// pump starts waiting requests while their targets can run and have room.
func (c *core) pump(now time.Time) []loading.Action {
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
	w := c.waiting[r.ID]
	delete(c.waiting, r.ID)
	delete(c.held, r.ID)
	c.running[r.ID] = r.Target
	c.busy[r.Target]++
	var actions []loading.Action
	if c.machine != nil {
		actions = c.stepMachine(now, loading.Started{Request: r.ID, Model: r.Target.Model, Adapter: r.Target.Adapter})
	}
	w.settle(decision{})
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
	for other, count := range c.busy {
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
