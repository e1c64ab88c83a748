package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// RequestState is what Decide must know of a request beside the attempt that just ended. Decide itself keeps Attempts and
// MayHaveRun.
type RequestState struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	Deadline   time.Time
	// AnswerBegun is set when answer bytes went to the caller.
	AnswerBegun bool
	// Untried is set when a candidate that was not tried yet may be used.
	Untried bool
	// MaxAttempts bounds the attempts.
	MaxAttempts int
	// Budget is the entry's retry budget; nil means no retries are allowed that need it.
	Budget *RetryBudget

	// Attempts counts the attempts that ended.
	Attempts int
	// MayHaveRun is set when an attempt ended without a definite end.
	MayHaveRun bool
}

// Decide says what follows from the end of an attempt and notes it in the request's state.
//
// It answers "not run" only when no attempt of the request can have run: a refusal of the last attempt says nothing of an
// earlier one that broke.
func Decide(now time.Time, a Attempt, s *RequestState) Verdict {
	s.Attempts++
	s.MayHaveRun = s.MayHaveRun || a.mayHaveRun(s.Idempotent)
	switch {
	case a.Outcome == OutcomeServed:
		return Verdict{Kind: VerdictDone}
	case a.Outcome == OutcomeCut || s.AnswerBegun:
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

// minRetryAfter is the shortest time to come back that a caller is told.
const minRetryAfter = 100 * time.Millisecond

// mayHaveRun reports whether the endpoint may have run the request without a definite answer. A two-step request cannot
// have run before its commit.
func (a Attempt) mayHaveRun(idempotent bool) bool {
	switch a.Outcome {
	case OutcomeBroken, OutcomeCut:
		return idempotent || a.Committed
	default:
		return false
	}
}

// reason is the refusal's reason; an attempt that ended without a word from the agent counts as unreachable.
func (a Attempt) reason() wirepb.RefusalReason {
	if a.Reason == wirepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return wirepb.RefusalReason_ENDPOINT_UNREACHABLE
	}
	return a.Reason
}

// mayRetry decides about another attempt and how long to wait before it. With a wait, candidates that were tried may be
// tried again.
func mayRetry(now time.Time, a Attempt, s *RequestState) (time.Duration, bool) {
	if s.MayHaveRun && !s.Idempotent {
		return 0, false
	}
	if s.Attempts >= s.MaxAttempts || !now.Before(s.Deadline) {
		return 0, false
	}
	wait := time.Duration(0)
	if !s.Untried {
		wait = a.RetryAfter
		if s.mayGoBack(a) {
			wait = max(wait, minRetryAfter)
		} else if !a.passes() {
			return 0, false
		}
		if wait <= 0 || wait > s.Deadline.Sub(now)/2 {
			return 0, false
		}
	}
	if a.isMove() {
		return wait, true
	}
	return wait, s.Budget != nil && s.Budget.Spend(now)
}

// mayGoBack reports whether a request that may run more than once, and was refused after an earlier attempt broke, may be sent
// to an endpoint that it has tried.
//
// A waiting request is withdrawn in the moment in which its endpoint begins it: the load that it waited for is done. No other
// endpoint has room for its model, and without this its caller was told that the outcome is unknown, with the time left and the
// model loaded.
func (s *RequestState) mayGoBack(a Attempt) bool {
	return s.Idempotent && s.MayHaveRun && a.Outcome == OutcomeRefused
}

// passes reports whether the reason of a refusal is one that passes within the time to come back, on the same endpoint or
// on the one that takes its place: waiting for it serves the request, where an overload would only be kept up by it.
func (a Attempt) passes() bool {
	switch a.Reason {
	case wirepb.RefusalReason_NOT_READY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_NOT_GRANTED:
		return true
	default:
		return false
	}
}

// isMove reports whether the attempt was refused because this entry's view of the endpoint was late. Moving on is then
// part of finding the endpoint, not a retry that loads the system twice, and takes nothing from the budget.
func (a Attempt) isMove() bool {
	switch a.Reason {
	case wirepb.RefusalReason_NOT_READY, wirepb.RefusalReason_LEAVING, wirepb.RefusalReason_NOT_GRANTED,
		wirepb.RefusalReason_NO_MEMORY, wirepb.RefusalReason_UNKNOWN_TARGET:
		return a.Outcome == OutcomeRefused
	default:
		return false
	}
}

// Stage is how far an attempt has come.
type Stage int

// The stages of an attempt that still waits.
const (
	// StageOffered: nothing came back yet.
	StageOffered Stage = iota
	// StageAccepted: the request waits in the agent's queue.
	StageAccepted
)

const (
	// minAnswerPatience and maxAnswerPatience bound the wait for the first word of an agent, which needs no more than
	// the way there and back.
	minAnswerPatience = 100 * time.Millisecond
	maxAnswerPatience = time.Second
	// answerShare is the part of the time left that a silent agent may cost.
	answerShare = 10
	// minStartPatience and startFactor bound the wait for the start beyond what the agent expected.
	minStartPatience = time.Second
	startFactor      = 2
)

// PatienceFor returns how long to wait for the next frame of an attempt that has not begun to run before moving on to
// another endpoint; left is the time to the deadline, and expected the wait that the agent told. A frozen agent keeps its
// connections and says nothing: without a bound each request would wait for it until its deadline.
func PatienceFor(stage Stage, left, expected time.Duration) time.Duration {
	patience := max(startFactor*expected, minStartPatience)
	if stage == StageOffered {
		patience = min(max(left/answerShare, minAnswerPatience), maxAnswerPatience)
	}
	return max(0, min(patience, left))
}
