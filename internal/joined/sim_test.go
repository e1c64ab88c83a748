package joined

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim is a discrete event simulation: it runs scheduled events one at a time, in order of their virtual times.
type sim struct {
	random  *rand.Rand
	elapsed time.Duration
	events  eventQueue
	count   uint64
	steps   int
	// tracing enables the trace, which records what happens.
	tracing bool
	trace   []string
	// violation describes the first violation of an invariant.
	violation string
}

// epoch is the start of virtual time.
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

// after schedules a function to run after a delay.
func (s *sim) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.elapsed + max(0, d), order: s.count, run: run})
}

// runUntil runs all events that are due by a time, with check after each. It stops early at the first violation.
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

// violated records the violation of an invariant if it is the first one.
func (s *sim) violated(property, format string, args ...any) {
	if s.violation != "" {
		return
	}
	s.violation = property + ": " + fmt.Sprintf(format, args...)
	s.logf("VIOLATED %s", s.violation)
}

// oneIn returns true with probability 1/in.
func (s *sim) oneIn(in int) bool { return s.random.IntN(in) == 0 }

// between returns a random duration between two bounds.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// jitter returns a random duration between 75% and 125% of d.
func (s *sim) jitter(d time.Duration) time.Duration { return s.between(d*3/4, d*5/4) }

// pick returns a random item.
func pick[T any](s *sim, items []T) T { return items[s.random.IntN(len(items))] }

// process is one process of the system on its host. Its events are dropped when it ends and deferred while it is frozen.
type process struct {
	*sim
	name string
	// generation increases with each start and each end.
	generation int
	alive      bool
	frozen     bool
	deferred   []func()
	// skew is the offset of the host's clock.
	skew time.Duration
	// started, frozenAt and thawedAt are the times at which the process was last started, frozen and thawed.
	started, frozenAt, thawedAt time.Duration
}

// now returns the time of the host's clock.
func (p *process) now() time.Time { return epoch.Add(p.elapsed + p.skew) }

// start starts the process, with a new generation and clock skew.
func (p *process) start() {
	p.generation++
	p.alive, p.frozen, p.deferred = true, false, nil
	p.started = p.elapsed
	p.skew = p.between(-time.Hour, time.Hour)
}

// end ends the process. Its scheduled events are dropped.
func (p *process) end() {
	p.generation++
	p.alive, p.frozen, p.deferred = false, false, nil
}

// later runs a function after a delay, unless the process has ended by then.
func (p *process) later(d time.Duration, run func()) {
	if !p.alive {
		return
	}
	generation := p.generation
	p.sim.after(d, func() { p.do(generation, run) })
}

// soon runs a function after a short random scheduling delay.
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

// freeze suspends the process, as SIGSTOP does.
func (p *process) freeze() {
	if p.alive && !p.frozen {
		p.frozen, p.frozenAt = true, p.elapsed
		p.logf("%s freezes", p.name)
	}
}

// thaw resumes a frozen process. Deferred events run in random order, as a scheduler may run them. Messages stay in order
// within a stream, because each delivery event takes the next message of its stream.
func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.logf("%s resumes after %v", p.name, p.elapsed-p.frozenAt)
	events := slices.Clone(p.deferred)
	p.frozen, p.deferred, p.thawedAt = false, nil, p.elapsed
	p.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	for _, run := range events {
		p.soon(run)
	}
}
