package replicas

import "github.com/pkg/errors"

var (
	// ErrConflict means that another process changed the row or the declarations first; the proposal had no effect.
	ErrConflict = errors.New("replicas: changed by another process")
	// ErrUnavailable means that the table did not accept the call; the proposal had no effect.
	ErrUnavailable = errors.New("replicas: table unavailable")
	// ErrOutcomeUnknown means that the proposal may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("replicas: outcome of the proposal unknown")
	// ErrCorruptRow means that a table row cannot be decoded or does not match its key.
	ErrCorruptRow = errors.New("replicas: corrupt row")
	// ErrInvalid means that the table rejected the proposal as malformed.
	ErrInvalid = errors.New("replicas: invalid proposal")
)
