package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The parameters of a simulation of several entries that send requests to loaded engines. The engines report their load
// with a delay, and one engine is slower than it reports.
const (
	fleetEngines = 10
	fleetServers = 4
	fleetEntries = 3
	// fleetLoad is the offered load as a share of the engines' capacity if none is slow, and fleetRequests the number
	// of requests.
	fleetLoad     = 0.625
	fleetRequests = 15_000
	reportEvery   = 500 * time.Millisecond
)

// chooser is the policy of one entry.
type chooser interface {
	choose(now time.Time, candidates []Candidate) int
	served(now time.Time, endpoint string, expected, firstByte time.Duration)
}

type routerChooser struct{ *Router }

func (r routerChooser) choose(now time.Time, candidates []Candidate) int {
	i, _ := r.Pick(now, candidates, nil, interactive)
	return i
}

func (r routerChooser) served(now time.Time, endpoint string, expected, firstByte time.Duration) {
	r.Observe(now, Observation{Endpoint: endpoint, Outcome: OutcomeServed, Expected: expected, FirstByte: firstByte})
}

// statelessChooser is a baseline that uses only the current reports.
type statelessChooser func(candidates []Candidate) int

func (p statelessChooser) choose(_ time.Time, candidates []Candidate) int { return p(candidates) }

func (statelessChooser) served(time.Time, string, time.Duration, time.Duration) {}

func leastLoaded(candidates []Candidate) int {
	least := 0
	for i := range candidates {
		if reportedLoad(candidates[i]) < reportedLoad(candidates[least]) {
			least = i
		}
	}
	return least
}

func reportedLoad(c Candidate) int { return c.Running + c.Queued }

func randomChooser(seed uint64) statelessChooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return func(candidates []Candidate) int { return source.IntN(len(candidates)) }
}

func twoChoices(seed uint64) statelessChooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return func(candidates []Candidate) int {
		a, b := source.IntN(len(candidates)), source.IntN(len(candidates))
		if reportedLoad(candidates[b]) < reportedLoad(candidates[a]) {
			return b
		}
		return a
	}
}

// job is an event of the simulation: the arrival of a request, or its completion, at the time at.
type job struct {
	at, offered   time.Time
	entry, engine int
	expected      time.Duration
	arrival       bool
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].at.Before(j[b].at) }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// simulation is a discrete-event simulation of the engines and entries.
type simulation struct {
	random     *rand.Rand
	choosers   []chooser
	slowdown   float64
	service    time.Duration
	offered    int
	events     jobs
	running    [fleetEngines]int
	waiting    [fleetEngines][]job
	views      [fleetEntries][]Candidate
	reportedAt time.Time
	latencies  []time.Duration
	sentToSlow int
}

// simulate runs one policy for all entries; engine 0 is slower than it reports by the factor slowdown.
func simulate(service time.Duration, slowdown float64, policy func(seed uint64) chooser) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(3, 3)), service: service, slowdown: slowdown}
	for i := range fleetEntries {
		s.choosers = append(s.choosers, policy(uint64(i)))
		for e := range fleetEngines {
			s.views[i] = append(s.views[i], engine(fmt.Sprint(e), e, loaded, nil))
		}
	}
	heap.Push(&s.events, job{at: start, arrival: true})
	for len(s.events) > 0 {
		s.handle(heap.Pop(&s.events).(job))
	}
	slices.Sort(s.latencies)
	return s
}

func (s *simulation) handle(j job) {
	if j.at.Sub(s.reportedAt) >= reportEvery {
		s.report(j.at)
	}
	if !j.arrival {
		s.finish(j)
		return
	}
	s.offered++
	if s.offered < fleetRequests {
		gap := float64(s.service) / (fleetEngines * fleetServers * fleetLoad) * s.random.ExpFloat64()
		heap.Push(&s.events, job{at: j.at.Add(time.Duration(gap)), arrival: true})
	}
	j.arrival, j.offered, j.entry = false, j.at, s.random.IntN(fleetEntries)
	view := s.views[j.entry]
	j.engine = s.choosers[j.entry].choose(j.at, view)
	j.expected = view[j.engine].Wait
	view[j.engine].Sent++
	if j.engine == 0 {
		s.sentToSlow++
	}
	s.waiting[j.engine] = append(s.waiting[j.engine], j)
	s.startQueued(j.engine, j.at)
}

