package trace

import (
	"math"
	"slices"
	"time"

	"balsamsail/internal/loading"
)

// firstToken is the wait for the first token of a loaded model.
const firstToken = 300 * time.Millisecond

// Hold says until when a batch request for a cold model may wait for company before it wakes the model.
type Hold func(model string, now, deadline time.Time, coldStart time.Duration) time.Time

// Prewarmer is an IdlePolicy that also loads models ahead of a request it expects.
type Prewarmer interface {
	// Prewarm returns when to load a model that was dropped, zero for never, and until when to keep it then.
	Prewarm(model string, now time.Time, coldStart time.Duration, memoryShare float64) (at, until time.Time)
}

// Result is what a replay came to.
type Result struct {
	// Waits are the waits for the first token of the interactive requests, in ascending order.
	Waits []time.Duration
	// ColdRequests are the interactive requests that waited for a load, ColdWait the sum of their waits for it.
	ColdRequests int
	ColdWait     time.Duration
	// Wakes are all loads, BatchWakes those that a batch request caused.
	Wakes, BatchWakes int
	// IdleSeconds are the accelerator seconds in which a model was held without serving, weighted by its memory share.
	IdleSeconds float64
	// BatchLate are the batch requests that ended after their deadline.
	BatchLate int
}

// Percentile returns the nearest-rank percentile of the waits for the first token.
func (r Result) Percentile(p float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(math.Ceil(p*float64(len(r.Waits)))) - 1
	return r.Waits[max(0, i)]
}

// Cost weighs the seconds that callers waited for loads against idle accelerator seconds.
func (r Result) Cost(coldStartWeight, idleWeight float64) float64 {
	return coldStartWeight*r.ColdWait.Seconds() + idleWeight*r.IdleSeconds
}

// replica is the state of a model's only replica in a replay.
type replica struct {
	// readyAt is when the last load ended, freeAt when the last work ends, dropAt when the replica is dropped after that.
	readyAt, freeAt, dropAt time.Time
	loaded                  bool
	// warmAt and warmUntil bound the next load ahead of demand; zero for none.
	warmAt, warmUntil time.Time
	// held are batch requests that wait for company until wakeAt.
	held   []Request
	wakeAt time.Time
}

// replayer holds the state of one replay.
type replayer struct {
	trace    *Trace
	epoch    time.Time
	policy   loading.IdlePolicy
	hold     Hold
	replicas []replica
	result   Result
}

// Replay plays a trace through a policy with one replica of each model and no limit of memory or of the weight store. A
// nil hold wakes cold models for batch requests at once.
func Replay(t *Trace, epoch time.Time, policy loading.IdlePolicy, hold Hold) Result {
	r := &replayer{trace: t, epoch: epoch, policy: policy, hold: hold, replicas: make([]replica, len(t.Models))}
	for _, req := range t.Requests {
		now := epoch.Add(req.At)
		r.catchUp(req.Model, now)
		r.arrive(req, now)
	}
	end := epoch.Add(t.Length)
	for m := range r.replicas {
		r.catchUp(m, end)
		r.idle(m, end)
	}
	slices.Sort(r.result.Waits)
	return r.result
}

// catchUp lets a model's own events pass up to a time: the wake of held batch requests, drops and loads ahead of demand.
func (r *replayer) catchUp(m int, now time.Time) {
	s := &r.replicas[m]
	if len(s.held) > 0 && !s.wakeAt.After(now) {
		r.settle(m, s.wakeAt)
		r.wakeHeld(m, s.wakeAt)
	}
	r.settle(m, now)
}

