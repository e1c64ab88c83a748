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
	// hopelessFactor is how much faster than estimated a target would have to serve for a waiting request to be kept: an
	// estimate that jumps for a moment must not throw out the queue.
	hopelessFactor = 2
)

// The details of refusals.
const (
	detailDuplicate   = "another request with this identifier waits"
	detailCallerBound = "the caller has too many waiting requests"
	detailFull        = "the queue is full"
	detailDisplaced   = "made room for another caller or class"
	detailHopeless    = "cannot start before the deadline"
)

// Queue holds the requests that wait at one endpoint. It is not safe for concurrent use.
//
// Within a target and class the request that must start earliest goes first; for requests of one kind that is the
// earliest deadline first. Interactive requests go before batch, but for a bounded share that keeps batch moving. Offer,
// Next and Remove take O(log n) of the waiting requests; NextAny and Expire go over the targets for which any wait.
type Queue struct {
	options  Options
	random   *rand.Rand
	epoch    time.Time
	sequence uint64
	waiting  map[string]*waiter
	lines    map[Target]*line
	// inOrder holds the lines in a fixed order: that of a map would make the queue's answers differ from run to run.
	inOrder []*line
	pools   map[poolKey]*pool
	callers map[string]int
	// latest is the last time that a call told.
	latest time.Time
	// due ranks the lanes by the time at which their first request must start, and full those of each class by length.
	due             ranking[dueLane]
	fullInteractive ranking[fullLane]
	fullBatch       ranking[fullLane]
	// sinceBatch is for NextAny what a line's own count is for Next.
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
		lines:   make(map[Target]*line),
		pools:   make(map[poolKey]*pool),
		callers: make(map[string]int),
	}
	q.due.before = func(a, b dueLane) bool { return a.dueAt() < b.dueAt() }
	q.fullInteractive.before = func(a, b fullLane) bool { return a.len() > b.len() }
	q.fullBatch.before = q.fullInteractive.before
	return q
}

// Offer takes a request into the queue or refuses it. A displaced request made room for it and did not run. The
// identifier must be unique among the waiting requests.
func (q *Queue) Offer(now time.Time, r Request, e Estimate) (displaced []Refusal, refused *Refusal) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.latest = now
	l := q.lineOf(r.Target)
	q.tell(l, e)
	w := q.waiterFor(r)
	victim, reason, detail := q.judge(now, l, w, e)
	if detail != "" {
		refusal := q.refuse(now, w, l, e, reason, detail)
		q.forget(l, now)
		return nil, &refusal
	}
	if victim != nil {
		q.remove(victim)
		displaced = append(displaced, q.refuse(now, victim, victim.lane.line, e, wirepb.RefusalReason_QUEUE_FULL, detailDisplaced))
	}
	q.insert(l.lane(r), w)
	return displaced, nil
}

// judge finds whether a new request may wait: alone, in the place of a victim, or, with a reason and detail, not.
func (q *Queue) judge(now time.Time, l *line, w *waiter, e Estimate) (*waiter, wirepb.RefusalReason, string) {
	r := w.request
	if q.waiting[r.ID] != nil {
		return nil, wirepb.RefusalReason_CANCELLED, detailDuplicate
	}
	if q.options.MaxPerCaller > 0 && q.callers[r.Caller] >= q.options.MaxPerCaller {
		return nil, wirepb.RefusalReason_QUEUE_FULL, detailCallerBound
	}
	victim, ok := q.makeRoom(l, w)
	if !ok {
		return nil, wirepb.RefusalReason_QUEUE_FULL, detailFull
	}
	victim, ok = q.inTime(now, l, w, e, victim)
	if !ok {
		return nil, wirepb.RefusalReason_DEADLINE, detailHopeless
	}
	return victim, 0, ""
}

// makeRoom finds the request that a new one displaces when a bound is reached, nil when none is, or false when it may
// displace nobody: interactive requests displace batch ones, and callers with few those with many.
func (q *Queue) makeRoom(l *line, w *waiter) (*waiter, bool) {
	isBatch := w.request.Class == wirepb.Class_BATCH
	same, batch := l, l
	switch {
	case q.options.MaxPerTarget > 0 && l.len() >= q.options.MaxPerTarget:
	case q.options.MaxWaiting > 0 && len(q.waiting) >= q.options.MaxWaiting:
		same, batch = q.fullest(isBatch), q.fullest(true)
	default:
		return nil, true
	}
	if !isBatch && batch != nil {
		if s, _ := batch.largest(true); s != nil {
			return s.order.last(), true
		}
	}
	if same == nil {
		return nil, false
	}
	s, _ := same.heaviest(w.request.Caller, isBatch)
	if s == nil {
		return nil, false
	}
	return s.order.last(), true
}

