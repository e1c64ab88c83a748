package loading

import "slices"

// specsChanged takes in the declarations.
func (m *Machine) specsChanged(e SpecsChanged) {
	m.specsSeen = true
	m.models = make(map[string]ModelSpec, len(e.Models))
	for _, s := range e.Models {
		m.models[s.Model] = s
	}
	m.adapters = make(map[string]AdapterSpec, len(e.Adapters))
	for _, s := range e.Adapters {
		m.adapters[s.Adapter] = s
	}
	m.forgetReplicas()
	for _, r := range m.replicas {
		m.sizeAdopted(&r.holding)
		for _, a := range r.adapters {
			m.sizeAdopted(a)
		}
		m.refuseUndeclared(r)
	}
	m.touchAll()
}

// refuseUndeclared refuses requests that wait for something that is no longer declared and not loaded.
func (m *Machine) refuseUndeclared(r *replica) {
	if !m.isDeclared(&r.holding) && r.state != loaded {
		m.refuseWaiting(&r.holding, refusalUnknown, 0)
	}
	for _, a := range r.adapters {
		if !m.isDeclared(a) && a.state != loaded {
			m.refuseWaiting(a, refusalUnknown, 0)
		}
	}
}

// forgetReplicas drops the records of model versions that are neither declared nor granted and of which there is nothing
// to know.
func (m *Machine) forgetReplicas() {
	m.replicas = slices.DeleteFunc(m.replicas, func(r *replica) bool {
		g := m.slots.grants[r.model]
		if m.isDeclared(&r.holding) || g != nil && (g.slot != nil || g.owed) || !r.isBlank() || len(r.adapters) > 0 {
			return false
		}
		delete(m.wanting, &r.holding)
		m.dropPermit(&r.holding)
		m.timers.remove(r)
		return true
	})
}

// isBlank reports whether nothing is held of a model version or adapter, under way, running, or waiting for it.
func (h *holding) isBlank() bool { return h.state == absent && len(h.doubts) == 0 && h.isIdle() }
