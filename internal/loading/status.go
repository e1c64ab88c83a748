package loading

import "time"

// Status returns the machine's state as reported to the entries.
func (m *Machine) Status(now time.Time) Status {
	now = later(m.now, now)
	s := Status{
		Ready:         m.ready(),
		Leaving:       m.leaving,
		MemoryBytes:   m.limit(),
		ReservedBytes: m.reservedBytes(m.reserved()),
		Cached:        m.engine.cachedNames,
	}
	for _, o := range m.orders {
		switch {
		case !o.fromStore || o.unknown:
		case o.holding.isAdapter():
			s.AdaptersInFlight++
		default:
			s.LoadsInFlight++
		}
	}
	for _, r := range m.replicas {
		if r.state != absent || m.revisionOf(r.model) > 0 {
			s.Replicas = append(s.Replicas, m.replicaStatus(now, r))
		}
	}
	return s
}

// ready reports whether requests can be accepted: the engine's state is known, and either the table was read or a
// pushed row allows a loaded model to be served.
func (m *Machine) ready() bool {
	if !m.engine.known || m.unreachable() {
		return false
	}
	if m.slots.read {
		return true
	}
	for _, r := range m.replicas {
		if r.announced {
			return true
		}
	}
	return false
}

func (m *Machine) replicaStatus(now time.Time, r *replica) ReplicaStatus {
	s := ReplicaStatus{
		Model:    r.model,
		State:    replicaStates[r.state],
		Running:  r.running,
		Revision: m.revisionOf(r.model),
	}
	if r.state == loaded && r.isIdle() {
		s.IdleFor = max(now.Sub(r.idleSince), time.Millisecond)
	}
	for _, a := range r.adapters {
		if a.state == loaded {
			s.Adapters = append(s.Adapters, a.adapter)
		}
	}
	return s
}

// revisionOf returns the revision of the row that gives the engine a slot for the model version, or 0 if it has none.
func (m *Machine) revisionOf(model string) uint64 {
	if g := m.slots.grants[model]; g != nil && g.slot != nil {
		return g.revision
	}
	return 0
}
