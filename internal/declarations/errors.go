package declarations

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrUnknownModel reports that a request names neither a declared model nor a declared adapter.
	ErrUnknownModel = errors.New("declarations: unknown model")
	// ErrUnknownVersion reports that a request names a version that its model does not declare.
	ErrUnknownVersion = errors.New("declarations: unknown version")
	// ErrInvalid reports that an object or an edit is malformed or contradicts other declarations; nothing was applied.
	ErrInvalid = errors.New("declarations: invalid")
	// ErrGap reports that a delta does not directly follow the current revision; a snapshot is needed.
	ErrGap = errors.New("declarations: gap between revisions")
	// ErrStaleRevision reports that a delta or a snapshot is not newer than the current revision.
	ErrStaleRevision = errors.New("declarations: stale revision")
	// ErrUnavailable reports that the table could not be reached in time. An edit that fails with it had no effect.
	ErrUnavailable = errors.New("declarations: table unavailable, edit not made")
	// ErrOutcomeUnknown reports that an edit may have been committed or may still be committed.
	ErrOutcomeUnknown = errors.New("declarations: outcome of the edit unknown")
)

// ConflictError reports that another edit was committed first and that this one had no effect.
type ConflictError struct {
	// BasedOn is the revision that the edit was based on; Revision is the newest one.
	BasedOn, Revision uint64
	// WinningRevision is the revision that took the edit's place and Author is who made it; they are 0 and empty if the
	// table's log no longer holds that revision.
	WinningRevision uint64
	Author          string
}

func (e *ConflictError) Error() string {
	winner := "an edit that is no longer logged"
	if e.WinningRevision != 0 {
		winner = fmt.Sprintf("revision %d by %q", e.WinningRevision, e.Author)
	}
	return fmt.Sprintf("declarations: edit based on revision %d lost to %s; the newest revision is %d", e.BasedOn, winner, e.Revision)
}

// OutcomeUnknownError reports that the deadline passed while a write whose response was lost could still commit. It
// wraps ErrOutcomeUnknown. Store.Operation reports later whether the edit was committed.
type OutcomeUnknownError struct {
	OperationID string
	// BasedOn is the revision that the write is conditional on.
	BasedOn uint64
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v: operation %s may be committed as revision %d; look it up by its identifier before retrying",
		ErrOutcomeUnknown, e.OperationID, e.BasedOn+1)
}

// Unwrap returns ErrOutcomeUnknown.
func (e *OutcomeUnknownError) Unwrap() error { return ErrOutcomeUnknown }
