package declarations

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrUnknownModel says that a request names neither a model nor an adapter that is declared.
	ErrUnknownModel = errors.New("declarations: unknown model")
	// ErrUnknownVersion says that a request names a version that its model doesn't declare.
	ErrUnknownVersion = errors.New("declarations: unknown version")
	// ErrInvalid says that an object or an edit is malformed or contradicts the other declarations; nothing was applied.
	ErrInvalid = errors.New("declarations: invalid")
	// ErrGap says that a delta doesn't follow the revision that is held; a snapshot is needed.
	ErrGap = errors.New("declarations: gap between revisions")
	// ErrOldRevision says that a delta or a snapshot isn't newer than the revision that is held.
	ErrOldRevision = errors.New("declarations: old revision")
	// ErrUnavailable says that the table could not be reached in time and that the edit certainly had no effect.
	ErrUnavailable = errors.New("declarations: table unavailable, edit not made")
	// ErrOutcomeUnknown says that an edit may have been made or may still take effect.
	ErrOutcomeUnknown = errors.New("declarations: outcome of the edit unknown")
)

// ConflictError says that an edit lost to another one and had no effect.
type ConflictError struct {
	// BasedOn is the revision that the edit was based on, Revision the newest one.
	BasedOn, Revision uint64
	// Winner is the revision that took the edit's place and Author who made it; 0 and empty where the table no longer
	// tells.
	Winner uint64
	Author string
}

func (e *ConflictError) Error() string {
	winner := "an edit that is no longer logged"
	if e.Winner != 0 {
		winner = fmt.Sprintf("revision %d by %q", e.Winner, e.Author)
	}
	return fmt.Sprintf("declarations: edit based on revision %d lost to %s; the newest revision is %d", e.BasedOn, winner, e.Revision)
}

// UnknownError says that the deadline passed while a write whose answer was lost could still take effect. It wraps
// ErrOutcomeUnknown. Store.Operation tells later what became of the edit.
type UnknownError struct {
	OperationID string
	// BasedOn is the revision on which the write is conditioned.
	BasedOn uint64
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%v: operation %s may be made as revision %d; look it up by its identifier before trying again",
		ErrOutcomeUnknown, e.OperationID, e.BasedOn+1)
}

// Unwrap returns ErrOutcomeUnknown.
func (e *UnknownError) Unwrap() error { return ErrOutcomeUnknown }
