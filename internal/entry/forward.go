package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// result is how a request ended for its caller.
type result struct {
	// err is the error answer to send, nil when the answer was sent or cut.
	err *apiError
	// cut is set when the caller's connection must be cut, because it is gone or a part of the answer was sent.
	cut bool
	// fate is what is known of the request's effect, whatever the caller was told. later is set when the request was
	// committed and its definite end is still to come.
	fate  fate
	later <-chan fate
	// status is that of a whole answer.
	status int
}

// fate is whether a request had its effect.
type fate int

const (
	fateUnknown fate = iota
	fateServed
	fateNotRun
)

// forward serves a request through attempts at endpoints until one succeeds or the request is given up.
func (e *Entry) forward(ctx context.Context, rq *request, out *answer) result {
	state := &routing.RequestState{
		Idempotent:  rq.idempotent,
		Deadline:    rq.deadline,
		MaxAttempts: e.options.MaxAttempts,
		Budget:      e.budget,
	}
	var tried []string
	for {
		candidate, refusal := e.pick(ctx, rq, tried)
		if refusal != nil {
			return e.afterAttempts(state, refusal)
		}
		tried = append(tried, candidate.Endpoint)
		t := newAttempt(e, rq, candidate, out)
		t.hasOther = func() bool { return e.untried(rq, tried) }
		t.last = !t.hasOther()
		ended := t.run(ctx)
		verdict := e.decide(rq, state, ended, tried)
		if ended.callerGone {
			return result{cut: true, fate: fateOf(state, ended), later: t.fate}
		}
		switch verdict.Kind {
		case routing.VerdictDone:
			return result{status: t.status(), fate: fateServed}
		case routing.VerdictRetry:
			out.reset()
			e.record(timeline.RequestRetried, rq, candidate.Endpoint, verdict.Reason.String())
			e.metrics.retries.Inc()
			if !e.waitBefore(ctx, verdict.Wait) {
				return result{cut: true, fate: fateOf(state, ended)}
			}
			if verdict.Wait > 0 {
				// All have been tried; after the wait they may be tried again.
				tried = nil
			}
		case routing.VerdictRefuse:
			return result{err: rq.orBroken(refused(verdict.Reason, verdict.RetryAfter)), fate: fateNotRun}
		case routing.VerdictUnknown:
			return result{err: rq.orBroken(e.unknownAnswer(rq)), later: t.fate}
		case routing.VerdictAbort:
			return result{cut: true, later: t.fate}
		}
	}
}

// fateOf is what is known of a request's effect after an attempt.
func fateOf(state *routing.RequestState, ended attemptEnd) fate {
	switch {
	case ended.attempt.Outcome == routing.OutcomeServed:
		return fateServed
	case state.MayHaveRun:
		return fateUnknown
	default:
		return fateNotRun
	}
}

// afterAttempts is the answer when no endpoint is left: "not run" only when no earlier attempt may have run.
func (e *Entry) afterAttempts(state *routing.RequestState, refusal *apiError) result {
	if state.MayHaveRun {
		return result{err: unknown("the request may have run; no endpoint is left to try")}
	}
	return result{err: refusal, fate: fateNotRun}
}

// unknownAnswer is the answer when the request may have run.
func (e *Entry) unknownAnswer(rq *request) *apiError {
	if !rq.idempotent {
		return unknown("the request was begun and its outcome is not known; do not send it again without checking")
	}
	return unknown("the request was begun and not answered in time; it may be sent again")
}

// decide asks the routing slice what follows from an attempt.
func (e *Entry) decide(rq *request, state *routing.RequestState, ended attemptEnd, tried []string) routing.Verdict {
	now := e.clock.Now()
	state.AnswerBegun = ended.answerBegun
	state.Untried = e.untried(rq, tried)
	if ended.bodyUsed {
		// What went to an endpoint of a streamed body cannot be sent again.
		state.MaxAttempts = state.Attempts + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ended.callerGone && rq.broken.Load() == nil {
		// What the caller brought about says nothing of the endpoint.
		e.router.Observe(now, ended.observation)
	}
	verdict := routing.Decide(now, ended.attempt, state)
	if verdict.Kind == routing.VerdictDone {
		e.budget.Success()
	}
	return verdict
}

// untried reports whether a candidate is left that was not tried.
func (e *Entry) untried(rq *request, tried []string) bool {
	for _, c := range e.candidates(rq.target) {
		if c.Reachable && !c.Leaving && !contains(tried, c.Endpoint) {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// pick chooses an endpoint, waiting for one while none can be used: for a slot that is being granted, or a connection
// that is being made.
func (e *Entry) pick(ctx context.Context, rq *request, tried []string) (routing.Candidate, *apiError) {
	patience := min(e.options.CandidatePatience, rq.deadline.Sub(e.clock.Now()))
	until := e.clock.Now().Add(patience)
	asked := false
	for {
		changed := e.changes.wait()
		list := e.candidates(rq.target)
		e.mu.Lock()
		i, ok := e.router.Pick(e.clock.Now(), list, tried, rq.class)
		e.mu.Unlock()
		if ok {
			return list[i], nil
		}
		if len(tried) > 0 && len(list) > 0 {
			return routing.Candidate{}, refused(wirepb.RefusalReason_NOT_READY, 0)
		}
		if !asked && rq.target.Model != "" {
			asked = true
			e.coordinator.want(rq.target.Model, wirepb.RefusalReason_NOT_GRANTED)
		}
		left := until.Sub(e.clock.Now())
		if left <= 0 {
			return routing.Candidate{}, refused(wirepb.RefusalReason_NOT_GRANTED, e.options.CandidatePatience)
		}
		if err := e.await(ctx, changed, left); err != nil {
			return routing.Candidate{}, notRun(http.StatusServiceUnavailable, CodeCallerGone, "the caller went away", 0)
		}
	}
}

// await waits for a change of what the entry knows, at most for d.
func (e *Entry) await(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return errors.Wrap(errCallerGone, ctx.Err().Error())
	}
}

// waitBefore waits before another attempt; it reports whether the caller is still there.
func (e *Entry) waitBefore(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
