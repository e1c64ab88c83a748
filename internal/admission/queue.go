package admission

import (
	"cmp"
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Queue holds the requests that wait at one endpoint. It is not safe for concurrent use.
type Queue struct {
	options Options
	items   []Request
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	return &Queue{options: options}
}

// Offer takes a request into the queue or refuses it. A displaced request made room for it and did not run.
func (q *Queue) Offer(now time.Time, r Request, e Estimate) (displaced []Refusal, refused *Refusal) {
	if !feasible(now, r, e) {
		return nil, &Refusal{ID: r.ID, Reason: wirepb.RefusalReason_DEADLINE, RetryAfter: e.ReadyIn}
	}
	if len(q.items) >= q.options.MaxWaiting || q.Waiting(r.Target) >= q.options.MaxPerTarget {
		return nil, &Refusal{ID: r.ID, Reason: wirepb.RefusalReason_QUEUE_FULL, RetryAfter: e.Service}
	}
	q.items = append(q.items, r)
	slices.SortStableFunc(q.items, func(a, b Request) int {
		if c := cmp.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		return a.Deadline.Compare(b.Deadline)
	})
	return nil, nil
}

// Next takes out the request of a target that should start now, and refuses those before it that cannot make their
// deadline any more. The last result is false when none waits.
func (q *Queue) Next(now time.Time, target Target, e Estimate) (Request, []Refusal, bool) {
	var refusals []Refusal
	for i := 0; i < len(q.items); {
		r := q.items[i]
		if r.Target != target {
			i++
			continue
		}
		q.items = slices.Delete(q.items, i, i+1)
		if feasible(now, r, e) {
			return r, refusals, true
		}
		refusals = append(refusals, Refusal{ID: r.ID, Reason: wirepb.RefusalReason_DEADLINE})
	}
	return Request{}, refusals, false
}

// NextAny is Next over all targets for which ready returns true, earliest first.
func (q *Queue) NextAny(now time.Time, ready func(Target) (Estimate, bool)) (Request, []Refusal, bool) {
	var refusals []Refusal
	for _, target := range q.Targets() {
		e, ok := ready(target)
		if !ok {
			continue
		}
		r, refused, found := q.Next(now, target, e)
		refusals = append(refusals, refused...)
		if found {
			return r, refusals, true
		}
	}
	return Request{}, refusals, false
}

// Remove takes a request out, for example when its caller went away, and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	i := slices.IndexFunc(q.items, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Expire refuses all requests that cannot make their deadline any more. Call it at Wake and when an estimate grows.
func (q *Queue) Expire(now time.Time, estimate func(Target) Estimate) []Refusal {
	var refusals []Refusal
	kept := q.items[:0]
	for _, r := range q.items {
		if feasible(now, r, estimate(r.Target)) {
			kept = append(kept, r)
			continue
		}
		refusals = append(refusals, Refusal{ID: r.ID, Reason: wirepb.RefusalReason_DEADLINE})
	}
	q.items = kept
	return refusals
}

// Wake returns the time at which Expire is next needed, the zero time when nothing waits.
func (q *Queue) Wake() time.Time {
	var wake time.Time
	for _, r := range q.items {
		if wake.IsZero() || r.Deadline.Before(wake) {
			wake = r.Deadline
		}
	}
	return wake
}

// Waiting returns how many requests of a target wait.
func (q *Queue) Waiting(target Target) int {
	n := 0
	for _, r := range q.items {
		if r.Target == target {
			n++
		}
	}
	return n
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Targets returns the targets for which requests wait, the one with the earliest request first.
func (q *Queue) Targets() []Target {
	var targets []Target
	for _, r := range q.items {
		if !slices.Contains(targets, r.Target) {
			targets = append(targets, r.Target)
		}
	}
	return targets
}

// Drain refuses all waiting requests, for example because the agent stops.
func (q *Queue) Drain(reason wirepb.RefusalReason) []Refusal {
	return q.refuseAll(func(Request) bool { return true }, reason, 0, "")
}

// DrainTarget refuses the waiting requests of one target; those come back after at least retryAfter.
func (q *Queue) DrainTarget(target Target, reason wirepb.RefusalReason, retryAfter time.Duration, detail string) []Refusal {
	return q.refuseAll(func(r Request) bool { return r.Target == target }, reason, retryAfter, detail)
}

func (q *Queue) refuseAll(match func(Request) bool, reason wirepb.RefusalReason, after time.Duration, detail string) []Refusal {
	var refusals []Refusal
	kept := q.items[:0]
	for _, r := range q.items {
		if !match(r) {
			kept = append(kept, r)
			continue
		}
		refusals = append(refusals, Refusal{ID: r.ID, Reason: reason, RetryAfter: after, Detail: detail})
	}
	q.items = kept
	return refusals
}

// Wait returns how long a new request of the target and class would wait, for load reports.
func (q *Queue) Wait(target Target, class wirepb.Class, e Estimate) time.Duration {
	return readyIn(e) + time.Duration(q.Waiting(target))*e.Service/time.Duration(max(1, e.Concurrency))
}

func readyIn(e Estimate) time.Duration {
	if e.Ready {
		return 0
	}
	return e.ReadyIn
}

// need is the cautious time from the start of a request until it makes its deadline.
func need(r Request, e Estimate) time.Duration {
	if r.Stream {
		return cmp.Or(e.First, e.Service)
	}
	return cmp.Or(e.Whole, e.Service)
}

func feasible(now time.Time, r Request, e Estimate) bool {
	return !now.Add(readyIn(e) + need(r, e)).After(r.Deadline)
}
