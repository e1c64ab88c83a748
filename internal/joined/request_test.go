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
	candidateTimeout = time.Second
	claimTimeout     = time.Second
	maxAttempts      = 4
)

// responseBuffer is an answer that is being received. Unless it is streamed, it is not passed on before it is complete.
type responseBuffer struct {
	head, begun, streamed bool
	status                int
	buffered              []byte
	length                uint64
	checksum              *xxhash.Digest
}

func newResponseBuffer() *responseBuffer { return &responseBuffer{checksum: xxhash.New()} }

func (a *responseBuffer) setHead(head *wirepb.Head, streamed bool) {
	a.head, a.streamed, a.status = true, streamed, int(head.Status)
}

func (a *responseBuffer) add(c *call, data []byte) {
	a.length += uint64(len(data))
	_, _ = a.checksum.Write(data)
	if a.streamed {
		a.begun = true
		c.receive(data)
		return
	}
	a.buffered = append(a.buffered, data...)
}

func (a *responseBuffer) verify(t *wirepb.Trailer) bool {
	return a.head && a.length == t.Length && a.checksum.Sum64() == t.Checksum
}

// request is a caller's request at an entry.
type request struct {
	entry       *entry
	call        *call
	id          string
	number      int
	target      admission.Target
	class       wirepb.Class
	deadline    time.Time
	streamed    bool
	idempotent  bool
	state       *routing.RequestState
	tried       []string
	response    *responseBuffer
	current     *attempt
	claimHandle atmostonce.ClaimRow
	claimed     bool
	// pickDeadline is the time until which the request waits for an endpoint; slotRequested is set once a slot was
	// requested.
	pickDeadline  time.Time
	slotRequested bool
	// callerGone is set when the caller has disconnected.
	callerGone bool
	done       bool
}

func sortedRequests(set map[*request]bool) []*request {
	return slices.SortedFunc(maps.Keys(set), func(a, b *request) int { return cmp.Compare(a.number, b.number) })
}

// handleCall handles a call that arrived at the entry.
func (e *entry) handleCall(c *call) {
	e.sequence++
	r := &request{
		entry: e, call: c, number: e.sequence, id: e.w.newRequestID(e, c), class: c.class, deadline: e.now().Add(c.timeout),
		streamed: c.streamed, idempotent: c.service == "" || c.idempotent, response: newResponseBuffer(),
	}
	set := e.store.Current()
	if c.service == "" {
		resolved, err := set.Resolve(c.model)
		if !e.ready() && !e.draining || err != nil {
			c.deliver(e, resultNotRun, "")
			return
		}
		r.target = admission.Target{Model: resolved.Model, Adapter: resolved.Adapter}
	} else {
		if _, ok := set.Service(c.service); !ok {
			c.deliver(e, resultNotRun, "")
			return
		}
		r.target = admission.Target{Service: c.service}
	}
	if e.limiter.Acquire(e.now(), r.class) != nil {
		c.deliver(e, resultNotRun, "")
		return
	}
	e.requests[r] = true
	e.logf("%s accepts %s for %v as %s", e.name, c.token, r.target, r.id)
	if c.disconnectAfter > 0 {
		e.later(c.disconnectAfter, r.handleCallerGone)
	}
	if r.idempotent || c.key == "" {
		r.forward()
		return
	}
	r.claim()
}

// handleCallerGone withdraws a request whose caller has disconnected.
func (r *request) handleCallerGone() {
	if r.done {
		return
	}
	r.callerGone, r.call.disconnected = true, true
	switch {
	case r.entry.picking[r]:
		r.repick()()
	case r.current != nil && r.current.phase == phaseActive:
		r.current.step(atmostonce.Abandoned)
	}
}

// claim claims the idempotency key. The elapsed time of the call is added to virtual time before the request continues.
func (r *request) claim() {
	e := r.entry
	began := time.Now()
	handle, outcome, err := e.claims.Claim(context.Background(), atmostonce.ClaimRequest{
		Service: r.target.Service, Key: r.call.key, Owner: r.id, Fingerprint: 1, Deadline: began.Add(r.deadline.Sub(e.now())),
	})
	elapsed := time.Since(began) + e.w.net.latency()
	e.logf("%s claims %s for %s: %v %v after %v", e.name, r.call.key, r.id, outcome, errors.Cause(err), elapsed)
	e.later(elapsed, func() {
		switch {
		case err != nil:
			r.conclude(resultNotRun, "")
		case outcome == atmostonce.ClaimGranted:
			r.claimHandle, r.claimed = handle, true
			r.forward()
		case outcome == atmostonce.ClaimCompleted:
			r.conclude(resultReplayed, string(handle.Claim.Body))
		default:
			r.conclude(resultUnknown, "")
		}
	})
}

// forward makes attempts until one succeeds or the request fails.
func (r *request) forward() {
	r.state = &routing.RequestState{
		Idempotent: r.idempotent, Deadline: r.deadline, MaxAttempts: maxAttempts, Budget: r.entry.budget,
	}
	r.pick()
}

