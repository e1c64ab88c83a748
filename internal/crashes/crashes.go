// Package crashes tracks under which requests endpoints have ended. A request that ends the endpoints that run it looks like any
// other to the one it comes to next; only the ends that came before tell the two apart. Its client's tries have different IDs and
// come to different gateways, so a request is identified by its content, and all gateways share what they have seen.
package crashes

import (
	"slices"
	"sync"
	"time"

	"balsamsail/internal/sitelog"
)

const (
	// MaxEnded is the number of endpoints that may end under a request before it is sent to no other.
	MaxEnded = 3
	// holdTime is how long an end counts, and with it how long a request may be refused for it.
	holdTime = time.Minute
	// maxEnds bounds the ends that are remembered; one takes some 200 bytes.
	maxEnds = 8192
)

// Content identifies what a client asks for: the hash of everything that its tries have in common.
type Content uint64

// Process is one process of an endpoint: a restarted endpoint may have the ID that it had.
type Process struct {
	EndpointID string
	// Started is the Unix time in milliseconds at which the process started; 0 if it is not known.
	Started int64
}

// End says that a process of an endpoint may have ended while it worked on a request.
type End struct {
	Content Content
	Process Process
	// Attempt tells the ends of several attempts at one endpoint apart: it may have survived the first.
	Attempt uint64
}

// Tracker holds the ends that the gateways of a site have seen. It is safe for concurrent use.
type Tracker struct {
	onAdd func()

	mu  sync.Mutex
	log *sitelog.Log[End, time.Time]
	// ends are the ends in the log by the content of the request.
	ends map[Content][]End
}

// New returns a tracker without ends.
func New() *Tracker {
	t := &Tracker{ends: make(map[Content][]End), onAdd: func() {}}
	t.log = sitelog.New[End, time.Time](maxEnds, t.forget)
	return t
}

// OnAdd sets a function that is called at each new end. It must not block. Call OnAdd before the first request.
func (t *Tracker) OnAdd(call func()) { t.onAdd = call }

// Add records an end at a time, unless it is known.
func (t *Tracker) Add(now time.Time, e End, at time.Time) {
	if t.add(now, e, at) {
		t.onAdd()
	}
}

func (t *Tracker) add(now time.Time, e End, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.log.Add(now, sitelog.Fact[End, time.Time]{Key: e, Value: at, Expires: at.Add(holdTime)}) {
		return false
	}
	t.ends[e.Content] = append(t.ends[e.Content], e)
	return true
}

// forget drops an end from the index. The lock must be held.
func (t *Tracker) forget(e End) {
	rest := slices.DeleteFunc(t.ends[e.Content], func(other End) bool { return other == e })
	if len(rest) == 0 {
		delete(t.ends, e.Content)
		return
	}
	t.ends[e.Content] = rest
}

// Ended says how many processes of endpoints have ended under a request.
type Ended struct {
	Processes int
	// Last is when the last of them ended, and Until when the first of these ends is forgotten.
	Last, Until time.Time
}

// Ended returns the processes that have ended under a request, as far as mayHaveEnded does not rule it out for a process and a
// time.
func (t *Tracker) Ended(now time.Time, c Content, mayHaveEnded func(now time.Time, p Process, at time.Time) bool) Ended {
	ends := t.endsUnder(now, c)
	if len(ends) == 0 {
		return Ended{}
	}
	var ended Ended
	processes := make(map[Process]struct{})
	for _, f := range ends {
		if !mayHaveEnded(now, f.Key.Process, f.Value) {
			continue
		}
		processes[f.Key.Process] = struct{}{}
		if f.Value.After(ended.Last) {
			ended.Last = f.Value
		}
		if ended.Until.IsZero() || f.Expires.Before(ended.Until) {
			ended.Until = f.Expires
		}
	}
	ended.Processes = len(processes)
	return ended
}

func (t *Tracker) endsUnder(now time.Time, c Content) []sitelog.Fact[End, time.Time] {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []sitelog.Fact[End, time.Time]
	for _, e := range t.ends[c] {
		if f, known := t.log.Get(now, e); known {
			list = append(list, f)
		}
	}
	return list
}

// Len returns the number of ends that are remembered.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.Len()
}

// End returns the position after all that is known.
func (t *Tracker) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.End()
}

// Since returns the ends that became known from a position on, at most limit, with the times at which they happened.
func (t *Tracker) Since(now time.Time, position int64, limit int) ([]sitelog.Fact[End, time.Time], int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.Since(now, position, limit)
}
