package atmostonce

import (
	"encoding/json"

	"balsamsail/internal/backing"
)

// settling writes the end of a claim over the row in which it is held. Each write is conditioned on the revision at which
// this owner was seen to hold the key, so that a delayed one cannot undo what another owner wrote since.
//
// A key is freed by a row that says so, not by deleting it: an insert of this owner that is still on its way is
// conditioned on the row's absence, and would take effect after a deletion.
type settling struct {
	owner string
	state ClaimState
	// condition is the revision that the row must have for the write.
	condition uint64
	// blind is set when it is not known whether the owner holds the key at all: the row is read first, and one that is
	// absent is written as freed.
	blind bool

	ended, done bool
}

// newSettling returns the settling of a claim that is held at a revision.
func newSettling(owner string, state ClaimState, revision uint64) *settling {
	return &settling{owner: owner, state: state, condition: revision}
}

// newRelease returns the release of a key that the owner may hold.
func newRelease(owner string) *settling {
	return &settling{owner: owner, state: ClaimFree, blind: true}
}

// start returns the first call.
func (s *settling) start() tableCall {
	if s.blind {
		return callRead
	}
	return callWrite
}

// step takes the result of a call and returns the next one.
func (s *settling) step(in tableInput) tableCall {
	switch in.event {
	case writeDone:
		return s.end(true)
	case writeConflict, writeLost:
		return callRead
	case writeNoEffect:
		return callPauseWrite
	case rowAbsent:
		if s.state != ClaimFree {
			// The row was deleted after its retention; there is nothing to record any more.
			return s.end(false)
		}
		s.condition = 0
		return callWrite
	case rowRead:
		return s.found(in.row)
	case readFailed:
		return callPauseRead
	default:
		return s.end(false)
	}
}

func (s *settling) found(row backing.Row) tableCall {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return s.end(false)
	}
	switch {
	case claim.Owner != s.owner && claim.State == ClaimFree && s.blind:
		// A delayed claim of this owner may still be conditioned on this very revision; a new one fences it off.
		s.condition = row.Revision
		return callWrite
	case claim.Owner != s.owner:
		// Another owner holds or has used the key: no write of this owner can take effect any more, and for a release
		// that is all that was wanted.
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

func (s *settling) end(done bool) tableCall {
	s.ended, s.done = true, done
	return callEnd
}
