package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// The simulated endpoint serves 20 requests a second, four at once, and is offered more than that.
const (
	servers            = 4
	serviceTime        = 200 * time.Millisecond
	capacity           = float64(servers) / 0.2
	interactiveTimeout = 2 * time.Second
	batchTimeout       = 20 * time.Second
	simulatedTime      = 2 * time.Minute
	queueBound         = 64
	maxRetries         = 3
)

// policy queues the requests of the endpoint.
type policy interface {
	offer(now time.Time, r Request) []Refusal
	next(now time.Time) (Request, []Refusal, bool)
	expire(now time.Time) []Refusal
	ended(took time.Duration)
}

// fifo is the baseline: first come, first served, with the same bound on the queue and a fixed retry delay. If skips is
// set, it refuses requests whose deadline has passed when they reach the head of the queue.
type fifo struct {
	skips   bool
	waiting []Request
}

func (f *fifo) offer(_ time.Time, r Request) []Refusal {
	if len(f.waiting) >= queueBound {
		return []Refusal{{ID: r.ID, RetryAfter: time.Second}}
	}
	f.waiting = append(f.waiting, r)
	return nil
}

func (f *fifo) next(now time.Time) (Request, []Refusal, bool) {
	var refused []Refusal
	for len(f.waiting) > 0 {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		if !f.skips || now.Before(r.Deadline) {
			return r, refused, true
		}
		refused = append(refused, Refusal{ID: r.ID, RetryAfter: time.Second})
	}
	return Request{}, refused, false
}

func (f *fifo) expire(time.Time) []Refusal { return nil }
func (f *fifo) ended(time.Duration)        {}

// deadlinePolicy uses Queue in the same way as the agent.
type deadlinePolicy struct {
	queue *Queue
	times *ServiceTimes
	busy  int
}

func newDeadlinePolicy() *deadlinePolicy {
	return &deadlinePolicy{queue: NewQueue(Options{MaxWaiting: queueBound, Seed: 3}), times: NewServiceTimes()}
}

func (p *deadlinePolicy) estimate(Target) Estimate {
	e := Estimate{Ready: true, Concurrency: servers, Running: p.busy}
	p.times.Fill(target, &e)
	return e
}

func (p *deadlinePolicy) offer(now time.Time, r Request) []Refusal {
	displaced, refused := p.queue.Offer(now, r, p.estimate(target))
	if refused != nil {
		return []Refusal{*refused}
	}
	return displaced
}

func (p *deadlinePolicy) next(now time.Time) (Request, []Refusal, bool) {
	r, refused, ok := p.queue.Next(now, target, p.estimate(target))
	if ok {
		p.busy++
	}
	return r, refused, ok
}

func (p *deadlinePolicy) expire(now time.Time) []Refusal { return p.queue.Expire(now, p.estimate) }

func (p *deadlinePolicy) ended(took time.Duration) {
	p.busy--
	p.times.Observe(target, took)
}

// event is an arrival, or the end of a request if took is set.
type event struct {
	at      time.Time
	request Request
	took    time.Duration
	retries int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a discrete-event simulation of one policy and one endpoint.
type simulation struct {
	random       *rand.Rand
	policy       policy
	events       events
	requests     map[string]event
	busy         int
	spread       float64
	result       outcome
	returnCounts map[time.Duration]int
}

// outcome is the result of a simulation run.
type outcome struct {
	inTime, late, batchInTime, refused int
	// waits holds how long interactive requests waited in the queue before they were refused.
	waits []time.Duration
	// peak is the largest number of retries within a tenth of a second, and returned the number of all retries.
	peak, returned int
	duration       time.Duration
}

// perSecond returns the rate of interactive requests answered in time.
func (o *outcome) perSecond() float64 { return float64(o.inTime) / o.duration.Seconds() }

func (o *outcome) waitP99() time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[len(o.waits)*99/100]
}

func (o *outcome) String() string {
	return fmt.Sprintf("in time %.1f/s (batch %.1f/s), late %d, refused %d (%d interactive ones after waiting, p99 %v), at most %d of %d retries within 0.1 s",
		o.perSecond(), float64(o.batchInTime)/o.duration.Seconds(), o.late, o.refused, len(o.waits),
		o.waitP99().Round(time.Millisecond), o.peak, o.returned)
}

// simulate runs a policy on the given arrivals. Service times are distributed uniformly around the mean; spread is the
// maximum deviation as a fraction of the mean.
func simulate(p policy, arrivals []event, spread float64) outcome {
	s := &simulation{
		random: rand.New(rand.NewPCG(5, 5)), policy: p, events: slices.Clone(arrivals),
		requests: map[string]event{}, spread: spread, returnCounts: map[time.Duration]int{},
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.result.duration = e.at.Sub(start)
		s.step(e)
	}
	for _, n := range s.returnCounts {
		s.result.peak = max(s.result.peak, n)
	}
	return s.result
}

