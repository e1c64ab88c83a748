package experiment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/placement"
)

// ErrPolicy is returned for the name of an unknown policy.
var ErrPolicy = errors.New("experiment: unknown policy (allowed: current, none, demand, pipe, foresight)")

// policies are the policies that can be compared, by name. Each is created for a site, which only foresight uses.
var policies = map[string]func(*site) placement.Policy{
	// current is the production policy.
	"current": func(*site) placement.Policy { return placement.Decide },
	// none keeps every model where it is at the start.
	"none": func(*site) placement.Policy { return func(placement.Input) []placement.Command { return nil } },
	// demand loads models that requests wait for and evicts the least recently requested ones.
	"demand": func(*site) placement.Policy { return onDemand },
	// pipe is demand with prefetching: it uses free store loads for the most requested models that have no copy on any
	// host.
	"pipe": func(*site) placement.Policy { return prefetchFromStore },
	// foresight uses the future requests.
	"foresight": func(s *site) placement.Policy { return s.foresight },
}

// plan is a decision in progress for the free engines of an input.
type plan struct {
	placement.Input
	free     []*placement.Engine
	replicas map[string]int
	commands []placement.Command
}

func newPlan(in placement.Input) *plan {
	p := &plan{Input: in, replicas: make(map[string]int)}
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Free {
			p.free = append(p.free, e)
		}
		for m := range e.Loaded {
			if !e.Unloading[m] {
				p.replicas[m]++
			}
		}
		if e.Loading != "" {
			p.replicas[e.Loading]++
		}
	}
	return p
}

// issue adds a command to load a model on an engine and unload victim, if that is not empty.
func (p *plan) issue(e *placement.Engine, model, victim, reason string) {
	command := placement.Command{Engine: e.ID, Load: model, Source: e.SourceOf(model), Reason: reason}
	if victim != "" {
		command.Unload = []string{victim}
		p.replicas[victim]--
	}
	if command.Source == placement.FromStore {
		p.StoreLoads--
	}
	p.replicas[model]++
	p.commands = append(p.commands, command)
	p.free = slices.DeleteFunc(p.free, func(f *placement.Engine) bool { return f == e })
}

// hasRoom reports whether an engine has memory for one more model.
func (p *plan) hasRoom(e *placement.Engine) bool { return float64(len(e.Loaded)) < p.Class.MemoryMB }

// leastRecentlyUsed returns the model of an engine whose latest request is the oldest.
func (p *plan) leastRecentlyUsed(e *placement.Engine) string {
	loaded := slices.Sorted(maps.Keys(e.Loaded))
	return slices.MinFunc(loaded, func(a, b string) int { return p.Demand[a].LastArrival.Compare(p.Demand[b].LastArrival) })
}

// load issues a command to load a model from the fastest available source. It returns false if no engine can load it.
func (p *plan) load(model, reason string) bool {
	var best *placement.Engine
	for _, e := range p.free {
		source := e.SourceOf(model)
		if e.Loaded[model] || source == placement.FromStore && p.StoreLoads <= 0 {
			continue
		}
		if best == nil || source < best.SourceOf(model) || source == best.SourceOf(model) && p.lastUse(e).Before(p.lastUse(best)) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	victim := ""
	if !p.hasRoom(best) {
		victim = p.leastRecentlyUsed(best)
	}
	p.issue(best, model, victim, reason)
	return true
}

func (p *plan) lastUse(e *placement.Engine) time.Time {
	if p.hasRoom(e) {
		return time.Time{}
	}
	return p.Demand[p.leastRecentlyUsed(e)].LastArrival
}

func onDemand(in placement.Input) []placement.Command {
	p := newPlan(in)
	p.loadForWaiting()
	return p.commands
}

func (p *plan) loadForWaiting() {
	for _, m := range p.models(func(m string) bool { return p.Demand[m].Waiting > 0 && p.replicas[m] == 0 }, func(m string) float64 {
		return -p.Demand[m].OldestWait.Seconds()
	}) {
		p.load(m, "requests wait")
	}
}

func prefetchFromStore(in placement.Input) []placement.Command {
	p := newPlan(in)
	p.loadForWaiting()
	cached := make(map[string]bool)
	for _, e := range in.Engines {
		maps.Copy(cached, e.OnDisk)
		maps.Copy(cached, e.InMemory)
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] == 0 && !cached[m] }, func(m string) float64 {
		return -p.Demand[m].LongRate
	}) {
		if p.StoreLoads <= 0 || !p.load(m, "fetch ahead") {
			break
		}
	}
	return p.commands
}

