package loading

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
	for _, model := range sortedKeys(m.replicas) {
		r := m.replicas[model]
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
	for _, name := range sortedKeys(r.adapters) {
		if a := r.adapters[name]; !m.isDeclared(a) && a.state != loaded {
			m.refuseWaiting(a, refusalUnknown, 0)
		}
	}
}

// forgetReplicas drops the records of model versions that are neither declared nor granted and of which there is nothing
// to know.
func (m *Machine) forgetReplicas() {
	for model, r := range m.replicas {
		g := m.slots.grants[model]
		kept := r.state != absent || r.order != nil || len(r.doubts) > 0 || r.running > 0 || r.waiting > 0 ||
			len(r.adapters) > 0 || m.isDeclared(&r.holding) || g != nil && (g.slot != nil || g.owed)
		if kept {
			continue
		}
		delete(m.replicas, model)
		delete(m.wanting, &r.holding)
		m.dropPermit(&r.holding)
		m.timers.remove(r)
	}
}
