package timeline

import (
	"slices"
	"sort"
)

// Merge returns the events of many processes in one order, in which each cause comes before its effects.
func Merge(batches ...[]Event) []Event {
	merged := slices.Concat(batches...)
	slices.SortFunc(merged, Compare)
	return merged
}

// maxPending bounds the events that a Merger holds back.
const maxPending = 100_000

// NoteKind names what a Note tells of a process.
type NoteKind string

// The kinds of notes.
const (
	// NoteGap: events were dropped before they could be read.
	NoteGap NoteKind = "gap"
	// NoteRestarted: the process began anew; what it recorded last before is not known.
	NoteRestarted NoteKind = "restarted"
	// NoteLost: the process does not answer; its events are missing from here on.
	NoteLost NoteKind = "lost"
	// NoteBack: the process answers again; its events since may stand out of order.
	NoteBack NoteKind = "back"
	// NoteStrangeLines: lines of logs are no events.
	NoteStrangeLines NoteKind = "strange_lines"
	// NoteLeftOut: processes say that they left lines out of their logs.
	NoteLeftOut NoteKind = "left_out"
)

// Note tells what is wrong with what is known of one process.
type Note struct {
	Kind    NoteKind `json:"note"`
	URL     string   `json:"url"`
	Process string   `json:"process,omitempty"`
	// Dropped counts the events in a gap, those included that a filter would have left out.
	Dropped uint64 `json:"dropped,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Cursor says up to where a process has been read.
type Cursor struct {
	// Start is the Head.Start to which After belongs.
	Start, After uint64
}

// Merger merges the events of many processes as they are read, bit by bit. It holds an event back until every process
// that answers has been read past the event's clock, so that no earlier one can follow. It is not safe for concurrent
// use.
type Merger struct {
	sources  map[string]*source
	pending  []Event
	released uint64
}

// source is what a Merger knows of one process.
type source struct {
	head Head
	read bool
	lost bool
}

// NewMerger returns a merger that knows no process.
func NewMerger() *Merger { return &Merger{sources: map[string]*source{}} }

// Cursor returns up to where the process at a URL has been read.
func (m *Merger) Cursor(url string) Cursor {
	s, ok := m.sources[url]
	if !ok {
		return Cursor{}
	}
	return Cursor{Start: s.head.Start, After: s.head.Latest}
}

// Add takes what was read from the process at a URL with its cursor.
func (m *Merger) Add(url string, head Head, events []Event) []Note {
	s, known := m.sources[url]
	if !known {
		s = &source{}
		m.sources[url] = s
	}
	notes := s.notes(url, head)
	s.head, s.read, s.lost = head, true, false
	m.pending = append(m.pending, events...)
	return notes
}

// notes compares a new head with the one before.
func (s *source) notes(url string, head Head) []Note {
	var notes []Note
	note := func(kind NoteKind, dropped uint64) {
		notes = append(notes, Note{Kind: kind, URL: url, Process: head.Process, Dropped: dropped})
	}
	if s.lost {
		note(NoteBack, 0)
	}
	after := s.head.Latest
	if s.read && s.head.Start != head.Start {
		note(NoteRestarted, 0)
		after = 0
	}
	// A process that is read for the first time may have dropped what nobody asked for: that is told as well.
	if head.Oldest > after+1 {
		note(NoteGap, head.Oldest-after-1)
	}
	return notes
}

// Lost says that the process at a URL did not answer; it is no longer waited for.
func (m *Merger) Lost(url, reason string) []Note {
	s, known := m.sources[url]
	if !known {
		s = &source{}
		m.sources[url] = s
	}
	if s.lost {
		return nil
	}
	s.lost = true
	return []Note{{Kind: NoteLost, URL: url, Process: s.head.Process, Detail: reason}}
}

// Forget drops a process that is no longer part of the system.
func (m *Merger) Forget(url string) { delete(m.sources, url) }

// URLs returns the URLs of the known processes in order.
func (m *Merger) URLs() []string {
	urls := make([]string, 0, len(m.sources))
	for url := range m.sources {
		urls = append(urls, url)
	}
	slices.Sort(urls)
	return urls
}

// Released is an event that a Merger gives out.
type Released struct {
	Event
	// Late is set when a later event was given out before, because the process had not answered.
	Late bool `json:"late,omitempty"`
}

// Take returns the events that no earlier one can follow, in order.
//
// When more than maxPending are held back, because one process's clock is far behind, the oldest are given out all the
// same: memory is bounded, and the events that come after them are marked late.
func (m *Merger) Take() []Released {
	slices.SortFunc(m.pending, Compare)
	watermark := m.watermark()
	n := sort.Search(len(m.pending), func(i int) bool { return m.pending[i].Clock > watermark })
	n = max(n, len(m.pending)-maxPending)
	return m.take(n)
}

// Rest returns all events that are still held back, in order.
func (m *Merger) Rest() []Released {
	slices.SortFunc(m.pending, Compare)
	return m.take(len(m.pending))
}

// take gives out the first n pending events.
func (m *Merger) take(n int) []Released {
	released := make([]Released, n)
	for i, e := range m.pending[:n] {
		released[i] = Released{Event: e, Late: e.Clock < m.released}
		m.released = max(m.released, e.Clock)
	}
	m.pending = slices.Delete(m.pending, 0, n)
	return released
}

// watermark returns the clock up to which every process that answers has been read.
func (m *Merger) watermark() uint64 {
	least := ^uint64(0)
	for _, s := range m.sources {
		if s.read && !s.lost {
			least = min(least, s.head.Clock)
		}
	}
	return least
}