func (s *simulation) step(e event) {
	if e.took > 0 {
		s.finish(e)
	} else {
		s.requests[e.request.ID] = e
		s.refuse(e.at, s.policy.offer(e.at, e.request))
	}
	s.refuse(e.at, s.policy.expire(e.at))
	for s.busy < servers {
		r, refused, ok := s.policy.next(e.at)
		s.refuse(e.at, refused)
		if !ok {
			return
		}
		s.busy++
		took := time.Duration(float64(serviceTime) * (1 + s.spread*(2*s.random.Float64()-1)))
		heap.Push(&s.events, event{at: e.at.Add(took), request: r, took: took})
	}
}

func (s *simulation) finish(e event) {
	s.busy--
	s.policy.ended(e.took)
	switch {
	case e.at.After(e.request.Deadline):
		s.result.late++
	case e.request.Class == batch:
		s.result.batchInTime++
	default:
		s.result.inTime++
	}
}

// refuse schedules the retries of refused requests, at most maxRetries for each.
func (s *simulation) refuse(now time.Time, refusals []Refusal) {
	for _, f := range refusals {
		e := s.requests[f.ID]
		s.result.refused++
		if e.request.Class == interactive && now.After(e.at) {
			s.result.waits = append(s.result.waits, now.Sub(e.at))
		}
		if e.retries >= maxRetries {
			continue
		}
		e.retries++
		e.at = now.Add(f.RetryAfter)
		e.request.Deadline = e.at.Add(e.request.Deadline.Sub(e.request.Arrived))
		e.request.Arrived = e.at
		s.result.returned++
		s.returnCounts[e.at.Sub(start).Truncate(100*time.Millisecond)]++
		heap.Push(&s.events, e)
	}
}

// poisson generates arrivals at a multiple of the capacity, a quarter of them batch.
func poisson(load float64) []event {
	random := rand.New(rand.NewPCG(9, 9))
	var arrivals []event
	for at := time.Duration(0); at < simulatedTime; {
		at += time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second))
		arrivals = append(arrivals, arrival(len(arrivals), at, random.IntN(4) == 0))
	}
	return arrivals
}

func arrival(i int, at time.Duration, isBatch bool) event {
	class, timeout := wirepb.Class_INTERACTIVE, interactiveTimeout
	if isBatch {
		class, timeout = batch, batchTimeout
	}
	r := newRequest(fmt.Sprint(i), fmt.Sprint("caller", i%10), class, at+timeout)
	r.Arrived = start.Add(at)
	return event{at: r.Arrived, request: r}
}

// At two and five times the capacity a FIFO queue answers nearly all requests late, when their callers have already
// given up. The policy must answer as many requests in time as the endpoint can serve, refuse the rest early, answer
// none late, and spread the retries. Run with -v for the results.
func TestPolicyUnderOverload(t *testing.T) {
	cases := []struct {
		name     string
		arrivals []event
		// spread is the maximum deviation of the service times as a fraction of their mean.
		spread float64
		// minInTime is the minimum rate of interactive answers in time. The endpoint serves 20 requests a second, a
		// ninth of them batch.
		minInTime float64
		// maxReturning is the maximum number of retries within a tenth of a second (0: not checked).
		maxReturning int
		// maxLate is the maximum number of late answers; a request that takes far longer than all previous ones cannot
		// be predicted.
		maxLate int
	}{
		{"2 times capacity", poisson(2), 0.2, 15, 0, 0},
		{"5 times capacity", poisson(5), 0.2, 15, 0, 0},
		{"5 times capacity, service times 40 to 360 ms", poisson(5), 0.8, 15, 0, 20},
		{"a burst of 1000 at once", burst(1000), 0.2, 0, 15, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plain := simulate(&fifo{}, c.arrivals, c.spread)
			got := simulate(newDeadlinePolicy(), c.arrivals, c.spread)
			skipping := simulate(&fifo{skips: true}, c.arrivals, c.spread)
			t.Logf("FIFO:                   %v", &plain)
			t.Logf("FIFO, skipping expired: %v", &skipping)
			t.Logf("by deadline:            %v", &got)
			if got.late > c.maxLate {
				t.Errorf("%d late answers, want at most %d", got.late, c.maxLate)
			}
			if got.perSecond() < c.minInTime || got.perSecond() <= max(plain.perSecond(), skipping.perSecond()) {
				t.Errorf("%.1f/s in time, want %.1f/s", got.perSecond(), c.minInTime)
			}
			if c.maxReturning > 0 && got.peak > c.maxReturning {
				t.Errorf("%d retries within 0.1 s, want at most %d", got.peak, c.maxReturning)
			}
		})
	}
}

func burst(n int) []event {
	var arrivals []event
	for i := range n {
		arrivals = append(arrivals, arrival(i, 0, false))
	}
	return arrivals
}
