package loading

import (
	"strconv"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// defaultLoadDeadline is the deadline, relative to now, of loads that no request waits for.
const defaultLoadDeadline = time.Hour

// minPermitRetry is the minimum time between two requests for the same permit.
const minPermitRetry = 50 * time.Millisecond

// permit is a load's permit, or request for one, from the weight store's budget. Permits only protect the store from
// overload: if none arrives in time, the load starts without one, after a jittered wait so that such loads do not all
// start together.
type permit struct {
	// id is empty while no permit is requested.
	id      string
	granted bool
	expires time.Time
	// startAt is when the load starts without a permit, and retryAt when the permit is requested again.
	startAt, retryAt time.Time
}

// permitted reports whether a load may start under the weight store's budget, and requests a permit if it needs one.
func (m *Machine) permitted(h *holding) bool {
	if m.isCached(h) || m.options.PermitTimeout <= 0 {
		return true
	}
	p := &h.permit
	if p.id == "" {
		p.id = m.newPermitID()
		p.startAt = m.now.Add(m.jitter(m.options.PermitTimeout))
		m.askPermit(h)
	}
	if p.granted && !m.now.Before(p.expires) {
		m.endPermit(p.id)
		delete(m.permits, p.id)
		p.id = m.newPermitID()
		p.granted = false
		m.askPermit(h)
	}
	if p.granted || !m.now.Before(p.startAt) {
		return true
	}
	if !m.now.Before(p.retryAt) {
		m.askPermit(h)
	}
	m.wakeAt(h.replica, p.startAt)
	m.wakeAt(h.replica, p.retryAt)
	return false
}

// jitter returns a random time between d and 2d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.random.Float64()*float64(d))
}

func (m *Machine) newPermitID() string {
	m.permitCount++
	return m.permitPrefix + strconv.FormatUint(m.permitCount, 10)
}

// askPermit requests a permit. A repeated request with the same identifier is idempotent at the issuer.
func (m *Machine) askPermit(h *holding) {
	h.permit.retryAt = m.now.Add(m.options.PermitTimeout / 2)
	deadline := h.replica.deadline()
	if deadline.IsZero() {
		deadline = m.now.Add(defaultLoadDeadline)
	}
	kind := wirepb.PermitKind_WEIGHTS
	if h.isAdapter() {
		kind = wirepb.PermitKind_ADAPTER
	}
	m.permits[h.permit.id] = h
	m.emit(AskPermit{ID: h.permit.id, Kind: kind, Model: h.replica.model, Deadline: deadline})
}

// permitRequester returns the holding that waits for the permit with this identifier, or nil.
func (m *Machine) permitRequester(id string) *holding {
	h := m.permits[id]
	if h == nil || h.permit.id != id {
		return nil
	}
	return h
}

// permitGranted handles a permit. One that is no longer needed is returned.
func (m *Machine) permitGranted(e PermitGranted) {
	h := m.permitRequester(e.ID)
	if h == nil {
		if !m.permitInUse(e.ID) {
			m.emit(ReleasePermit{ID: e.ID})
		}
		return
	}
	h.permit.granted = true
	h.permit.expires = e.Expires
	m.markDirty(h.replica)
}

// permitDenied handles a denial. It restarts the wait for the issuer, which is evidently alive: if the wait counted
// from the first request, a long burst of cold starts would start loads without permits and slow down all of them.
func (m *Machine) permitDenied(e PermitDenied) {
	if h := m.permitRequester(e.ID); h != nil && !h.permit.granted {
		h.permit.retryAt = later(e.RetryAt, m.now.Add(minPermitRetry))
		h.permit.startAt = m.extendedPermitWait(h, e.RetryAt)
		m.markDirty(h.replica)
	}
}

// extendedPermitWait returns until when a load waits for its permit after a denial: at most until the latest start that
// meets its deadline, so that an issuer with a wrong view of the store cannot block a load forever.
func (m *Machine) extendedPermitWait(h *holding, retryAt time.Time) time.Time {
	extended := retryAt.Add(m.jitter(m.options.PermitTimeout))
	if deadline := h.replica.deadline(); !deadline.IsZero() {
		latest := deadline.Add(-m.expectedLoad(h))
		if extended.After(latest) {
			extended = latest
		}
	}
	return later(h.permit.startAt, extended)
}

// permitInUse reports whether a load in flight uses a permit.
func (m *Machine) permitInUse(id string) bool {
	for _, o := range m.orders {
		if o.permit.id == id && !o.unknown {
			return true
		}
	}
	return false
}

// usePermit moves a holding's permit to the load that starts. A load that starts without one cancels its request.
func (m *Machine) usePermit(h *holding) permit {
	p := h.permit
	h.permit = permit{}
	delete(m.permits, p.id)
	if p.granted {
		return p
	}
	m.endPermit(p.id)
	return permit{}
}

// dropPermit returns the permit, or cancels the permit request, of a load that is no longer wanted.
func (m *Machine) dropPermit(h *holding) {
	if h.permit.id == "" {
		return
	}
	m.endPermit(h.permit.id)
	delete(m.permits, h.permit.id)
	h.permit = permit{}
}

// endPermit reports that a permit is no longer used.
func (m *Machine) endPermit(id string) {
	if id != "" {
		m.emit(ReleasePermit{ID: id})
	}
}
