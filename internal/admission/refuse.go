package admission

import (
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Expire refuses all requests that cannot make their deadline any more, whether by the time left or by the number of
// requests before them. Call it at Wake and when an estimate grows.
func (q *Queue) Expire(now time.Time, estimate func(Target) Estimate) []Refusal {
	q.latest = now
	var refusals []Refusal
	for _, l := range slices.Clone(q.inOrder) {
		if l.len() > 0 {
			e := estimate(l.target)
			q.tell(l, e)
			refusals = q.expireLine(refusals, now, l, e)
		}
		q.forget(l, now)
	}
	return refusals
}

func (q *Queue) expireLine(refusals []Refusal, now time.Time, l *line, e Estimate) []Refusal {
	for i := range l.lanes {
		in := &l.lanes[i]
		in.order.respace(e.spacing() / hopelessFactor)
		for w := q.hopeless(now, in, e); w != nil; w = q.hopeless(now, in, e) {
			q.remove(w)
			refusals = append(refusals, q.refuse(now, w, l, e, wirepb.RefusalReason_DEADLINE, detailHopeless))
		}
	}
	return refusals
}

// hopeless returns a request that would be late if it started now, or is too far behind in its lane, or nil.
func (q *Queue) hopeless(now time.Time, in *lane, e Estimate) *waiter {
	done := now.Sub(q.epoch) + e.ready() + in.need
	first := in.order.first()
	if first != nil && first.deadline < done {
		return first
	}
	return in.order.hopeless(done + time.Duration(1-e.free())*in.order.spacing)
}

// Drain refuses all waiting requests, for example because the agent stops.
func (q *Queue) Drain(reason wirepb.RefusalReason) []Refusal {
	return q.DrainTargets(func(Target) bool { return true }, reason, 0, "")
}

// DrainTargets refuses the waiting requests of the targets that match; they come back after retryAfter at the earliest.
func (q *Queue) DrainTargets(match func(Target) bool, reason wirepb.RefusalReason, retryAfter time.Duration, detail string) []Refusal {
	var refusals []Refusal
	now := q.latest
	for _, l := range slices.Clone(q.inOrder) {
		if match(l.target) {
			for i := range l.lanes {
				refusals = q.drainLane(refusals, now, &l.lanes[i], reason, retryAfter, detail)
			}
		}
		q.forget(l, now)
	}
	return refusals
}

func (q *Queue) drainLane(refusals []Refusal, now time.Time, in *lane, reason wirepb.RefusalReason, after time.Duration, detail string) []Refusal {
	e := Estimate{ReadyIn: after, Service: drainSpacing}
	for w := in.order.first(); w != nil; w = in.order.first() {
		q.remove(w)
		refusals = append(refusals, q.refuse(now, w, in.line, e, reason, detail))
	}
	return refusals
}

// drainSpacing spreads the requests of a drained queue, whose service time is another endpoint's matter now.
const drainSpacing = 10 * time.Millisecond

// refuse makes the refusal of a request and gives it a time to come back.
func (q *Queue) refuse(now time.Time, w *waiter, l *line, e Estimate, reason wirepb.RefusalReason, detail string) Refusal {
	capacity := e.delay(l.len())
	return Refusal{
		ID:         w.request.ID,
		Reason:     reason,
		RetryAfter: l.returns.take(now, capacity, e.returnSpacing(), q.options.MaxRetryAfter),
		Detail:     detail,
	}
}

func (q *Queue) waiterFor(r Request) *waiter {
	q.sequence++
	return &waiter{request: r, deadline: r.Deadline.Sub(q.epoch), sequence: q.sequence}
}

// tell notes the estimate of a line.
func (q *Queue) tell(l *line, e Estimate) {
	l.ready = e.Ready
	for i := range l.lanes {
		in := &l.lanes[i]
		if need := e.need(in.stream); need != in.need {
			in.need = need
			q.due.set(dueLane{in}, in.len() > 0)
		}
	}
}

func (q *Queue) insert(in *lane, w *waiter) {
	in.insert(w)
	q.waiting[w.request.ID] = w
	q.callers[w.request.Caller]++
	q.rank(in)
}

func (q *Queue) remove(w *waiter) {
	w.lane.remove(w)
	delete(q.waiting, w.request.ID)
	q.callers[w.request.Caller]--
	if q.callers[w.request.Caller] == 0 {
		delete(q.callers, w.request.Caller)
	}
	q.rank(w.lane)
}

// rank puts a lane at its places in the queue's rankings after a change.
func (q *Queue) rank(changed *lane) {
	wanted := changed.len() > 0
	q.due.set(dueLane{changed}, wanted)
	q.full(changed.batch).set(fullLane{changed}, wanted)
}

func (q *Queue) full(batch bool) *ranking[fullLane] {
	if batch {
		return &q.fullBatch
	}
	return &q.fullInteractive
}

// fullest returns the line with the longest lane of a class, or nil.
func (q *Queue) fullest(batch bool) *line {
	longest, ok := q.full(batch).top()
	if !ok {
		return nil
	}
	return longest.line
}

func (q *Queue) lineOf(target Target) *line {
	l := q.lines[target]
	if l == nil {
		l = newLine(target, q.poolOf(target), q.random)
		q.lines[target] = l
		q.inOrder = append(q.inOrder, l)
	}
	return l
}

// keptLines is how many lines may stay although nothing waits, because the targets in use come again and again.
const keptLines = 64

// forget drops a line that holds nothing and owes nobody a place to come back, when there are many.
func (q *Queue) forget(l *line, now time.Time) {
	if len(q.inOrder) <= keptLines || l.len() > 0 || l.returns.next.After(now) {
		return
	}
	isForgotten := func(other *line) bool { return other == l }
	delete(q.lines, l.target)
	q.inOrder = slices.DeleteFunc(q.inOrder, isForgotten)
	l.pool.lines = slices.DeleteFunc(l.pool.lines, isForgotten)
	if len(l.pool.lines) == 0 {
		delete(q.pools, l.target.pool())
	}
}

func (q *Queue) poolOf(target Target) *pool {
	p := q.pools[target.pool()]
	if p == nil {
		p = &pool{}
		q.pools[target.pool()] = p
	}
	return p
}
