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
	switch a.Outcome {
	case OutcomeServed:
		return Verdict{Kind: VerdictDone}
	case OutcomeCut:
		return Verdict{Kind: VerdictAbort}
	case OutcomeBroken:
		if s.Idempotent || a.Committed {
			s.MayHaveRun = true
		}
	}
	if s.AnswerBegun {
		return Verdict{Kind: VerdictAbort}
	}
	if mayRetry(now, a, s) {
		return Verdict{Kind: VerdictRetry}
	}
	if s.MayHaveRun {
		return Verdict{Kind: VerdictUnknown, Reason: a.Reason}
	}
	return Verdict{Kind: VerdictRefuse, Reason: reasonOf(a), RetryAfter: a.RetryAfter}
}

func mayRetry(now time.Time, a Attempt, s *RequestState) bool {
	if s.MayHaveRun && !s.Idempotent {
		return false
	}
	if s.Attempts >= s.MaxAttempts || !s.Untried || !now.Before(s.Deadline) {
		return false
	}
	return s.Budget != nil && s.Budget.Spend(now)
}

func reasonOf(a Attempt) wirepb.RefusalReason {
	if a.Reason == wirepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		return wirepb.RefusalReason_ENDPOINT_UNREACHABLE
	}
	return a.Reason
}

// BudgetOptions are the settings of a RetryBudget.
type BudgetOptions struct {
	// Share is how many retries each success allows, for example 0.2.
	Share float64
	// FloorPerSecond retries are allowed without any success.
	FloorPerSecond float64
	// Burst bounds the saved-up retries.
	Burst float64
}

// RetryBudget bounds retries to a share of the successes, so that retries cannot multiply an overload. It is not safe for
// concurrent use.
type RetryBudget struct {
	options BudgetOptions
	tokens  float64
	filled  time.Time
}

// NewRetryBudget returns a budget that is full.
func NewRetryBudget(options BudgetOptions) *RetryBudget {
	return &RetryBudget{options: options, tokens: options.Burst}
}

// Success notes a request that was served.
func (b *RetryBudget) Success() {
	b.tokens = min(b.options.Burst, b.tokens+b.options.Share)
}

// Spend takes one retry out of the budget, or reports that none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fill(now time.Time) {
	if passed := now.Sub(b.filled); !b.filled.IsZero() && passed > 0 {
		b.tokens = min(b.options.Burst, b.tokens+passed.Seconds()*b.options.FloorPerSecond)
	}
	if now.After(b.filled) {
		b.filled = now
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

// PatienceFor returns how long to wait for the next frame of an attempt that has not begun to run before moving on to
// another endpoint; left is the time to the deadline, and expected the wait that the agent told.
func PatienceFor(stage Stage, left, expected time.Duration) time.Duration {
	if stage == StageOffered {
		return min(max(left/10, 100*time.Millisecond), time.Second)
	}
	return min(max(2*expected, time.Second), left)
}
