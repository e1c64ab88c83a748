package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the file's name, or the flag or variable that set the value.
	File string
	// Line starts at 1; 0 means that the problem has no line, such as a missing section.
	Line int
	// Section is the section's title, such as `model "x"`, and Key the key; they are empty if the problem concerns
	// none.
	Section, Key string
	// Text describes the problem and Allowed the allowed values.
	Text, Allowed string
}

// String formats the problem on one line.
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

// Problems is an error that lists all problems of a file.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by line, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}
