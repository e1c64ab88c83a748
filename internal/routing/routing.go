// Package routing chooses the endpoint of each request at an entry, decides about retries, and bounds them by a budget.
package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Candidate is an endpoint that may serve a target, as the entry sees it now.
type Candidate struct {
	Endpoint      string
	FailureDomain string
	// SlotIndex is the place of the endpoint's slot in the model's row (0 = first); 0 for plain services.
	SlotIndex int
	State     wirepb.ReplicaState
	// HasAdapter is set when the requested adapter is loaded, or none was requested.
	HasAdapter bool
	// Running and Queued are of the target, and Wait the endpoint's expected wait, as last told at ReportedAt.
	Running, Queued int
	Wait            time.Duration
	ReportedAt      time.Time
	// Sent is how many requests this entry has in flight there.
	Sent int
	// Cached is set when the checkpoint is in the host's memory or on its disk.
	Cached bool
	// Leaving endpoints get no new work.
	Leaving bool
	// Reachable is false while the entry has no working connection.
	Reachable bool
}

// Outcome is how one attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeServed: the whole answer arrived.
	OutcomeServed Outcome = iota
	// OutcomeRefused: not run, the endpoint said so.
	OutcomeRefused
	// OutcomeNotSent: not run, the offer never left or was withdrawn uncommitted.
	OutcomeNotSent
	// OutcomeBroken: the attempt ended without a definite end before the first answer byte.
	OutcomeBroken
	// OutcomeCut: the attempt broke after answer bytes went to the caller.
	OutcomeCut
	// OutcomeFailedClean: the agent says that the endpoint certainly did not run the request.
	OutcomeFailedClean
)

// Attempt is the report of one attempt.
type Attempt struct {
	Endpoint   string
	Outcome    Outcome
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
	// Committed is set when the endpoint may have begun a request that may run only once.
	Committed bool
}

// VerdictKind is what to do after an attempt.
type VerdictKind int

// The verdicts.
const (
	// VerdictDone: the answer is complete.
	VerdictDone VerdictKind = iota
	// VerdictRetry: try another endpoint, or the same after Wait.
	VerdictRetry
	// VerdictRefuse: answer "not run".
	VerdictRefuse
	// VerdictUnknown: answer "outcome unknown".
	VerdictUnknown
	// VerdictAbort: cut the caller's body, which already began.
	VerdictAbort
)

// Verdict is the decision after an attempt.
type Verdict struct {
	Kind       VerdictKind
	Wait       time.Duration
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
}
