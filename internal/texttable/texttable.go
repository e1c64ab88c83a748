// Package texttable writes aligned columns for people.
package texttable

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// Table writes rows of aligned columns. It keeps the first error for Flush.
type Table struct {
	writer *tabwriter.Writer
	err    error
}

// New returns a table that writes to w.
func New(w io.Writer) *Table {
	return &Table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
}

// Row adds one line; tabs part the columns.
func (t *Table) Row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format+"\n", args...)
	}
}

// Flush writes what was added and returns the first error of the writer below.
func (t *Table) Flush() error {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
	return t.err
}
