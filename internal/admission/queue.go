package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

const (
	defaultBatchEvery = 8
	// infeasibleFactor is how many times faster than estimated a target may turn out to be: a waiting request is
	// refused because of its position only if it would be late even then. This keeps a brief jump of the estimate from
	// emptying the queue.
	infeasibleFactor = 2
)

// Details of refusals.
const (
	detailDuplicate   = "another request with this identifier waits"
	detailCallerLimit = "the caller has too many waiting requests"
	detailFull        = "the queue is full"
	detailDisplaced   = "made room for another caller or class"
	detailCannotStart = "cannot start before the deadline"
)

// Queue holds the requests that wait at one endpoint. It is not safe for concurrent use.
//
// The due time of a request is the latest time at which it can start and still meet its deadline. Within a target and
// class the request with the earliest due time goes first; among requests with the same deadline type this is earliest
// deadline first. Interactive requests go before batch requests, except for a fixed share of starts that prevents
// starvation of batch. Offer, Next and Remove take O(log n) in the number of waiting requests; NextAny and Expire
// iterate over all targets with waiting requests.
type Queue struct {
	options  Options
	random   *rand.Rand
	epoch    time.Time
	sequence uint64
	waiting  map[string]*waiter
	targets  map[Target]*targetQueue
	// targetList holds the target queues in a fixed order, because the order of map iteration would make decisions
	// nondeterministic.
	targetList []*targetQueue
	pools      map[poolKey]*pool
	callers    map[string]int
	// lastCall is the time passed to the latest call that had one.
	lastCall time.Time
	// byDue orders the non-empty lanes by due time; interactiveByLength and batchByLength order those of each class by
	// length.
	byDue               indexedHeap[laneByDue]
	interactiveByLength indexedHeap[laneByLength]
	batchByLength       indexedHeap[laneByLength]
	// sinceBatch is the counterpart of targetQueue.sinceBatch for NextAny.
	sinceBatch int
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	options.BatchEvery = cmp.Or(options.BatchEvery, defaultBatchEvery)
	options.MaxRetryAfter = cmp.Or(options.MaxRetryAfter, defaultMaxRetryAfter)
	q := &Queue{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		waiting: make(map[string]*waiter),
		targets: make(map[Target]*targetQueue),
		pools:   make(map[poolKey]*pool),
		callers: make(map[string]int),
	}
	q.byDue.before = func(a, b laneByDue) bool { return a.dueAt() < b.dueAt() }
	q.interactiveByLength.before = func(a, b laneByLength) bool { return a.len() > b.len() }
	q.batchByLength.before = q.interactiveByLength.before
	return q
}

// Offer adds a request to the queue or refuses it. Displaced requests were removed to make room for it and have not
// been executed. The ID must be unique among the waiting requests.
func (q *Queue) Offer(now time.Time, r Request, e Estimate) (displaced []Refusal, refused *Refusal) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.lastCall = now
	tq := q.targetQueueFor(r.Target)
	q.updateEstimate(tq, e)
	w := q.newWaiter(r)
	victim, reason, detail := q.admit(now, tq, w, e)
	if detail != "" {
		refusal := q.refuse(now, w, tq, e, reason, detail)
		q.dropIdle(tq, now)
		return nil, &refusal
	}
	if victim != nil {
		q.remove(victim)
		displaced = append(displaced, q.refuse(now, victim, victim.lane.queue, e, wirepb.RefusalReason_QUEUE_FULL, detailDisplaced))
	}
	q.insert(tq.lane(r), w)
	return displaced, nil
}

// admit decides whether a new request may be queued: without further action, in place of a victim, or not at all, which
// is returned as a reason and a detail.
func (q *Queue) admit(now time.Time, tq *targetQueue, w *waiter, e Estimate) (*waiter, wirepb.RefusalReason, string) {
	r := w.request
	if q.waiting[r.ID] != nil {
		return nil, wirepb.RefusalReason_CANCELLED, detailDuplicate
	}
	if q.options.MaxPerCaller > 0 && q.callers[r.Caller] >= q.options.MaxPerCaller {
		return nil, wirepb.RefusalReason_QUEUE_FULL, detailCallerLimit
	}
	victim, ok := q.chooseVictim(tq, w)
	if !ok {
		return nil, wirepb.RefusalReason_QUEUE_FULL, detailFull
	}
	victim, ok = q.checkDeadline(now, tq, w, e, victim)
	if !ok {
		return nil, wirepb.RefusalReason_DEADLINE, detailCannotStart
	}
	return victim, 0, ""
}

// chooseVictim returns the request that a new one displaces when a bound is reached, nil when no bound is reached, or
// false when no request may be displaced. Interactive requests displace batch requests, and callers with few waiting
// requests displace those of callers with many.
func (q *Queue) chooseVictim(tq *targetQueue, w *waiter) (*waiter, bool) {
	isBatch := w.request.Class == wirepb.Class_BATCH
	sameClass, batch := tq, tq
	switch {
	case q.options.MaxPerTarget > 0 && tq.len() >= q.options.MaxPerTarget:
	case q.options.MaxWaiting > 0 && len(q.waiting) >= q.options.MaxWaiting:
		sameClass, batch = q.longest(isBatch), q.longest(true)
	default:
		return nil, true
	}
	if !isBatch && batch != nil {
		if s, _ := batch.largestShare(true); s != nil {
			return s.waiters.last(), true
		}
	}
	if sameClass == nil {
		return nil, false
	}
	s, _ := sameClass.displaceableShare(w.request.Caller, isBatch)
	if s == nil {
		return nil, false
	}
	return s.waiters.last(), true
}

