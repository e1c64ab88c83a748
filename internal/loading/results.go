package loading

import (
	"slices"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// orderDone takes in the result of an order. A result that was taken in already is ignored.
func (m *Machine) orderDone(e OrderDone) {
	o := m.orders[e.ID]
	if o == nil {
		return
	}
	h := o.holding
	result := outcomeOf(o, e.Err)
	if result == outcomeUnknown && o.unknown {
		return
	}
	h.settled = m.step
	m.touch(h.replica)
	if o.unknown {
		m.learnLate(o)
		return
	}
	h.order = nil
	if m.overtaken(o, e.Err) {
		delete(m.orders, o.ID)
		m.giveAgain(o)
		return
	}
	m.endPermit(o.permit.id)
	if result == outcomeUnknown {
		m.doubt(o)
		return
	}
	delete(m.orders, o.ID)
	if result == outcomeDone && o.incarnation == m.engine.incarnation {
		m.accept(o)
		m.carriedOut(o)
		return
	}
	if result == outcomeDone {
		// The engine has restarted since: whether this was before or after, only a read can tell.
		h.state = unknown
		m.wantRead()
		return
	}
	m.withoutEffect(o, e.Err)
}

// overtaken reports whether the engine refused an order only because a later one of this agent reached it first.
func (m *Machine) overtaken(o *order, err error) bool {
	return errors.Is(err, endpoint.ErrFenced) && o.Fence < m.fence.last && o.incarnation == m.engine.incarnation
}

// giveAgain returns to the state before an order that was overtaken, with the permit that the load had. It is no
// failure: what asked for the order asks for it again.
func (m *Machine) giveAgain(o *order) {
	h := o.holding
	h.state = o.held
	if o.held == absent {
		m.setAbsent(h)
	}
	if o.held == unknown {
		m.wantRead()
	}
	if !o.isLoad() {
		return
	}
	h.permit = o.permit
	if o.permit.id != "" {
		m.permits[o.permit.id] = h
	}
}

// learnLate takes in a definite result of an order that had been given up.
func (m *Machine) learnLate(o *order) {
	delete(m.orders, o.ID)
	o.holding.doubts = slices.DeleteFunc(o.holding.doubts, func(d *order) bool { return d == o })
	m.wantRead()
}

// doubt notes that an order ended without a definite result. Its memory stays taken.
func (m *Machine) doubt(o *order) {
	h := o.holding
	o.unknown = true
	o.endedAt = m.now
	h.doubts = append(h.doubts, o)
	h.state = unknown
	m.wantRead()
	if !o.isLoad() {
		h.unloadAt = m.now.Add(barrierRetry)
		return
	}
	h.failures++
	if h.failures > 1 {
		m.backOff(h)
		m.refuseWaiting(h, refusalLoadUnknown, h.retryAt.Sub(m.now))
	}
}

// accept notes that the engine carried out an order, so that it refuses all with lower fencing numbers from now on.
func (m *Machine) accept(o *order) {
	if o.Fence <= m.accepted.fence {
		return
	}
	m.accepted = accepted{fence: o.Fence, step: m.step}
	if !m.engine.clear {
		m.wantRead()
	}
}

// carriedOut takes in that the engine carried out an order.
func (m *Machine) carriedOut(o *order) {
	h := o.holding
	if o.isLoad() {
		h.failures = 0
		h.replica.crowded = 0
		m.observeLoad(o)
		m.setLoaded(h)
		return
	}
	h.failures = 0
	if m.liveLoadDoubt(h) {
		h.state = unknown
		m.wantRead()
		return
	}
	m.setAbsent(h)
	if h.isAdapter() {
		return
	}
	for _, a := range h.replica.adapters {
		if a.state == loaded {
			m.setAbsent(a)
		}
	}
}

// withoutEffect takes in that an order had no effect.
func (m *Machine) withoutEffect(o *order, err error) {
	h := o.holding
	h.state = o.held
	restarted := o.incarnation != m.engine.incarnation
	if o.held == loaded && restarted || o.held == absent && m.liveLoadDoubt(h) {
		h.state = unknown
	}
	if h.state == absent {
		m.setAbsent(h)
	}
	if h.state == unknown || errors.Is(err, endpoint.ErrNoMemory) || errors.Is(err, endpoint.ErrFenced) {
		m.wantRead()
	}
	if errors.Is(err, endpoint.ErrFenced) {
		m.readRows()
	}
	if o.isLoad() {
		m.loadFailed(h, err)
		return
	}
	h.unloadAt = m.now.Add(barrierRetry)
}
