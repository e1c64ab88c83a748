package loading

import (
	"cmp"
	"slices"
)

// claimResult is the result of a claim for memory.
type claimResult int

const (
	claimNow claimResult = iota
	// claimAfterUnloads: the load fits once the unloads in progress have ended.
	claimAfterUnloads
	// claimDenied: not enough memory can be freed.
	claimDenied
)

// memoryPlan allocates memory to the wanted loads of one plan, most urgent first.
type memoryPlan struct {
	m *Machine
	// taken is what the ledger has reserved plus what more urgent loads of this plan have claimed.
	taken size
	// unloading is the part of taken that unloads in progress will free.
	unloading size
	// evicting are the idle holdings to be unloaded for a load of this plan.
	evicting map[*holding]bool
}

func (m *Machine) newMemoryPlan() *memoryPlan {
	plan := &memoryPlan{m: m, taken: m.reserved(), evicting: map[*holding]bool{}}
	for _, r := range m.replicas {
		plan.addUnloading(r)
	}
	return plan
}

func (p *memoryPlan) addUnloading(r *replica) {
	whole := r.state == unloading
	if whole {
		p.unloading = p.unloading.plus(r.taken())
	}
	for _, a := range r.adapters {
		if a.state == unloading || whole && a.state == loaded {
			p.unloading = p.unloading.plus(a.taken())
		}
	}
}

// claim reserves memory for a load; less urgent loads cannot use it. If evict is set, it orders the unloads that the
// load needs.
func (p *memoryPlan) claim(h *holding, evict bool) claimResult {
	need := p.m.sizeOf(h).minus(h.taken())
	need = size{max(0, need.bytes), max(0, need.kvFloor)}
	total := p.taken.plus(need)
	if p.m.fits(total) {
		p.taken = total
		return claimNow
	}
	victims, ok := p.victims(h, total.minus(p.unloading))
	if !ok {
		return claimDenied
	}
	p.taken = total
	for _, v := range victims {
		p.evicting[v] = true
		p.unloading = p.unloading.plus(p.m.takenWithAdapters(v))
		if evict && p.m.canOrder() {
			p.m.orderUnload(v)
		}
	}
	return claimAfterUnloads
}

// victims chooses idle holdings to unload so that a size fits: those idle longest relative to their keep time first,
// and no more than needed.
func (p *memoryPlan) victims(wanted *holding, total size) ([]*holding, bool) {
	if p.m.fits(total) {
		return nil, true
	}
	chosen := []*holding{}
	for _, v := range p.m.evictable(wanted) {
		if p.evicting[v] || p.evicting[&v.replica.holding] {
			continue
		}
		chosen = append(chosen, v)
		total = total.minus(p.m.takenWithAdapters(v))
		if p.m.fits(total) {
			return p.trimVictims(chosen, total), true
		}
	}
	return nil, false
}

// trimVictims removes the victims that are not needed for the size to fit.
func (p *memoryPlan) trimVictims(chosen []*holding, total size) []*holding {
	return slices.DeleteFunc(chosen, func(v *holding) bool {
		without := total.plus(p.m.takenWithAdapters(v))
		if !p.m.fits(without) {
			return false
		}
		total = without
		return true
	})
}

// takenWithAdapters returns the memory of a holding, including the loaded adapters of a model version.
func (m *Machine) takenWithAdapters(h *holding) size {
	total := h.taken()
	if h.isAdapter() {
		return total
	}
	for _, a := range h.replica.adapters {
		if a.state == loaded {
			total = total.plus(a.taken())
		}
	}
	return total
}

// evictable returns the holdings that may be unloaded to make room for a load, best victim first. For an adapter, other
// adapters are preferred to model versions; for a model version, the reverse.
func (m *Machine) evictable(wanted *holding) []*holding {
	models, adapters := []*holding{}, []*holding{}
	for _, r := range m.replicas {
		if r != wanted.replica && m.mayEvict(&r.holding) && !m.warm(r) && !r.adapterOrderInFlight() {
			models = append(models, &r.holding)
		}
		for _, a := range r.adapters {
			if m.mayEvict(a) && r.state == loaded && r.order == nil {
				adapters = append(adapters, a)
			}
		}
	}
	slices.SortFunc(models, func(a, b *holding) int {
		return cmp.Or(-cmp.Compare(m.idleRatio(a), m.idleRatio(b)), cmp.Compare(a.replica.model, b.replica.model))
	})
	slices.SortFunc(adapters, func(a, b *holding) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.adapter, b.adapter))
	})
	if wanted.isAdapter() {
		return append(adapters, models...)
	}
	return append(models, adapters...)
}

// mayEvict reports whether a loaded holding is idle and not kept for callers that will retry.
func (m *Machine) mayEvict(h *holding) bool {
	return h.state == loaded && h.isIdle() && m.mayOrder(h) &&
		!m.now.Before(h.unloadAt) && !m.now.Before(h.wantedUntil)
}

// idleRatio returns how long a replica has been idle relative to its keep time.
func (m *Machine) idleRatio(h *holding) float64 {
	keep := m.keepTime(h.replica)
	return float64(m.now.Sub(h.idleSince)+1) / float64(keep+1)
}
