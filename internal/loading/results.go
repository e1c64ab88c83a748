package loading

import (
	"slices"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// orderDone handles the result of an order. Duplicate results are ignored.
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
	h.orderEndedStep = m.step
	m.markDirty(h.replica)
	if o.unknown {
		m.resolveLate(o)
		return
	}
	h.order = nil
	if m.overtaken(o, e.Err) {
		delete(m.orders, o.ID)
		m.undoOvertaken(o)
		return
	}
	m.endPermit(o.permit.id)
	if result == outcomeUnknown {
		m.markUnresolved(o)
		return
	}
	delete(m.orders, o.ID)
	if result == outcomeDone && o.incarnation == m.engine.incarnation {
		m.accept(o)
		m.orderApplied(o)
		return
	}
	if result == outcomeDone {
		// The engine has restarted since: only a read can show whether the order was carried out before or after.
		h.state = unknown
		m.scheduleRead()
		return
	}
	m.orderHadNoEffect(o, e.Err)
}

// overtaken reports whether the engine rejected an order only because a later one of this agent arrived first.
func (m *Machine) overtaken(o *order, err error) bool {
	return errors.Is(err, endpoint.ErrFenced) && o.FencingToken < m.fence.last && o.incarnation == m.engine.incarnation
}

// undoOvertaken restores the state before an order that was overtaken, including the permit of a load. This does not
// count as a failure: the condition that caused the order causes it again.
func (m *Machine) undoOvertaken(o *order) {
	h := o.holding
	h.state = o.prevState
	if o.prevState == absent {
		m.setAbsent(h)
	}
	if o.prevState == unknown {
		m.scheduleRead()
	}
	if !o.isLoad() {
		return
	}
	h.permit = o.permit
	if o.permit.id != "" {
		m.permits[o.permit.id] = h
	}
}

// resolveLate handles a definite result of an order whose outcome was unknown until now.
func (m *Machine) resolveLate(o *order) {
	delete(m.orders, o.ID)
	o.holding.unresolved = slices.DeleteFunc(o.holding.unresolved, func(d *order) bool { return d == o })
	m.scheduleRead()
}

// markUnresolved records that an order ended without a definite result. Its memory stays reserved.
func (m *Machine) markUnresolved(o *order) {
	h := o.holding
	o.unknown = true
	o.endedAt = m.now
	h.unresolved = append(h.unresolved, o)
	h.state = unknown
	m.scheduleRead()
	if !o.isLoad() {
		h.unloadAt = m.now.Add(orderRetry)
		return
	}
	h.failures++
	if h.failures > 1 {
		m.backOff(h)
		m.refuseWaiting(h, refusalLoadUnknown, h.retryAt.Sub(m.now))
	}
}

// accept records that the engine carried out an order, after which it rejects all with lower fencing tokens.
func (m *Machine) accept(o *order) {
	if o.FencingToken <= m.accepted.fence {
		return
	}
	m.accepted = accepted{fence: o.FencingToken, step: m.step}
	if !m.engine.predecessorsDone {
		m.scheduleRead()
	}
}

// orderApplied handles an order that the engine carried out.
func (m *Machine) orderApplied(o *order) {
	h := o.holding
	if o.isLoad() {
		h.failures = 0
		h.replica.noRoomCount = 0
		m.observeLoad(o)
		m.setLoaded(h)
		return
	}
	h.failures = 0
	if m.unresolvedLoadPending(h) {
		h.state = unknown
		m.scheduleRead()
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

// orderHadNoEffect handles an order that had no effect.
func (m *Machine) orderHadNoEffect(o *order, err error) {
	h := o.holding
	h.state = o.prevState
	restarted := o.incarnation != m.engine.incarnation
	if o.prevState == loaded && restarted || o.prevState == absent && m.unresolvedLoadPending(h) {
		h.state = unknown
	}
	if h.state == absent {
		m.setAbsent(h)
	}
	if h.state == unknown || errors.Is(err, endpoint.ErrNoMemory) || errors.Is(err, endpoint.ErrFenced) {
		m.scheduleRead()
	}
	if errors.Is(err, endpoint.ErrFenced) {
		m.readRows()
	}
	if o.isLoad() {
		m.loadFailed(h, err)
		return
	}
	h.unloadAt = m.now.Add(orderRetry)
}
