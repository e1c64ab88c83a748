package loading

// barrier gives the first order to an engine that checks fencing numbers: the unload of something that it does not
// hold. Once that is carried out, no order that a predecessor left in flight can take effect, and a read shows all that
// did. Without it such a load could arrive between this agent's first loads and overcommit the engine's memory.
func (m *Machine) barrier() {
	if !m.options.ChecksFencing || m.engine.clear || m.over(&m.predecessor, m.now, m.step) {
		return
	}
	if m.barrierOrder != nil && m.orders[m.barrierOrder.ID] != nil && !m.barrierOrder.unknown {
		return
	}
	if m.now.Before(m.engine.barrierAt) || !m.canOrder() {
		return
	}
	if r := m.barrierTarget(); r != nil {
		m.engine.barrierAt = m.now.Add(barrierRetry)
		m.giveUnload(&r.holding)
		m.barrierOrder = r.order
	}
}

// barrierTarget chooses a model version that the engine does not hold, if possible one that it is not to hold.
func (m *Machine) barrierTarget() *replica {
	var target *replica
	for model := range m.models {
		r := m.replica(model)
		if r.state != absent || r.running > 0 || r.adapterOrder() || !m.mayOrder(&r.holding) {
			continue
		}
		if target == nil || m.preferBarrier(r, target) {
			target = r
		}
	}
	return target
}

func (m *Machine) preferBarrier(a, b *replica) bool {
	if m.granted(a) != m.granted(b) {
		return !m.granted(a)
	}
	return a.model < b.model
}
