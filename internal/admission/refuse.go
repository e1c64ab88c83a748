package admission

import (
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Expire refuses all requests that can no longer meet their deadline, because of the remaining time or because of the
// number of requests ahead of them. It must be called at the time returned by NextExpiry and when an estimate grows.
func (q *Queue) Expire(now time.Time, estimate func(Target) Estimate) []Refusal {
	q.lastCall = now
	var refusals []Refusal
	for _, tq := range slices.Clone(q.targetList) {
		if tq.len() > 0 {
			e := estimate(tq.target)
			q.updateEstimate(tq, e)
			refusals = q.expireTarget(refusals, now, tq, e)
		}
		q.dropIdle(tq, now)
	}
	return refusals
}

func (q *Queue) expireTarget(refusals []Refusal, now time.Time, tq *targetQueue, e Estimate) []Refusal {
	for i := range tq.lanes {
		ln := &tq.lanes[i]
		ln.waiters.setSpacing(e.spacing() / infeasibleFactor)
		for w := q.firstInfeasible(now, ln, e); w != nil; w = q.firstInfeasible(now, ln, e) {
			q.remove(w)
			refusals = append(refusals, q.refuse(now, w, tq, e, wirepb.RefusalReason_DEADLINE, detailCannotStart))
		}
	}
	return refusals
}

// firstInfeasible returns a request that would be late even if it started now, or one that is too far back in its lane,
// or nil.
func (q *Queue) firstInfeasible(now time.Time, ln *lane, e Estimate) *waiter {
	earliestEnd := now.Sub(q.epoch) + e.readyDelay() + ln.requiredTime
	first := ln.waiters.first()
	if first != nil && first.deadline < earliestEnd {
		return first
	}
	return ln.waiters.firstInfeasible(earliestEnd + time.Duration(1-e.freeCapacity())*ln.waiters.spacing)
}

// Drain refuses all waiting requests, for example because the agent is stopping.
func (q *Queue) Drain(reason wirepb.RefusalReason) []Refusal {
	return q.DrainTargets(func(Target) bool { return true }, reason, 0, "")
}

// DrainTargets refuses the waiting requests of the matching targets, with a retry delay of at least retryAfter.
func (q *Queue) DrainTargets(match func(Target) bool, reason wirepb.RefusalReason, retryAfter time.Duration, detail string) []Refusal {
	var refusals []Refusal
	now := q.lastCall
	for _, tq := range slices.Clone(q.targetList) {
		if match(tq.target) {
			for i := range tq.lanes {
				refusals = q.drainLane(refusals, now, &tq.lanes[i], reason, retryAfter, detail)
			}
		}
		q.dropIdle(tq, now)
	}
	return refusals
}

func (q *Queue) drainLane(refusals []Refusal, now time.Time, ln *lane, reason wirepb.RefusalReason, retryAfter time.Duration, detail string) []Refusal {
	e := Estimate{ReadyIn: retryAfter, MeanServiceTime: drainSpacing}
	for w := ln.waiters.first(); w != nil; w = ln.waiters.first() {
		q.remove(w)
		refusals = append(refusals, q.refuse(now, w, ln.queue, e, reason, detail))
	}
	return refusals
}

// drainSpacing is the time between the retries of requests from a drained queue. It replaces the service time because
// the retries go to another endpoint.
const drainSpacing = 10 * time.Millisecond

// refuse returns the refusal of a request with its retry delay.
func (q *Queue) refuse(now time.Time, w *waiter, tq *targetQueue, e Estimate, reason wirepb.RefusalReason, detail string) Refusal {
	startDelay := e.startDelay(tq.len())
	return Refusal{
		ID:         w.request.ID,
		Reason:     reason,
		RetryAfter: tq.retries.reserve(now, startDelay, e.retrySpacing(), q.options.MaxRetryAfter),
		Detail:     detail,
	}
}

func (q *Queue) newWaiter(r Request) *waiter {
	q.sequence++
	return &waiter{request: r, deadline: r.Deadline.Sub(q.epoch), sequence: q.sequence}
}

// updateEstimate stores the estimate of a target.
func (q *Queue) updateEstimate(tq *targetQueue, e Estimate) {
	tq.ready = e.Ready
	for i := range tq.lanes {
		ln := &tq.lanes[i]
		if required := e.requiredTime(ln.stream); required != ln.requiredTime {
			ln.requiredTime = required
			q.byDue.update(laneByDue{ln}, ln.len() > 0)
		}
	}
}

func (q *Queue) insert(ln *lane, w *waiter) {
	ln.insert(w)
	q.waiting[w.request.ID] = w
	q.callers[w.request.Caller]++
	q.updateHeaps(ln)
}

func (q *Queue) remove(w *waiter) {
	w.lane.remove(w)
	delete(q.waiting, w.request.ID)
	q.callers[w.request.Caller]--
	if q.callers[w.request.Caller] == 0 {
		delete(q.callers, w.request.Caller)
	}
	q.updateHeaps(w.lane)
}

// updateHeaps restores the position of a lane in the queue's heaps after a change.
func (q *Queue) updateHeaps(changed *lane) {
	present := changed.len() > 0
	q.byDue.update(laneByDue{changed}, present)
	q.byLength(changed.batch).update(laneByLength{changed}, present)
}

func (q *Queue) byLength(batch bool) *indexedHeap[laneByLength] {
	if batch {
		return &q.batchByLength
	}
	return &q.interactiveByLength
}

// longest returns the target queue that has the longest lane of a class, or nil.
func (q *Queue) longest(batch bool) *targetQueue {
	longest, ok := q.byLength(batch).peek()
	if !ok {
		return nil
	}
	return longest.queue
}

func (q *Queue) targetQueueFor(target Target) *targetQueue {
	tq := q.targets[target]
	if tq == nil {
		tq = newTargetQueue(target, q.poolFor(target), q.random)
		q.targets[target] = tq
		q.targetList = append(q.targetList, tq)
	}
	return tq
}

// maxIdleTargets is the number of target queues up to which empty ones are kept, because targets in use tend to be
// requested again.
const maxIdleTargets = 64

// dropIdle drops an empty target queue with no retries scheduled in the future, if there are more than maxIdleTargets
// target queues.
func (q *Queue) dropIdle(tq *targetQueue, now time.Time) {
	if len(q.targetList) <= maxIdleTargets || tq.len() > 0 || tq.retries.next.After(now) {
		return
	}
	isDropped := func(other *targetQueue) bool { return other == tq }
	delete(q.targets, tq.target)
	q.targetList = slices.DeleteFunc(q.targetList, isDropped)
	tq.pool.queues = slices.DeleteFunc(tq.pool.queues, isDropped)
	if len(tq.pool.queues) == 0 {
		delete(q.pools, tq.target.pool())
	}
}

func (q *Queue) poolFor(target Target) *pool {
	p := q.pools[target.pool()]
	if p == nil {
		p = &pool{}
		q.pools[target.pool()] = p
	}
	return p
}
