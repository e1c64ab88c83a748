package admission

import (
	"math/rand/v2"
	"time"
)

// pool holds the lines whose requests share one replica's concurrency: those of a model version with and without
// adapters, or that of a plain service.
type pool struct{ lines []*line }

// poolKey names a pool: the model version, or the service.
type poolKey struct{ model, service string }

func (t Target) pool() poolKey { return poolKey{model: t.Model, service: t.Service} }

// line is what waits for one target: a lane for each kind of request.
type line struct {
	target Target
	pool   *pool
	lanes  [kinds]lane
	// ready is what the last estimate said: a line that waits for a load takes no turns from the others of its pool.
	ready bool
	// sinceBatch counts the interactive starts in a row while a batch request waited.
	sinceBatch int
	// returns spreads the times at which refused requests come back.
	returns returns
}

func newLine(target Target, of *pool, random *rand.Rand) *line {
	l := &line{target: target, pool: of, returns: returns{random: random}}
	of.lines = append(of.lines, l)
	for kind := range l.lanes {
		l.lanes[kind].init(l, kind, random)
	}
	return l
}

func (l *line) lane(r Request) *lane { return &l.lanes[kindOf(r)] }

func (l *line) len() int {
	interactive, batch := l.count()
	return interactive + batch
}

func (l *line) count() (interactive, batch int) {
	for i := range l.lanes {
		if l.lanes[i].batch {
			batch += l.lanes[i].len()
		} else {
			interactive += l.lanes[i].len()
		}
	}
	return interactive, batch
}

// first returns the lane of a class whose first request must start earliest, or nil.
func (l *line) first(batch bool) *lane {
	var first *lane
	for i := range l.lanes {
		candidate := &l.lanes[i]
		if candidate.batch != batch || candidate.len() == 0 {
			continue
		}
		if first == nil || candidate.goesBefore(first) {
			first = candidate
		}
	}
	return first
}

// goesBefore compares the first requests of two lanes that are not empty.
func (l *lane) goesBefore(other *lane) bool {
	if a, b := l.dueAt(), other.dueAt(); a != b {
		return a < b
	}
	return l.order.first().sequence < other.order.first().sequence
}

// turn returns the lane whose first request starts next, or nil when nothing waits.
//
// Under a lasting load of interactive requests batch ones would wait until their deadline, so one of them starts after
// each run of batchEvery interactive starts.
func (l *line) turn(batchEvery int) *lane {
	interactive, batch := l.first(false), l.first(true)
	if interactive == nil || batch != nil && l.sinceBatch >= batchEvery {
		return batch
	}
	return interactive
}

// started counts the starts for turn.
func (l *line) started(from *lane) {
	if !from.batch && l.first(true) != nil {
		l.sinceBatch++
		return
	}
	l.sinceBatch = 0
}

// ahead returns how many requests of the pool start before w, which need not wait yet.
func (l *line) ahead(w *waiter, in *lane, batchEvery int) int {
	interactive, batch, rank := 0, 0, 0
	for _, other := range l.pool.lines {
		if other != l && !other.ready {
			continue
		}
		i, b := other.count()
		interactive += i
		batch += b
		rank += other.rank(w, in)
	}
	if in.batch {
		return rank + min(interactive, (rank+1)*batchEvery)
	}
	return rank + min(batch, rank/batchEvery)
}

// rank returns how many requests of the line start before w among those of its class.
func (l *line) rank(w *waiter, in *lane) int {
	rank := 0
	for i := range l.lanes {
		if other := &l.lanes[i]; other.batch == in.batch && other.len() > 0 {
			rank += other.order.rank(other.like(w, in))
		}
	}
	return rank
}

// held returns how many requests of a caller and class wait in the line.
func (l *line) held(caller string, batch bool) int {
	held := 0
	for i := range l.lanes {
		if l.lanes[i].batch == batch {
			held += l.lanes[i].held(caller)
		}
	}
	return held
}

// largest returns the largest share of a caller in a lane of the class, with its lane, or nil.
func (l *line) largest(batch bool) (*share, *lane) {
	var largest *share
	var in *lane
	for i := range l.lanes {
		s, ok := l.lanes[i].largest.top()
		if l.lanes[i].batch == batch && ok && (largest == nil || s.order.len() > largest.order.len()) {
			largest, in = s, &l.lanes[i]
		}
	}
	return largest, in
}

// fairFactor is how many times a caller's share another's must be before it gives up a place. With 1, callers with equal
// needs push each other out by the mere chance of their arrivals, after they waited.
const fairFactor = 2

// heaviest returns the largest share of a class when a caller may displace a request from it, or nil.
func (l *line) heaviest(caller string, batch bool) (*share, *lane) {
	s, in := l.largest(batch)
	if s == nil || s.order.len() < fairFactor*(l.held(caller, batch)+1) {
		return nil, nil
	}
	return s, in
}

// earliest returns the latest time at which the request can start that must start first; the line is not empty.
func (l *line) earliest() time.Duration {
	interactive, batch := l.first(false), l.first(true)
	if interactive == nil || batch != nil && batch.goesBefore(interactive) {
		return batch.dueAt()
	}
	return interactive.dueAt()
}
