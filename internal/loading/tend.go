package loading

import (
	"cmp"
	"slices"
	"time"
)

// markDirty marks a replica to be reconciled before the step ends.
func (m *Machine) markDirty(r *replica) {
	if !r.dirty {
		r.dirty = true
		m.dirty = append(m.dirty, r)
	}
}

// markAllDirty marks all replicas.
func (m *Machine) markAllDirty() {
	for _, r := range m.replicas {
		m.markDirty(r)
	}
}

// wakeAt schedules a replica to be reconciled at the given time at the latest.
func (m *Machine) wakeAt(r *replica, at time.Time) {
	if at.IsZero() || r.heapIndex != notScheduled && !at.Before(r.due) {
		return
	}
	r.due = at
	m.timers.set(r)
}

// reconcileDirty reconciles all marked replicas, sorted by name so that the actions are deterministic.
func (m *Machine) reconcileDirty() {
	for len(m.dirty) > 0 {
		dirty := m.dirty
		m.dirty = nil
		slices.SortFunc(dirty, func(a, b *replica) int { return cmp.Compare(a.model, b.model) })
		for _, r := range dirty {
			r.dirty = false
			m.reconcile(r)
		}
	}
}

// reconcile drives one replica towards what its slot and its waiting requests require.
func (m *Machine) reconcile(r *replica) {
	m.refuseUnavailable(r)
	m.reconcileSlot(r)
	m.reconcileUnknown(r)
	m.reconcileIdle(r)
	m.announceAll(r)
	m.updateWanted(&r.holding)
	r.adapters = slices.DeleteFunc(r.adapters, func(a *holding) bool {
		m.updateWanted(a)
		return m.isDroppable(a)
	})
	for _, at := range []time.Time{r.retryAt, r.warmRetryAt, r.wantedUntil} {
		if m.now.Before(at) {
			m.wakeAt(r, at)
		}
	}
}

// refuseUnavailable refuses waiting requests while the engine is unreachable or the endpoint is leaving.
func (m *Machine) refuseUnavailable(r *replica) {
	if m.leaving {
		m.refuseWaiting(&r.holding, refusalLeaving, 0)
	}
	if m.unreachable() {
		m.refuseWaiting(&r.holding, refusalUnreachable, defaultRetryAfter)
	}
}

// reconcileSlot releases a slot that was revoked: it stops new requests, unloads the model, then confirms the release.
func (m *Machine) reconcileSlot(r *replica) {
	if m.slots.status(r.model) != slotLost {
		return
	}
	m.announceUnusable(&r.holding)
	m.refuseWaiting(&r.holding, refusalNotGranted, defaultRetryAfter)
	r.wantedUntil = time.Time{}
	g := m.slots.grant(r.model)
	if r.state != absent && r.state != unloading {
		g.confirmDue = true
	}
	if r.state == loaded || m.mayReissue(&r.holding) {
		if !m.tryUnload(&r.holding) {
			m.wakeAt(r, m.now.Add(pollInterval))
		}
		return
	}
	if g.confirmDue && r.state == absent && r.order == nil {
		m.confirmRelease(r, g)
	}
}

// confirmRelease confirms a release once it is certain that the engine does not hold the model version and that no load
// order, of this agent or of a previous one, can still take effect.
//
// A fencing token is not sufficient here. An engine that restarts may lose the tokens it has seen and carry out an
// order that is still in flight; a confirmation cannot be undone, because the slot may be granted elsewhere. The
// confirmation therefore waits until the orders have expired, and for a read of the state that began after that.
func (m *Machine) confirmRelease(r *replica, g *grant) {
	certain := m.expiresAt(&m.predecessor)
	for _, o := range r.unresolved {
		if o.isLoad() {
			certain = later(certain, m.expiresAt(o))
		}
	}
	if m.now.Before(certain) {
		m.wakeAt(r, certain)
		return
	}
	if r.observed != observedAbsent || r.observedAt.Before(certain) || m.engine.failedReads > 0 {
		m.scheduleReadFrom(certain, r.orderEndedStep)
		return
	}
	g.confirmDue = false
	if g.slot == nil {
		g.revision = max(g.revision, m.slots.revision)
	}
	m.emit(ConfirmRelease{Model: r.model, Revision: g.revision})
}

// reconcileUnknown handles unknown state: it polls the engine, unloads what is not wanted, and refuses requests that
// would have to wait until an order of unknown outcome expires.
func (m *Machine) reconcileUnknown(r *replica) {
	unsettled := r.state == unknown
	for _, a := range r.adapters {
		unsettled = unsettled || a.state == unknown
	}
	if unsettled {
		m.reads.nextAt = earlier(m.reads.nextAt, m.now.Add(pollInterval))
	}
	if r.state != unknown || r.order != nil || r.observed == observedNothing || r.observed == observedTransient {
		return
	}
	if !m.mayOrder(&r.holding) {
		m.refuseWaiting(&r.holding, refusalLoadUnknown, max(defaultRetryAfter, m.unresolvedUntil(&r.holding).Sub(m.now)))
		return
	}
	if m.mayReissue(&r.holding) && m.granted(r) && !m.wantsLoad(&r.holding) {
		m.tryUnload(&r.holding)
	}
}

// usable reports whether requests for a target may run.
func (m *Machine) usable(h *holding) bool {
	r := h.replica
	return h.state == loaded && r.state == loaded && r.order == nil &&
		!m.leaving && !m.unreachable() && m.granted(r)
}

// announceAll reports what became usable or unusable, the model version before its adapters.
func (m *Machine) announceAll(r *replica) {
	m.announce(&r.holding, m.usable(&r.holding))
	if !r.announced {
		return
	}
	for _, a := range r.adapters {
		m.announce(a, a.state == loaded)
	}
}

func (m *Machine) announce(h *holding, usable bool) {
	switch {
	case usable && !h.announced:
		h.announced = true
		m.emit(Usable{Model: h.replica.model, Adapter: h.adapter})
	case !usable && h.announced:
		m.announceUnusable(h)
	}
}

// announceUnusable reports that no further request may start on a holding; for a model version this includes its
// adapters. The deadlines of the waiting requests are tracked again.
func (m *Machine) announceUnusable(h *holding) {
	if !h.announced {
		return
	}
	h.announced = false
	m.emit(Unusable{Model: h.replica.model, Adapter: h.adapter})
	if !h.isAdapter() {
		for _, a := range h.replica.adapters {
			a.announced = false
		}
	}
	for _, d := range h.replica.demands {
		if !d.target.announced && !d.deadline.IsZero() {
			m.deadlines.set(d)
		}
	}
}

// isDroppable reports whether the record of an adapter carries no state.
func (m *Machine) isDroppable(a *holding) bool {
	return a.isUnused() && !m.now.Before(a.retryAt) && !m.now.Before(a.wantedUntil)
}
