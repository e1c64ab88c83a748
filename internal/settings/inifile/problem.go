package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	// File is the file's name, or the flag or variable that gave the value.
	File string
	// Line begins at 1; 0 means that the fault has no line, as with a missing section.
	Line int
	// Section is the section's title, such as `model "x"`, and Key the key; empty where the fault concerns none.
	Section, Key string
	// Text says what is wrong and Allowed what may stand there.
	Text, Allowed string
}

// String writes the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Text)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems is the error that holds all faults of a file.
type Problems []Problem

// Error writes one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of their lines, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}
