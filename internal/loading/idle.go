package loading

import "time"

// keepTime returns how long a replica stays loaded after it became idle.
func (m *Machine) keepTime(r *replica) time.Duration {
	share := 0.0
	if limit := m.limit(); limit > 0 {
		share = float64(r.bytes+r.kvFloor) / float64(limit)
	}
	return m.policy.Keep(r.model, m.now, m.coldStart(r), share)
}

// reconcileIdle unloads a replica, or its adapters, after they have been idle for the time that the policy keeps them.
func (m *Machine) reconcileIdle(r *replica) {
	if r.state != loaded || r.order != nil || !m.granted(r) {
		return
	}
	if r.isIdle() && !m.warm(r) {
		m.unloadIdleReplica(r)
	}
	if r.state == loaded && len(r.adapters) > 0 {
		m.unloadIdleAdapters(r)
	}
}

func (m *Machine) unloadIdleReplica(r *replica) {
	if r.keepUntil.IsZero() {
		r.keep = m.keepTime(r)
		r.keepUntil = later(r.idleSince.Add(r.keep), r.wantedUntil)
	}
	if m.now.Before(r.keepUntil) {
		m.wakeAt(r, r.keepUntil)
		return
	}
	// The policy may have observed requests since and return a longer time.
	r.keep = m.keepTime(r)
	r.keepUntil = later(r.idleSince.Add(r.keep), r.wantedUntil)
	if m.now.Before(r.keepUntil) {
		m.wakeAt(r, r.keepUntil)
		return
	}
	if !m.tryUnload(&r.holding) {
		m.wakeAt(r, m.now.Add(pollInterval))
	}
}

// unloadIdleAdapters unloads adapters that have been idle for the time that their model version would be kept.
func (m *Machine) unloadIdleAdapters(r *replica) {
	if m.now.Before(r.nextAdapterCheck) {
		m.wakeAt(r, r.nextAdapterCheck)
		return
	}
	keep := m.keepTime(r)
	next := time.Time{}
	for _, a := range r.adapters {
		if a.state != loaded || !a.isIdle() {
			continue
		}
		until := later(a.idleSince.Add(keep), a.wantedUntil)
		if m.now.Before(until) {
			next = earlier(next, until)
			continue
		}
		if !m.tryUnload(a) {
			next = earlier(next, m.now.Add(pollInterval))
		}
	}
	if next.IsZero() {
		next = m.now.Add(max(keep, pollInterval))
	}
	r.nextAdapterCheck = next
	m.wakeAt(r, next)
}

// tryUnload orders an unload if that is currently allowed.
func (m *Machine) tryUnload(h *holding) bool {
	r := h.replica
	if !m.canOrder() || !m.mayOrder(h) || m.now.Before(h.unloadAt) {
		return false
	}
	if h.running > 0 || r.order != nil || h.isAdapter() && r.state != loaded || !h.isAdapter() && r.adapterOrderInFlight() {
		return false
	}
	m.orderUnload(h)
	return true
}
