package timeline

import (
	"slices"
	"sort"
)

// Merge returns the events of many processes in one order, in which each cause precedes its effects.
func Merge(batches ...[]Event) []Event {
	merged := slices.Concat(batches...)
	slices.SortFunc(merged, Compare)
	return merged
}

// maxPending bounds the events that a Merger buffers.
const maxPending = 100_000

// NoteKind is the kind of a Note.
type NoteKind string

// Kinds of notes.
const (
	// NoteGap: events were evicted before they could be read.
	NoteGap NoteKind = "gap"
	// NoteRestarted: the process restarted; the last events before the restart may be missing.
	NoteRestarted NoteKind = "restarted"
	// NoteUnreachable: the process does not respond; its later events are missing.
	NoteUnreachable NoteKind = "lost"
	// NoteRecovered: the process responds again; its events from the outage may be out of order.
	NoteRecovered NoteKind = "back"
	// NoteMalformedLines: log lines could not be parsed as events.
	NoteMalformedLines NoteKind = "strange_lines"
	// NoteDroppedLines: processes reported that they dropped log lines.
	NoteDroppedLines NoteKind = "left_out"
)

// Note describes how the events of one process may be incomplete or out of order.
type Note struct {
	Kind    NoteKind `json:"note"`
	URL     string   `json:"url"`
	Process string   `json:"process,omitempty"`
	// Dropped is the number of missing events or log lines. For a gap it includes events that the filter would exclude.
	Dropped uint64 `json:"dropped,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Cursor is the position up to which a process has been read.
type Cursor struct {
	// After is the sequence of the last event read, from the recorder with this Head.Start.
	Start, After uint64
}

// Merger incrementally merges the events of many processes. It buffers an event until every reachable process has been
// read past the event's clock, so that no earlier event can follow. It is not safe for concurrent use.
type Merger struct {
	sources        map[string]*source
	pending        []Event
	latestReleased uint64
}

// source is the read state of one process.
type source struct {
	head        Head
	read        bool
	unreachable bool
}

// NewMerger returns a merger without processes.
func NewMerger() *Merger { return &Merger{sources: map[string]*source{}} }

// Cursor returns the position up to which the process at a URL has been read.
func (m *Merger) Cursor(url string) Cursor {
	s, ok := m.sources[url]
	if !ok {
		return Cursor{}
	}
	return Cursor{Start: s.head.Start, After: s.head.Latest}
}

// Add adds the result of reading the process at a URL from its cursor.
func (m *Merger) Add(url string, head Head, events []Event) []Note {
	s, known := m.sources[url]
	if !known {
		s = &source{}
		m.sources[url] = s
	}
	notes := s.notes(url, head)
	s.head, s.read, s.unreachable = head, true, false
	m.pending = append(m.pending, events...)
	return notes
}

// notes compares a new head with the previous one.
func (s *source) notes(url string, head Head) []Note {
	var notes []Note
	note := func(kind NoteKind, dropped uint64) {
		notes = append(notes, Note{Kind: kind, URL: url, Process: head.Process, Dropped: dropped})
	}
	if s.unreachable {
		note(NoteRecovered, 0)
	}
	after := s.head.Latest
	if s.read && s.head.Start != head.Start {
		note(NoteRestarted, 0)
		after = 0
	}
	// Events evicted before the first read of a process are reported as a gap as well.
	if head.Oldest > after+1 {
		note(NoteGap, head.Oldest-after-1)
	}
	return notes
}

// MarkUnreachable records that the process at a URL did not respond; its events no longer hold back those of others.
func (m *Merger) MarkUnreachable(url, reason string) []Note {
	s, known := m.sources[url]
	if !known {
		s = &source{}
		m.sources[url] = s
	}
	if s.unreachable {
		return nil
	}
	s.unreachable = true
	return []Note{{Kind: NoteUnreachable, URL: url, Process: s.head.Process, Detail: reason}}
}

// Remove removes a process that is no longer part of the system.
func (m *Merger) Remove(url string) { delete(m.sources, url) }

// URLs returns the sorted URLs of the processes.
func (m *Merger) URLs() []string {
	urls := make([]string, 0, len(m.sources))
	for url := range m.sources {
		urls = append(urls, url)
	}
	slices.Sort(urls)
	return urls
}

// MergedEvent is an event returned by a Merger.
type MergedEvent struct {
	Event
	// OutOfOrder is set if a later event was returned before this one, because the process had not responded in time.
	OutOfOrder bool `json:"late,omitempty"`
}

// Ready returns, in order, the events that no earlier event can follow.
//
// If more than maxPending events are buffered because one process's clock is far behind, the oldest are returned anyway to
// bound memory; earlier events that arrive afterwards are marked OutOfOrder.
func (m *Merger) Ready() []MergedEvent {
	slices.SortFunc(m.pending, Compare)
	watermark := m.watermark()
	n := sort.Search(len(m.pending), func(i int) bool { return m.pending[i].Clock > watermark })
	n = max(n, len(m.pending)-maxPending)
	return m.release(n)
}

// Flush returns all events that are still buffered, in order.
func (m *Merger) Flush() []MergedEvent {
	slices.SortFunc(m.pending, Compare)
	return m.release(len(m.pending))
}

// release removes and returns the first n pending events.
func (m *Merger) release(n int) []MergedEvent {
	released := make([]MergedEvent, n)
	for i, e := range m.pending[:n] {
		released[i] = MergedEvent{Event: e, OutOfOrder: e.Clock < m.latestReleased}
		m.latestReleased = max(m.latestReleased, e.Clock)
	}
	m.pending = slices.Delete(m.pending, 0, n)
	return released
}

// watermark returns the clock up to which every reachable process has been read.
func (m *Merger) watermark() uint64 {
	least := ^uint64(0)
	for _, s := range m.sources {
		if s.read && !s.unreachable {
			least = min(least, s.head.Clock)
		}
	}
	return least
}
