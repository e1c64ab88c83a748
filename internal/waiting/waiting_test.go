package waiting

import (
	"math"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	tick = 20 * time.Millisecond
	// onTimeWithin and clientTimeout are those of a stream with a target of 0.4 s.
	onTimeWithin  = 300 * time.Millisecond
	clientTimeout = 3 * time.Second
)

// simRequest is one try of a client.
type simRequest struct {
	Request
	arrived time.Time
	retry   bool
}

// outcome counts how the clients of a run ended.
type outcome struct {
	onTime, late int
	// heldToEnd are those that were still held at their latest time, refused those whose last try was refused, and
	// refusedIdle the refusals while a place was free.
	heldToEnd, refused, refusedIdle int
}

// sim is a queue in front of the replicas of a model, with the order and the measurements of a gateway.
type sim struct {
	queue     []*simRequest
	returns   []*simRequest
	fullSince time.Time
	served    int
	credit    float64
	arrivals  []time.Time
	// impatient clients ignore the Retry-After and return at once.
	impatient bool
	outcome
}

// run simulates a run of the given length; rate returns the arrivals and capacity the places per second at a time, and
// nextReplica the time until a further replica is ready.
func (s *sim) run(length time.Duration, rate, capacity func(time.Duration) float64, nextReplica func(time.Duration) time.Duration) outcome {
	arriving := 0.0
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		arriving += rate(at) * tick.Seconds()
		for ; arriving >= 1; arriving-- {
			s.arrive(now, false)
		}
		s.returnClients(now)
		s.serve(now, capacity(at)*tick.Seconds())
		s.decide(now, nextReplica(at))
	}
	return s.outcome
}

func (s *sim) arrive(now time.Time, retry bool) {
	r := Request{OnTime: now.Add(onTimeWithin), Latest: now.Add(clientTimeout)}
	s.queue = append(s.queue, &simRequest{Request: r, arrived: now, retry: retry})
	s.arrivals = append(s.arrivals, now)
}

func (s *sim) returnClients(now time.Time) {
	s.returns = slices.DeleteFunc(s.returns, func(r *simRequest) bool {
		if now.Before(r.arrived) {
			return false
		}
		s.arrive(now, true)
		return true
	})
}

// serve gives places to the waiting requests in order.
func (s *sim) serve(now time.Time, places float64) {
	s.credit = min(s.credit+places, math.Max(1, places))
	slices.SortStableFunc(s.queue, func(a, b *simRequest) int { return compareTurns(a, b, now) })
	for s.credit >= 1 && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.credit--
		s.served++
		if now.After(r.OnTime) || r.retry {
			s.late++
		} else {
			s.onTime++
		}
	}
	if len(s.queue) == 0 {
		s.fullSince = time.Time{}
	} else if s.fullSince.IsZero() {
		s.fullSince, s.served = now, 0
	}
}

func compareTurns(a, b *simRequest, now time.Time) int {
	aOnTime, bOnTime := now.Before(a.OnTime), now.Before(b.OnTime)
	if aOnTime != bOnTime {
		if aOnTime {
			return -1
		}
		return 1
	}
	return a.arrived.Compare(b.arrived)
}

// decide asks for each waiting request whether it is refused.
func (s *sim) decide(now time.Time, nextReplica time.Duration) {
	s.arrivals = slices.DeleteFunc(s.arrivals, func(at time.Time) bool { return now.Sub(at) > 2*time.Second })
	var kept []*simRequest
	for _, r := range s.queue {
		q := Queue{Ahead: len(kept), Arriving: float64(len(s.arrivals)) / min(2, max(0.3, now.Sub(start).Seconds())), NextReplica: nextReplica}
		for _, k := range kept {
			if now.Before(k.OnTime) {
				q.AheadOnTime++
			}
		}
		if !s.fullSince.IsZero() {
			q.FullFor = now.Sub(s.fullSince)
			q.Served = float64(s.served) / max(0.1, q.FullFor.Seconds())
		}
		d := ForPlace(now, r.Request, q)
		switch {
		case !d.Refuse:
			kept = append(kept, r)
			continue
		case now.After(r.Latest):
			s.heldToEnd++
		case s.credit >= 1:
			s.refusedIdle++
		}
		s.leave(now, r, d.Expected)
	}
	s.queue = kept
}