func (s *simulation) startQueued(e int, now time.Time) {
	for s.running[e] < fleetServers && len(s.waiting[e]) > 0 {
		j := s.waiting[e][0]
		s.waiting[e] = s.waiting[e][1:]
		s.running[e]++
		service := float64(s.service) * (0.8 + 0.4*s.random.Float64())
		if e == 0 {
			service *= s.slowdown
		}
		j.at = now.Add(time.Duration(service))
		heap.Push(&s.events, j)
	}
}

func (s *simulation) finish(j job) {
	s.running[j.engine]--
	s.views[j.entry][j.engine].Sent--
	latency := j.at.Sub(j.offered)
	s.latencies = append(s.latencies, latency)
	s.choosers[j.entry].served(j.at, fmt.Sprint(j.engine), j.expected, latency)
	s.startQueued(j.engine, j.at)
}

// report delivers the engines' load reports to all entries; engine 0 reports the load that it would have if it were not
// slow.
func (s *simulation) report(now time.Time) {
	s.reportedAt = now
	for e := range fleetEngines {
		running, queued := s.running[e], len(s.waiting[e])
		if e == 0 {
			running, queued = int(float64(running)/s.slowdown), int(float64(queued)/s.slowdown)
		}
		for i := range s.views {
			c := &s.views[i][e]
			c.Running, c.Queued, c.ReportedAt = running, queued, now
			c.Wait = time.Duration(queued) * s.service / fleetServers
		}
	}
}

func (s *simulation) quantile(q float64) time.Duration {
	return s.latencies[int(q*float64(len(s.latencies)-1))].Round(time.Millisecond)
}

func (s *simulation) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, p99 %v, to the slow engine %.1f%%",
		s.quantile(0.5), s.quantile(0.9), s.quantile(0.99), 100*float64(s.sentToSlow)/float64(len(s.latencies)))
}

// One engine is ten times slower than it reports, for example because its accelerator is throttled. A policy that
// relies on the reports sends it the most requests, and their callers wait many times longer than others. The router
// must detect this from the response times that it measures. If all reports are correct, it must not be much worse than
// the best baseline. Run with -v for the latencies.
func TestSlowEngineIsAvoided(t *testing.T) {
	policies := []struct {
		name string
		make func(seed uint64) chooser
	}{
		{"least reported load", func(uint64) chooser { return statelessChooser(leastLoaded) }},
		{"random", func(seed uint64) chooser { return randomChooser(seed) }},
		{"two random, by reports", func(seed uint64) chooser { return twoChoices(seed) }},
		{"router", func(seed uint64) chooser { return routerChooser{NewRouter(Options{Seed: seed})} }},
	}
	cases := []struct {
		name         string
		service      time.Duration
		slowdown     float64
		maxP99       time.Duration
		maxSlowShare float64
	}{
		{"100 ms, one engine ten times slower than it reports", 100 * time.Millisecond, 10, 400 * time.Millisecond, 0.01},
		{"100 ms, all reports correct", 100 * time.Millisecond, 1, 300 * time.Millisecond, 0.15},
		{"5 s, one engine ten times slower than it reports", 5 * time.Second, 10, 20 * time.Second, 0.01},
		{"5 s, all reports correct", 5 * time.Second, 1, 10 * time.Second, 0.15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			best := time.Hour
			for _, p := range policies {
				f := simulate(c.service, c.slowdown, p.make)
				t.Logf("%-24s %v", p.name, f)
				if p.name != "router" {
					best = min(best, f.quantile(0.99))
					continue
				}
				if f.quantile(0.99) > c.maxP99 || float64(f.sentToSlow)/fleetRequests > c.maxSlowShare {
					t.Errorf("router: %v, want p99 at most %v and %.0f%% to the slow engine", f, c.maxP99, 100*c.maxSlowShare)
				}
				if f.quantile(0.99) > best*11/10 {
					t.Errorf("router: %v, want p99 at most 10%% above the best baseline's %v", f, best)
				}
			}
		})
	}
}
