package permits

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// epoch is the time at which each storm begins.
var epoch = time.Date(2026, 1, 5, 6, 30, 0, 0, time.UTC)

// heartbeat is the interval at which agents report their loads in flight.
const heartbeat = time.Second

// modelLoad is one load of a storm and its result.
type modelLoad struct {
	agent, id, model string
	kind             wirepb.PermitKind
	prefetch         bool
	interactive      bool
	// work is the duration of the load at full speed; arrives is when it is requested and slack how long it may wait.
	work, arrives, slack time.Duration
	// jitter randomizes the agents' permit timeout.
	jitter float64

	nextAsk   time.Duration
	giveUp    time.Duration
	running   bool
	remaining time.Duration
	started   time.Duration
	ready     time.Duration
}

// issuers returns the budget that an agent uses at a time, or nil if it has no issuer.
type issuers func(at time.Duration, agent string) *Budget

// store is a simulated weight store in which loads run at full speed while no more than atOnce are in flight and slow
// down in proportion beyond that. Starts are at least spacing apart; earlier ones wait at the store.
type store struct {
	atOnce  int
	spacing time.Duration
	loads   []*modelLoad
	issuers issuers
	// changeAt is when the issuer changes; zero for never. Waiting agents contact the new one a heartbeat later.
	changeAt time.Duration
	// permitTimeout is how long an agent waits for a permit before it starts without one, with a jitter of up to the
	// same length; zero means forever. If extend is set, each answer of an issuer restarts the wait.
	permitTimeout time.Duration
	extend        bool

	now         time.Duration
	lastStart   time.Duration
	maxInFlight int
	messages    int
	seen        map[*Budget]bool
}

// run simulates the storm until all loads are ready and returns the end time.
func (s *store) run() time.Duration {
	s.seen = map[*Budget]bool{}
	s.lastStart = -s.spacing
	nextBeat := heartbeat
	for i := range s.loads {
		s.loads[i].nextAsk = s.loads[i].arrives
		s.loads[i].giveUp = s.givesUp(s.loads[i], s.loads[i].arrives)
	}
	for steps := 0; !s.allReady(); steps++ {
		if steps > 1_000_000 {
			panic(fmt.Sprintf("storm does not end: %s", s.now))
		}
		s.advance(s.next(nextBeat))
		if s.now >= nextBeat {
			nextBeat += heartbeat
			s.sendReports()
		}
		s.changeIssuer()
		s.ask()
		s.decide()
	}
	return s.now
}

// givesUp returns when an agent starts without a permit if it gets no further answer.
func (s *store) givesUp(l *modelLoad, from time.Duration) time.Duration {
	if s.permitTimeout == 0 {
		return math.MaxInt64
	}
	return from + s.permitTimeout + time.Duration(l.jitter*float64(s.permitTimeout))
}

func (s *store) allReady() bool {
	return !slices.ContainsFunc(s.loads, func(l *modelLoad) bool { return l.ready == 0 })
}

func (s *store) inFlight() int {
	n := 0
	for _, l := range s.loads {
		if l.running {
			n++
		}
	}
	return n
}

// speed returns the progress of each load in flight per unit of time.
func (s *store) speed() float64 {
	return min(1, float64(s.atOnce)/float64(max(1, s.inFlight())))
}

// next returns the time of the next event.
func (s *store) next(nextBeat time.Duration) time.Duration {
	next := nextBeat
	speed := s.speed()
	for _, l := range s.loads {
		switch {
		case l.running:
			next = min(next, max(s.now, l.started)+time.Duration(math.Ceil(float64(l.remaining)/speed)))
		case l.ready == 0:
			next = min(next, max(s.now, min(l.nextAsk, l.giveUp)))
		}
	}
	if s.changeAt > s.now {
		next = min(next, s.changeAt)
	}
	for b := range s.seen {
		if at := b.Next(); !at.IsZero() {
			next = min(next, max(s.now, at.Sub(epoch)))
		}
	}
	return next
}

// advance advances the time for the loads in flight and ends those that are complete.
func (s *store) advance(to time.Duration) {
	speed := s.speed()
	from := s.now
	s.now = to
	for _, l := range s.loads {
		if !l.running {
			continue
		}
		spent := to - max(from, min(l.started, to))
		l.remaining -= time.Duration(float64(spent) * speed)
		if l.remaining > 0 {
			continue
		}
		l.running = false
		l.ready = to
		if b := s.issuers(to, l.agent); b != nil {
			b.Done(epoch.Add(to), l.agent, l.id)
		}
	}
}

