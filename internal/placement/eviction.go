package placement

import (
	"cmp"
	"math"
	"slices"
)

// eviction is a loaded model and the cost of evicting its replica.
type eviction struct {
	model string
	cost  float64
}

// useLimit bounds which replicas in use a load may evict: those of models of which fewer requests run.
type useLimit int

const (
	noneInUse useLimit = 0
	anyInUse  useLimit = math.MaxInt
)

// chooseEvictions returns the models to unload to make room for another one, cheapest first, and their total cost. A replica that
// costs avoidEvictCost or more is in use.
func (p *plan) chooseEvictions(c *candidate, model string, limit useLimit) (unload []string, cost float64, ok bool) {
	free := c.freeMemory
	need := p.Class.Models[model].SizeMB
	if free >= need {
		return nil, 0, true
	}
	for _, e := range p.evictions(c) {
		if e.cost >= neverEvictCost {
			return nil, 0, false
		}
		if e.cost >= avoidEvictCost && p.Demand[e.model].Running >= int(limit) {
			continue
		}
		unload, cost, free = append(unload, e.model), cost+e.cost, free+p.Class.Models[e.model].SizeMB
		if free >= need {
			return unload, cost, true
		}
	}
	return nil, 0, false
}

// evictions returns an engine's models, cheapest to evict first.
func (p *plan) evictions(c *candidate) []eviction {
	if c.evictions != nil {
		return c.evictions
	}
	c.evictions = make([]eviction, 0, len(c.Loaded))
	for m := range c.Loaded {
		c.evictions = append(c.evictions, eviction{model: m, cost: p.evictionCost(c.Engine, m)})
	}
	slices.SortFunc(c.evictions, func(a, b eviction) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(p.latencyRank(a.model), p.latencyRank(b.model)),
			p.Demand[a.model].LastArrival.Compare(p.Demand[b.model].LastArrival),
			cmp.Compare(a.model, b.model))
	})
	return c.evictions
}

const (
	// neverEvictCost marks a replica that current requests need. avoidEvictCost marks one that is evicted only for a
	// model that requests wait for.
	neverEvictCost = 1000.0
	avoidEvictCost = 100.0
	// drainCost is the typical time, in seconds, until the running streams of a surplus replica have ended. A load that
	// replaces the replica starts only after that. Without this cost, a load for a waiting request started 2.2 s late
	// although an idle model could have been evicted instead.
	drainCost = 1.5
)

// evictionCost returns the cost of evicting a model's replica from an engine, in seconds of load time that requests are
// expected to wait.
//
// A replica counts as surplus only if enough others are ready. When replicas that were still being loaded counted as
// well, the only ready one was evicted with 31 requests running, and its engine was blocked until all of these had
// ended.
func (p *plan) evictionCost(e *Engine, model string) float64 {
	d := p.Demand[model]
	surplus := p.ready[model] - max(1, p.targetReplicas(model, scaleOutShare))
	switch {
	case surplus > 0 && d.Waiting == 0:
		cost := min(1, float64(e.Running)/float64(max(1, p.Class.Batch)))
		if d.Running > 0 && e.Running > 0 {
			cost += drainCost
		}
		return cost
	case d.Waiting > 0 || p.targetReplicas(model, scaleOutShare) > 1:
		return neverEvictCost
	case d.Running > 0:
		// The unload, and the load after it, would wait for the running requests to end.
		return avoidEvictCost
	case d.Rate >= protectedRate || p.ready[model] <= 1 && p.needsPreloading(model):
		return avoidEvictCost / 2
	}
	return 1 + d.LongRate
}

// latencyRank ranks how likely a model is to get requests that can't wait for a load. Models that have had such
// requests rank highest, then models with declared adapters, which operators declare for models with many users.
func (p *plan) latencyRank(model string) int {
	switch {
	case p.needsPreloading(model):
		return 2
	case p.Class.Models[model].Adapters > 0:
		return 1
	}
	return 0
}

// needsPreloading reports whether a model's requests meet their target only if it is loaded before they arrive.
//
// Demand returns to models that had it before. A request with a target of 0.5 s is late if its model is not loaded; one
// with a target of 3 s can be served by a load from disk, so evicting its model costs less, whatever its request rate.
func (p *plan) needsPreloading(model string) bool {
	target := p.Demand[model].Target
	return target > 0 && target < p.Class.Models[model].DiskTime+decisionLatency
}
