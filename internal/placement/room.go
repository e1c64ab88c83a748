package placement

import (
	"cmp"
	"slices"
)

// adapterRoom is the memory that is left to adapters when models are placed.
func (p *plan) adapterRoom() float64 {
	largest := 0.0
	for _, m := range p.Class.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(p.Class.AdapterPlaces)
}

// room is the memory of an engine that no model takes.
func (p *plan) room(e *Engine) float64 {
	free := p.Class.MemoryMB - p.adapterRoom()
	for m := range e.Holds {
		free -= p.Class.Models[m].SizeMB
	}
	return free
}

// makeRoom chooses the models that make way for another one, those with the least loss first.
func (p *plan) makeRoom(e *Engine, model string, urgent bool) (unload []string, loss float64, ok bool) {
	room := p.room(e)
	need := p.Class.Models[model].SizeMB
	if room >= need {
		return nil, 0, true
	}
	held := make([]string, 0, len(e.Holds))
	for m := range e.Holds {
		held = append(held, m)
	}
	slices.SortFunc(held, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.loss(e, a), p.loss(e, b)), cmp.Compare(p.interactive(a), p.interactive(b)), p.Demand[a].LastArrival.Compare(p.Demand[b].LastArrival), cmp.Compare(a, b))
	})
	for _, m := range held {
		l := p.loss(e, m)
		if l >= neverEvict || !urgent && l >= dearEvict {
			return nil, 0, false
		}
		unload, loss, room = append(unload, m), loss+l, room+p.Class.Models[m].SizeMB
		if room >= need {
			return unload, loss, true
		}
	}
	return nil, 0, false
}

const (
	// neverEvict marks a replica that requests need now, dearEvict one that is kept unless requests wait for another model.
	neverEvict = 1000.0
	dearEvict  = 100.0
	// drainLoss is what a surplus replica costs whose streams have to end before the load can begin: their usual length, in
	// seconds. A load for a waiting request began 2.2 s late for them where a model that nobody used lay beside.
	drainLoss = 1.5
)

// loss is what the loss of a model's replica at an engine costs, in seconds of load time that requests will likely wait.
//
// Replicas that are still being loaded do not make another one superfluous: the only one that serves was taken away for them
// with 31 requests running, and all of these had to end before the engine could go on.
func (p *plan) loss(e *Engine, model string) float64 {
	d := p.Demand[model]
	surplus := p.ready[model] - max(1, p.wanted(model, batchShare))
	switch {
	case surplus > 0 && d.Waiting == 0:
		loss := min(1, float64(e.Running)/float64(max(1, p.Class.Batch)))
		if d.Running > 0 && e.Running > 0 {
			loss += drainLoss
		}
		return loss
	case d.Waiting > 0 || p.wanted(model, batchShare) > 1:
		return neverEvict
	case d.Running > 0:
		// The unload would wait for them, and the load behind it.
		return dearEvict
	case d.Rate >= busyRate || p.ready[model] <= 1 && p.tooTight(model):
		return dearEvict / 2
	}
	return 1 + d.LongRate
}

// interactive ranks how likely a model is to get requests that can't wait for a load: those that have had them come first, then
// those for which operators declare adapters, which they do for models that many callers use.
func (p *plan) interactive(model string) int {
	switch {
	case p.tooTight(model):
		return 2
	case p.Class.Models[model].Adapters > 0:
		return 1
	}
	return 0
}

// tooTight reports whether a model's requests can't be on time unless it is loaded when they come.
//
// Demand comes back to models that had it before. Where requests have a target of half a second, those that find their model
// asleep are all late; a model whose requests allow three seconds can be loaded from disk in time, so that its place is worth
// less, however often it is asked for.
func (p *plan) tooTight(model string) bool {
	target := p.Demand[model].Target
	return target > 0 && target < p.Class.Models[model].DiskTime+decisionTime
}
