package atmostonce

import (
	"encoding/json"

	"balsamsail/internal/backing"
)

// settleAttempt is the state machine that writes the final state of a claim over its held row. Each write is
// conditional on the revision at which this owner last held the key, so that a delayed write cannot overwrite a later
// owner's row.
//
// A key is freed by a row in state ClaimFree, not by a deletion: a delayed insert by this owner is conditional on the
// row's absence and would take effect after a deletion.
type settleAttempt struct {
	owner string
	state ClaimState
	// condition is the revision that the row must have for the write.
	condition uint64
	// unconfirmed is set when it is not known whether the owner holds the key. The row is then read first, and written
	// as freed even if it is absent.
	unconfirmed bool

	ended, done bool
}

// newSettleAttempt returns an attempt to settle a claim that is held at the given revision.
func newSettleAttempt(owner string, state ClaimState, revision uint64) *settleAttempt {
	return &settleAttempt{owner: owner, state: state, condition: revision}
}

// newReleaseAttempt returns an attempt to free a key that the owner may hold.
func newReleaseAttempt(owner string) *settleAttempt {
	return &settleAttempt{owner: owner, state: ClaimFree, unconfirmed: true}
}

// start returns the first table call.
func (s *settleAttempt) start() tableCall {
	if s.unconfirmed {
		return callRead
	}
	return callWrite
}

// step processes the result of a table call and returns the next one.
func (s *settleAttempt) step(in tableResult) tableCall {
	switch in.event {
	case writeDone:
		return s.end(true)
	case writeConflict, writeUnknown:
		return callRead
	case writeNoEffect:
		return callBackoffWrite
	case rowAbsent:
		if s.state != ClaimFree {
			// The row was deleted after its retention; there is nothing left to update.
			return s.end(false)
		}
		s.condition = 0
		return callWrite
	case rowRead:
		return s.evaluate(in.row)
	case readFailed:
		return callBackoffRead
	default:
		return s.end(false)
	}
}

func (s *settleAttempt) evaluate(row backing.Row) tableCall {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return s.end(false)
	}
	switch {
	case claim.Owner != s.owner && claim.State == ClaimFree && s.unconfirmed:
		// A delayed claim by this owner may be conditional on this revision; writing a new revision makes it fail.
		s.condition = row.Revision
		return callWrite
	case claim.Owner != s.owner:
		// Another owner holds or has used the key, so no write by this owner can take effect any more. For a release
		// that is sufficient.
		return s.end(s.state == ClaimFree)
	case claim.State == s.state:
		return s.end(true)
	case claim.State == ClaimHeld:
		s.condition = row.Revision
		return callWrite
	default:
		return s.end(false)
	}
}

func (s *settleAttempt) end(done bool) tableCall {
	s.ended, s.done = true, done
	return callEnd
}
