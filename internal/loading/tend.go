package loading

import (
	"cmp"
	"slices"
	"time"
)

// touch marks a replica to be looked at before the step ends.
func (m *Machine) touch(r *replica) {
	if !r.dirty {
		r.dirty = true
		m.dirty = append(m.dirty, r)
	}
}

// touchAll marks all replicas.
func (m *Machine) touchAll() {
	for _, r := range m.replicas {
		m.touch(r)
	}
}

// wakeAt makes sure that a replica is looked at at a time.
func (m *Machine) wakeAt(r *replica, at time.Time) {
	if at.IsZero() || r.place != notPlaced && !at.Before(r.due) {
		return
	}
	r.due = at
	m.timers.set(r)
}

// tendDirty looks at all marked replicas, in the order of their names so that the actions do not depend on a map's.
func (m *Machine) tendDirty() {
	for len(m.dirty) > 0 {
		dirty := m.dirty
		m.dirty = nil
		slices.SortFunc(dirty, func(a, b *replica) int { return cmp.Compare(a.model, b.model) })
		for _, r := range dirty {
			r.dirty = false
			m.tend(r)
		}
	}
}

// tend does for one replica what its state, its slot and its waiting requests ask for.
func (m *Machine) tend(r *replica) {
	m.tendLost(r)
	m.tendSlot(r)
	m.tendUnknown(r)
	m.tendIdle(r)
	m.announceAll(r)
	m.updateWanting(&r.holding)
	r.adapters = slices.DeleteFunc(r.adapters, func(a *holding) bool {
		m.updateWanting(a)
		return m.isForgettable(a)
	})
	for _, at := range []time.Time{r.retryAt, r.warmAt, r.wishUntil} {
		if m.now.Before(at) {
			m.wakeAt(r, at)
		}
	}
}

// tendLost refuses what waits while the engine does not answer or the endpoint leaves.
func (m *Machine) tendLost(r *replica) {
	if m.leaving {
		m.refuseWaiting(&r.holding, refusalLeaving, 0)
	}
	if m.unreachable() {
		m.refuseWaiting(&r.holding, refusalUnreachable, retrySoon)
	}
}

// tendSlot gives back a slot that was taken away: no new request, then the unload, then the confirmation.
func (m *Machine) tendSlot(r *replica) {
	if m.slots.knowledge(r.model) != slotLost {
		return
	}
	m.withdraw(&r.holding)
	m.refuseWaiting(&r.holding, refusalNotGranted, retrySoon)
	r.wishUntil = time.Time{}
	g := m.slots.grant(r.model)
	if r.state != absent && r.state != unloading {
		g.owed = true
	}
	if r.state == loaded || m.mayReissue(&r.holding) {
		if !m.tryUnload(&r.holding) {
			m.wakeAt(r, m.now.Add(pollInterval))
		}
		return
	}
	if g.owed && r.state == absent && r.order == nil {
		m.confirmRelease(r, g)
	}
}

// confirmRelease confirms a release once it is certain that the engine holds nothing of the model version and that no
// load order, of this agent or of a predecessor, can take effect any more.
//
// A fencing number is no proof here. An engine that restarts may have forgotten the numbers it has seen, and would then
// carry out an order that is still on its way; what was confirmed cannot be taken back, because the slot may be granted
// elsewhere. So the confirmation waits for the orders' lives to end, and for a read of the state that began after that.
func (m *Machine) confirmRelease(r *replica, g *grant) {
	certain := m.spentAt(&m.predecessor)
	for _, o := range r.doubts {
		if o.isLoad() {
			certain = later(certain, m.spentAt(o))
		}
	}
	if m.now.Before(certain) {
		m.wakeAt(r, certain)
		return
	}
	if r.shown != shownAbsent || r.shownAt.Before(certain) || m.engine.unanswered > 0 {
		m.wantReadFrom(certain, r.settled)
		return
	}
	g.owed = false
	if g.slot == nil {
		g.revision = max(g.revision, m.slots.revision)
	}
	m.emit(ConfirmRelease{Model: r.model, Revision: g.revision})
}

// tendUnknown looks after what is not known: it reads the engine's state again, has the engine drop what nobody wants,
// and refuses requests that would wait for the end of an order's life.
func (m *Machine) tendUnknown(r *replica) {
	unsettled := r.state == unknown
	for _, a := range r.adapters {
		unsettled = unsettled || a.state == unknown
	}
	if unsettled {
		m.reads.next = earlier(m.reads.next, m.now.Add(pollInterval))
	}
	if r.state != unknown || r.order != nil || r.shown == shownNothing || r.shown == shownBetween {
		return
	}
	if !m.mayOrder(&r.holding) {
		m.refuseWaiting(&r.holding, refusalLoadUnknown, max(retrySoon, m.doubtsEnd(&r.holding).Sub(m.now)))
		return
	}
	if m.mayReissue(&r.holding) && m.granted(r) && !m.wantsLoad(&r.holding) {
		m.tryUnload(&r.holding)
	}
}

// usable reports whether requests of a target may run.
func (m *Machine) usable(h *holding) bool {
	r := h.replica
	return h.state == loaded && r.state == loaded && r.order == nil &&
		!m.leaving && !m.unreachable() && m.granted(r)
}

// announceAll tells what became usable and what no longer is, the model version before its adapters.
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
		m.withdraw(h)
	}
}

// withdraw tells that no further request may start on a holding; a model version takes its adapters along. The requests
// that wait are watched for their deadlines again.
func (m *Machine) withdraw(h *holding) {
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

// isForgettable reports whether there is nothing to know of an adapter.
func (m *Machine) isForgettable(a *holding) bool {
	return a.isBlank() && !m.now.Before(a.retryAt) && !m.now.Before(a.wishUntil)
}
