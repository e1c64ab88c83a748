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

// ErrOutput says that a time line could not be written.
var ErrOutput = errors.New("timeline: output not written")

// The widths of the text columns; longer names push the rest of their line.
const (
	timeWidth    = 10
	processWidth = 14
	kindWidth    = 20
)

// Format is how a Printer writes.
type Format string

// The formats of a Printer.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Printer writes merged events for people, with times from the first event on, or as JSON lines.
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

// Print writes the notes and events of a collection. It fails with ErrOutput.
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

func (p *Printer) event(e *Released) error {
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

// details writes what an event holds beside its time, process and kind.
func details(e *Released) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+quoted(value))
		}
	}
	add("request", e.Request)
	add("model", e.Model)
	add("endpoint", e.Endpoint)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		add(name, e.Fields[name])
	}
	if e.Detail != "" {
		parts = append(parts, printable(e.Detail))
	}
	if e.Late {
		parts = append(parts, "(late)")
	}
	return strings.Join(parts, " ")
}

// quoted quotes a value that would not read as one word.
func quoted(value string) string {
	if strings.ContainsFunc(value, func(r rune) bool { return unicode.IsSpace(r) || r == '"' }) {
		return strconv.Quote(value)
	}
	return printable(value)
}

// printable quotes text with control characters.
//
// It guards the operator's terminal: a caller chooses parts of some texts (a path, a model's name) and could otherwise
// write lines or escape sequences into the output.
func printable(text string) string {
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

// String says in words what the note means.
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
	case NoteLost:
		return fmt.Sprintf("%s (%s) does not answer: its events are missing: %s", name, n.URL, printable(n.Detail))
	case NoteBack:
		return name + ": answers again; its events since may be marked late"
	case NoteStrangeLines:
		return fmt.Sprintf("%s: %d lines are no events", name, n.Dropped)
	case NoteLeftOut:
		return fmt.Sprintf("%s: %d lines were left out by their processes", name, n.Dropped)
	default:
		return fmt.Sprintf("%s: %s", name, n.Kind)
	}
}