// inTime checks that the requests ahead leave a new one enough time, given the victim that is already chosen. A caller
// who fills the queue up to what can be served in time would keep all others out; so where one request ahead belongs to a
// caller with a larger share, that one is the victim.
func (q *Queue) inTime(now time.Time, l *line, w *waiter, e Estimate, victim *waiter) (*waiter, bool) {
	in := l.lane(w.request)
	ahead := l.ahead(w, in, q.options.BatchEvery)
	if victim != nil && victim.lane == in && victim.before(w) {
		ahead--
	}
	if e.promises(now, w.request, ahead) {
		return victim, true
	}
	if victim != nil || !e.promises(now, w.request, ahead-1) {
		return nil, false
	}
	s, of := l.heaviest(w.request.Caller, in.batch)
	if s == nil {
		return nil, false
	}
	victim = s.order.lastBefore(of.like(w, in))
	return victim, victim != nil
}

// Next takes out the request of a target that should start now, and refuses those before it that cannot make their
// deadline any more. The last result is false when none waits.
func (q *Queue) Next(now time.Time, target Target, e Estimate) (Request, []Refusal, bool) {
	l := q.lines[target]
	if l == nil {
		return Request{}, nil, false
	}
	defer q.forget(l, now)
	q.latest = now
	q.tell(l, e)
	var refusals []Refusal
	for {
		from := l.turn(q.options.BatchEvery)
		if from == nil {
			return Request{}, refusals, false
		}
		w := from.order.first()
		q.remove(w)
		if e.makes(now, w.request, 0) {
			l.started(from)
			return w.request, refusals, true
		}
		refusals = append(refusals, q.refuse(now, w, l, e, wirepb.RefusalReason_DEADLINE, detailHopeless))
	}
}

// NextAny is Next over all targets for which ready returns an estimate and true: the interactive request that must start
// earliest, or after a run of them the batch request.
func (q *Queue) NextAny(now time.Time, ready func(Target) (Estimate, bool)) (Request, []Refusal, bool) {
	q.latest = now
	var refusals []Refusal
	for {
		from, e := q.turnAny(ready)
		if from == nil {
			return Request{}, refusals, false
		}
		w := from.order.first()
		q.remove(w)
		q.forget(from.line, now)
		if e.makes(now, w.request, 0) {
			q.countStart(from)
			return w.request, refusals, true
		}
		refusals = append(refusals, q.refuse(now, w, from.line, e, wirepb.RefusalReason_DEADLINE, detailHopeless))
	}
}

// turnAny returns the lane whose first request starts next, or nil.
func (q *Queue) turnAny(ready func(Target) (Estimate, bool)) (*lane, Estimate) {
	var first [2]*lane
	var estimates [2]Estimate
	for _, l := range q.inOrder {
		if l.len() == 0 {
			continue
		}
		e, ok := ready(l.target)
		if !ok {
			l.ready = false
			continue
		}
		q.tell(l, e)
		for i, batch := range []bool{false, true} {
			if from := l.first(batch); from != nil && (first[i] == nil || from.goesBefore(first[i])) {
				first[i], estimates[i] = from, e
			}
		}
	}
	if first[0] == nil || first[1] != nil && q.sinceBatch >= q.options.BatchEvery {
		return first[1], estimates[1]
	}
	return first[0], estimates[0]
}

func (q *Queue) countStart(from *lane) {
	if from.batch || q.fullest(true) == nil {
		q.sinceBatch = 0
		return
	}
	q.sinceBatch++
}

// Remove takes a request out, for example when its caller went away, and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	w := q.waiting[id]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

// Wake returns the time at which Expire is next needed, the zero time when nothing waits. Expire is needed as well when
// an estimate grows, for example because a load takes longer.
func (q *Queue) Wake() time.Time {
	l, ok := q.due.top()
	if !ok {
		return time.Time{}
	}
	// A start at the due time itself is still in time.
	return q.epoch.Add(l.dueAt() + 1)
}

// Waiting returns how many requests of a target wait.
func (q *Queue) Waiting(target Target) int {
	l := q.lines[target]
	if l == nil {
		return 0
	}
	return l.len()
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Targets returns the targets for which requests wait, the one with the earliest request first.
func (q *Queue) Targets() []Target {
	var waiting []*line
	for _, l := range q.inOrder {
		if l.len() > 0 {
			waiting = append(waiting, l)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *line) int { return cmp.Compare(a.earliest(), b.earliest()) })
	targets := make([]Target, len(waiting))
	for i, l := range waiting {
		targets[i] = l.target
	}
	return targets
}

// Wait returns how long a new request would wait behind all those that wait now, for load reports.
func (q *Queue) Wait(target Target, class wirepb.Class, e Estimate) time.Duration {
	l := q.lines[target]
	if l == nil {
		return e.delay(0)
	}
	last := &waiter{deadline: endOfTime}
	return e.delay(l.ahead(last, l.lane(Request{Class: class}), q.options.BatchEvery))
}

// endOfTime lies behind all deadlines, far enough from overflow.
const endOfTime = time.Duration(1 << 62)