// models returns the models that satisfy the condition, lowest rank first.
func (p *plan) models(condition func(string) bool, rank func(string) float64) []string {
	var list []string
	for m := range p.Class.Models {
		if condition(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return list
}

const (
	// horizon is the time after the end of a load for which foresight considers requests.
	horizon = 12 * time.Second
	// onTimeShare is the fraction of a batch up to which a replica's requests are on time.
	onTimeShare = 0.4
)

// foresight repeatedly issues the command that gains most for the future requests. Since it is greedy, its result is
// not an upper bound, but it uses information that no real policy has.
func (s *site) foresight(in placement.Input) []placement.Command {
	p := newPlan(in)
	demand := s.futureDemands()
	// Sorted, so that of two commands with the same gain every run chooses the same one.
	models := slices.Sorted(maps.Keys(demand))
	for {
		var best *placement.Engine
		var bestModel, bestVictim string
		bestGain := 0.0
		for _, e := range p.free {
			victim, loss := "", 0.0
			if !p.hasRoom(e) {
				victim, loss = s.cheapestEviction(p, e, demand)
			}
			for _, m := range models {
				d, source := demand[m], e.SourceOf(m)
				if e.Loaded[m] || source == placement.FromStore && p.StoreLoads <= 0 {
					continue
				}
				gain := s.servedWorth(d, source, p.replicas[m]+1) - s.servedWorth(d, source, p.replicas[m]) - loss
				if gain > bestGain {
					best, bestModel, bestVictim, bestGain = e, m, victim, gain
				}
			}
		}
		if best == nil {
			return p.commands
		}
		p.issue(best, bestModel, bestVictim, "foresight")
	}
}

// futureDemand is the demand for one model within the lookahead.
type futureDemand struct {
	// worth is the total worth of the requests by arrival second from now on, and count their number.
	worth, count [lookaheadSeconds]float64
	// length is the mean time, in seconds, that a request takes at an engine.
	length float64
}

// lookaheadSeconds is the range of futureDemand: the longest load plus the horizon.
const lookaheadSeconds = 30

// futureDemands sums up the waiting and future requests by model.
func (s *site) futureDemands() map[string]*futureDemand {
	future := make(map[string]*futureDemand)
	add := func(r *request) {
		at := int(max(0, r.at-s.now).Seconds())
		if at >= lookaheadSeconds {
			return
		}
		if future[r.model] == nil {
			future[r.model] = &futureDemand{length: (time.Duration(r.events*s.params.Engines.EventTokens) * s.params.Engines.Step).Seconds()}
		}
		future[r.model].worth[at] += r.kind.Worth
		future[r.model].count[at]++
	}
	for _, r := range s.waiting {
		add(r)
	}
	for _, r := range s.requests[s.nextRequest:] {
		if r.at-s.now > lookaheadSeconds*time.Second {
			break
		}
		add(r)
	}
	return future
}

// servedWorth returns the worth that a number of replicas serves, if one of them has to be loaded from a source first.
func (s *site) servedWorth(d *futureDemand, source placement.Source, replicas int) float64 {
	if replicas == 0 {
		return 0
	}
	load := s.loadTime(source)
	// Clients wait for up to minPatience, so requests that arrive that long before the end of the load are served as
	// well.
	from := max(0, int((load - minPatience).Seconds()))
	sum := 0.0
	for at := from; at < min(lookaheadSeconds, from+int(horizon.Seconds())); at++ {
		room := float64(replicas) * onTimeShare * float64(s.params.Engines.Batch)
		running := d.count[at] * max(1, d.length)
		sum += d.worth[at] * math.Min(1, room/math.Max(running, 1e-9))
	}
	return sum
}

// cheapestEviction returns the model of an engine whose eviction loses the least worth of the waiting and future
// requests.
func (s *site) cheapestEviction(p *plan, e *placement.Engine, demand map[string]*futureDemand) (model string, loss float64) {
	loss = math.Inf(1)
	for _, m := range slices.Sorted(maps.Keys(e.Loaded)) {
		l := 0.0
		if d := demand[m]; d != nil {
			l = s.servedWorth(d, placement.FromMemory, p.replicas[m]) - s.servedWorth(d, placement.FromMemory, p.replicas[m]-1)
			if p.replicas[m] == 1 && e.OnDisk[m] {
				// The model can be loaded again from the disk.
				l /= 2
			}
		}
		if l < loss {
			model, loss = m, l
		}
	}
	return model, loss
}
