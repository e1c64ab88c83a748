package loading

// barrier sends the first order to an engine that checks fencing tokens: the unload of a model version that the engine
// does not hold. Once it is carried out, no order of a previous agent can still take effect, and a read shows all those
// that did. Without it, a load ordered by a previous agent could take effect among this agent's first loads and
// overcommit the engine's memory.
func (m *Machine) barrier() {
	if !m.options.ChecksFencing || m.engine.predecessorsDone || m.ineffective(&m.predecessor, m.now, m.step) {
		return
	}
	if m.barrierOrder != nil && m.orders[m.barrierOrder.ID] != nil && !m.barrierOrder.unknown {
		return
	}
	if m.now.Before(m.engine.nextBarrierAt) || !m.canOrder() {
		return
	}
	if r := m.barrierTarget(); r != nil {
		m.engine.nextBarrierAt = m.now.Add(orderRetry)
		m.orderUnload(&r.holding)
		m.barrierOrder = r.order
	}
}

// barrierTarget chooses a model version that the engine does not hold, preferably one without a slot.
func (m *Machine) barrierTarget() *replica {
	var target *replica
	for model := range m.models {
		r := m.replica(model)
		if r.state != absent || r.running > 0 || r.adapterOrderInFlight() || !m.mayOrder(&r.holding) {
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
