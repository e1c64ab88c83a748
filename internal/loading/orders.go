package loading

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// barrierRetry is the time until the next try of a barrier that failed, or of an unload that had no effect.
const barrierRetry = time.Second

// canOrder reports whether orders may be given at all.
//
// Where the engine ignores fencing numbers an order that a predecessor left in flight may arrive until the end of its
// life, whatever this agent has ordered since: until then none is given. And without a read of the table there is no
// fencing number above all of the predecessors'.
func (m *Machine) canOrder() bool {
	if !m.slots.read || !m.engine.known || m.engine.unanswered > 0 {
		return false
	}
	if !m.options.ChecksFencing && !m.spent(&m.predecessor, m.now) {
		return false
	}
	if _, ok := m.fence.next(); !ok {
		m.readRows()
		return false
	}
	return true
}

// canLoad reports whether loads may be ordered: also no order of a predecessor can take memory any more, and what its
// orders did was read.
func (m *Machine) canLoad() bool { return !m.leaving && m.engine.clear && m.canOrder() }

// mayOrder reports whether an order may be given for a holding for which none is in flight. One of unknown result would
// be in flight at the same time, unless the engine refuses it after this one.
func (m *Machine) mayOrder(h *holding) bool {
	return m.options.ChecksFencing && !h.isAdapter() || !m.liveDoubt(h)
}

// readRows asks for a read of the table.
func (m *Machine) readRows() {
	if m.slots.asked || m.now.Before(m.slots.askAt) {
		return
	}
	m.slots.asked = true
	m.slots.askAt = m.now.Add(rowsInterval)
	m.emit(ReadRows{})
}

// give gives an order.
func (m *Machine) give(h *holding, kind endpoint.OrderKind, bytes int64) *order {
	fence := m.fence.take()
	o := &order{
		Order: endpoint.Order{
			ID:          m.options.Engine + "/" + strconv.FormatUint(fence, 10),
			Kind:        kind,
			Model:       h.replica.model,
			Adapter:     h.adapter,
			Fence:       fence,
			MemoryBytes: bytes,
		},
		holding:     h,
		incarnation: m.engine.incarnation,
		sentAt:      m.now,
		held:        h.state,
	}
	h.order = o
	h.shown = shownNothing
	m.orders[o.ID] = o
	m.touch(h.replica)
	return o
}

// giveLoad orders a load and takes its memory into the ledger.
func (m *Machine) giveLoad(h *holding, fromStore bool) {
	size := m.sizeOf(h)
	kind := endpoint.OrderLoad
	if h.isAdapter() {
		kind = endpoint.OrderLoadAdapter
	}
	o := m.give(h, kind, size.bytes)
	o.fromStore = fromStore
	o.permit = m.usePermit(h)
	h.state = loading
	h.bytes = max(h.bytes, size.bytes)
	h.kvFloor = max(h.kvFloor, size.kvFloor)
	m.emit(GiveOrder{Order: o.Order, FromStore: fromStore})
}

// giveUnload orders an unload. No request may start from here on.
func (m *Machine) giveUnload(h *holding) {
	m.withdraw(h)
	kind := endpoint.OrderUnload
	if h.isAdapter() {
		kind = endpoint.OrderUnloadAdapter
	}
	o := m.give(h, kind, 0)
	h.state = unloading
	m.emit(GiveOrder{Order: o.Order})
}

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

// barrier gives the first order to an engine that checks fencing numbers: the unload of something that it does not
// hold. Once that is carried out, no order that a predecessor left in flight can take effect, and a read shows all that
// did. Without it such a load could arrive between this agent's first loads and overcommit the engine's memory.
func (m *Machine) barrier() {
	if !m.options.ChecksFencing || m.engine.clear || m.over(&m.predecessor, m.now, m.step) {
		return
	}
	if m.barrierOrder != nil && m.orders[m.barrierOrder.ID] != nil && !m.barrierOrder.unknown {
		return
	}
	if m.now.Before(m.engine.barrierAt) || !m.canOrder() {
		return
	}
	if r := m.barrierTarget(); r != nil {
		m.engine.barrierAt = m.now.Add(barrierRetry)
		m.giveUnload(&r.holding)
		m.barrierOrder = r.order
	}
}

// barrierTarget chooses a model version that the engine does not hold, if possible one that it is not to hold.
func (m *Machine) barrierTarget() *replica {
	var target *replica
	for model := range m.models {
		r := m.replica(model)
		if r.state != absent || r.running > 0 || r.adapterOrder() || !m.mayOrder(&r.holding) {
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
