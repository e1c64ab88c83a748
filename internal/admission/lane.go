package admission

import (
	"math/rand/v2"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// lane holds the waiting requests of one target that share a class and a deadline type (first token or whole answer).
// They all have the same required time, so their order by deadline is also their order by due time.
type lane struct {
	queue  *targetQueue
	batch  bool
	stream bool
	// requiredTime is the current estimate of the time from the start of a request to the event that its deadline
	// applies to.
	requiredTime time.Duration
	waiters      treap
	// shares holds each caller's requests in the lane, and shareHeap orders the shares by size, largest first.
	shares    map[string]*share
	shareHeap indexedHeap[*share]
	random    *rand.Rand
	// dueIndex and lengthIndex are the lane's positions in the queue's heaps.
	dueIndex, lengthIndex int
}

func (l *lane) init(tq *targetQueue, index int, random *rand.Rand) {
	l.queue, l.random = tq, random
	l.batch, l.stream = index&batchBit != 0, index&streamBit != 0
	l.waiters.random = random
	l.shares = make(map[string]*share)
	l.shareHeap.before = func(a, b *share) bool { return a.waiters.len() > b.waiters.len() }
	l.dueIndex, l.lengthIndex = notInHeap, notInHeap
}

func (l *lane) len() int { return l.waiters.len() }

// dueAt returns the due time of the lane's first request: the latest time at which it can start and still meet its
// deadline.
func (l *lane) dueAt() time.Duration { return l.waiters.first().deadline - l.requiredTime }

// equivalent returns a waiter for comparison in this lane that has the same due time as w in lane from.
func (l *lane) equivalent(w *waiter, from *lane) *waiter {
	return &waiter{deadline: w.deadline - from.requiredTime + l.requiredTime, sequence: w.sequence}
}

func (l *lane) insert(w *waiter) {
	w.lane = l
	l.waiters.insert(w)
	s := l.shares[w.request.Caller]
	if s == nil {
		s = &share{waiters: treap{random: l.random}, index: notInHeap}
		l.shares[w.request.Caller] = s
	}
	s.waiters.insert(w)
	l.shareHeap.update(s, true)
}

func (l *lane) remove(w *waiter) {
	l.waiters.remove(w)
	s := l.shares[w.request.Caller]
	s.waiters.remove(w)
	l.shareHeap.update(s, s.waiters.len() > 0)
	if s.waiters.len() == 0 {
		delete(l.shares, w.request.Caller)
	}
}

// callerCount returns how many requests of a caller wait in the lane.
func (l *lane) callerCount(caller string) int {
	if s := l.shares[caller]; s != nil {
		return s.waiters.len()
	}
	return 0
}

// share holds one caller's requests in a lane.
type share struct {
	waiters treap
	index   int
}

func (s *share) heapIndex() *int { return &s.index }

// laneByDue and laneByLength are the element types of the queue's heaps of lanes.
type (
	laneByDue    struct{ *lane }
	laneByLength struct{ *lane }
)

func (l laneByDue) heapIndex() *int    { return &l.dueIndex }
func (l laneByLength) heapIndex() *int { return &l.lengthIndex }

// batchBit and streamBit are the bits of a lane's index in its target queue.
const (
	batchBit = 1 << iota
	streamBit
	laneCount
)

func laneIndex(r Request) int {
	index := 0
	if r.Class == wirepb.Class_BATCH {
		index |= batchBit
	}
	if r.Stream {
		index |= streamBit
	}
	return index
}