// leave makes a refused client return once.
func (s *sim) leave(now time.Time, r *simRequest, after time.Duration) {
	if r.retry {
		s.refused++
		return
	}
	if s.impatient {
		after = 0
	}
	s.returns = append(s.returns, &simRequest{arrived: now.Add(max(tick, min(after, 2*time.Second)))})
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

func noReplica(time.Duration) time.Duration { return 0 }

// Each pattern is a load under which a queue without refusals fills until nearly every request is late and many clients
// leave unserved. No request may be held to its end where that is foreseeable, none refused while a place is free, and
// most of the capacity must go to requests that are served on time.
func TestLoadPatterns(t *testing.T) {
	during := func(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < to {
				return inside
			}
			return outside
		}
	}
	const length = 20 * time.Second
	cases := []struct {
		name           string
		rate, capacity func(time.Duration) float64
		nextReplica    func(time.Duration) time.Duration
		impatient      bool
		// minOnTime is the share of all requests that are to be on time.
		minOnTime float64
	}{
		{"within the capacity", constant(90), constant(100), noReplica, false, 1},
		{"a burst at twice the capacity", during(5*time.Second, 10*time.Second, 200, 80), constant(100), noReplica, false, 0.65},
		{"engines are replaced in a wave while others are taken away", constant(80), during(5*time.Second, 13*time.Second, 40, 100),
			func(at time.Duration) time.Duration { return max(0, 13*time.Second-at) }, false, 0.7},
		{"the demand moves at once to a model with one replica", during(5*time.Second, length, 100, 5), during(0, 13*time.Second, 45, 150),
			func(at time.Duration) time.Duration { return max(0, 13*time.Second-at) }, false, 0.6},
		{"a service fails and returns", constant(80), during(5*time.Second, 8*time.Second, 0, 110), noReplica, false, 0.5},
		{"clients that repeat at once", during(5*time.Second, 10*time.Second, 150, 80), constant(100), noReplica, true, 0.7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &sim{impatient: c.impatient}
			got := s.run(length, c.rate, c.capacity, c.nextReplica)
			total := got.onTime + got.late + got.heldToEnd + got.refused
			t.Logf("%+v of %d", got, total)
			if share := float64(got.onTime) / float64(total); share < c.minOnTime {
				t.Errorf("%.2f on time, want %.2f", share, c.minOnTime)
			}
			if got.heldToEnd > total/100 {
				t.Errorf("%d of %d held to their end", got.heldToEnd, total)
			}
			if got.refusedIdle > 0 {
				t.Errorf("%d refused while a place was free", got.refusedIdle)
			}
		})
	}
}

func TestForModel(t *testing.T) {
	r := Request{Latest: start.Add(3 * time.Second)}
	const slack = 500 * time.Millisecond
	for ready, want := range map[time.Duration]bool{0: false, 3 * time.Second: false, 3500 * time.Millisecond: false, 4 * time.Second: true} {
		if got := ForModel(start, r, ready, slack); got.Refuse != want || got.Expected != ready {
			t.Errorf("model ready in %v: %+v, want refused %v", ready, got, want)
		}
	}
}

func TestForBudget(t *testing.T) {
	r := Request{Latest: start.Add(3 * time.Second)}
	for rate, want := range map[float64]bool{0: true, 0.1: true, 1: false, 10: false} {
		if got := ForBudget(start, r, rate); got.Refuse != want {
			t.Errorf("a budget that grows by %v per second: %+v, want refused %v", rate, got, want)
		}
	}
}

func TestModelReadyIn(t *testing.T) {
	const storeTime, diskTime = 8 * time.Second, 2 * time.Second
	free := Engine{LoadTime: storeTime, FromStore: true}
	copied := Engine{LoadTime: diskTime}
	loading := func(age time.Duration) Engine {
		return Engine{LoadTime: storeTime, FromStore: true, Busy: true, Loading: true, StoreLoad: true, Age: age, Nominal: storeTime}
	}
	other := func(age time.Duration) Engine {
		e := loading(age)
		e.Loading = false
		return e
	}
	busyCopied := copied
	busyCopied.Busy, busyCopied.Nominal, busyCopied.Age = true, diskTime, time.Second
	calm, slow := Store{Slowdown: 1, FullSpeed: 4}, Store{Slowdown: 1.5, FullSpeed: 2}
	cases := []struct {
		name     string
		engines  []Engine
		store    Store
		min, max time.Duration
	}{
		{"no engine", nil, calm, never, never},
		{"a copy on a free engine", []Engine{free, copied}, calm, diskTime, diskTime + time.Second},
		{"a copy on a busy engine", []Engine{busyCopied, other(0)}, calm, diskTime + time.Second, diskTime + 1500*time.Millisecond},
		{"no copy", []Engine{free}, calm, storeTime, storeTime + time.Second},
		{"a slow store", []Engine{free}, slow, 12 * time.Second, 13 * time.Second},
		{"as many store loads as run at full speed", []Engine{free, other(3 * time.Second), other(time.Second)}, slow, 9*time.Second + 12*time.Second, 22 * time.Second},
		{"being loaded", []Engine{loading(3 * time.Second)}, calm, 5 * time.Second, 5500 * time.Millisecond},
		{"being loaded from a slow store", []Engine{loading(3 * time.Second)}, slow, 9 * time.Second, 9500 * time.Millisecond},
		{"a load that has outlasted its time", []Engine{loading(12 * time.Second)}, calm, 3 * time.Second, 3500 * time.Millisecond},
	}
	for _, c := range cases {
		if got := ModelReadyIn(c.engines, c.store); got < c.min || got > c.max {
			t.Errorf("%s: ready in %v, want %v to %v", c.name, got, c.min, c.max)
		}
	}
}
