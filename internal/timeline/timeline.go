// Package timeline records what happens in each process as events with a hybrid clock, so that the events of all
// processes merge into one order that agrees with cause and effect.
package timeline

import (
	"sync"
	"time"
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

const counterBits = 16

// HybridClock is a hybrid logical clock (Kulkarni et al., 2014): it follows the wall clock but never runs behind a
// reading that the process has seen, so that an effect is never stamped before its cause.
type HybridClock struct {
	mu   sync.Mutex
	last uint64
	now  func() time.Time
}

// NewHybridClock returns a clock over the given wall clock.
func NewHybridClock(now func() time.Time) *HybridClock { return &HybridClock{now: now} }

// Now returns a reading above all that were returned or observed before.
func (c *HybridClock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := uint64(c.now().UnixMilli()) << counterBits
	c.last = max(wall, c.last+1)
	return c.last
}

// Observe moves the clock past a reading that came with a message.
func (c *HybridClock) Observe(reading uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, reading)
}

// WallTime returns the wall-clock part of a reading.
func WallTime(reading uint64) time.Time { return time.UnixMilli(int64(reading >> counterBits)) }

// Recorder keeps the latest events of a process in a ring of fixed size.
type Recorder struct {
	process string
	clock   *HybridClock

	mu       sync.Mutex
	ring     []Event
	sequence uint64
}

// NewRecorder returns a recorder that keeps the latest size events of the named process.
func NewRecorder(process string, size int, clock *HybridClock) *Recorder {
	return &Recorder{process: process, clock: clock, ring: make([]Event, size)}
}

// Clock returns the recorder's hybrid clock, to be read for and fed from messages.
func (r *Recorder) Clock() *HybridClock { return r.clock }

// Record stamps and keeps an event. A nil recorder drops it.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Clock = r.clock.Now()
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e.Sequence = r.sequence
	r.ring[r.sequence%uint64(len(r.ring))] = e
}

// Since returns the kept events with a sequence above after, oldest first. When the ring has dropped some of them, the
// first one's sequence shows the gap.
func (r *Recorder) Since(after uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := after + 1
	size := uint64(len(r.ring))
	if r.sequence >= size {
		first = max(first, r.sequence-size+1)
	}
	var events []Event
	for s := first; s <= r.sequence; s++ {
		events = append(events, r.ring[s%size])
	}
	return events
}
