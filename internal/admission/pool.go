package admission

import (
	"math/rand/v2"
	"time"
)

// pool holds the target queues whose requests share the concurrency of one replica: those of a model version with and
// without adapters, or that of a plain service.
type pool struct{ queues []*targetQueue }

// poolKey identifies a pool by its model version or its service.
type poolKey struct{ model, service string }

func (t Target) pool() poolKey { return poolKey{model: t.Model, service: t.Service} }

// targetQueue holds the waiting requests of one target, in one lane per combination of class and deadline type.
type targetQueue struct {
	target Target
	pool   *pool
	lanes  [laneCount]lane
	// ready is Estimate.Ready as last reported. While it is false, this target's requests are not counted as ahead of
	// those of other targets in the pool.
	ready bool
	// sinceBatch counts the consecutive interactive starts while a batch request waits.
	sinceBatch int
	// retries schedules the retries of refused requests.
	retries retrySchedule
}

func newTargetQueue(target Target, p *pool, random *rand.Rand) *targetQueue {
	tq := &targetQueue{target: target, pool: p, retries: retrySchedule{random: random}}
	p.queues = append(p.queues, tq)
	for index := range tq.lanes {
		tq.lanes[index].init(tq, index, random)
	}
	return tq
}

func (tq *targetQueue) lane(r Request) *lane { return &tq.lanes[laneIndex(r)] }

func (tq *targetQueue) len() int {
	interactive, batch := tq.count()
	return interactive + batch
}

func (tq *targetQueue) count() (interactive, batch int) {
	for i := range tq.lanes {
		if tq.lanes[i].batch {
			batch += tq.lanes[i].len()
		} else {
			interactive += tq.lanes[i].len()
		}
	}
	return interactive, batch
}

// firstLane returns the lane of a class whose first request has the earliest due time, or nil.
func (tq *targetQueue) firstLane(batch bool) *lane {
	var first *lane
	for i := range tq.lanes {
		candidate := &tq.lanes[i]
		if candidate.batch != batch || candidate.len() == 0 {
			continue
		}
		if first == nil || candidate.startsBefore(first) {
			first = candidate
		}
	}
	return first
}

// startsBefore compares the first requests of two non-empty lanes.
func (l *lane) startsBefore(other *lane) bool {
	if a, b := l.dueAt(), other.dueAt(); a != b {
		return a < b
	}
	return l.waiters.first().sequence < other.waiters.first().sequence
}

// nextLane returns the lane whose first request starts next, or nil when no request waits.
//
// Under sustained interactive load batch requests would wait until their deadline, so one of them starts after every
// batchEvery interactive starts.
func (tq *targetQueue) nextLane(batchEvery int) *lane {
	interactive, batch := tq.firstLane(false), tq.firstLane(true)
	if interactive == nil || batch != nil && tq.sinceBatch >= batchEvery {
		return batch
	}
	return interactive
}

// recordStart updates the count of consecutive interactive starts that nextLane uses.
func (tq *targetQueue) recordStart(from *lane) {
	if !from.batch && tq.firstLane(true) != nil {
		tq.sinceBatch++
		return
	}
	tq.sinceBatch = 0
}

// ahead returns how many requests of the pool start before w, which need not be queued yet.
func (tq *targetQueue) ahead(w *waiter, ln *lane, batchEvery int) int {
	interactive, batch, rank := 0, 0, 0
	for _, other := range tq.pool.queues {
		if other != tq && !other.ready {
			continue
		}
		i, b := other.count()
		interactive += i
		batch += b
		rank += other.rank(w, ln)
	}
	if ln.batch {
		return rank + min(interactive, (rank+1)*batchEvery)
	}
	return rank + min(batch, rank/batchEvery)
}

// rank returns how many waiting requests of this target and of w's class start before w.
func (tq *targetQueue) rank(w *waiter, ln *lane) int {
	rank := 0
	for i := range tq.lanes {
		if other := &tq.lanes[i]; other.batch == ln.batch && other.len() > 0 {
			rank += other.waiters.rank(other.equivalent(w, ln))
		}
	}
	return rank
}

// callerCount returns how many requests of a caller and class wait for the target.
func (tq *targetQueue) callerCount(caller string, batch bool) int {
	count := 0
	for i := range tq.lanes {
		if tq.lanes[i].batch == batch {
			count += tq.lanes[i].callerCount(caller)
		}
	}
	return count
}

// largestShare returns the largest share of any caller in a lane of the class, with its lane, or nil.
func (tq *targetQueue) largestShare(batch bool) (*share, *lane) {
	var largest *share
	var ln *lane
	for i := range tq.lanes {
		s, ok := tq.lanes[i].shareHeap.peek()
		if tq.lanes[i].batch == batch && ok && (largest == nil || s.waiters.len() > largest.waiters.len()) {
			largest, ln = s, &tq.lanes[i]
		}
	}
	return largest, ln
}

// fairShareFactor is how many times larger than the new caller's share another caller's share must be before one of its
// requests is displaced. With 1, callers with equal demand would displace each other's waiting requests depending only
// on the order of arrival.
const fairShareFactor = 2

// displaceableShare returns the largest share of the class if it is large enough for the caller to displace a request
// from it, or nil.
func (tq *targetQueue) displaceableShare(caller string, batch bool) (*share, *lane) {
	s, ln := tq.largestShare(batch)
	if s == nil || s.waiters.len() < fairShareFactor*(tq.callerCount(caller, batch)+1) {
		return nil, nil
	}
	return s, ln
}

// earliestDue returns the earliest due time; the target queue must not be empty.
func (tq *targetQueue) earliestDue() time.Duration {
	interactive, batch := tq.firstLane(false), tq.firstLane(true)
	if interactive == nil || batch != nil && batch.startsBefore(interactive) {
		return batch.dueAt()
	}
	return interactive.dueAt()
}
