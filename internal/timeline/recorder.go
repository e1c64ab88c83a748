package timeline

import "sync"

// DefaultEventBytes is the average memory that NewRecorder allows for each stored event.
const DefaultEventBytes = 512

// Recorder keeps the latest events of a process in a ring buffer bounded by count and memory.
type Recorder struct {
	process  string
	clock    *HybridClock
	start    uint64
	maxBytes int

	mu   sync.Mutex
	ring []Event
	// oldest and latest are the sequences of the first and last stored event; oldest is latest+1 when the ring is empty.
	oldest, latest uint64
	bytes          int
}

// NewRecorder returns a recorder that keeps the latest size events of the named process, or fewer if they need more than
// size*DefaultEventBytes of memory.
func NewRecorder(process string, size int, clock *HybridClock) *Recorder {
	size = max(size, 1)
	return &Recorder{
		process:  truncate(process, MaxNameBytes),
		clock:    clock,
		start:    clock.Now(),
		maxBytes: max(size*DefaultEventBytes, MaxEventBytes),
		ring:     make([]Event, size),
		oldest:   1,
	}
}

// Clock returns the recorder's hybrid clock. Senders attach its readings to messages, and receivers pass them to Observe.
func (r *Recorder) Clock() *HybridClock { return r.clock }

// Process returns the name of the recorder's process.
func (r *Recorder) Process() string { return r.process }

// Record timestamps and stores an event; the event's Fields must not be modified afterwards. On a nil Recorder it does
// nothing.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Process = r.process
	e.enforceLimits()
	size := e.size()
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read under the lock, so that sequences and clock readings have the same order.
	e.Clock = r.clock.Now()
	r.latest++
	e.Sequence = r.latest
	r.evict(size)
	*r.slot(r.latest) = e
	r.bytes += size
}

// evict drops the oldest events to make room for the event with sequence latest and the given size.
func (r *Recorder) evict(size int) {
	for r.oldest < r.latest && (r.latest-r.oldest >= uint64(len(r.ring)) || r.bytes+size > r.maxBytes) {
		dropped := r.slot(r.oldest)
		r.bytes -= dropped.size()
		*dropped = Event{}
		r.oldest++
	}
}

func (r *Recorder) slot(sequence uint64) *Event { return &r.ring[sequence%uint64(len(r.ring))] }

// Since returns the stored events with a sequence greater than after, oldest first. If some were evicted, the sequence of
// the first returned event is greater than after+1.
func (r *Recorder) Since(after uint64) []Event {
	_, events := r.Read(r.start, after)
	return events
}

// Read returns the stored events with a sequence greater than after, oldest first, and the recorder's state. If start is
// not that of this recorder, after belongs to an earlier process of the same name and is treated as 0.
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

// Bytes returns the estimated memory use of the stored events.
func (r *Recorder) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
