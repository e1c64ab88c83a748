package timeline

import "sync"

// DefaultEventBytes is the memory that NewRecorder allows for each kept event, on average.
const DefaultEventBytes = 512

// Recorder keeps the latest events of a process in a ring that is bounded by count and by memory.
type Recorder struct {
	process  string
	clock    *HybridClock
	start    uint64
	maxBytes int

	mu   sync.Mutex
	ring []Event
	// oldest and latest are the sequences of the first and last kept event; oldest is latest+1 when none is kept.
	oldest, latest uint64
	bytes          int
}

// NewRecorder returns a recorder that keeps the latest size events of the named process, or fewer when they take more
// than size times DefaultEventBytes of memory.
func NewRecorder(process string, size int, clock *HybridClock) *Recorder {
	size = max(size, 1)
	return &Recorder{
		process:  cut(process, MaxNameBytes),
		clock:    clock,
		start:    clock.Now(),
		maxBytes: max(size*DefaultEventBytes, MaxEventBytes),
		ring:     make([]Event, size),
		oldest:   1,
	}
}

// Clock returns the recorder's hybrid clock, to be read for and fed from messages.
func (r *Recorder) Clock() *HybridClock { return r.clock }

// Process returns the name of the recorder's process.
func (r *Recorder) Process() string { return r.process }

// Record stamps and keeps an event; the event's Fields must not be changed afterwards. A nil recorder drops it.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Process = r.process
	e.bound()
	size := e.size()
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read under the lock, so that sequence and clock agree on the order of the process's events.
	e.Clock = r.clock.Now()
	r.latest++
	e.Sequence = r.latest
	r.evict(size)
	*r.slot(r.latest) = e
	r.bytes += size
}

// evict makes room for an event with the sequence latest and the given size.
func (r *Recorder) evict(size int) {
	for r.oldest < r.latest && (r.latest-r.oldest >= uint64(len(r.ring)) || r.bytes+size > r.maxBytes) {
		dropped := r.slot(r.oldest)
		r.bytes -= dropped.size()
		*dropped = Event{}
		r.oldest++
	}
}

func (r *Recorder) slot(sequence uint64) *Event { return &r.ring[sequence%uint64(len(r.ring))] }

// Since returns the kept events with a sequence above after, oldest first. When the ring has dropped some of them, the
// first one's sequence shows the gap.
func (r *Recorder) Since(after uint64) []Event {
	_, events := r.Read(r.start, after)
	return events
}

// Read returns the kept events with a sequence above after, oldest first, and the recorder's bounds. It takes after for
// 0 when start is not that of this recorder, since the sequence is then of an earlier one of the same name.
func (r *Recorder) Read(start, after uint64) (Head, []Event) {
	if start != r.start {
		after = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	head := Head{
		Process: r.process,
		Start:   r.start,
		Clock:   r.clock.Now(),
		Oldest:  r.oldest,
		Latest:  r.latest,
	}
	var events []Event
	for s := max(after+1, r.oldest); s <= r.latest; s++ {
		events = append(events, *r.slot(s))
	}
	return head, events
}

// Bytes returns the memory that the kept events take.
func (r *Recorder) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
