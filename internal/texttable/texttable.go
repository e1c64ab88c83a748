// Package texttable writes text tables with aligned columns.
package texttable

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// Table writes rows of aligned columns. Flush returns the first error.
type Table struct {
	writer *tabwriter.Writer
	err    error
}

// New returns a table that writes to w.
func New(w io.Writer) *Table {
	return &Table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
}

// Row adds one formatted line; columns are separated by tabs.
func (t *Table) Row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format+"\n", args...)
	}
}

// Flush writes the added rows and returns the first error of formatting or writing.
func (t *Table) Flush() error {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
	return t.err
}
