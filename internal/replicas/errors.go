package replicas

import "github.com/pkg/errors"

var (
	// ErrConflict says that another process changed the row, or the declarations, first; the proposal had no effect.
	ErrConflict = errors.New("replicas: changed by another process")
	// ErrUnavailable says that the table did not take the call; the proposal had no effect.
	ErrUnavailable = errors.New("replicas: table unavailable")
	// ErrOutcomeUnknown says that the proposal may have taken or may still take effect.
	ErrOutcomeUnknown = errors.New("replicas: outcome of the proposal unknown")
	// ErrCorruptRow says that a row of the table cannot be read as one.
	ErrCorruptRow = errors.New("replicas: corrupt row")
	// ErrInvalid says that the table found the proposal malformed.
	ErrInvalid = errors.New("replicas: invalid proposal")
)
