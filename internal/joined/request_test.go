package joined

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

const (
	candidatePatience = time.Second
	claimPatience     = time.Second
	maxAttempts       = 4
)

// answer is an answer on its way to the caller. Of one that is not streamed nothing is sent before it is whole.
type answer struct {
	head, begun, streamed bool
	status                int
	held                  []byte
	length                uint64
	checksum              *xxhash.Digest
}

func newAnswer() *answer { return &answer{checksum: xxhash.New()} }

func (a *answer) setHead(head *wirepb.Head, streamed bool) {
	a.head, a.streamed, a.status = true, streamed, int(head.Status)
}

func (a *answer) add(c *call, data []byte) {
	a.length += uint64(len(data))
	_, _ = a.checksum.Write(data)
	if a.streamed {
		a.begun = true
		c.receive(data)
		return
	}
	a.held = append(a.held, data...)
}

func (a *answer) verify(t *wirepb.Trailer) bool {
	return a.head && a.length == t.Length && a.checksum.Sum64() == t.Checksum
}

// request is one caller's request at an entry.
type request struct {
	entry      *entry
	call       *call
	id         string
	number     int
	target     admission.Target
	class      wirepb.Class
	deadline   time.Time
	streamed   bool
	idempotent bool
	state      *routing.RequestState
	tried      []string
	out        *answer
	current    *attempt
	held       atmostonce.ClaimRow
	claimed    bool
	// until is how long the request waits for an endpoint; asked is set once a slot was asked for.
	until time.Time
	asked bool
	// gone is set when the caller went away.
	gone bool
	done bool
}

func sortedRequests(set map[*request]bool) []*request {
	return slices.SortedFunc(maps.Keys(set), func(a, b *request) int { return cmp.Compare(a.number, b.number) })
}

// take takes a caller's request.
func (e *entry) take(c *call) {
	e.sequence++
	r := &request{
		entry: e, call: c, number: e.sequence, id: e.w.newRequestID(e, c), class: c.class, deadline: e.now().Add(c.left),
		streamed: c.streamed, idempotent: c.service == "" || c.idempotent, out: newAnswer(),
	}
	set := e.store.Current()
	if c.service == "" {
		resolved, err := set.Resolve(c.model)
		if !e.ready() && !e.draining || err != nil {
			c.tell(e, toldNotRun, "")
			return
		}
		r.target = admission.Target{Model: resolved.Model, Adapter: resolved.Adapter}
	} else {
		if _, ok := set.Service(c.service); !ok {
			c.tell(e, toldNotRun, "")
			return
		}
		r.target = admission.Target{Service: c.service}
	}
	if e.limiter.Acquire(e.now(), r.class) != nil {
		c.tell(e, toldNotRun, "")
		return
	}
	e.requests[r] = true
	e.logf("%s takes %s for %v as %s", e.name, c.token, r.target, r.id)
	if c.leaves > 0 {
		e.later(c.leaves, r.callerLeaves)
	}
	if r.idempotent || c.key == "" {
		r.forward()
		return
	}
	r.claim()
}

// callerLeaves withdraws a request whose caller went away.
func (r *request) callerLeaves() {
	if r.done {
		return
	}
	r.gone, r.call.gone = true, true
	switch {
	case r.entry.picking[r]:
		r.repick()()
	case r.current != nil && r.current.phase == following:
		r.current.step(atmostonce.Abandoned)
	}
}

// claim takes the idempotency key. The time that this took is waited for before anything else happens.
func (r *request) claim() {
	e := r.entry
	began := time.Now()
	held, outcome, err := e.claims.Claim(context.Background(), atmostonce.ClaimRequest{
		Service: r.target.Service, Key: r.call.key, Owner: r.id, Fingerprint: 1, Deadline: began.Add(r.deadline.Sub(e.now())),
	})
	took := time.Since(began) + e.w.net.latency()
	e.logf("%s claims %s for %s: %v %v after %v", e.name, r.call.key, r.id, outcome, errors.Cause(err), took)
	e.later(took, func() {
		switch {
		case err != nil:
			r.conclude(toldNotRun, "")
		case outcome == atmostonce.ClaimGranted:
			r.held, r.claimed = held, true
			r.forward()
		case outcome == atmostonce.ClaimCompleted:
			r.conclude(toldReplayed, string(held.Claim.Body))
		default:
			r.conclude(toldUnknown, "")
		}
	})
}

// forward serves the request through attempts until one succeeds or the request is given up.
func (r *request) forward() {
	r.state = &routing.RequestState{
		Idempotent: r.idempotent, Deadline: r.deadline, MaxAttempts: maxAttempts, Budget: r.entry.budget,
	}
	r.pick()
}

// pick chooses an endpoint, waiting for one while none can be used.
func (r *request) pick() {
	now := r.entry.now()
	r.until = now.Add(min(candidatePatience, r.deadline.Sub(now)))
	r.asked = false
	r.tryPick()
}