// pick picks an endpoint, or waits for one while none is usable.
func (r *request) pick() {
	now := r.entry.now()
	r.pickDeadline = now.Add(min(candidateTimeout, r.deadline.Sub(now)))
	r.slotRequested = false
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
		r.endUnrouted()
		return
	}
	if !r.slotRequested && r.target.Model != "" {
		r.slotRequested = true
		e.grants.RequestSlot("", r.target.Model, wirepb.RefusalReason_NOT_GRANTED, 1)
		e.scheduleGrantRound(grantSettle)
	}
	left := r.pickDeadline.Sub(e.now())
	if left <= 0 || r.callerGone {
		r.endUnrouted()
		return
	}
	e.picking[r] = true
	e.later(left, r.repick())
}

// repick returns a function that retries the pick if the request is still waiting for an endpoint.
func (r *request) repick() func() {
	return func() {
		if r.entry.picking[r] {
			delete(r.entry.picking, r)
			r.tryPick()
		}
	}
}

// endUnrouted ends a request for which no endpoint is left. The result is "not run" only if no earlier attempt may have
// run.
func (r *request) endUnrouted() {
	if r.state.MayHaveRun {
		r.end(resultUnknown, settledUnknown, nil)
		return
	}
	r.end(resultNotRun, settledNotRun, nil)
}

func (r *request) attempt(c routing.Candidate) {
	r.tried = append(r.tried, c.Endpoint)
	r.current = &attempt{
		request: r, candidate: c, exchange: atmostonce.NewExchange(!r.idempotent), began: r.entry.now(),
		endAction: atmostonce.EndNotRun, noAlternative: !r.hasUntried(),
	}
	r.current.begin()
}

func (r *request) hasUntried() bool {
	return slices.ContainsFunc(r.entry.candidates(r.target), func(c routing.Candidate) bool {
		return c.Reachable && !c.Leaving && !slices.Contains(r.tried, c.Endpoint)
	})
}

// handleAttemptEnd handles the end of an attempt.
func (r *request) handleAttemptEnd(t *attempt, a routing.Attempt) {
	e := r.entry
	r.state.AnswerBegun, r.state.HasUntried = r.response.begun, r.hasUntried()
	verdict := routing.Decide(e.now(), a, r.state)
	e.logf("%s: attempt of %s at %s ended %d, verdict %d %v wait %v", e.name, r.id, a.Endpoint, a.Outcome, verdict.Kind, a.Reason, verdict.Wait)
	if verdict.Kind == routing.VerdictDone {
		e.budget.Success()
	}
	if r.callerGone {
		r.end(resultCut, settlementOf(r.state, a), t)
		return
	}
	switch verdict.Kind {
	case routing.VerdictDone:
		r.end(resultWhole, settledServed, nil)
	case routing.VerdictRetry:
		r.response = newResponseBuffer()
		e.later(verdict.Wait, func() {
			if r.callerGone {
				r.end(resultCut, settlementOf(r.state, a), nil)
				return
			}
			if verdict.Wait > 0 {
				r.tried = nil
			}
			r.pick()
		})
	case routing.VerdictRefuse:
		r.end(resultNotRun, settledNotRun, nil)
	case routing.VerdictUnknown:
		r.end(resultUnknown, settledUnknown, t)
	case routing.VerdictAbort:
		r.end(resultCut, settledUnknown, t)
	}
}

func settlementOf(state *routing.RequestState, a routing.Attempt) settlement {
	switch {
	case a.Outcome == routing.OutcomeServed:
		return settledServed
	case state.MayHaveRun:
		return settledUnknown
	default:
		return settledNotRun
	}
}

// end ends the forwarding of a request and settles its claim.
func (r *request) end(result callResult, f settlement, last *attempt) {
	body := string(r.response.buffered)
	switch {
	case !r.claimed:
	case last != nil && last.exchange.Open():
		last.onSettled = func(f settlement) { r.settleClaim(f, false, "") }
	case r.entry.w.disabledGuard == guardAnswerBeforeRecord:
		elapsed := r.settleClaim(f, true, body)
		r.entry.later(elapsed, func() { r.conclude(result, body) })
		return
	default:
		r.settleClaim(f, true, body)
	}
	r.conclude(result, body)
}

// settleClaim records the outcome of the claim and returns the elapsed time.
func (r *request) settleClaim(f settlement, kept bool, body string) time.Duration {
	began, ctx := time.Now(), context.Background()
	var err error
	switch {
	case f == settledNotRun:
		err = r.entry.claims.Free(ctx, r.claimHandle)
	case f == settledServed && kept:
		err = r.entry.claims.Finish(ctx, r.claimHandle, atmostonce.ClaimDone, atmostonce.Response{Status: 200, Body: []byte(body)})
	default:
		err = r.entry.claims.Finish(ctx, r.claimHandle, atmostonce.ClaimUnknown, atmostonce.Response{})
	}
	r.entry.logf("%s settles the claim of %s as %d: %v", r.entry.name, r.id, f, errors.Cause(err))
	return time.Since(began)
}

// conclude gives the caller the final result.
func (r *request) conclude(result callResult, body string) {
	e := r.entry
	if r.done {
		e.violated("P3", "%s is answered twice", r.id)
	}
	r.done = true
	delete(e.requests, r)
	e.limiter.Release(e.now(), r.class)
	if result == resultWhole && !r.response.begun {
		r.call.receive([]byte(body))
	}
	r.call.deliver(e, result, body)
}
