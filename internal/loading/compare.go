package loading

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// applyListing applies the engine's list of loaded models and adapters.
func (m *Machine) applyListing(models []endpoint.LoadedModel) {
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
		m.applyObservation(&r.holding, observeModel(entry))
		if entry != nil && r.state != absent {
			r.bytes = max(r.bytes, entry.MemoryBytes)
		}
		for _, a := range r.adapters {
			m.applyObservation(a, observeAdapter(entry, a.adapter))
		}
	}
}

func observeModel(listed *endpoint.LoadedModel) observation {
	switch {
	case listed == nil:
		return observedAbsent
	case listed.State == endpoint.EngineLoaded:
		return observedLoaded
	default:
		return observedTransient
	}
}

func observeAdapter(listed *endpoint.LoadedModel, adapter string) observation {
	if listed == nil || !slices.Contains(listed.Adapters, adapter) {
		return observedAbsent
	}
	if listed.State != endpoint.EngineLoaded {
		return observedTransient
	}
	return observedLoaded
}

// applyObservation applies the observed state of one model version or adapter.
func (m *Machine) applyObservation(h *holding, s observation) {
	if h.order != nil || m.reads.step < h.orderEndedStep {
		return
	}
	h.observed = s
	h.observedAt = m.reads.startedAt
	switch {
	case s == observedLoaded && !m.mayTakeEffect(h, isUnload):
		m.setLoaded(h)
	case s == observedAbsent && !m.mayTakeEffect(h, isLoad):
		m.setAbsent(h)
	default:
		m.setUnknown(h)
	}
	m.dropExpired(h)
}

func isLoad(o *order) bool   { return o.isLoad() }
func isUnload(o *order) bool { return !o.isLoad() }

// mayTakeEffect reports whether an unresolved order of a kind could still take effect after the read began. For
// adapters only the lifetime of the order counts: a higher fencing token only stops orders that have not arrived yet,
// and the engine does not list an adapter while it loads it.
func (m *Machine) mayTakeEffect(h *holding, kind func(*order) bool) bool {
	return slices.ContainsFunc(h.unresolved, func(o *order) bool {
		if !kind(o) {
			return false
		}
		if h.isAdapter() {
			return !m.expired(o, m.reads.startedAt)
		}
		return !m.ineffective(o, m.reads.startedAt, m.reads.step)
	})
}

// unresolvedLoadPending reports whether a load of unknown outcome may still take effect.
func (m *Machine) unresolvedLoadPending(h *holding) bool {
	return slices.ContainsFunc(h.unresolved, func(o *order) bool { return o.isLoad() && !m.ineffectiveNow(o) })
}

// dropExpired drops the orders of unknown outcome that had expired when the newest read began.
func (m *Machine) dropExpired(h *holding) {
	h.unresolved = slices.DeleteFunc(h.unresolved, func(o *order) bool {
		if !m.expired(o, m.reads.startedAt) {
			return false
		}
		delete(m.orders, o.ID)
		return true
	})
}

// setLoaded records that the engine holds something, on which requests may run if the slot allows.
func (m *Machine) setLoaded(h *holding) {
	m.adopt(h)
	if h.state == loaded {
		return
	}
	h.state = loaded
	h.idleSince = m.now
	h.replica.keepUntil = time.Time{}
}

// setUnknown records that the engine may hold something.
func (m *Machine) setUnknown(h *holding) {
	m.adopt(h)
	h.state = unknown
}

// setAbsent records that the engine does not hold a model version or adapter, and frees its memory in the ledger.
func (m *Machine) setAbsent(h *holding) {
	h.state = absent
	h.bytes = 0
	h.kvFloor = 0
	h.adopted = false
}

// adopt adds to the ledger what the engine holds without an order of this agent.
func (m *Machine) adopt(h *holding) {
	if h.state == absent {
		h.adopted = true
	}
	m.sizeAdopted(h)
}

// sizeAdopted sets the size of an adopted holding from the declarations, which may arrive after it was found.
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
