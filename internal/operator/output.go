package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/texttable"
)

// ErrOutput reports that a command's output could not be written.
var ErrOutput = errors.New("operator: writing output failed")

// WriteJSON writes any response as indented JSON.
func WriteJSON(w io.Writer, answer any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(answer))
}

// WriteINI writes declarations as INI text that Apply accepts.
func WriteINI(w io.Writer, objects Objects) error {
	var b strings.Builder
	fmt.Fprintf(&b, "; revision %d\n", objects.Revision)
	for _, object := range objects.Objects {
		b.WriteByte('\n')
		b.WriteString(strings.TrimSpace(object.INI))
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return outputError(err)
}

// WriteAccepted writes the result of an accepted edit.
func WriteAccepted(w io.Writer, accepted Accepted) error {
	var b strings.Builder
	fmt.Fprintf(&b, "accepted as revision %d (operation %s)\n", accepted.Revision, accepted.OperationID)
	for _, key := range accepted.Changed {
		fmt.Fprintf(&b, "  changed %s\n", key)
	}
	_, err := io.WriteString(w, b.String())
	return outputError(err)
}

// WriteInForce writes in how many processes a revision is in force and lists those in which it is not.
func WriteInForce(w io.Writer, inForce InForce) error {
	missing := inForce.Missing()
	table := texttable.New(w)
	table.Row("revision %d is in force in %d of %d live processes",
		inForce.Revision, len(inForce.Processes)-len(missing), len(inForce.Processes))
	if len(missing) > 0 {
		table.Row("NOT IN FORCE IN\tROLE\tDOMAIN\tADDRESS\tHAS\tNOTE")
	}
	for _, p := range missing {
		note := "behind"
		if p.Unreachable {
			note = "does not answer"
		}
		table.Row("%s\t%s\t%s\t%s\t%d\t%s", p.Process, p.Role, p.FailureDomain, p.Address, p.Revision, note)
	}
	return outputError(table.Flush())
}

// WriteProcesses writes the live processes.
func WriteProcesses(w io.Writer, list ProcessList) error {
	table := texttable.New(w)
	table.Row("PROCESS\tROLE\tDOMAIN\tURL")
	for _, p := range list.Processes {
		table.Row("%s\t%s\t%s\t%s", p.Name, p.Role, p.FailureDomain, p.URL)
	}
	return outputError(table.Flush())
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrOutput, err.Error())
}

// labelText formats labels, sorted by name.
func labelText(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for name, value := range labels {
		pairs = append(pairs, name+"="+value)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}

// WriteError writes a description of a client error and the next step, with each place of an invalid text on its own
// line.
func WriteError(w io.Writer, err error) error {
	_, answer := errorResponse(err)
	var b strings.Builder
	switch {
	case answer.Invalid != nil:
		b.WriteString("not applied:\n")
		for _, place := range answer.Invalid.Places {
			fmt.Fprintf(&b, "  %s\n", place)
		}
	case answer.Unknown != nil:
		fmt.Fprintf(&b, "OUTCOME UNKNOWN: the edit may have been applied or may still be: %s\noperation %s\n",
			answer.Unknown.Reason, answer.Unknown.OperationID)
	case errors.Is(err, ErrNotInForce):
		fmt.Fprintf(&b, "accepted, and %s\n", strings.TrimPrefix(ErrNotInForce.Error(), errorPrefix))
	default:
		fmt.Fprintf(&b, "not applied: %s\n", strings.TrimPrefix(err.Error(), errorPrefix))
	}
	if answer.Next != "" {
		fmt.Fprintf(&b, "next: %s\n", answer.Next)
	}
	_, writeErr := io.WriteString(w, b.String())
	return outputError(writeErr)
}

// errorPrefix is the prefix of this package's error messages.
const errorPrefix = "operator: "