func (r *request) tryPick() {
	e := r.entry
	list := e.candidates(r.target)
	if i, ok := e.router.Pick(e.now(), list, r.tried, r.class); ok {
		r.attempt(list[i])
		return
	}
	if len(r.tried) > 0 && len(list) > 0 {
		r.noneLeft()
		return
	}
	if !r.asked && r.target.Model != "" {
		r.asked = true
		e.grants.RequestSlot("", r.target.Model, wirepb.RefusalReason_NOT_GRANTED, 1)
		e.wakeGrants(grantSettle)
	}
	left := r.until.Sub(e.now())
	if left <= 0 || r.gone {
		r.noneLeft()
		return
	}
	e.picking[r] = true
	e.later(left, r.repick())
}

// repick returns what tries the choice again, once, if the request waits for one.
func (r *request) repick() func() {
	return func() {
		if r.entry.picking[r] {
			delete(r.entry.picking, r)
			r.tryPick()
		}
	}
}

// noneLeft ends a request for which no endpoint is left: "not run" only when no earlier attempt may have run.
func (r *request) noneLeft() {
	if r.state.MayHaveRun {
		r.end(toldUnknown, fateUnknown, nil)
		return
	}
	r.end(toldNotRun, fateNotRun, nil)
}

func (r *request) attempt(c routing.Candidate) {
	r.tried = append(r.tried, c.Endpoint)
	r.current = &attempt{
		request: r, candidate: c, exchange: atmostonce.NewExchange(!r.idempotent), began: r.entry.now(),
		lastWord: atmostonce.EndNotRun, last: !r.untried(),
	}
	r.current.begin()
}

func (r *request) untried() bool {
	return slices.ContainsFunc(r.entry.candidates(r.target), func(c routing.Candidate) bool {
		return c.Reachable && !c.Leaving && !slices.Contains(r.tried, c.Endpoint)
	})
}

// attempted takes the end of an attempt.
func (r *request) attempted(t *attempt, a routing.Attempt) {
	e := r.entry
	r.state.AnswerBegun, r.state.HasUntried = r.out.begun, r.untried()
	verdict := routing.Decide(e.now(), a, r.state)
	e.logf("%s: attempt of %s at %s ended %d, verdict %d %v wait %v", e.name, r.id, a.Endpoint, a.Outcome, verdict.Kind, a.Reason, verdict.Wait)
	if verdict.Kind == routing.VerdictDone {
		e.budget.Success()
	}
	if r.gone {
		r.end(toldCut, fateOf(r.state, a), t)
		return
	}
	switch verdict.Kind {
	case routing.VerdictDone:
		r.end(toldWhole, fateServed, nil)
	case routing.VerdictRetry:
		r.out = newAnswer()
		e.later(verdict.Wait, func() {
			if r.gone {
				r.end(toldCut, fateOf(r.state, a), nil)
				return
			}
			if verdict.Wait > 0 {
				r.tried = nil
			}
			r.pick()
		})
	case routing.VerdictRefuse:
		r.end(toldNotRun, fateNotRun, nil)
	case routing.VerdictUnknown:
		r.end(toldUnknown, fateUnknown, t)
	case routing.VerdictAbort:
		r.end(toldCut, fateUnknown, t)
	}
}

func fateOf(state *routing.RequestState, a routing.Attempt) fate {
	switch {
	case a.Outcome == routing.OutcomeServed:
		return fateServed
	case state.MayHaveRun:
		return fateUnknown
	default:
		return fateNotRun
	}
}

// end ends the forwarding of a request, and its claim with it.
func (r *request) end(word told, f fate, last *attempt) {
	body := string(r.out.held)
	switch {
	case !r.claimed:
	case last != nil && last.exchange.Open():
		last.settled = func(f fate) { r.settle(f, false, "") }
	case r.entry.w.without == guardAnswerFirst:
		took := r.settle(f, true, body)
		r.entry.later(took, func() { r.conclude(word, body) })
		return
	default:
		r.settle(f, true, body)
	}
	r.conclude(word, body)
}

// settle records the end of the claim and returns how long that took.
func (r *request) settle(f fate, kept bool, body string) time.Duration {
	began, ctx := time.Now(), context.Background()
	var err error
	switch {
	case f == fateNotRun:
		err = r.entry.claims.Free(ctx, r.held)
	case f == fateServed && kept:
		err = r.entry.claims.Finish(ctx, r.held, atmostonce.ClaimDone, atmostonce.Response{Status: 200, Body: []byte(body)})
	default:
		err = r.entry.claims.Finish(ctx, r.held, atmostonce.ClaimUnknown, atmostonce.Response{})
	}
	r.entry.logf("%s settles the claim of %s as %d: %v", r.entry.name, r.id, f, errors.Cause(err))
	return time.Since(began)
}

// conclude gives the caller the final answer.
func (r *request) conclude(word told, body string) {
	e := r.entry
	if r.done {
		e.violated("P3", "%s is answered twice", r.id)
	}
	r.done = true
	delete(e.requests, r)
	e.limiter.Release(e.now(), r.class)
	if word == toldWhole && !r.out.begun {
		r.call.receive([]byte(body))
	}
	r.call.tell(e, word, body)
}
