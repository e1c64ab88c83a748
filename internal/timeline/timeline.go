// Package timeline records what happens in each process as events with a hybrid clock, so that the events of all
// processes merge into one order that agrees with cause and effect.
//
// A Recorder keeps the latest events of its process within fixed memory, a Handler serves them over HTTP, and Collect
// and Follower merge those of many processes.
package timeline

import (
	"cmp"
	"strings"
	"unsafe"
)

// Kind names what an event records.
type Kind string

// Event is one entry of the time line.
type Event struct {
	// Clock is the hybrid clock reading: milliseconds since the Unix epoch in the upper 48 bits, a counter below.
	Clock   uint64 `json:"clock"`
	Process string `json:"process"`
	// Sequence rises by one with each event of a process.
	Sequence uint64            `json:"sequence"`
	Kind     Kind              `json:"kind"`
	Request  string            `json:"request,omitempty"`
	Model    string            `json:"model,omitempty"`
	Endpoint string            `json:"endpoint,omitempty"`
	Detail   string            `json:"detail,omitempty"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// The bounds of one event; longer text is cut, and fields that do not fit are left out.
const (
	MaxNameBytes   = 128
	MaxDetailBytes = 384
	// MaxEventBytes is the most memory that one kept event takes.
	MaxEventBytes = 1536
)

// Costs in memory of an event and its fields, in bytes.
const (
	eventBytes    = int(unsafe.Sizeof(Event{}))
	fieldsBytes   = 48
	perFieldBytes = 48
)

// Compare orders events by clock, then process, then sequence. Causes come before their effects, because an effect's
// clock is greater.
func Compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock, b.Clock),
		strings.Compare(a.Process, b.Process),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// size returns the memory that the event takes, in bytes. Text that it shares with others counts in full.
func (e *Event) size() int {
	n := eventBytes + len(e.Process) + len(e.Kind) + len(e.Request) + len(e.Model) + len(e.Endpoint) + len(e.Detail)
	if len(e.Fields) > 0 {
		n += fieldsBytes
	}
	for name, value := range e.Fields {
		n += perFieldBytes + len(name) + len(value)
	}
	return n
}

// bound cuts the event down to MaxEventBytes.
//
// It guards against a caller's text (a path, an error of a library) that would fill the ring's memory with one event
// and push out hundreds.
func (e *Event) bound() {
	e.Process = cut(e.Process, MaxNameBytes)
	e.Kind = Kind(cut(string(e.Kind), MaxNameBytes))
	e.Request = cut(e.Request, MaxNameBytes)
	e.Model = cut(e.Model, MaxNameBytes)
	e.Endpoint = cut(e.Endpoint, MaxNameBytes)
	e.Detail = cut(e.Detail, MaxDetailBytes)
	if e.size() > MaxEventBytes {
		e.Fields = nil
	}
}

// cut returns at most n bytes of s, as valid UTF-8 that does not keep the rest of s in memory.
func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:n]), "")
}