// sendReports reports to the issuers what each agent has in flight.
func (s *store) sendReports() {
	counts := map[string][2]int{}
	for _, l := range s.loads {
		c := counts[l.agent]
		if l.running {
			c[kindOf(l.kind)]++
		}
		counts[l.agent] = c
	}
	for agent, c := range counts {
		if b := s.issuers(s.now, agent); b != nil {
			b.InFlight(epoch.Add(s.now), agent, c[weights], c[adapters])
		}
	}
}

// changeIssuer schedules the requests of waiting agents to the new issuer a heartbeat after the change.
func (s *store) changeIssuer() {
	if s.changeAt == 0 || s.now != s.changeAt {
		return
	}
	clear(s.seen)
	for _, l := range s.loads {
		if l.ready == 0 && !l.running {
			l.nextAsk = max(l.arrives, s.now+heartbeat)
		}
	}
}

// ask sends the requests that are due, or starts the loads if there is no issuer.
func (s *store) ask() {
	for _, l := range s.loads {
		if l.ready > 0 || l.running || s.now < min(l.nextAsk, l.giveUp) {
			continue
		}
		b := s.issuers(s.now, l.agent)
		if b == nil {
			s.start(l)
			continue
		}
		if s.now >= l.giveUp {
			b.Done(epoch.Add(s.now), l.agent, l.id)
			s.start(l)
			continue
		}
		s.seen[b] = true
		s.messages++
		l.nextAsk = math.MaxInt64
		b.Request(epoch.Add(s.now), l.agent, &wirepb.PermitRequest{
			Id: l.id, Kind: l.kind, Model: l.model, Prefetch: l.prefetch,
			SlackMicros: (l.arrives + l.slack - s.now).Microseconds(),
		})
	}
}

// decide delivers the issuers' answers to the agents.
func (s *store) decide() {
	for b := range s.seen {
		for _, g := range b.Decide(epoch.Add(s.now)) {
			s.messages++
			i := slices.IndexFunc(s.loads, func(l *modelLoad) bool { return l.agent == g.Agent && l.id == g.Permit.GetId() })
			l := s.loads[i]
			switch {
			case l.running || l.ready > 0:
			case g.Permit.GetValidMicros() > 0:
				s.start(l)
			default:
				l.nextAsk = s.now + time.Duration(g.Permit.GetRetryAfterMicros())*time.Microsecond
				if s.extend {
					l.giveUp = s.givesUp(l, l.nextAsk)
				}
			}
		}
	}
}

// start begins a load, delayed if the store's rate requires it.
func (s *store) start(l *modelLoad) {
	l.started = s.now
	if l.kind == wirepb.PermitKind_WEIGHTS {
		l.started = max(s.now, s.lastStart+s.spacing)
		s.lastStart = l.started
	}
	l.running = true
	l.remaining = l.work
	s.maxInFlight = max(s.maxInFlight, s.inFlight())
}

// storm returns loads of many idle models that are requested within one second: two thirds for interactive requests,
// the rest for batch requests that may wait an hour. Each agent requests one load.
func storm(seed uint64, count int, work [2]time.Duration, kind wirepb.PermitKind) []*modelLoad {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo)+1)) }
	loads := make([]*modelLoad, count)
	for i := range loads {
		interactive := rng.IntN(3) > 0
		slack := time.Hour
		if interactive {
			slack = between(5*time.Second, 30*time.Second)
		}
		loads[i] = &modelLoad{
			agent: fmt.Sprintf("engine-%03d", i), id: "1", model: fmt.Sprintf("model-%03d", i), kind: kind,
			interactive: interactive, slack: slack,
			work: between(work[0], work[1]), arrives: between(0, time.Second), jitter: rng.Float64(),
		}
	}
	return loads
}

// percentile returns the nearest-rank percentile of the time from arrival to ready over the loads selected by keep.
func percentile(loads []*modelLoad, p float64, keep func(*modelLoad) bool) time.Duration {
	var waits []time.Duration
	for _, l := range loads {
		if keep(l) {
			waits = append(waits, l.ready-l.arrives)
		}
	}
	slices.SortFunc(waits, cmp.Compare)
	return waits[int(math.Ceil(p*float64(len(waits))))-1]
}

func all(*modelLoad) bool { return true }

func isInteractive(l *modelLoad) bool { return l.interactive }

// late counts the interactive loads that became ready after their deadline.
func late(loads []*modelLoad) int {
	n := 0
	for _, l := range loads {
		if l.interactive && l.ready-l.arrives > l.slack {
			n++
		}
	}
	return n
}
