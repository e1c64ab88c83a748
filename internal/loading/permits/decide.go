package permits

import (
	"math"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Grant is the answer to a request of an agent: a permit, or the delay before it should retry.
type Grant struct {
	Agent  string
	Permit *wirepb.Permit
}

// Decide returns the pending answers: permits as far as the limits allow, most urgent first, and a retry delay for each
// new request that must wait.
func (b *Budget) Decide(now time.Time) []Grant {
	b.expire(now)
	for k := range numKinds {
		b.grantAll(now, k)
	}
	b.answerWaiting(now)
	grants := b.grants
	b.grants = nil
	return grants
}

// grantAll grants permits of one kind while the limits allow.
func (b *Budget) grantAll(now time.Time, k kind) {
	for b.used[k] < b.limit(k) && !b.rateLimited(now, k) {
		r := b.queues[k].next(now, b.durations.overall[k])
		if r == nil {
			return
		}
		b.grant(now, r)
	}
}

// limit returns how many loads of a kind may be in flight. An undeclared limit means unlimited: as zero, it would deny
// each cold start until the agents stop waiting for a permit.
func (b *Budget) limit(k kind) int {
	limit := b.opts.LoadsAtOnce
	if k == adapters {
		limit = b.opts.MaxAdapterLoads
	}
	if limit <= 0 {
		return math.MaxInt
	}
	return limit
}

// rateLimited reports whether the store's rate forbids a start at now.
func (b *Budget) rateLimited(now time.Time, k kind) bool {
	return k == weights && now.Before(b.nextStart)
}

// grant grants a permit for a request.
func (b *Budget) grant(now time.Time, r *request) {
	b.drop(r)
	r.answered = true
	p := permit{id: r.key.id, model: r.model, granted: now, expires: now.Add(b.opts.Lease)}
	b.change(r.key.agent, func(a *account) { a.permits[r.kind] = append(a.permits[r.kind], p) })
	if r.kind == weights {
		b.nextStart = now.Add(b.opts.spacing())
	}
	b.answer(r.key, b.opts.StartWithin, 0)
}

// answer queues an answer to be sent.
func (b *Budget) answer(key requestKey, valid, retryAfter time.Duration) {
	p := &wirepb.Permit{Id: key.id, ValidMicros: valid.Microseconds(), RetryAfterMicros: retryAfter.Microseconds()}
	b.grants = append(b.grants, Grant{Agent: key.agent, Permit: p})
}

// answerWaiting sends a retry delay to the new requests that got no permit.
func (b *Budget) answerWaiting(now time.Time) {
	for _, r := range b.unanswered {
		if r.answered || b.requests[r.key] != r {
			continue
		}
		r.answered = true
		retry := b.retryAfter(r)
		r.expires = now.Add(retry + b.opts.Lease)
		b.answer(r.key, 0, retry)
	}
	b.unanswered = b.unanswered[:0]
}

// retryAfter estimates when a request will be served from its rank and the rate of the loads ahead of it. Ranks differ,
// which spreads out the retries.
func (b *Budget) retryAfter(r *request) time.Duration {
	pace := b.durations.overall[r.kind] / time.Duration(max(1, b.limit(r.kind)))
	if r.kind == weights {
		pace = max(pace, b.opts.spacing())
	}
	turn := pace * time.Duration(b.queues[r.kind].rank(r)+1)
	return min(max(turn, b.opts.MinRetry), b.opts.MaxRetry)
}

// expire drops expired permits, reports and requests.
func (b *Budget) expire(now time.Time) {
	if b.nextExpiry.IsZero() || now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = time.Time{}
	for agent := range b.accounts {
		b.change(agent, func(a *account) { a.expire(now) })
	}
	for _, r := range b.requests {
		if !now.Before(r.expires) {
			b.drop(r)
			continue
		}
		b.nextExpiry = earlier(b.nextExpiry, r.expires)
	}
}

// Next returns when to call Decide again if no event happens before; zero if only an event can change the result.
func (b *Budget) Next() time.Time {
	next := b.nextExpiry
	if len(b.queues[weights].items) > 0 && b.used[weights] < b.limit(weights) {
		next = earlier(next, b.nextStart)
	}
	return next
}