// checkDeadline checks that the requests ahead leave a new one enough time, given the victim that is already chosen. A
// caller that queues as many requests as can be served in time would shut out all others, so if removing one request
// ahead suffices and a caller with a larger share has one, that request becomes the victim.
func (q *Queue) checkDeadline(now time.Time, tq *targetQueue, w *waiter, e Estimate, victim *waiter) (*waiter, bool) {
	ln := tq.lane(w.request)
	ahead := tq.ahead(w, ln, q.options.BatchEvery)
	if victim != nil && victim.lane == ln && victim.before(w) {
		ahead--
	}
	if e.canAccept(now, w.request, ahead) {
		return victim, true
	}
	if victim != nil || !e.canAccept(now, w.request, ahead-1) {
		return nil, false
	}
	s, from := tq.displaceableShare(w.request.Caller, ln.batch)
	if s == nil {
		return nil, false
	}
	victim = s.waiters.lastBefore(from.equivalent(w, ln))
	return victim, victim != nil
}

// Next removes and returns the request of a target that should start now. It refuses those ahead of it that can no
// longer meet their deadline. The last result is false when no request is left.
func (q *Queue) Next(now time.Time, target Target, e Estimate) (Request, []Refusal, bool) {
	tq := q.targets[target]
	if tq == nil {
		return Request{}, nil, false
	}
	defer q.dropIdle(tq, now)
	q.lastCall = now
	q.updateEstimate(tq, e)
	var refusals []Refusal
	for {
		from := tq.nextLane(q.options.BatchEvery)
		if from == nil {
			return Request{}, refusals, false
		}
		w := from.waiters.first()
		q.remove(w)
		if e.meetsDeadline(now, w.request, 0) {
			tq.recordStart(from)
			return w.request, refusals, true
		}
		refusals = append(refusals, q.refuse(now, w, tq, e, wirepb.RefusalReason_DEADLINE, detailCannotStart))
	}
}

// NextAny is Next over all targets for which ready returns an estimate and true. It picks the interactive request with
// the earliest due time, or the batch request if BatchEvery interactive requests have started in a row.
func (q *Queue) NextAny(now time.Time, ready func(Target) (Estimate, bool)) (Request, []Refusal, bool) {
	q.lastCall = now
	var refusals []Refusal
	for {
		from, e := q.nextLaneAny(ready)
		if from == nil {
			return Request{}, refusals, false
		}
		w := from.waiters.first()
		q.remove(w)
		q.dropIdle(from.queue, now)
		if e.meetsDeadline(now, w.request, 0) {
			q.recordStart(from)
			return w.request, refusals, true
		}
		refusals = append(refusals, q.refuse(now, w, from.queue, e, wirepb.RefusalReason_DEADLINE, detailCannotStart))
	}
}

// nextLaneAny returns the lane whose first request starts next over all targets, or nil.
func (q *Queue) nextLaneAny(ready func(Target) (Estimate, bool)) (*lane, Estimate) {
	var first [2]*lane
	var estimates [2]Estimate
	for _, tq := range q.targetList {
		if tq.len() == 0 {
			continue
		}
		e, ok := ready(tq.target)
		if !ok {
			tq.ready = false
			continue
		}
		q.updateEstimate(tq, e)
		for i, batch := range []bool{false, true} {
			if from := tq.firstLane(batch); from != nil && (first[i] == nil || from.startsBefore(first[i])) {
				first[i], estimates[i] = from, e
			}
		}
	}
	if first[0] == nil || first[1] != nil && q.sinceBatch >= q.options.BatchEvery {
		return first[1], estimates[1]
	}
	return first[0], estimates[0]
}

func (q *Queue) recordStart(from *lane) {
	if from.batch || q.longest(true) == nil {
		q.sinceBatch = 0
		return
	}
	q.sinceBatch++
}

// Remove removes a request, for example because its caller disconnected, and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	w := q.waiting[id]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

// NextExpiry returns the time at which Expire must be called next, or the zero time when no request waits. Expire must
// also be called when an estimate grows, for example because a load takes longer.
func (q *Queue) NextExpiry() time.Time {
	first, ok := q.byDue.peek()
	if !ok {
		return time.Time{}
	}
	// A request that starts exactly at its due time is still in time.
	return q.epoch.Add(first.dueAt() + 1)
}

// Waiting returns how many requests of a target are waiting.
func (q *Queue) Waiting(target Target) int {
	tq := q.targets[target]
	if tq == nil {
		return 0
	}
	return tq.len()
}

// Len returns how many requests are waiting.
func (q *Queue) Len() int { return len(q.waiting) }

// Targets returns the targets with waiting requests, ordered by their earliest due time.
func (q *Queue) Targets() []Target {
	var waiting []*targetQueue
	for _, tq := range q.targetList {
		if tq.len() > 0 {
			waiting = append(waiting, tq)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *targetQueue) int { return cmp.Compare(a.earliestDue(), b.earliestDue()) })
	targets := make([]Target, len(waiting))
	for i, tq := range waiting {
		targets[i] = tq.target
	}
	return targets
}

// Wait returns how long a new request would wait behind all those waiting now. It is used for load reports.
func (q *Queue) Wait(target Target, class wirepb.Class, e Estimate) time.Duration {
	tq := q.targets[target]
	if tq == nil {
		return e.startDelay(0)
	}
	last := &waiter{deadline: maxDeadline}
	return e.startDelay(tq.ahead(last, tq.lane(Request{Class: class}), q.options.BatchEvery))
}

// maxDeadline is later than all deadlines and leaves enough room to avoid overflow.
const maxDeadline = time.Duration(1 << 62)
