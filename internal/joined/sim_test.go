package joined

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim is virtual time: events happen one after the other, in the order of their times.
type sim struct {
	random  *rand.Rand
	elapsed time.Duration
	events  eventQueue
	count   uint64
	steps   int
	// tracing keeps a trace of what happens.
	tracing bool
	trace   []string
	// broken is the first thing that must not happen.
	violation string
}

// epoch is when virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// after lets something happen after a time.
func (s *sim) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.elapsed + max(0, d), order: s.count, run: run})
}

// runUntil lets everything happen that is due before a time, or until something went wrong.
func (s *sim) runUntil(end time.Duration, check func()) {
	for len(s.events) > 0 && s.events[0].at <= end && s.violation == "" {
		e := heap.Pop(&s.events).(event)
		s.elapsed = e.at
		s.steps++
		e.run()
		check()
	}
	s.elapsed = max(s.elapsed, end)
}

func (s *sim) logf(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, fmt.Sprintf("%9.4f ", s.elapsed.Seconds())+fmt.Sprintf(format, args...))
	}
}

// violated notes the first violation of a property.
func (s *sim) violated(property, format string, args ...any) {
	if s.violation != "" {
		return
	}
	s.violation = property + ": " + fmt.Sprintf(format, args...)
	s.logf("VIOLATED %s", s.violation)
}

// chance is true once in so many times.
func (s *sim) oneIn(in int) bool { return s.random.IntN(in) == 0 }

// between returns a time between two bounds.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// jitter returns a time between three quarters and five quarters of d.
func (s *sim) jitter(d time.Duration) time.Duration { return s.between(d*3/4, d*5/4) }

// pick returns one of several.
func pick[T any](s *sim, items []T) T { return items[s.random.IntN(len(items))] }

// process is one process of the system on its host. What it does is done by events that die with it and wait while it is
// frozen.
type process struct {
	*sim
	name string
	// generation rises with each start and each end.
	generation int
	alive      bool
	frozen     bool
	deferred   []func()
	// skew is how far the host's clock is off.
	skew time.Duration
	// started, frozenAt and thawedAt are when the process last did so.
	started, frozenAt, thawedAt time.Duration
}

// now is the time of the process's clock.
func (p *process) now() time.Time { return epoch.Add(p.elapsed + p.skew) }

// start begins a new life of the process.
func (p *process) start() {
	p.generation++
	p.alive, p.frozen, p.deferred = true, false, nil
	p.started = p.elapsed
	p.skew = p.between(-time.Hour, time.Hour)
}

// end ends the process: nothing that it was about to do happens.
func (p *process) end() {
	p.generation++
	p.alive, p.frozen, p.deferred = false, false, nil
}

// later does something after a time, unless the process has ended by then.
func (p *process) later(d time.Duration, run func()) {
	if !p.alive {
		return
	}
	generation := p.generation
	p.sim.after(d, func() { p.do(generation, run) })
}

// soon does something when the scheduler gets to it.
func (p *process) soon(run func()) { p.later(p.between(0, 200*time.Microsecond), run) }

func (p *process) do(generation int, run func()) {
	switch {
	case p.generation != generation:
	case p.frozen:
		p.deferred = append(p.deferred, run)
	default:
		run()
	}
}

// freeze stops the process as SIGSTOP does.
func (p *process) freeze() {
	if p.alive && !p.frozen {
		p.frozen, p.frozenAt = true, p.elapsed
		p.logf("%s is frozen", p.name)
	}
}

// thaw lets a frozen process go on. What has come due meanwhile happens in any order, as the scheduler likes; messages
// keep their order within a stream, which delivers the next one whichever event brings it.
func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.logf("%s goes on after %v", p.name, p.elapsed-p.frozenAt)
	events := slices.Clone(p.deferred)
	p.frozen, p.deferred, p.thawedAt = false, nil, p.elapsed
	p.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	for _, run := range events {
		p.soon(run)
	}
}
