package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// RequestState is the state of a request that Decide needs besides the attempt that just ended. Decide itself updates
// Attempts and MayHaveRun.
type RequestState struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	Deadline   time.Time
	// AnswerBegun is set if bytes of the answer were forwarded to the caller.
	AnswerBegun bool
	// HasUntried is set if a usable candidate has not been tried yet.
	HasUntried bool
	// MaxAttempts bounds the attempts.
	MaxAttempts int
	// Budget is the entry's retry budget; if nil, retries that need the budget are not allowed.
	Budget *RetryBudget

	// Attempts counts the attempts that have ended.
	Attempts int
	// MayHaveRun is set if an attempt ended without a definite outcome.
	MayHaveRun bool
}

// Decide returns what to do after an attempt and records the attempt in the request's state.
//
// It returns VerdictRefuse ("not run") only if no attempt of the request can have run: if the last attempt was refused,
// an earlier one that failed without a definite outcome may still have run.
func Decide(now time.Time, a Attempt, s *RequestState) Verdict {
	s.Attempts++
	s.MayHaveRun = s.MayHaveRun || a.MayHaveRun(s.Idempotent)
	switch {
	case a.Outcome == OutcomeServed:
		return Verdict{Kind: VerdictDone}
	case a.Outcome == OutcomeTruncated || s.AnswerBegun:
		return Verdict{Kind: VerdictAbort, Reason: a.reason()}
	}
	if wait, ok := mayRetry(now, a, s); ok {
		return Verdict{Kind: VerdictRetry, Wait: wait, Reason: a.reason()}
	}
	if s.MayHaveRun {
		return Verdict{Kind: VerdictUnknown, Reason: a.reason()}
	}
	return Verdict{Kind: VerdictRefuse, Reason: a.reason(), RetryAfter: max(a.RetryAfter, minRetryAfter)}
}

// minRetryAfter is the shortest Retry-After returned to a caller.
const minRetryAfter = 100 * time.Millisecond

// MayHaveRun reports whether the endpoint may have run the request without a definite answer. A two-step request
// (offer, then commit) cannot have run before its commit.
func (a Attempt) MayHaveRun(idempotent bool) bool {
	switch a.Outcome {
	case OutcomeUnknown, OutcomeTruncated:
		return idempotent || a.Committed
	default:
		return false
	}
}

// reason returns the reason of a refusal; an attempt that ended without a reply from the agent counts as unreachable.
func (a Attempt) reason() wirepb.RefusalReason {
	if a.Reason == wirepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return wirepb.RefusalReason_ENDPOINT_UNREACHABLE
	}
	return a.Reason
}

// mayRetry reports whether another attempt is allowed, and how long to wait before it. After a wait, candidates that
// were tried may be tried again.
func mayRetry(now time.Time, a Attempt, s *RequestState) (time.Duration, bool) {
	if s.MayHaveRun && !s.Idempotent {
		return 0, false
	}
	if s.Attempts >= s.MaxAttempts || !now.Before(s.Deadline) {
		return 0, false
	}
	if s.MustNotEndUnknown() {
		return s.waitBeforeRetry(now, a)
	}
	wait := time.Duration(0)
	if !s.HasUntried {
		wait = a.RetryAfter
		if !a.isTransient() || wait <= 0 || wait > s.Deadline.Sub(now)/2 {
			return 0, false
		}
	}
	if a.isStaleView() {
		return wait, true
	}
	return wait, s.Budget != nil && s.Budget.Spend(now)
}

// MustNotEndUnknown reports whether an earlier attempt of a request that may run more than once ended without a definite
// outcome. A refusal would be untrue then, and an unknown outcome is of no use to the caller while time is left.
func (s *RequestState) MustNotEndUnknown() bool { return s.Idempotent && s.MayHaveRun }

// waitBeforeRetry returns the wait before the next attempt of a request that must not end with an unknown outcome, on
// any endpoint, tried or not.
//
// This covers a race: a queued request is withdrawn at the moment when its endpoint starts it, and the next endpoint has
// no room for the model, is stopping, or is the only other one. The wait that a refusal asks for is shortened where it
// would leave no time for the attempt, and an empty retry budget delays the attempt instead of ending the request.
func (s *RequestState) waitBeforeRetry(now time.Time, a Attempt) (time.Duration, bool) {
	longest := s.Deadline.Sub(now) / 2
	wait := time.Duration(0)
	if !s.HasUntried {
		wait = min(max(a.RetryAfter, minRetryAfter), longest)
	}
	if a.isStaleView() {
		return wait, true
	}
	if s.Budget == nil {
		return 0, false
	}
	delay, ok := s.Budget.Reserve(now, longest)
	return max(wait, delay), ok
}

// isTransient reports whether the reason of a refusal goes away within its Retry-After, on the same endpoint or on its
// replacement. Waiting then gets the request served, whereas after a refusal due to overload it would only sustain the
// overload.
func (a Attempt) isTransient() bool {
	switch a.Reason {
	case wirepb.RefusalReason_NOT_READY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_NOT_GRANTED:
		return true
	default:
		return false
	}
}

// isStaleView reports whether the attempt was refused because this entry's view of the endpoint was stale. Trying
// another endpoint is then part of finding the right one, not a retry that adds load, so it takes nothing from the
// budget.
func (a Attempt) isStaleView() bool {
	switch a.Reason {
	case wirepb.RefusalReason_NOT_READY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_NOT_GRANTED,
		wirepb.RefusalReason_NO_MEMORY, wirepb.RefusalReason_UNKNOWN_TARGET:
		return a.Outcome == OutcomeRefused
	default:
		return false
	}
}

// Stage is the stage of an attempt that has not started to run.
type Stage int

// The stages of a waiting attempt.
const (
	// StageOffered: no reply has arrived yet.
	StageOffered Stage = iota
	// StageAccepted: the request is in the agent's queue.
	StageAccepted
)

const (
	// minOfferTimeout and maxOfferTimeout bound the wait for an agent's first reply, which takes no longer than a
	// network round trip.
	minOfferTimeout = 100 * time.Millisecond
	maxOfferTimeout = time.Second
	// offerTimeoutDivisor gives the part of the time left (one tenth) that an agent that does not reply may cost.
	offerTimeoutDivisor = 10
	// minStartTimeout and startTimeoutFactor bound the wait for the start of a queued request: the agent's estimate
	// times the factor, but no less than the minimum.
	minStartTimeout    = time.Second
	startTimeoutFactor = 2
)

// StageTimeout returns the timeout for the next frame of an attempt that has not started to run, after which the
// request moves on to another endpoint. left is the time to the deadline and expected the queueing time that the agent
// reported. A frozen agent keeps its connections open without replying: without this timeout each request would wait
// for it until its deadline.
func StageTimeout(stage Stage, left, expected time.Duration) time.Duration {
	timeout := max(startTimeoutFactor*expected, minStartTimeout)
	if stage == StageOffered {
		timeout = min(max(left/offerTimeoutDivisor, minOfferTimeout), maxOfferTimeout)
	}
	return max(0, min(timeout, left))
}
