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

// ErrPolicy says that there is no policy of a name.
var ErrPolicy = errors.New("experiment: unknown policy (allowed: current, none, demand, pipe, foresight)")

// policies are the policies that can be compared. Each is made for a site, of which only foresight makes use.
var policies = map[string]func(*site) placement.Policy{
	// current is the one that the product uses.
	"current": func(*site) placement.Policy { return placement.Decide },
	// none leaves every model where it is at the start.
	"none": func(*site) placement.Policy { return func(placement.Input) []placement.Command { return nil } },
	// demand loads what requests wait for, and drops what was asked for longest ago.
	"demand": func(*site) placement.Policy { return onDemand },
	// pipe does so, and uses the weight store's free loads for the models that are asked for most and that no host has.
	"pipe": func(*site) placement.Policy { return keepPipeFull },
	// foresight knows the requests to come.
	"foresight": func(s *site) placement.Policy { return s.foresight },
}

// choice is a decision in the making over the free engines of an input.
type choice struct {
	placement.Input
	free     []*placement.Engine
	replicas map[string]int
	commands []placement.Command
}

func newChoice(in placement.Input) *choice {
	c := &choice{Input: in, replicas: make(map[string]int)}
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Free {
			c.free = append(c.free, e)
		}
		for m := range e.Holds {
			if !e.Unloading[m] {
				c.replicas[m]++
			}
		}
		if e.Loading != "" {
			c.replicas[e.Loading]++
		}
	}
	return c
}

// give commands an engine to load a model, and the model that is passed to make way if there is no place.
func (c *choice) give(e *placement.Engine, model, victim, reason string) {
	command := placement.Command{Engine: e.ID, Load: model, Source: e.SourceOf(model), Reason: reason}
	if victim != "" {
		command.Unload = []string{victim}
		c.replicas[victim]--
	}
	if command.Source == placement.FromStore {
		c.StoreLoads--
	}
	c.replicas[model]++
	c.commands = append(c.commands, command)
	c.free = slices.DeleteFunc(c.free, func(f *placement.Engine) bool { return f == e })
}

// hasRoom reports whether an engine has a place for one more model.
func (c *choice) hasRoom(e *placement.Engine) bool { return float64(len(e.Holds)) < c.Class.MemoryMB }

// leastRecent is the model of an engine that was asked for longest ago and that nobody waits for.
func (c *choice) leastRecent(e *placement.Engine) string {
	held := slices.Sorted(maps.Keys(e.Holds))
	return slices.MinFunc(held, func(a, b string) int { return c.Demand[a].LastArrival.Compare(c.Demand[b].LastArrival) })
}

