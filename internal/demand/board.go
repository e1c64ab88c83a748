package demand

import "time"

// Board adds up the demand of several sources. It is not safe for concurrent use.
type Board struct {
	sources map[string]*source
	// arrived counts the requests of all sources since the board was made.
	arrived map[Target]int64
	targets map[Target]time.Duration
}

// source is a gateway, with its demand as last heard.
type source struct {
	heardAt time.Time
	// listed is set once the source has sent a complete list.
	listed bool
	models map[Target]heardModel
	// counts are the last absolute numbers of arrivals, from sources that send complete lists.
	counts map[Target]int64
}

type heardModel struct {
	waiting, running int
	// oldestSince is when the oldest waiting request began to wait.
	oldestSince time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{sources: make(map[string]*source), arrived: make(map[Target]int64), targets: make(map[Target]time.Duration)}
}

// Message is what a source says of its demand.
type Message struct {
	Models []Model
	// Changes is set if Models holds only what has changed since the source's last message, and First on the first such
	// message of a connection: what was heard before no longer holds.
	Changes, First bool
}

// Apply applies a message of a source. It reports whether requests wait for more models than before.
func (b *Board) Apply(now time.Time, name string, m Message) bool {
	s := b.sources[name]
	if s == nil {
		s = &source{models: make(map[Target]heardModel), counts: make(map[Target]int64)}
		b.sources[name] = s
	}
	s.heardAt = now
	before := s.waiting()
	if !m.Changes || m.First {
		clear(s.models)
	}
	for _, model := range m.Models {
		b.apply(now, s, model, m.Changes)
	}
	s.listed = s.listed || !m.Changes
	return s.waiting() > before
}

func (b *Board) apply(now time.Time, s *source, m Model, increments bool) {
	arrived := m.Arrived
	if increments {
		s.counts[m.Target] += m.Arrived
	} else {
		arrived = s.increment(m)
	}
	b.arrived[m.Target] += max(0, arrived)
	if m.FirstEventTarget > 0 && (b.targets[m.Target] == 0 || m.FirstEventTarget < b.targets[m.Target]) {
		b.targets[m.Target] = m.FirstEventTarget
	}
	if m.idle() {
		delete(s.models, m.Target)
		return
	}
	s.models[m.Target] = heardModel{waiting: m.Waiting, running: m.Running, oldestSince: now.Add(-m.OldestWait)}
}

// increment returns the arrivals since the source's last message. Of a source that is new or has restarted, the arrival
// times of the requests counted so far are unknown; at most one counts for each model.
func (s *source) increment(m Model) int64 {
	previous, known := s.counts[m.Target]
	s.counts[m.Target] = m.Arrived
	if (known || s.listed) && m.Arrived >= previous {
		return m.Arrived - previous
	}
	return min(m.Arrived, 1)
}

// waiting returns the number of models that requests of the source wait for.
func (s *source) waiting() int {
	n := 0
	for _, m := range s.models {
		if m.waiting > 0 {
			n++
		}
	}
	return n
}

// Remove forgets a source; its arrivals stay counted.
func (b *Board) Remove(name string) { delete(b.sources, name) }

// Expire forgets the sources that were last heard before a time.
func (b *Board) Expire(before time.Time) {
	for name, s := range b.sources {
		if s.heardAt.Before(before) {
			delete(b.sources, name)
		}
	}
}

// HeardAt returns when a source was last heard.
func (b *Board) HeardAt(name string) (time.Time, bool) {
	s := b.sources[name]
	if s == nil {
		return time.Time{}, false
	}
	return s.heardAt, true
}

// Total returns the complete demand of all sources.
func (b *Board) Total(now time.Time) []Model {
	sums := make(map[Target]Model, len(b.arrived))
	for t, n := range b.arrived {
		sums[t] = Model{Target: t, Arrived: n, FirstEventTarget: b.targets[t]}
	}
	for _, s := range b.sources {
		for t, m := range s.models {
			sum := sums[t]
			sum.Waiting += m.waiting
			sum.Running += m.running
			if m.waiting > 0 {
				sum.OldestWait = max(sum.OldestWait, now.Sub(m.oldestSince))
			}
			sums[t] = sum
		}
	}
	list := make([]Model, 0, len(sums))
	for _, m := range sums {
		list = append(list, m)
	}
	return list
}
