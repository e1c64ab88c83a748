package trace

import (
	"math"
	"slices"
	"time"

	"balsamsail/internal/loading"
)

// firstToken is the time to first token of a loaded model.
const firstToken = 300 * time.Millisecond

// Hold returns the time until which a batch request for a model that is not loaded is held, so that several batch requests
// share one load.
type Hold func(model string, now, deadline time.Time, coldStart time.Duration) time.Time

// Prewarmer is implemented by an IdlePolicy that also loads models ahead of predicted requests.
type Prewarmer interface {
	// Prewarm returns when to load an unloaded model ahead of demand, zero for never, and until when to keep it loaded.
	Prewarm(model string, now time.Time, coldStart time.Duration, memoryShare float64) (at, until time.Time)
}

// Result holds the metrics of a replay.
type Result struct {
	// Waits are the times to first token of the interactive requests, in ascending order.
	Waits []time.Duration
	// ColdRequests is the number of interactive requests that waited for a load, ColdWait the sum of these waits.
	ColdRequests int
	ColdWait     time.Duration
	// Loads is the number of all loads, BatchLoads the number of those caused by a batch request.
	Loads, BatchLoads int
	// IdleSeconds are the accelerator seconds in which a model was loaded without serving, weighted by its memory share.
	IdleSeconds float64
	// BatchLate is the number of batch requests that ended after their deadline.
	BatchLate int
}

// Percentile returns the nearest-rank percentile of the times to first token.
func (r Result) Percentile(p float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(math.Ceil(p*float64(len(r.Waits)))) - 1
	return r.Waits[max(0, i)]
}

// Cost returns the weighted sum of the seconds that callers waited for loads and the idle accelerator seconds.
func (r Result) Cost(coldStartWeight, idleWeight float64) float64 {
	return coldStartWeight*r.ColdWait.Seconds() + idleWeight*r.IdleSeconds
}

// replica is the state of a model's only replica in a replay.
type replica struct {
	// readyAt is the end of the last load, freeAt the end of the last request, and dropAt the time of the unload after it.
	readyAt, freeAt, dropAt time.Time
	loaded                  bool
	// warmAt is the time of the next load ahead of demand, zero for none, and warmUntil the time of the unload after it.
	warmAt, warmUntil time.Time
	// held are the batch requests that are held until loadAt.
	held   []Request
	loadAt time.Time
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

// Replay replays a trace with an idle policy. It simulates one replica per model, without limits on memory or on the weight
// store. If hold is nil, batch requests load their models at once.
func Replay(t *Trace, epoch time.Time, policy loading.IdlePolicy, hold Hold) Result {
	r := &replayer{trace: t, epoch: epoch, policy: policy, hold: hold, replicas: make([]replica, len(t.Models))}
	for _, req := range t.Requests {
		now := epoch.Add(req.At)
		r.advance(req.Model, now)
		r.arrive(req, now)
	}
	end := epoch.Add(t.Length)
	for m := range r.replicas {
		r.advance(m, end)
		r.accountIdle(m, end)
	}
	slices.Sort(r.result.Waits)
	return r.result
}

// advance applies a model's scheduled events up to now: the load for held batch requests, unloads and loads ahead of
// demand.
func (r *replayer) advance(m int, now time.Time) {
	s := &r.replicas[m]
	if len(s.held) > 0 && !s.loadAt.After(now) {
		r.applyExpirations(m, s.loadAt)
		r.loadForHeld(m, s.loadAt)
	}
	r.applyExpirations(m, now)
}

// applyExpirations unloads the replica or loads it ahead of demand, if that is due.
func (r *replayer) applyExpirations(m int, now time.Time) {
	s := &r.replicas[m]
	if s.loaded && !now.Before(s.dropAt) {
		r.accountIdle(m, s.dropAt)
		s.loaded = false
	}
	if s.loaded || s.warmAt.IsZero() || s.warmAt.After(now) {
		return
	}
	r.result.Loads++
	s.loaded = true
	s.freeAt = s.warmAt
	s.readyAt = s.warmAt.Add(r.trace.Models[m].ColdStart)
	s.dropAt = s.warmUntil
	s.warmAt = time.Time{}
	r.applyExpirations(m, now)
}

// accountIdle adds the idle time since the end of the replica's last request.
func (r *replayer) accountIdle(m int, until time.Time) {
	s := &r.replicas[m]
	if s.loaded && until.After(s.freeAt) {
		r.result.IdleSeconds += until.Sub(s.freeAt).Seconds() * r.trace.Models[m].MemoryShare
		s.freeAt = until
	}
}

// arrive serves a request, holds it, or loads the model for it.
func (r *replayer) arrive(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	model := r.trace.Models[req.Model]
	if req.Interactive {
		r.policy.Observe(model.Name, now)
	}
	if !s.loaded && !req.Interactive && r.hold != nil {
		r.holdRequest(req, now)
		return
	}
	if !s.loaded {
		r.load(req, now)
	}
	r.serve(req, now, now)
	for _, h := range s.held {
		r.serve(h, r.epoch.Add(h.At), now)
	}
	s.held = nil
	r.setExpiry(req.Model)
}

// holdRequest holds a batch request. The model is loaded at the earliest end of its held requests' holds.
func (r *replayer) holdRequest(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	model := r.trace.Models[req.Model]
	until := r.hold(model.Name, now, now.Add(req.Deadline), model.ColdStart)
	if len(s.held) == 0 || until.Before(s.loadAt) {
		s.loadAt = until
	}
	s.held = append(s.held, req)
	if !s.loadAt.After(now) {
		r.loadForHeld(req.Model, now)
	}
}

// loadForHeld loads the model if necessary and serves the held batch requests.
func (r *replayer) loadForHeld(m int, now time.Time) {
	s := &r.replicas[m]
	if !s.loaded {
		r.load(s.held[0], now)
	}
	for _, h := range s.held {
		r.serve(h, r.epoch.Add(h.At), now)
	}
	s.held = nil
	r.setExpiry(m)
}

// load loads the model. Memory that is reserved during a load counts as idle.
func (r *replayer) load(req Request, now time.Time) {
	s := &r.replicas[req.Model]
	coldStart := r.trace.Models[req.Model].ColdStart
	if req.Cached {
		coldStart /= cachedSpeedup
	}
	r.result.Loads++
	if !req.Interactive {
		r.result.BatchLoads++
	}
	s.loaded = true
	s.freeAt = now
	s.readyAt = now.Add(coldStart)
}

// serve runs a request that arrived at the given time and can start from now on.
func (r *replayer) serve(req Request, arrived, now time.Time) {
	s := &r.replicas[req.Model]
	start := now
	if s.readyAt.After(start) {
		start = s.readyAt
	}
	r.accountIdle(req.Model, start)
	end := start.Add(req.ServiceTime)
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

// setExpiry sets when the replica is unloaded after its last request, and the next load ahead of demand.
func (r *replayer) setExpiry(m int) {
	s := &r.replicas[m]
	model := r.trace.Models[m]
	s.dropAt = s.freeAt.Add(r.policy.Keep(model.Name, s.freeAt, model.ColdStart, model.MemoryShare))
	s.warmAt, s.warmUntil = time.Time{}, time.Time{}
	if p, ok := r.policy.(Prewarmer); ok {
		s.warmAt, s.warmUntil = p.Prewarm(model.Name, s.dropAt, model.ColdStart, model.MemoryShare)
	}
}
