package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/settings/inifile"
)

var (
	// ErrNotFound says that the named object or operation does not exist; nothing was changed.
	ErrNotFound = errors.New("operator: not found")
	// ErrUnreachable says that no entry could be asked; nothing was changed.
	ErrUnreachable = errors.New("operator: no entry can be reached")
	// ErrRequest says that the request was malformed; nothing was changed.
	ErrRequest = errors.New("operator: bad request")
	// ErrAnswer says that an entry's answer could not be understood.
	ErrAnswer = errors.New("operator: bad answer")
	// ErrInternal says that the entry failed in a way that it cannot name; an edit was not applied.
	ErrInternal = errors.New("operator: the entry failed")
	// ErrNotInForce says that a revision is accepted and was not in force everywhere in time.
	ErrNotInForce = errors.New("operator: not yet in force in every live process")
)

// ConflictError says that another edit came first; nothing was changed.
type ConflictError struct {
	// Author made the edit that won, with the given revision.
	Author   string `json:"author"`
	Revision uint64 `json:"revision"`
	// Base is the revision that the refused edit was made on.
	Base uint64 `json:"base"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator: conflict: the edit was made on revision %d, and %q has since made revision %d",
		e.Base, e.Author, e.Revision)
}

// Place is one fault of a text and where it stands.
type Place struct {
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 when not known.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Problem says what is wrong and Allowed what would be right.
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

func (p Place) String() string {
	problem := inifile.Problem{
		File: p.File, Line: p.Line, Section: p.Section, Key: p.Key, Text: p.Problem, Allowed: p.Allowed,
	}
	return strings.TrimPrefix(problem.String(), ": ") // Where there is no file.
}

// InvalidError says that an edit is wrong in itself; nothing was changed.
type InvalidError struct {
	Places []Place `json:"places"`
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Places))
	for i, p := range e.Places {
		lines[i] = p.String()
	}
	return "operator: invalid: " + strings.Join(lines, "; ")
}

// UnavailableError says that an edit or a read could not be done now, for example in an outage of the platform's table;
// nothing was changed.
type UnavailableError struct {
	Reason string `json:"reason"`
	// RetryAfter is when to try again; 0 when not known.
	RetryAfter time.Duration `json:"-"`
}

func (e *UnavailableError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("operator: unavailable: %s; try again in %s", e.Reason, e.RetryAfter)
	}
	return "operator: unavailable: " + e.Reason
}

// OutcomeUnknownError says that an edit may have been or may still be applied. Client.Operation tells later.
type OutcomeUnknownError struct {
	OperationID string `json:"operation_id"`
	Reason      string `json:"reason"`
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("operator: outcome of operation %s unknown: %s", e.OperationID, e.Reason)
}
