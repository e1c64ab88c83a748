package loading

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// compare takes in what the engine lists.
func (m *Machine) compare(models []endpoint.LoadedModel) {
	listed := make(map[string]*endpoint.LoadedModel, len(models))
	for i := range models {
		listed[models[i].Model] = &models[i]
		r := m.replica(models[i].Model)
		for _, adapter := range models[i].Adapters {
			m.adapterOf(r, adapter)
		}
	}
	for _, r := range m.replicas {
		entry := listed[r.model]
		m.compareHolding(&r.holding, shownModel(entry))
		if entry != nil && r.state != absent {
			r.bytes = max(r.bytes, entry.MemoryBytes)
		}
		for _, a := range r.adapters {
			m.compareHolding(a, shownAdapter(entry, a.adapter))
		}
	}
}

func shownModel(listed *endpoint.LoadedModel) shown {
	switch {
	case listed == nil:
		return shownAbsent
	case listed.State == endpoint.EngineLoaded:
		return shownLoaded
	default:
		return shownBetween
	}
}

func shownAdapter(listed *endpoint.LoadedModel, adapter string) shown {
	if listed == nil || !slices.Contains(listed.Adapters, adapter) {
		return shownAbsent
	}
	if listed.State != endpoint.EngineLoaded {
		return shownBetween
	}
	return shownLoaded
}

// compareHolding takes in how one model version or adapter was shown.
func (m *Machine) compareHolding(h *holding, s shown) {
	if h.order != nil || m.reads.step < h.settled {
		return
	}
	h.shown = s
	h.shownAt = m.reads.at
	switch {
	case s == shownLoaded && !m.doubtful(h, isUnload):
		m.setLoaded(h)
	case s == shownAbsent && !m.doubtful(h, isLoad):
		m.setAbsent(h)
	default:
		m.setUnknown(h)
	}
	m.dropSpent(h)
}

func isLoad(o *order) bool   { return o.isLoad() }
func isUnload(o *order) bool { return !o.isLoad() }

// doubtful reports whether an order of a kind could still have taken effect after the read began. What an engine is
// loading as an adapter it does not list, so that a higher fencing number, which only stops what has not arrived, proves
// nothing there.
func (m *Machine) doubtful(h *holding, kind func(*order) bool) bool {
	return slices.ContainsFunc(h.doubts, func(o *order) bool {
		if !kind(o) {
			return false
		}
		if h.isAdapter() {
			return !m.spent(o, m.reads.at)
		}
		return !m.over(o, m.reads.at, m.reads.step)
	})
}

// liveLoadDoubt reports whether a load order of unknown result may still take effect.
func (m *Machine) liveLoadDoubt(h *holding) bool {
	return slices.ContainsFunc(h.doubts, func(o *order) bool { return o.isLoad() && !m.overNow(o) })
}

// dropSpent forgets the orders of unknown result that were over for good when the newest read began.
func (m *Machine) dropSpent(h *holding) {
	h.doubts = slices.DeleteFunc(h.doubts, func(o *order) bool {
		if !m.spent(o, m.reads.at) {
			return false
		}
		delete(m.orders, o.ID)
		return true
	})
}

// setLoaded notes that the engine holds something and that requests may run on it as far as the slot allows.
func (m *Machine) setLoaded(h *holding) {
	m.adopt(h)
	if h.state == loaded {
		return
	}
	h.state = loaded
	h.idleSince = m.now
	h.replica.keepUntil = time.Time{}
}

// setUnknown notes that the engine may hold something.
func (m *Machine) setUnknown(h *holding) {
	m.adopt(h)
	h.state = unknown
}

// setAbsent notes that the engine holds nothing of a model version or adapter, and frees its memory in the ledger.
func (m *Machine) setAbsent(h *holding) {
	h.state = absent
	h.bytes = 0
	h.kvFloor = 0
	h.adopted = false
}

// adopt takes what the engine holds without an order of this agent into the ledger.
func (m *Machine) adopt(h *holding) {
	if h.state == absent {
		h.adopted = true
	}
	m.sizeAdopted(h)
}

// sizeAdopted gives an adopted holding its declared size; the declarations may come after it was found.
func (m *Machine) sizeAdopted(h *holding) {
	if !h.adopted {
		return
	}
	if h.isAdapter() {
		h.bytes = max(h.bytes, m.adapters[h.adapter].MemoryBytes)
		return
	}
	spec := m.models[h.replica.model]
	h.bytes = max(h.bytes, spec.MemoryBytes)
	h.kvFloor = max(h.kvFloor, spec.KVFloorBytes)
}
