package loading

import (
	"strconv"
	"time"

	"balsamsail/internal/endpoint"
)

// orderRetry is the delay before a failed barrier order, or an unload without effect, is tried again.
const orderRetry = time.Second

// canOrder reports whether orders may be sent, and requests a read of the table if the fencing tokens of the current
// revision are used up.
//
// If the engine ignores fencing tokens, an order that a previous agent left in flight may arrive until its lifetime
// ends, regardless of later orders, so nothing is ordered before that. Without a read of the table there is no fencing
// token above all those of previous agents.
func (m *Machine) canOrder() bool {
	if !m.slots.read || !m.engine.known || m.engine.failedReads > 0 {
		return false
	}
	if !m.options.ChecksFencing && !m.expired(&m.predecessor, m.now) {
		return false
	}
	if _, ok := m.fence.next(); !ok {
		m.readRows()
		return false
	}
	return true
}

// canLoad reports whether loads may be ordered. In addition to canOrder, no order of a previous agent can still take
// memory, and the effects of those orders have been read.
func (m *Machine) canLoad() bool { return !m.leaving && m.engine.predecessorsDone && m.canOrder() }

// mayOrder reports whether an order may be sent for a holding that has none in flight. An earlier order of unknown
// outcome could still take effect concurrently, unless the engine rejects it after this one.
func (m *Machine) mayOrder(h *holding) bool {
	return m.options.ChecksFencing && !h.isAdapter() || !m.unresolvedPending(h)
}

// readRows requests a read of the table, at most once per rowsInterval.
func (m *Machine) readRows() {
	if m.slots.readPending || m.now.Before(m.slots.nextReadAt) {
		return
	}
	m.slots.readPending = true
	m.slots.nextReadAt = m.now.Add(rowsInterval)
	m.emit(ReadRows{})
}

// newOrder creates an order and records it as in flight.
func (m *Machine) newOrder(h *holding, kind endpoint.OrderKind, bytes int64) *order {
	fence := m.fence.take()
	o := &order{
		Order: endpoint.Order{
			ID:           m.options.Engine + "/" + strconv.FormatUint(fence, 10),
			Kind:         kind,
			Model:        h.replica.model,
			Adapter:      h.adapter,
			FencingToken: fence,
			MemoryBytes:  bytes,
		},
		holding:     h,
		incarnation: m.engine.incarnation,
		sentAt:      m.now,
		prevState:   h.state,
	}
	h.order = o
	h.observed = observedNothing
	m.orders[o.ID] = o
	m.markDirty(h.replica)
	return o
}

// orderLoad orders a load and reserves its memory in the ledger.
func (m *Machine) orderLoad(h *holding, fromStore bool) {
	size := m.sizeOf(h)
	kind := endpoint.OrderLoad
	if h.isAdapter() {
		kind = endpoint.OrderLoadAdapter
	}
	o := m.newOrder(h, kind, size.bytes)
	o.fromStore = fromStore
	o.permit = m.usePermit(h)
	h.state = loading
	h.bytes = max(h.bytes, size.bytes)
	h.kvFloor = max(h.kvFloor, size.kvFloor)
	m.emit(SendOrder{Order: o.Order, FromStore: fromStore})
}

// orderUnload orders an unload. No request may start after this.
func (m *Machine) orderUnload(h *holding) {
	m.announceUnusable(h)
	kind := endpoint.OrderUnload
	if h.isAdapter() {
		kind = endpoint.OrderUnloadAdapter
	}
	o := m.newOrder(h, kind, 0)
	h.state = unloading
	m.emit(SendOrder{Order: o.Order})
}