// load lets the engine load a model that gets it soonest; it returns false where none can.
func (c *choice) load(model, reason string) bool {
	var best *placement.Engine
	for _, e := range c.free {
		source := e.SourceOf(model)
		if e.Holds[model] || source == placement.FromStore && c.StoreLoads <= 0 {
			continue
		}
		if best == nil || source < best.SourceOf(model) || source == best.SourceOf(model) && c.lastUse(e).Before(c.lastUse(best)) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	victim := ""
	if !c.hasRoom(best) {
		victim = c.leastRecent(best)
	}
	c.give(best, model, victim, reason)
	return true
}

func (c *choice) lastUse(e *placement.Engine) time.Time {
	if c.hasRoom(e) {
		return time.Time{}
	}
	return c.Demand[c.leastRecent(e)].LastArrival
}

func onDemand(in placement.Input) []placement.Command {
	c := newChoice(in)
	c.loadWaiting()
	return c.commands
}

func (c *choice) loadWaiting() {
	for _, m := range c.models(func(m string) bool { return c.Demand[m].Waiting > 0 && c.replicas[m] == 0 }, func(m string) float64 {
		return -c.Demand[m].OldestWait.Seconds()
	}) {
		c.load(m, "requests wait")
	}
}

func keepPipeFull(in placement.Input) []placement.Command {
	c := newChoice(in)
	c.loadWaiting()
	copied := make(map[string]bool)
	for _, e := range in.Engines {
		maps.Copy(copied, e.OnDisk)
		maps.Copy(copied, e.InMemory)
	}
	for _, m := range c.models(func(m string) bool { return c.replicas[m] == 0 && !copied[m] }, func(m string) float64 {
		return -c.Demand[m].LongRate
	}) {
		if c.StoreLoads <= 0 || !c.load(m, "fetch ahead") {
			break
		}
	}
	return c.commands
}

// models are those that a condition holds for, the ones of the lowest rank first.
func (c *choice) models(condition func(string) bool, rank func(string) float64) []string {
	var list []string
	for m := range c.Class.Models {
		if condition(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return list
}

const (
	// horizon is how far ahead foresight looks beyond the end of a load.
	horizon = 12 * time.Second
	// onTimeShare is the part of a batch up to which a replica's requests are on time.
	onTimeShare = 0.4
)

// foresight makes, again and again, the change of one engine that gains most by the requests that will come. It is greedy and
// so no true bound, but it knows what no policy can.
func (s *site) foresight(in placement.Input) []placement.Command {
	c := newChoice(in)
	worth := s.future()
	// Of two changes that gain the same the first one is made, in an order that does not change from run to run.
	models := slices.Sorted(maps.Keys(worth))
	for {
		var best *placement.Engine
		var bestModel, bestVictim string
		bestGain := 0.0
		for _, e := range c.free {
			victim, loss := "", 0.0
			if !c.hasRoom(e) {
				victim, loss = s.cheapest(c, e, worth)
			}
			for _, m := range models {
				f, source := worth[m], e.SourceOf(m)
				if e.Holds[m] || source == placement.FromStore && c.StoreLoads <= 0 {
					continue
				}
				gain := s.served(f, source, c.replicas[m]+1) - s.served(f, source, c.replicas[m]) - loss
				if gain > bestGain {
					best, bestModel, bestVictim, bestGain = e, m, victim, gain
				}
			}
		}
		if best == nil {
			return c.commands
		}
		c.give(best, bestModel, bestVictim, "foresight")
	}
}

// arrivals are the requests for one model that will come soon.
type arrivals struct {
	// worth by the second in which they come, from now on, and the requests.
	worth, count [seconds]float64
	// length is the mean time that one takes at an engine, in seconds.
	length float64
}

// seconds is how far arrivals reach: the longest load and the horizon.
const seconds = 30

// future sums up the requests that wait or will come, by model.
func (s *site) future() map[string]*arrivals {
	future := make(map[string]*arrivals)
	add := func(r *request) {
		at := int(max(0, r.at-s.now).Seconds())
		if at >= seconds {
			return
		}
		if future[r.model] == nil {
			future[r.model] = &arrivals{length: (time.Duration(r.events*s.x.Engines.EventTokens) * s.x.Engines.Step).Seconds()}
		}
		future[r.model].worth[at] += r.kind.Worth
		future[r.model].count[at]++
	}
	for _, r := range s.waiting {
		add(r)
	}
	for _, r := range s.day[s.next:] {
		if r.at-s.now > seconds*time.Second {
			break
		}
		add(r)
	}
	return future
}

// served is the worth that a number of replicas serves, if one of them has to be loaded from a source first.
func (s *site) served(f *arrivals, source placement.Source, replicas int) float64 {
	if replicas == 0 {
		return 0
	}
	load := s.loadTime(source)
	// A client waits for a moment; what comes that long before the end of the load is served as well.
	from := max(0, int((load - leastPatience).Seconds()))
	sum := 0.0
	for at := from; at < min(seconds, from+int(horizon.Seconds())); at++ {
		room := float64(replicas) * onTimeShare * float64(s.x.Engines.Batch)
		running := f.count[at] * max(1, f.length)
		sum += f.worth[at] * math.Min(1, room/math.Max(running, 1e-9))
	}
	return sum
}

// cheapest is the model of an engine whose loss costs least by the requests to come.
func (s *site) cheapest(c *choice, e *placement.Engine, worth map[string]*arrivals) (model string, loss float64) {
	loss = math.Inf(1)
	for _, m := range slices.Sorted(maps.Keys(e.Holds)) {
		l := 0.0
		if f := worth[m]; f != nil {
			l = s.served(f, placement.FromMemory, c.replicas[m]) - s.served(f, placement.FromMemory, c.replicas[m]-1)
			if c.replicas[m] == 1 && e.OnDisk[m] {
				// It comes back from the disk.
				l /= 2
			}
		}
		if l < loss {
			model, loss = m, l
		}
	}
	return model, loss
}
