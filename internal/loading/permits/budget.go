package permits

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// maxSlack bounds the slack of a request, so that an invalid value cannot overflow a time.
const maxSlack = 7 * 24 * time.Hour

// Budget is one issuer's view of the store's load budget. It is a state machine without clock or I/O: the caller passes
// in the time, calls Decide after each event and at the time returned by Next, and sends the grants. It is not safe for
// concurrent use.
type Budget struct {
	opts     Options
	accounts map[string]*account
	used     [numKinds]int
	queues   [numKinds]queue
	requests map[requestKey]*request
	sequence uint64
	// unanswered are the requests received since the last Decide.
	unanswered []*request
	grants     []Grant
	// nextStart is the earliest time at which the store's rate allows a load of weights to start.
	nextStart time.Time
	// nextExpiry is a lower bound of the next expiry; zero if there is none.
	nextExpiry time.Time
	durations  durations
}

// NewBudget returns a Budget without any loads in flight.
func NewBudget(opts Options) *Budget {
	opts = opts.withDefaults()
	return &Budget{
		opts:      opts,
		accounts:  map[string]*account{},
		requests:  map[requestKey]*request{},
		durations: newDurations(opts),
	}
}

// Request handles a permit request. The next Decide answers it with a permit or a retry delay; a request that got a
// retry delay keeps its place in the queue meanwhile and may get its permit earlier. Repeating a request with the same
// id is idempotent and updates the slack.
func (b *Budget) Request(now time.Time, agent string, req *wirepb.PermitRequest) {
	key := requestKey{agent, req.GetId()}
	if b.repeatGrant(now, key) {
		return
	}
	r := b.requests[key]
	if r == nil {
		b.sequence++
		r = &request{key: key, sequence: b.sequence}
	} else {
		b.queues[r.kind].remove(r)
	}
	slack := time.Duration(min(max(req.GetSlackMicros(), -maxSlack.Microseconds()), maxSlack.Microseconds())) * time.Microsecond
	r.kind = kindOf(req.GetKind())
	r.model = req.GetModel()
	r.prefetch = req.GetPrefetch()
	r.latestStart = now.Add(slack - b.durations.expected(r.kind, r.model))
	r.expires = now.Add(b.opts.MaxRetry + b.opts.Lease)
	r.answered = false
	b.requests[key] = r
	b.queues[r.kind].insert(r)
	b.nextExpiry = earlier(b.nextExpiry, r.expires)
	b.unanswered = append(b.unanswered, r)
	b.shed()
}

// repeatGrant answers an agent that repeats a request although it has a permit, because the permit was lost in transit.
// A permit that can no longer be used is revoked, so that the request waits like a new one.
func (b *Budget) repeatGrant(now time.Time, key requestKey) bool {
	a := b.accounts[key.agent]
	if a == nil {
		return false
	}
	for k := range numKinds {
		for _, p := range a.permits[k] {
			if p.id != key.id {
				continue
			}
			left := p.granted.Add(b.opts.StartWithin).Sub(now)
			if left > 0 {
				b.answer(key, left, 0)
				return true
			}
			b.change(key.agent, func(a *account) { a.take(key.id) })
			return false
		}
	}
	return false
}

// shed drops the least urgent requests beyond MaxPending. A request that already has a retry delay gets no second
// answer.
func (b *Budget) shed() {
	for len(b.requests) > b.opts.MaxPending {
		r := b.leastUrgent()
		b.drop(r)
		if !r.answered {
			b.answer(r.key, 0, b.opts.MaxRetry)
		}
	}
}

// leastUrgent returns the last request of the longest queue.
func (b *Budget) leastUrgent() *request {
	longest := weights
	if len(b.queues[adapters].items) > len(b.queues[weights].items) {
		longest = adapters
	}
	return b.queues[longest].last()
}

// drop removes a waiting request.
func (b *Budget) drop(r *request) {
	b.queues[r.kind].remove(r)
	delete(b.requests, r.key)
}

// Done records that an agent no longer uses a permit, or no longer requests one.
func (b *Budget) Done(now time.Time, agent, id string) {
	if r := b.requests[requestKey{agent, id}]; r != nil {
		b.drop(r)
	}
	if b.accounts[agent] == nil {
		return
	}
	b.change(agent, func(a *account) {
		p, k, ok := a.take(id)
		if !ok {
			return
		}
		a.loadEnded(k)
		b.durations.observe(k, p.model, now.Sub(p.granted))
	})
}

// InFlight records the loads that an agent has in flight from the store and renews the agent's leases. The caller
// invokes it on each heartbeat with the agent's last report.
func (b *Budget) InFlight(now time.Time, agent string, weightsInFlight, adaptersInFlight int) {
	idle := weightsInFlight <= 0 && adaptersInFlight <= 0
	if b.accounts[agent] == nil && (idle || len(b.accounts) >= b.opts.MaxPending) {
		return
	}
	b.change(agent, func(a *account) {
		a.report(weights, max(0, weightsInFlight), now, b.opts)
		a.report(adapters, max(0, adaptersInFlight), now, b.opts)
	})
}

// AgentGone removes an agent with its requests, permits and report.
func (b *Budget) AgentGone(_ time.Time, agent string) {
	for key, r := range b.requests {
		if key.agent == agent {
			b.drop(r)
		}
	}
	b.change(agent, func(a *account) { *a = account{} })
}

// change applies a change to an agent's account and updates the totals.
func (b *Budget) change(agent string, apply func(*account)) {
	a := b.accounts[agent]
	if a == nil {
		a = &account{}
		b.accounts[agent] = a
	}
	for k := range numKinds {
		b.used[k] -= a.used(k)
	}
	apply(a)
	for k := range numKinds {
		b.used[k] += a.used(k)
	}
	b.nextExpiry = earlier(b.nextExpiry, a.nextExpiry())
	if a.empty() {
		delete(b.accounts, agent)
	}
}
