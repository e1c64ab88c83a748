package atmostonce

import (
	"encoding/json"

	"balsamsail/internal/backing"
)

// tableEvent is the result of a table call.
type tableEvent int

const (
	// writeDone: the write was committed at a revision.
	writeDone tableEvent = iota
	// writeConflict and writeNoEffect: the write had no effect and never will. After a conflict, the row is not at the
	// expected revision.
	writeConflict
	writeNoEffect
	// writeUnknown: the response was lost. The write may have taken effect or may still do so.
	writeUnknown
	// rowRead and rowAbsent are the results of a successful read; readFailed is a failed read.
	rowRead
	rowAbsent
	readFailed
	// timedOut: the time limit of the whole operation has passed, or the write can never succeed.
	timedOut
)

// tableResult is the result of a table call with its data.
type tableResult struct {
	event tableEvent
	// revision is set for writeDone, and row for rowRead.
	revision uint64
	row      backing.Row
}

// tableCall is the next table call that a state machine requests.
type tableCall int

const (
	// callEnd: the state machine has finished.
	callEnd tableCall = iota
	// callWrite writes the row if its condition holds; callRead reads the row.
	callWrite
	callRead
	// callBackoffWrite and callBackoffRead are the same after a backoff delay.
	callBackoffWrite
	callBackoffRead
)

// claimAttempt is the state machine of one attempt to claim a key. It inserts the row if it is absent, and after a lost
// response reads the row to find out whether the insert took effect.
//
// Treating a lost response as a failure or as a success could run the request twice, because another owner may claim
// the key meanwhile. So the row is read back. While it is absent, the insert is retried under the same condition: at
// most one of all inserts, including delayed ones, takes effect. A row with this owner's name belongs to this owner
// whichever of its inserts wrote it.
type claimAttempt struct {
	owner       string
	fingerprint uint64
	// condition is the revision that the row must have for the write: 0 for an absent row, or the revision of a freed
	// row.
	condition uint64
	// maybeWritten is set while a write by this owner may have taken effect or may still do so.
	maybeWritten bool

	outcome ClaimOutcome
	row     backing.Row
	claim   Claim
	ended   bool
}

func newClaimAttempt(owner string, fingerprint uint64) *claimAttempt {
	return &claimAttempt{owner: owner, fingerprint: fingerprint}
}

// start returns the first table call.
func (c *claimAttempt) start() tableCall { return callWrite }

// step processes the result of a table call and returns the next one.
func (c *claimAttempt) step(in tableResult) tableCall {
	switch in.event {
	case writeDone:
		return c.end(ClaimGranted, backing.Row{Revision: in.revision}, Claim{})
	case writeConflict:
		return callRead
	case writeNoEffect:
		return callBackoffWrite
	case writeUnknown:
		c.maybeWritten = true
		return callRead
	case rowAbsent:
		c.condition = 0
		return callWrite
	case rowRead:
		return c.evaluate(in.row)
	case readFailed:
		return callBackoffRead
	default:
		return c.end(0, backing.Row{}, Claim{})
	}
}

// evaluate decides the outcome from the row in the table.
func (c *claimAttempt) evaluate(row backing.Row) tableCall {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		// A row that cannot be decoded may belong to a request that ran.
		return c.end(ClaimOutcomeUnknown, row, Claim{})
	}
	switch {
	case claim.Owner == c.owner && claim.State == ClaimHeld:
		return c.end(ClaimGranted, row, claim)
	case claim.State == ClaimFree:
		c.condition = row.Revision
		return callWrite
	case claim.Fingerprint != c.fingerprint:
		return c.end(ClaimMismatch, row, claim)
	case claim.State == ClaimDone:
		return c.end(ClaimCompleted, row, claim)
	case claim.State == ClaimHeld:
		return c.end(ClaimInProgress, row, claim)
	default:
		return c.end(ClaimOutcomeUnknown, row, claim)
	}
}

func (c *claimAttempt) end(outcome ClaimOutcome, row backing.Row, claim Claim) tableCall {
	c.ended = true
	c.outcome, c.row, c.claim = outcome, row, claim
	return callEnd
}

// mayHold reports whether the attempt ended without an outcome although one of its writes may have taken effect or may
// still do so.
func (c *claimAttempt) mayHold() bool {
	return c.ended && c.outcome == 0 && c.maybeWritten
}
