package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// result is how a request ended.
type result struct {
	// err is the error response to send, nil when a response was sent or aborted.
	err *apiError
	// abort is set when the caller's connection must be aborted, because the caller has left or a part of the response
	// was sent.
	abort bool
	// execution is whether the request is known to have run, whatever response the caller got. pending is set when the
	// request was committed and its definite result is still to come.
	execution execution
	pending   <-chan execution
	// status is the status of a complete response.
	status int
}

// execution is whether a request ran at its endpoint.
type execution int

const (
	executionUnknown execution = iota
	executionServed
	executionNotRun
)

// forward serves a request through attempts at endpoints until one succeeds or no further attempt is allowed.
func (e *Entry) forward(ctx context.Context, rq *request, out *response) result {
	state := &routing.RequestState{
		Idempotent:  rq.idempotent,
		Deadline:    rq.deadline,
		MaxAttempts: e.options.MaxAttempts,
		Budget:      e.budget,
	}
	var tried []string
	// refused holds the endpoints that have refused the request. It is not withdrawn from another for their sake.
	var refused []string
	// unknown holds the attempts that ended without a definite outcome.
	var unknown []*attempt
	for {
		candidate, refusal := e.pick(ctx, rq, tried, state)
		if refusal != nil {
			return e.noEndpointResult(ctx, unknown, refusal)
		}
		tried = append(tried, candidate.Endpoint)
		t := newAttempt(e, rq, candidate, out)
		t.hasAlternative = func() bool { return e.hasUntried(rq, slices.Concat(tried, refused)) }
		t.noAlternative = !t.hasAlternative()
		ended := t.run(ctx)
		if ended.attempt.Outcome == routing.OutcomeRefused {
			refused = append(refused, candidate.Endpoint)
		}
		if ended.attempt.MayHaveRun(rq.idempotent) {
			unknown = append(unknown, t)
		}
		verdict := e.decide(rq, state, ended, tried)
		if ended.callerGone {
			return result{abort: true, execution: executionOf(state, ended), pending: t.pending}
		}
		switch verdict.Kind {
		case routing.VerdictDone:
			return result{status: t.status(), execution: executionServed}
		case routing.VerdictRetry:
			out.reset()
			e.record(timeline.RequestRetried, rq, candidate.Endpoint, verdict.Reason.String())
			e.metrics.retries.Inc()
			if !e.waitBeforeRetry(ctx, verdict.Wait) {
				return result{abort: true, execution: executionOf(state, ended)}
			}
			if verdict.Wait > 0 && !state.HasUntried {
				// All endpoints have been tried; after the wait they may be tried again.
				tried = nil
			}
		case routing.VerdictRefuse:
			return result{err: rq.bodyErrorOr(refusalError(verdict.Reason, verdict.RetryAfter)), execution: executionNotRun}
		case routing.VerdictUnknown:
			if allConfirmedNotRun(ctx, unknown) {
				return result{err: rq.bodyErrorOr(refusalError(verdict.Reason, ended.attempt.RetryAfter)), execution: executionNotRun}
			}
			return result{err: rq.bodyErrorOr(e.unknownOutcomeError(rq)), pending: t.pending}
		case routing.VerdictAbort:
			return result{abort: true, pending: t.pending}
		}
	}
}

// executionOf returns whether a request is known to have run after an attempt.
func executionOf(state *routing.RequestState, ended attemptResult) execution {
	switch {
	case ended.attempt.Outcome == routing.OutcomeServed:
		return executionServed
	case state.MayHaveRun:
		return executionUnknown
	default:
		return executionNotRun
	}
}

// noEndpointResult returns the result when no endpoint is left: "not run" only when no earlier attempt may have run.
func (e *Entry) noEndpointResult(ctx context.Context, unknown []*attempt, refusal *apiError) result {
	if !allConfirmedNotRun(ctx, unknown) {
		return result{err: outcomeUnknown("the request may have run; no endpoint is left to try")}
	}
	return result{err: refusal, execution: executionNotRun}
}

// unknownOutcomeError returns the error response to a request that may have run.
func (e *Entry) unknownOutcomeError(rq *request) *apiError {
	if !rq.idempotent {
		return outcomeUnknown("the request was begun and its outcome is not known; do not send it again without checking")
	}
	return outcomeUnknown("the request was begun and not answered in time; it may be sent again")
}

// decide updates the routing state with the result of an attempt and returns routing's verdict on how to continue.
func (e *Entry) decide(rq *request, state *routing.RequestState, ended attemptResult, tried []string) routing.Verdict {
	now := e.clock.Now()
	state.AnswerBegun = ended.responseStarted
	state.HasUntried = e.hasUntried(rq, tried)
	if ended.bodyConsumed {
		// The part of a streamed body that was sent to an endpoint cannot be sent again.
		state.MaxAttempts = state.Attempts + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ended.callerGone && rq.bodyErr.Load() == nil {
		// A failure that the caller caused must not count against the endpoint.
		e.router.Observe(now, ended.observation)
	}
	verdict := routing.Decide(now, ended.attempt, state)
	if verdict.Kind == routing.VerdictDone {
		e.budget.Success()
	}
	return verdict
}

// hasUntried reports whether an available candidate has not been tried.
func (e *Entry) hasUntried(rq *request, tried []string) bool {
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

// pick chooses an endpoint. If none is available it waits, for example for a slot to be granted or a connection to be
// established. A request that must not end with an unknown outcome waits until its deadline, also for endpoints that it
// has tried.
func (e *Entry) pick(ctx context.Context, rq *request, tried []string, state *routing.RequestState) (routing.Candidate, *apiError) {
	remaining := rq.deadline.Sub(e.clock.Now())
	if !state.MustNotEndUnknown() {
		remaining = min(e.options.CandidateTimeout, remaining)
	}
	waitUntil := e.clock.Now().Add(remaining)
	requested := false
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
			if !state.MustNotEndUnknown() {
				return routing.Candidate{}, refusalError(wirepb.RefusalReason_NOT_READY, 0)
			}
			tried = nil
			continue
		}
		if !requested && rq.target.Model != "" {
			requested = true
			e.coordinator.requestSlot(rq.target.Model, wirepb.RefusalReason_NOT_GRANTED)
		}
		remaining := waitUntil.Sub(e.clock.Now())
		if remaining <= 0 {
			return routing.Candidate{}, refusalError(wirepb.RefusalReason_NOT_GRANTED, e.options.CandidateTimeout)
		}
		if err := e.waitForChange(ctx, changed, min(remaining, pickRecheckInterval)); err != nil {
			return routing.Candidate{}, notRun(http.StatusServiceUnavailable, CodeCallerGone, "the caller went away", 0)
		}
	}
}

// pickRecheckInterval bounds the wait between two picks: an endpoint that was ejected for its failures is admitted again
// without a change notification.
const pickRecheckInterval = 200 * time.Millisecond

// waitForChange waits until the entry's view of the system changes, at most for d.
func (e *Entry) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
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

// waitBeforeRetry waits before another attempt; it reports false when the caller has left.
func (e *Entry) waitBeforeRetry(ctx context.Context, d time.Duration) bool {
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
