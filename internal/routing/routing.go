// Package routing chooses the endpoint for each request at an entry, decides about retries and bounds them by a retry
// budget. An entry is a process that accepts client requests; a gateway is one as well.
package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Candidate is an endpoint that may serve a target, as the entry currently sees it.
type Candidate struct {
	Endpoint      string
	FailureDomain string
	// SlotIndex is the position of the endpoint's slot in the model's list of slots (0 = first); 0 for plain services.
	SlotIndex int
	State     wirepb.ReplicaState
	// HasAdapter is set if the requested adapter is loaded or no adapter was requested.
	HasAdapter bool
	// Running and Queued count the target's requests at the endpoint and Wait is the endpoint's expected queueing time,
	// as last reported at ReportedAt.
	Running, Queued int
	Wait            time.Duration
	ReportedAt      time.Time
	// Sent is the number of requests that this entry has in flight at the endpoint.
	Sent int
	// Cached is set if the checkpoint is in the host's memory or on its disk.
	Cached bool
	// Leaving is set if the endpoint is leaving and gets no new requests.
	Leaving bool
	// Reachable is false while the entry has no working connection to the endpoint.
	Reachable bool
}

// Outcome is the outcome of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeServed: the complete answer arrived.
	OutcomeServed Outcome = iota
	// OutcomeRefused: the endpoint stated that it did not run the request.
	OutcomeRefused
	// OutcomeNotSent: the request did not run, because the offer was never sent or was withdrawn before its commit.
	OutcomeNotSent
	// OutcomeUnknown: the attempt ended without a definite outcome before the first byte of the answer.
	OutcomeUnknown
	// OutcomeTruncated: the attempt failed after bytes of the answer were forwarded to the caller.
	OutcomeTruncated
	// OutcomeFailedNotRun: the attempt failed, and the agent confirmed that the endpoint did not run the request.
	OutcomeFailedNotRun
)

// Attempt is the result of one attempt.
type Attempt struct {
	Endpoint   string
	Outcome    Outcome
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
	// Committed is set if a request that must run only once was committed, so that the endpoint may have started it.
	Committed bool
}

// VerdictKind is what the entry does after an attempt.
type VerdictKind int

// The kinds of verdicts.
const (
	// VerdictDone: the answer is complete.
	VerdictDone VerdictKind = iota
	// VerdictRetry: try another endpoint, or the same one after Wait.
	VerdictRetry
	// VerdictRefuse: answer that the request did not run.
	VerdictRefuse
	// VerdictUnknown: answer that the outcome is unknown.
	VerdictUnknown
	// VerdictAbort: abort the response, of which the caller already has a part.
	VerdictAbort
)

// Verdict is the decision after an attempt.
type Verdict struct {
	Kind       VerdictKind
	Wait       time.Duration
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
}
