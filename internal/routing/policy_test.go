package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The measure of the choice among loaded engines: several entries send to engines that report their load with a lag, and
// one engine is slower than its reports say.
const (
	fleetEngines = 10
	fleetServers = 4
	fleetEntries = 3
	// fleetLoad is the share of what the engines serve if none is slow, and fleetRequests how many are sent.
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

// plainChooser is a baseline without memory.
type plainChooser func(candidates []Candidate) int

func (p plainChooser) choose(_ time.Time, candidates []Candidate) int { return p(candidates) }

func (plainChooser) served(time.Time, string, time.Duration, time.Duration) {}

func leastReported(candidates []Candidate) int {
	least := 0
	for i := range candidates {
		if reportedLoad(candidates[i]) < reportedLoad(candidates[least]) {
			least = i
		}
	}
	return least
}

func reportedLoad(c Candidate) int { return c.Running + c.Queued }

func random(seed uint64) plainChooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return func(candidates []Candidate) int { return source.IntN(len(candidates)) }
}

func twoReported(seed uint64) plainChooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return func(candidates []Candidate) int {
		a, b := source.IntN(len(candidates)), source.IntN(len(candidates))
		if reportedLoad(candidates[b]) < reportedLoad(candidates[a]) {
			return b
		}
		return a
	}
}

// job is one request on its way; it ends when at is reached.
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

// fleet is a small event loop around the engines.
type fleet struct {
	random    *rand.Rand
	choosers  []chooser
	slowdown  float64
	service   time.Duration
	offered   int
	events    jobs
	running   [fleetEngines]int
	waiting   [fleetEngines][]job
	views     [fleetEntries][]Candidate
	reported  time.Time
	latencies []time.Duration
	toSlow    int
}

// measureFleet runs one policy for all entries; engine 0 is slower than it reports by the factor.
func measureFleet(service time.Duration, slowdown float64, policy func(seed uint64) chooser) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(3, 3)), service: service, slowdown: slowdown}
	for i := range fleetEntries {
		f.choosers = append(f.choosers, policy(uint64(i)))
		for e := range fleetEngines {
			f.views[i] = append(f.views[i], engine(fmt.Sprint(e), e, loaded, nil))
		}
	}
	heap.Push(&f.events, job{at: start, arrival: true})
	for len(f.events) > 0 {
		f.step(heap.Pop(&f.events).(job))
	}
	slices.Sort(f.latencies)
	return f
}

func (f *fleet) step(j job) {
	if j.at.Sub(f.reported) >= reportEvery {
		f.report(j.at)
	}
	if !j.arrival {
		f.finish(j)
		return
	}
	f.offered++
	if f.offered < fleetRequests {
		gap := float64(f.service) / (fleetEngines * fleetServers * fleetLoad) * f.random.ExpFloat64()
		heap.Push(&f.events, job{at: j.at.Add(time.Duration(gap)), arrival: true})
	}
	j.arrival, j.offered, j.entry = false, j.at, f.random.IntN(fleetEntries)
	view := f.views[j.entry]
	j.engine = f.choosers[j.entry].choose(j.at, view)
	j.expected = view[j.engine].Wait
	view[j.engine].Sent++
	if j.engine == 0 {
		f.toSlow++
	}
	f.waiting[j.engine] = append(f.waiting[j.engine], j)
	f.pump(j.engine, j.at)
}

func (f *fleet) pump(e int, now time.Time) {
	for f.running[e] < fleetServers && len(f.waiting[e]) > 0 {
		j := f.waiting[e][0]
		f.waiting[e] = f.waiting[e][1:]
		f.running[e]++
		service := float64(f.service) * (0.8 + 0.4*f.random.Float64())
		if e == 0 {
			service *= f.slowdown
		}
		j.at = now.Add(time.Duration(service))
		heap.Push(&f.events, j)
	}
}

func (f *fleet) finish(j job) {
	f.running[j.engine]--
	f.views[j.entry][j.engine].Sent--
	latency := j.at.Sub(j.offered)
	f.latencies = append(f.latencies, latency)
	f.choosers[j.entry].served(j.at, fmt.Sprint(j.engine), j.expected, latency)
	f.pump(j.engine, j.at)
}

// report tells all entries what the engines say of themselves; the slow one tells as little as it would have if it were
// not slow.
func (f *fleet) report(now time.Time) {
	f.reported = now
	for e := range fleetEngines {
		running, queued := f.running[e], len(f.waiting[e])
		if e == 0 {
			running, queued = int(float64(running)/f.slowdown), int(float64(queued)/f.slowdown)
		}
		for i := range f.views {
			c := &f.views[i][e]
			c.Running, c.Queued, c.ReportedAt = running, queued, now
			c.Wait = time.Duration(queued) * f.service / fleetServers
		}
	}
}

func (f *fleet) quantile(q float64) time.Duration {
	return f.latencies[int(q*float64(len(f.latencies)-1))].Round(time.Millisecond)
}

func (f *fleet) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, p99 %v, to the slow engine %.1f%%",
		f.quantile(0.5), f.quantile(0.9), f.quantile(0.99), 100*float64(f.toSlow)/float64(len(f.latencies)))
}

// One engine is ten times slower than its reports say, for example because its accelerator is throttled. Whoever believes
// the reports sends it the most; its callers wait many times longer than the others'. The router must notice by its own
// clock. With honest engines it must not be worse than the best baseline by more than a little. Run with -v for the
// figures.
func TestSlowEngineIsAvoided(t *testing.T) {
	policies := []struct {
		name string
		make func(seed uint64) chooser
	}{
		{"least reported load", func(uint64) chooser { return plainChooser(leastReported) }},
		{"random", func(seed uint64) chooser { return random(seed) }},
		{"two random, by reports", func(seed uint64) chooser { return twoReported(seed) }},
		{"router", func(seed uint64) chooser { return routerChooser{NewRouter(Options{Seed: seed})} }},
	}
	cases := []struct {
		name     string
		service  time.Duration
		slowdown float64
		mostP99  time.Duration
		mostSlow float64
	}{
		{"100 ms, one engine ten times slower than it reports", 100 * time.Millisecond, 10, 400 * time.Millisecond, 0.01},
		{"100 ms, all honest", 100 * time.Millisecond, 1, 300 * time.Millisecond, 0.15},
		{"5 s, one engine ten times slower than it reports", 5 * time.Second, 10, 20 * time.Second, 0.01},
		{"5 s, all honest", 5 * time.Second, 1, 10 * time.Second, 0.15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			best := time.Hour
			for _, p := range policies {
				f := measureFleet(c.service, c.slowdown, p.make)
				t.Logf("%-24s %v", p.name, f)
				if p.name != "router" {
					best = min(best, f.quantile(0.99))
					continue
				}
				if f.quantile(0.99) > c.mostP99 || float64(f.toSlow)/fleetRequests > c.mostSlow {
					t.Errorf("router: %v, want p99 at most %v and %.0f%% to the slow engine", f, c.mostP99, 100*c.mostSlow)
				}
				if f.quantile(0.99) > best*11/10 {
					t.Errorf("router: %v, a baseline has p99 %v", f, best)
				}
			}
		})
	}
}
