// Package timeline records the events of each process with hybrid logical clock timestamps, so that the events of all
// processes can be merged into one order consistent with causality.
//
// A Recorder keeps the latest events of its process in bounded memory, a Handler serves them over HTTP, and a Collector
// reads and merges the events of many processes.
package timeline

import (
	"cmp"
	"strings"
	"unsafe"
)

// Kind names what an event records.
type Kind string

// Event is one entry of the timeline.
type Event struct {
	// Clock is the hybrid clock reading: milliseconds since the Unix epoch in the upper 48 bits, a counter in the lower 16.
	Clock   uint64 `json:"clock"`
	Process string `json:"process"`
	// Sequence increases by one with each event of a process.
	Sequence uint64            `json:"sequence"`
	Kind     Kind              `json:"kind"`
	Request  string            `json:"request,omitempty"`
	Model    string            `json:"model,omitempty"`
	Endpoint string            `json:"endpoint,omitempty"`
	Detail   string            `json:"detail,omitempty"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Size limits of an event; longer text is truncated, and Fields is dropped if the event is still too large.
const (
	MaxNameBytes   = 128
	MaxDetailBytes = 384
	// MaxEventBytes bounds the memory used by one stored event.
	MaxEventBytes = 1536
)

// Estimated memory use of an event and its fields, in bytes.
const (
	eventBytes    = int(unsafe.Sizeof(Event{}))
	fieldsBytes   = 48
	perFieldBytes = 48
)

// Compare orders events by clock, then process, then sequence. A cause sorts before its effect because the effect has a
// greater clock.
func Compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock, b.Clock),
		strings.Compare(a.Process, b.Process),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// size returns the estimated memory use of the event, in bytes. Strings shared with other events count in full.
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

// enforceLimits truncates the event to MaxEventBytes.
//
// Without it a single event with a long text, such as a request path or a library's error message, could use up the
// ring's memory and evict hundreds of events.
func (e *Event) enforceLimits() {
	e.Process = truncate(e.Process, MaxNameBytes)
	e.Kind = Kind(truncate(string(e.Kind), MaxNameBytes))
	e.Request = truncate(e.Request, MaxNameBytes)
	e.Model = truncate(e.Model, MaxNameBytes)
	e.Endpoint = truncate(e.Endpoint, MaxNameBytes)
	e.Detail = truncate(e.Detail, MaxDetailBytes)
	if e.size() > MaxEventBytes {
		e.Fields = nil
	}
}

// truncate returns at most n bytes of s as valid UTF-8, copied so that the rest of s can be freed.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(strings.Clone(s[:n]), "")
}