// settle drops the replica or loads it ahead of demand, if its time has come.
func (r *replayer) settle(m int, now time.Time) {
	s := &r.replicas[m]
	if s.loaded && !now.Before(s.dropAt) {
		r.idle(m, s.dropAt)
		s.loaded = false
	}
	if s.loaded || s.warmAt.IsZero() || s.warmAt.After(now) {
		return
	}
	r.result.Wakes++
	s.loaded = true
	s.freeAt = s.warmAt
	s.readyAt = s.warmAt.Add(r.trace.Models[m].ColdStart)
	s.dropAt = s.warmUntil
	s.warmAt = time.Time{}
	r.settle(m, now)
}

// idle accounts for the time since the replica's last work.
func (r *replayer) idle(m int, until time.Time) {
	s := &r.replicas[m]
	if s.loaded && until.After(s.freeAt) {
		r.result.IdleSeconds += until.Sub(s.freeAt).Seconds() * r.trace.Models[m].MemoryShare
		s.freeAt = until
	}
}

// arrive serves a request, holds it, or wakes the model for it.
func (r *replayer) arrive(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	model := r.trace.Models[req.Model]
	if req.Interactive {
		r.policy.Observe(model.Name, now)
	}
	if !s.loaded && !req.Interactive && r.hold != nil {
		r.holdBack(req, now)
		return
	}
	if !s.loaded {
		r.wake(req, now)
	}
	r.serve(req, now, now)
	for _, h := range s.held {
		r.serve(h, r.epoch.Add(h.At), now)
	}
	s.held = nil
	r.keep(req.Model)
}

// holdBack lets a batch request wait for company; the earliest end of a hold wakes the model for all.
func (r *replayer) holdBack(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	model := r.trace.Models[req.Model]
	until := r.hold(model.Name, now, now.Add(req.Deadline), model.ColdStart)
	if len(s.held) == 0 || until.Before(s.wakeAt) {
		s.wakeAt = until
	}
	s.held = append(s.held, req)
	if !s.wakeAt.After(now) {
		r.wakeHeld(req.Model, now)
	}
}

// wakeHeld loads the model for the batch requests that wait.
func (r *replayer) wakeHeld(m int, now time.Time) {
	s := &r.replicas[m]
	if !s.loaded {
		r.wake(s.held[0], now)
	}
	for _, h := range s.held {
		r.serve(h, r.epoch.Add(h.At), now)
	}
	s.held = nil
	r.keep(m)
}

// wake loads the model. The memory that a load holds counts as idle.
func (r *replayer) wake(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	coldStart := r.trace.Models[req.Model].ColdStart
	if req.Cached {
		coldStart /= cachedSpeedup
	}
	r.result.Wakes++
	if !req.Interactive {
		r.result.BatchWakes++
	}
	s.loaded = true
	s.freeAt = now
	s.readyAt = now.Add(coldStart)
}

// serve runs a request that arrived and may start from now on.
func (r *replayer) serve(req Request, arrived, now time.Time) {
	s := &r.replicas[req.Model]
	start := now
	if s.readyAt.After(start) {
		start = s.readyAt
	}
	r.idle(req.Model, start)
	end := start.Add(req.Work)
	if end.After(s.freeAt) {
		s.freeAt = end
	}
	if !req.Interactive {
		if end.After(arrived.Add(req.Deadline)) {
			r.result.BatchLate++
		}
		return
	}
	wait := start.Sub(arrived)
	if wait > 0 {
		r.result.ColdRequests++
		r.result.ColdWait += wait
	}
	r.result.Waits = append(r.result.Waits, wait+firstToken)
}

// keep asks the policy for how long the replica stays after its work.
func (r *replayer) keep(m int) {
	s := &r.replicas[m]
	model := r.trace.Models[m]
	s.dropAt = s.freeAt.Add(r.policy.Keep(model.Name, s.freeAt, model.ColdStart, model.MemoryShare))
	s.warmAt, s.warmUntil = time.Time{}, time.Time{}
	if p, ok := r.policy.(Prewarmer); ok {
		s.warmAt, s.warmUntil = p.Prewarm(model.Name, s.dropAt, model.ColdStart, model.MemoryShare)
	}
}
