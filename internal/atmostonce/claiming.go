package atmostonce

import (
	"encoding/json"

	"balsamsail/internal/backing"
)

// tableEvent is what came of a call to the table.
type tableEvent int

const (
	// writeDone: the write took effect at a revision.
	writeDone tableEvent = iota
	// writeConflict and writeNoEffect: the write had and will have no effect; after a conflict the row differs.
	writeConflict
	writeNoEffect
	// writeLost: the answer was lost; the write may have taken effect, or may still do so.
	writeLost
	// rowRead and rowAbsent are the results of a read, readFailed its failure.
	rowRead
	rowAbsent
	readFailed
	// timeUp: the time for the whole call is over.
	timeUp
)

// tableInput is an event with what it brought.
type tableInput struct {
	event tableEvent
	// revision is that of a write that was done, and row the result of a read.
	revision uint64
	row      backing.Row
}

// tableCall is the next call that a machine wants.
type tableCall int

const (
	// callEnd: the machine has ended.
	callEnd tableCall = iota
	// callWrite writes the machine's row on its condition, callRead reads the row.
	callWrite
	callRead
	// callPauseWrite and callPauseRead are the same after a pause.
	callPauseWrite
	callPauseRead
)

// claiming is one attempt to claim a key: insert the row if it is absent, and find out by reading what became of an
// insert whose answer was lost.
//
// A lost answer is the dangerous case: an owner who took it for a failure and went on under another claim, or took it for
// a success, could run a request that somebody else runs as well. Nothing is concluded from the lost answer itself; the
// row is read back. While it is absent the insert is tried again on the same condition, so that of all inserts, a delayed
// one included, at most one takes effect; and one with this owner's name is this owner's whichever of them it was.
type claiming struct {
	owner       string
	fingerprint uint64
	// condition is the revision that the row must have for the write: 0 while it is absent, or that of a freed row.
	condition uint64
	// maybeWritten is set while a write of this owner may have taken effect or may still do so.
	maybeWritten bool

	outcome ClaimOutcome
	held    backing.Row
	claim   Claim
	ended   bool
}

func newClaiming(owner string, fingerprint uint64) *claiming {
	return &claiming{owner: owner, fingerprint: fingerprint}
}

// start returns the first call.
func (c *claiming) start() tableCall { return callWrite }

// step takes the result of a call and returns the next one.
func (c *claiming) step(in tableInput) tableCall {
	switch in.event {
	case writeDone:
		return c.end(ClaimGranted, backing.Row{Revision: in.revision}, Claim{})
	case writeConflict:
		return callRead
	case writeNoEffect:
		return callPauseWrite
	case writeLost:
		c.maybeWritten = true
		return callRead
	case rowAbsent:
		c.condition = 0
		return callWrite
	case rowRead:
		return c.found(in.row)
	case readFailed:
		return callPauseRead
	default:
		return c.end(0, backing.Row{}, Claim{})
	}
}

// found judges the row that stands in the table.
func (c *claiming) found(row backing.Row) tableCall {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		// A row that cannot be read may belong to a request that ran.
		return c.end(ClaimLost, row, Claim{})
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
		return c.end(ClaimAnswered, row, claim)
	case claim.State == ClaimHeld:
		return c.end(ClaimInProgress, row, claim)
	default:
		return c.end(ClaimLost, row, claim)
	}
}

func (c *claiming) end(outcome ClaimOutcome, row backing.Row, claim Claim) tableCall {
	c.ended = true
	c.outcome, c.held, c.claim = outcome, row, claim
	return callEnd
}

// abandoned reports whether the attempt ended without an outcome although its write may stand or come to stand.
func (c *claiming) abandoned() bool {
	return c.ended && c.outcome == 0 && c.maybeWritten
}
