package loading

import (
	"strconv"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// farDeadline is the deadline told for loads that no request waits for.
const farDeadline = time.Hour

// leastAskInterval is the least time between two questions for the same permit.
const leastAskInterval = 50 * time.Millisecond

// permit is what a load knows of the weight store's budget. A permit only keeps the store from slowing down: when none
// comes in time, the load starts without one, at a time that is not the same for all that wait in vain.
type permit struct {
	// id is empty while no permit is asked for.
	id      string
	given   bool
	expires time.Time
	// startAt is when the load starts without a permit, and askAt when the permit is asked for again.
	startAt, askAt time.Time
}

// permitted reports whether a load may start as far as the weight store is concerned, and asks for a permit if need be.
func (m *Machine) permitted(h *holding) bool {
	if m.isCached(h) || m.options.PermitPatience <= 0 {
		return true
	}
	p := &h.permit
	if p.id == "" {
		p.id = m.newPermitID()
		p.startAt = m.now.Add(m.jitter(m.options.PermitPatience))
		m.askPermit(h)
	}
	if p.given && !m.now.Before(p.expires) {
		m.endPermit(p.id)
		delete(m.permits, p.id)
		p.id = m.newPermitID()
		p.given = false
		m.askPermit(h)
	}
	if p.given || !m.now.Before(p.startAt) {
		return true
	}
	if !m.now.Before(p.askAt) {
		m.askPermit(h)
	}
	m.wakeAt(h.replica, p.startAt)
	m.wakeAt(h.replica, p.askAt)
	return false
}

// jitter returns a time between d and twice d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.random.Float64()*float64(d))
}

func (m *Machine) newPermitID() string {
	m.permitCount++
	return m.permitPrefix + strconv.FormatUint(m.permitCount, 10)
}

// askPermit asks for a permit, or asks again under the same identifier, which the issuer takes as the same request.
func (m *Machine) askPermit(h *holding) {
	h.permit.askAt = m.now.Add(m.options.PermitPatience / 2)
	deadline := h.replica.deadline()
	if deadline.IsZero() {
		deadline = m.now.Add(farDeadline)
	}
	kind := wirepb.PermitKind_WEIGHTS
	if h.isAdapter() {
		kind = wirepb.PermitKind_ADAPTER
	}
	m.permits[h.permit.id] = h
	m.emit(AskPermit{ID: h.permit.id, Kind: kind, Model: h.replica.model, Deadline: deadline})
}

// asking returns what asks for a permit under an identifier, or nil.
func (m *Machine) asking(id string) *holding {
	h := m.permits[id]
	if h == nil || h.permit.id != id {
		return nil
	}
	return h
}

// permitGiven takes in a permit. One that is not wanted any more is given back.
func (m *Machine) permitGiven(e PermitGiven) {
	h := m.asking(e.ID)
	if h == nil {
		if !m.permitInUse(e.ID) {
			m.emit(EndPermit{ID: e.ID})
		}
		return
	}
	h.permit.given = true
	h.permit.expires = e.Expires
	m.touch(h.replica)
}

// permitDenied takes in when to ask again. An issuer that answers is there, so the patience begins anew with each answer:
// counted from the first question, a long storm of wakes would start loads without permits and slow all of them.
func (m *Machine) permitDenied(e PermitDenied) {
	if h := m.asking(e.ID); h != nil && !h.permit.given {
		h.permit.askAt = later(e.RetryAt, m.now.Add(leastAskInterval))
		h.permit.startAt = m.extendedPatience(h, e.RetryAt)
		m.touch(h.replica)
	}
}

// extendedPatience returns until when a load waits for its permit after a denial: at most until the load can only just be
// done by its deadline, so that an issuer with a wrong view of the store holds no load for ever.
func (m *Machine) extendedPatience(h *holding, retryAt time.Time) time.Time {
	extended := retryAt.Add(m.jitter(m.options.PermitPatience))
	if deadline := h.replica.deadline(); !deadline.IsZero() {
		latest := deadline.Add(-m.expectedLoad(h))
		if extended.After(latest) {
			extended = latest
		}
	}
	return later(h.permit.startAt, extended)
}

// permitInUse reports whether a load that is in flight uses a permit.
func (m *Machine) permitInUse(id string) bool {
	for _, o := range m.orders {
		if o.permit.id == id && !o.unknown {
			return true
		}
	}
	return false
}

// usePermit moves a holding's permit to the load that starts. A load that starts without one gives up asking.
func (m *Machine) usePermit(h *holding) permit {
	p := h.permit
	h.permit = permit{}
	delete(m.permits, p.id)
	if p.given {
		return p
	}
	m.endPermit(p.id)
	return permit{}
}

// dropPermit gives up a permit, or the wish for one, of a load that is not wanted any more.
func (m *Machine) dropPermit(h *holding) {
	if h.permit.id == "" {
		return
	}
	m.endPermit(h.permit.id)
	delete(m.permits, h.permit.id)
	h.permit = permit{}
}

// endPermit emits that a permit is no longer used.
func (m *Machine) endPermit(id string) {
	if id != "" {
		m.emit(EndPermit{ID: id})
	}
}
