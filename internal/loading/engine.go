package loading

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

const (
	// pollInterval is the time between reads of the engine's state while something is unknown.
	pollInterval = 500 * time.Millisecond
	// lostRetry and maxLostRetry bound the time until the next read after one that was not answered.
	lostRetry    = 250 * time.Millisecond
	maxLostRetry = 5 * time.Second
	// readPatience is when a read that brought neither answer nor failure is asked for again.
	readPatience = 30 * time.Second
	// lostLimit is how many unanswered reads in a row make the engine count as unreachable.
	lostLimit = 3
)

// engineView is what the machine knows of the engine beside what it holds.
type engineView struct {
	// known is set once the state was read; incarnation is that of the newest read.
	known       bool
	incarnation string
	memoryBytes int64
	// baseBytes is the used memory that the listed models and adapters do not explain.
	baseBytes int64
	cached    map[string]string
	// cachedNames are the sorted keys of cached.
	cachedNames []string
	// readAt is when the newest answered read began.
	readAt time.Time
	// unanswered counts the reads that failed since the last answer.
	unanswered int
	// clear is set when no order of a predecessor can take effect any more and the state was read since.
	clear bool
	// barrierAt is when the next barrier may be tried.
	barrierAt time.Time
}

// engineReads correlates the reads of the engine's state with the orders.
//
// The shell reads while orders come and go. A read that began before an order was given or ended may show the memory
// without that order's effect; to take it as the order's result would free memory that is in use. So the machine notes
// the step and time at which it asked for a read, has one outstanding at a time, and believes an answer only of what no
// order has touched since.
type engineReads struct {
	id uint64
	// outstanding is set until an answer comes; step and at are those of the first asking.
	outstanding bool
	step        uint64
	at          time.Time
	askedAt     time.Time
	// wanted asks for a read as soon as none is outstanding; next is when one is due without a cause.
	wanted bool
	next   time.Time
}

// wantRead asks for a read that begins after this event.
func (m *Machine) wantRead() { m.reads.wanted = true }

// wantReadFrom asks for a read that begins at a time and step or later, unless the outstanding one does.
func (m *Machine) wantReadFrom(at time.Time, step uint64) {
	if !m.reads.outstanding || m.reads.at.Before(at) || m.reads.step < step {
		m.wantRead()
	}
}

// askReads emits a ReadEngine when one is due.
func (m *Machine) askReads() {
	if m.reads.outstanding {
		if m.now.Sub(m.reads.askedAt) >= readPatience {
			m.emitRead()
		}
		return
	}
	if m.now.Before(m.reads.next) && (!m.reads.wanted || m.engine.unanswered > 0) {
		return
	}
	m.reads.wanted = false
	m.reads.outstanding = true
	m.reads.step = m.step
	m.reads.at = m.now
	m.emitRead()
}

func (m *Machine) emitRead() {
	m.reads.id++
	m.reads.askedAt = m.now
	m.emit(ReadEngine{ID: m.reads.id})
}

// readEnded takes an answer or failure; it reports false for one that belongs to no outstanding read.
func (m *Machine) readEnded(id uint64) bool {
	if !m.reads.outstanding || id != 0 && id != m.reads.id {
		return false
	}
	m.reads.outstanding = false
	return true
}

// engineLost takes in that a read was not answered.
func (m *Machine) engineLost(e EngineLost) {
	if !m.readEnded(e.ID) {
		return
	}
	m.engine.unanswered++
	shift := min(m.engine.unanswered-1, 5)
	m.reads.next = m.now.Add(min(lostRetry<<shift, maxLostRetry))
	if m.engine.unanswered == lostLimit {
		m.touchAll()
	}
}

// unreachable reports whether the engine has not answered for some time.
func (m *Machine) unreachable() bool { return m.engine.unanswered >= lostLimit }

// engineRead takes in the engine's state.
func (m *Machine) engineRead(e EngineRead) {
	if !m.readEnded(e.ID) {
		return
	}
	if m.engine.known && e.State.Incarnation != m.engine.incarnation {
		m.engineRestarted()
	}
	m.engine.known = true
	m.engine.unanswered = 0
	m.engine.incarnation = e.State.Incarnation
	m.engine.memoryBytes = e.State.MemoryBytes
	m.engine.readAt = m.reads.at
	m.engine.setCached(e.State.Cached)
	if m.options.ChecksFencing {
		m.fence.observeFence(e.State.HighestFence)
	}
	m.compare(e.State.Models)
	m.measureBase(e.State)
	if m.over(&m.predecessor, m.reads.at, m.reads.step) {
		m.engine.clear = true
	}
	m.reads.next = m.now.Add(m.options.StateInterval)
	m.touchAll()
}

// engineRestarted forgets all that the former incarnation held. Orders that were in flight to it stay: they may reach
// the new one, which knows no fencing number yet.
func (m *Machine) engineRestarted() {
	m.accepted = accepted{}
	m.engine.clear = false
	m.engine.baseBytes = 0
	for _, r := range m.replicas {
		m.withdraw(&r.holding)
		m.holdingLostEngine(&r.holding)
		for _, a := range r.adapters {
			m.holdingLostEngine(a)
		}
	}
}

// holdingLostEngine makes what the former incarnation held unknown, for the read that told of the restart to settle. An
// order that ended after that read began may have been carried out by either incarnation; then the next read settles it.
func (m *Machine) holdingLostEngine(h *holding) {
	h.shown = shownNothing
	if h.order != nil {
		return
	}
	if m.liveLoadDoubt(h) {
		m.revive(h)
	}
	if h.state == loaded {
		h.state = unknown
	}
	if m.reads.step < h.settled {
		m.wantRead()
	}
}

// revive counts again what orders of unknown result may load, though it had been settled by a fencing number that the
// engine has now forgotten.
func (m *Machine) revive(h *holding) {
	m.setUnknown(h)
	for _, o := range h.doubts {
		if o.isLoad() {
			h.bytes = max(h.bytes, o.MemoryBytes)
		}
	}
}

// setCached takes in which checkpoints are on the engine's host.
func (v *engineView) setCached(cached map[string]string) {
	v.cached = cached
	v.cachedNames = sortedKeys(cached)
}

// measureBase works out what the engine uses beside the models and adapters that it lists. A load of an adapter that is
// in flight may be part of what is used without being listed; as long as that alone explains a change, the former
// figure stands.
func (m *Machine) measureBase(s endpoint.EngineState) {
	explained, inFlight := int64(0), int64(0)
	for _, listed := range s.Models {
		explained += listed.MemoryBytes
		r := m.replica(listed.Model)
		for _, a := range r.adapters {
			if slices.Contains(listed.Adapters, a.adapter) {
				explained += a.bytes
			} else if a.state != absent {
				inFlight += a.bytes
			}
		}
	}
	most := max(0, s.UsedBytes-explained)
	if former := m.engine.baseBytes; former <= most && former >= most-inFlight {
		return
	}
	m.engine.baseBytes = most
}
