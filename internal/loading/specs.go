package loading

import "slices"

// specsChanged replaces the declared models and adapters.
func (m *Machine) specsChanged(e SpecsChanged) {
	m.specsKnown = true
	m.models = make(map[string]ModelSpec, len(e.Models))
	for _, s := range e.Models {
		m.models[s.Model] = s
	}
	m.adapters = make(map[string]AdapterSpec, len(e.Adapters))
	for _, s := range e.Adapters {
		m.adapters[s.Adapter] = s
	}
	m.dropUnusedReplicas()
	for _, r := range m.replicas {
		m.sizeAdopted(&r.holding)
		for _, a := range r.adapters {
			m.sizeAdopted(a)
		}
		m.refuseUndeclared(r)
	}
	m.markAllDirty()
}

// refuseUndeclared refuses requests for models and adapters that are no longer declared and are not loaded.
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

// dropUnusedReplicas drops the records of model versions that are neither declared nor granted and that carry no state.
func (m *Machine) dropUnusedReplicas() {
	m.replicas = slices.DeleteFunc(m.replicas, func(r *replica) bool {
		g := m.slots.grants[r.model]
		if m.isDeclared(&r.holding) || g != nil && (g.slot != nil || g.confirmDue) || !r.isUnused() || len(r.adapters) > 0 {
			return false
		}
		delete(m.wanted, &r.holding)
		m.dropPermit(&r.holding)
		m.timers.remove(r)
		return true
	})
}

// isUnused reports whether a model version or adapter is not in memory and has no orders and no running or waiting
// requests.
func (h *holding) isUnused() bool { return h.state == absent && len(h.unresolved) == 0 && h.isIdle() }
