package loading

import (
	"strconv"
	"time"

	"balsamsail/internal/endpoint"
)

// barrierRetry is the time until the next try of a barrier that failed, or of an unload that had no effect.
const barrierRetry = time.Second

// canOrder reports whether orders may be given at all, and asks for a higher table revision when the fencing numbers are
// used up.
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
