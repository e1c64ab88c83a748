package admission

import (
	"math/rand/v2"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// lane holds the waiting requests of one target and kind: class, and what makes the deadline. All of them need the same
// time to make it, so that their order by deadline is their order by the latest time to start.
type lane struct {
	line   *line
	batch  bool
	stream bool
	// need is the time from a start until the deadline is made, as last estimated.
	need  time.Duration
	order ordered
	// shares holds each caller's part of the lane, and largest ranks them.
	shares  map[string]*share
	largest ranking[*share]
	random  *rand.Rand
	// dueIndex and fullIndex are the lane's places in the queue's rankings.
	dueIndex, fullIndex int
}

func (l *lane) init(of *line, kind int, random *rand.Rand) {
	l.line, l.random = of, random
	l.batch, l.stream = kind&batchKind != 0, kind&streamKind != 0
	l.order.random = random
	l.shares = make(map[string]*share)
	l.largest.before = func(a, b *share) bool { return a.order.len() > b.order.len() }
	l.dueIndex, l.fullIndex = notRanked, notRanked
}

func (l *lane) len() int { return l.order.len() }

// dueAt returns the latest time at which the lane's first request can start.
func (l *lane) dueAt() time.Duration { return l.order.first().deadline - l.need }

// like returns a waiter of this lane that must start at the same time as w of another lane of the line.
func (l *lane) like(w *waiter, of *lane) *waiter {
	return &waiter{deadline: w.deadline - of.need + l.need, sequence: w.sequence}
}

func (l *lane) insert(w *waiter) {
	w.lane = l
	l.order.insert(w)
	s := l.shares[w.request.Caller]
	if s == nil {
		s = &share{order: ordered{random: l.random}, index: notRanked}
		l.shares[w.request.Caller] = s
	}
	s.order.insert(w)
	l.largest.set(s, true)
}

func (l *lane) remove(w *waiter) {
	l.order.remove(w)
	s := l.shares[w.request.Caller]
	s.order.remove(w)
	l.largest.set(s, s.order.len() > 0)
	if s.order.len() == 0 {
		delete(l.shares, w.request.Caller)
	}
}

// held returns how many requests of a caller wait in the lane.
func (l *lane) held(caller string) int {
	if s := l.shares[caller]; s != nil {
		return s.order.len()
	}
	return 0
}

// share is one caller's part of a lane.
type share struct {
	order ordered
	index int
}

func (s *share) place() *int { return &s.index }

// dueLane and fullLane are a lane as an element of the queue's two rankings.
type (
	dueLane  struct{ *lane }
	fullLane struct{ *lane }
)

func (l dueLane) place() *int  { return &l.dueIndex }
func (l fullLane) place() *int { return &l.fullIndex }

// batchKind and streamKind are the bits of a lane's index in its line.
const (
	batchKind = 1 << iota
	streamKind
	kinds
)

func kindOf(r Request) int {
	kind := 0
	if r.Class == wirepb.Class_BATCH {
		kind |= batchKind
	}
	if r.Stream {
		kind |= streamKind
	}
	return kind
}
