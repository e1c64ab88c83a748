package loading

import "time"

// keepTime returns how long a replica is kept loaded after it became idle.
func (m *Machine) keepTime(r *replica) time.Duration {
	share := 0.0
	if limit := m.limit(); limit > 0 {
		share = float64(r.bytes+r.kvFloor) / float64(limit)
	}
	return m.policy.Keep(r.model, m.now, m.coldStart(r), share)
}

// tendIdle unloads a replica that has been idle for as long as the policy keeps it, and its adapters likewise.
func (m *Machine) tendIdle(r *replica) {
	if r.state != loaded || r.order != nil || !m.granted(r) {
		return
	}
	if r.isIdle() && !m.warm(r) {
		m.tendIdleReplica(r)
	}
	if r.state == loaded && len(r.adapters) > 0 {
		m.tendIdleAdapters(r)
	}
}

func (m *Machine) tendIdleReplica(r *replica) {
	if r.keepUntil.IsZero() {
		r.keep = m.keepTime(r)
		r.keepUntil = later(r.idleSince.Add(r.keep), r.wishUntil)
	}
	if m.now.Before(r.keepUntil) {
		m.wakeAt(r, r.keepUntil)
		return
	}
	// What the policy learnt since may keep the replica longer.
	r.keep = m.keepTime(r)
	r.keepUntil = later(r.idleSince.Add(r.keep), r.wishUntil)
	if m.now.Before(r.keepUntil) {
		m.wakeAt(r, r.keepUntil)
		return
	}
	if !m.tryUnload(&r.holding) {
		m.wakeAt(r, m.now.Add(pollInterval))
	}
}

// tendIdleAdapters unloads adapters that were idle for as long as their model version would be kept.
func (m *Machine) tendIdleAdapters(r *replica) {
	if m.now.Before(r.adaptersAt) {
		m.wakeAt(r, r.adaptersAt)
		return
	}
	keep := m.keepTime(r)
	next := time.Time{}
	for _, a := range r.adapters {
		if a.state != loaded || !a.isIdle() {
			continue
		}
		until := later(a.idleSince.Add(keep), a.wishUntil)
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
	r.adaptersAt = next
	m.wakeAt(r, next)
}

// tryUnload orders an unload if one may be ordered now.
func (m *Machine) tryUnload(h *holding) bool {
	r := h.replica
	if !m.canOrder() || !m.mayOrder(h) || m.now.Before(h.unloadAt) {
		return false
	}
	if h.running > 0 || r.order != nil || h.isAdapter() && r.state != loaded || !h.isAdapter() && r.adapterOrder() {
		return false
	}
	m.giveUnload(h)
	return true
}
