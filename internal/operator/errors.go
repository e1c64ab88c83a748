package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/settings/inifile"
)

var (
	// ErrNotFound reports that the named object or operation does not exist; nothing was changed.
	ErrNotFound = errors.New("operator: not found")
	// ErrUnreachable reports that no entry could be reached; nothing was changed.
	ErrUnreachable = errors.New("operator: no entry can be reached")
	// ErrRequest reports a malformed request; nothing was changed.
	ErrRequest = errors.New("operator: bad request")
	// ErrResponse reports that an entry's response could not be decoded.
	ErrResponse = errors.New("operator: invalid response")
	// ErrInternal reports an unspecified failure of the entry; an edit was not applied.
	ErrInternal = errors.New("operator: the entry failed")
	// ErrNotInForce reports that an accepted revision did not come into force everywhere in time.
	ErrNotInForce = errors.New("operator: not yet in force in every live process")
)

// ConflictError reports that another edit came first; nothing was changed.
type ConflictError struct {
	// Author and Revision are those of the conflicting edit.
	Author   string `json:"author"`
	Revision uint64 `json:"revision"`
	// Base is the revision that the rejected edit was based on.
	Base uint64 `json:"base"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator: conflict: the edit was made on revision %d, and %q has since made revision %d",
		e.Base, e.Author, e.Revision)
}

// ConfigProblem is one error in a text and its location.
type ConfigProblem struct {
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 means unknown.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Problem describes the error and Allowed the valid values.
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

func (p ConfigProblem) String() string {
	problem := inifile.Problem{
		File: p.File, Line: p.Line, Section: p.Section, Key: p.Key, Text: p.Problem, Allowed: p.Allowed,
	}
	return strings.TrimPrefix(problem.String(), ": ") // The prefix is present if there is no file name.
}

// InvalidError reports that an edit is invalid; nothing was changed.
type InvalidError struct {
	Places []ConfigProblem `json:"places"`
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Places))
	for i, p := range e.Places {
		lines[i] = p.String()
	}
	return "operator: invalid: " + strings.Join(lines, "; ")
}

// UnavailableError reports that an edit or a read is temporarily not possible, for example during an outage of the
// platform's table; nothing was changed.
type UnavailableError struct {
	Reason string `json:"reason"`
	// RetryAfter is the delay before the next attempt; 0 means unknown.
	RetryAfter time.Duration `json:"-"`
}

func (e *UnavailableError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("operator: unavailable: %s; try again in %s", e.Reason, e.RetryAfter)
	}
	return "operator: unavailable: " + e.Reason
}

// OutcomeUnknownError reports that an edit may have been or may still be applied. Client.Operation looks up its outcome.
type OutcomeUnknownError struct {
	OperationID string `json:"operation_id"`
	Reason      string `json:"reason"`
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("operator: outcome of operation %s unknown: %s", e.OperationID, e.Reason)
}
