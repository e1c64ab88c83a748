package operator

import "github.com/pkg/errors"

// The exit codes of the operators' commands.
const (
	ExitOK = 0
	// ExitFailed: nothing was applied.
	ExitFailed = 1
	// ExitUsage: the command line was wrong; nothing was applied.
	ExitUsage = 2
	// ExitConflict: another operator's edit came first; nothing was applied.
	ExitConflict = 3
	// ExitOutcomeUnknown: the edit may have been applied.
	ExitOutcomeUnknown = 4
	// ExitNotInForce: the edit is accepted, but did not come into force everywhere in time.
	ExitNotInForce = 5
)

// ExitCode returns the exit code for an error of the client; nil means success.
func ExitCode(err error) int {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitOutcomeUnknown
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}
