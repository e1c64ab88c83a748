package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
)

// ErrOutput reports that a timeline could not be written.
var ErrOutput = errors.New("timeline: writing output failed")

// The minimum widths of the text columns; longer values shift the rest of their line.
const (
	timeWidth    = 10
	processWidth = 14
	kindWidth    = 20
)

// Format is the output format of a Printer.
type Format string

// Output formats of a Printer.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Printer writes merged events as JSON lines or as text with times relative to the first event.
type Printer struct {
	w       io.Writer
	format  Format
	origin  time.Time
	encoder *json.Encoder
}

// NewPrinter returns a printer.
func NewPrinter(w io.Writer, format Format) *Printer {
	return &Printer{w: w, format: format, encoder: json.NewEncoder(w)}
}

// Print writes the notes and events of a collection. Its errors wrap ErrOutput.
func (p *Printer) Print(c Collection) error {
	for _, note := range c.Notes {
		if err := p.note(note); err != nil {
			return errors.Wrap(ErrOutput, err.Error())
		}
	}
	for i := range c.Events {
		if err := p.event(&c.Events[i]); err != nil {
			return errors.Wrap(ErrOutput, err.Error())
		}
	}
	return nil
}

func (p *Printer) event(e *MergedEvent) error {
	if p.format == FormatJSON {
		return p.encoder.Encode(e)
	}
	at := WallTime(e.Clock)
	if p.origin.IsZero() {
		p.origin = at
		if _, err := fmt.Fprintf(p.w, "# times from %s on\n", at.UTC().Format(time.RFC3339Nano)); err != nil {
			return err
		}
	}
	since := fmt.Sprintf("%+.3fs", at.Sub(p.origin).Seconds())
	_, err := fmt.Fprintf(p.w, "%*s  %-*s  %-*s  %s\n",
		timeWidth, since, processWidth, e.Process, kindWidth, e.Kind, details(e))
	return err
}

// details formats everything in an event except its time, process and kind.
func details(e *MergedEvent) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+quoteIfNeeded(value))
		}
	}
	add("request", e.Request)
	add("model", e.Model)
	add("endpoint", e.Endpoint)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		add(name, e.Fields[name])
	}
	if e.Detail != "" {
		parts = append(parts, quoteUnprintable(e.Detail))
	}
	if e.OutOfOrder {
		parts = append(parts, "(late)")
	}
	return strings.Join(parts, " ")
}

// quoteIfNeeded quotes a value that contains white space, quotes or unprintable characters.
func quoteIfNeeded(value string) string {
	if strings.ContainsFunc(value, func(r rune) bool { return unicode.IsSpace(r) || r == '"' }) {
		return strconv.Quote(value)
	}
	return quoteUnprintable(value)
}

// quoteUnprintable quotes text that contains unprintable characters.
//
// Callers control parts of some texts, such as a path or a model name, and could otherwise inject lines or terminal
// escape sequences into the operator's output.
func quoteUnprintable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

func (p *Printer) note(n Note) error {
	if p.format == FormatJSON {
		return p.encoder.Encode(n)
	}
	_, err := fmt.Fprintf(p.w, "# %s\n", n)
	return err
}

// String returns a description of the note for operators.
func (n Note) String() string {
	name := n.Process
	if name == "" {
		name = n.URL
	}
	switch n.Kind {
	case NoteGap:
		return fmt.Sprintf("%s: %d events were dropped before they were read", name, n.Dropped)
	case NoteRestarted:
		return name + ": restarted; its last events before are not known"
	case NoteUnreachable:
		return fmt.Sprintf("%s (%s) does not answer: its events are missing: %s", name, n.URL, quoteUnprintable(n.Detail))
	case NoteRecovered:
		return name + ": answers again; its events since may be marked late"
	case NoteMalformedLines:
		return fmt.Sprintf("%s: %d lines are no events", name, n.Dropped)
	case NoteDroppedLines:
		return fmt.Sprintf("%s: %d lines were left out by their processes", name, n.Dropped)
	default:
		return fmt.Sprintf("%s: %s", name, n.Kind)
	}
}
