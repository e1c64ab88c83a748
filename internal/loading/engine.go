package loading

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

const (
	// pollInterval is the time between reads of the engine's state while part of it is unknown.
	pollInterval = 500 * time.Millisecond
	// minReadRetry and maxReadRetry bound the exponential backoff after a failed read.
	minReadRetry = 250 * time.Millisecond
	maxReadRetry = 5 * time.Second
	// readTimeout is the time after which a read without answer or failure is requested again.
	readTimeout = 30 * time.Second
	// maxFailedReads is the number of consecutive failed reads after which the engine counts as unreachable.
	maxFailedReads = 3
)

// engineView is the last known state of the engine, apart from the models and adapters that it holds.
type engineView struct {
	// known is set after the first successful read; incarnation is the one reported by the newest read.
	known       bool
	incarnation string
	memoryBytes int64
	// unattributedBytes is the used memory not accounted for by the listed models and adapters.
	unattributedBytes int64
	cached            map[string]string
	// cachedNames are the sorted keys of cached.
	cachedNames []string
	// readAt is when the newest successful read began.
	readAt time.Time
	// failedReads counts the failed reads since the last success.
	failedReads int
	// predecessorsDone is set when no order of a previous agent can still take effect and the state was read after
	// that.
	predecessorsDone bool
	// nextBarrierAt is when the next barrier order may be tried.
	nextBarrierAt time.Time
}

// engineReads tracks the reads of the engine's state.
//
// Reads run concurrently with orders. A read that began before an order was sent or ended may not reflect that order;
// treating it as the order's result would free memory that is in use. The machine therefore records the step and time
// at which it requested a read, has one read outstanding at a time, and applies the answer only to items that had no
// order since.
type engineReads struct {
	id uint64
	// outstanding is set until an answer arrives; step and startedAt belong to the first request for it.
	outstanding bool
	step        uint64
	startedAt   time.Time
	requestedAt time.Time
	// wanted requests a read as soon as none is outstanding; nextAt is when the next periodic read is due.
	wanted bool
	nextAt time.Time
}

// scheduleRead requests a read that begins after the current event.
func (m *Machine) scheduleRead() { m.reads.wanted = true }

// scheduleReadFrom requests a read that begins at the given time and step or later, unless the outstanding one does.
func (m *Machine) scheduleReadFrom(at time.Time, step uint64) {
	if !m.reads.outstanding || m.reads.startedAt.Before(at) || m.reads.step < step {
		m.scheduleRead()
	}
}

// issueRead emits a ReadEngine if one is due.
func (m *Machine) issueRead() {
	if m.reads.outstanding {
		if m.now.Sub(m.reads.requestedAt) >= readTimeout {
			m.emitRead()
		}
		return
	}
	if m.now.Before(m.reads.nextAt) && (!m.reads.wanted || m.engine.failedReads > 0) {
		return
	}
	m.reads.wanted = false
	m.reads.outstanding = true
	m.reads.step = m.step
	m.reads.startedAt = m.now
	m.emitRead()
}

func (m *Machine) emitRead() {
	m.reads.id++
	m.reads.requestedAt = m.now
	m.emit(ReadEngine{ID: m.reads.id})
}

// finishRead ends the outstanding read; it returns false if the answer or failure belongs to another read.
func (m *Machine) finishRead(id uint64) bool {
	if !m.reads.outstanding || id != 0 && id != m.reads.id {
		return false
	}
	m.reads.outstanding = false
	return true
}

// engineReadFailed handles a failed read.
func (m *Machine) engineReadFailed(e EngineReadFailed) {
	if !m.finishRead(e.ID) {
		return
	}
	m.engine.failedReads++
	shift := min(m.engine.failedReads-1, 5)
	m.reads.nextAt = m.now.Add(min(minReadRetry<<shift, maxReadRetry))
	if m.engine.failedReads == maxFailedReads {
		m.markAllDirty()
	}
}

// unreachable reports whether the last reads of the engine's state have all failed.
func (m *Machine) unreachable() bool { return m.engine.failedReads >= maxFailedReads }

// engineRead handles a successful read of the engine's state.
func (m *Machine) engineRead(e EngineRead) {
	if !m.finishRead(e.ID) {
		return
	}
	if m.engine.known && e.State.Incarnation != m.engine.incarnation {
		m.engineRestarted()
	}
	m.engine.known = true
	m.engine.failedReads = 0
	m.engine.incarnation = e.State.Incarnation
	m.engine.memoryBytes = e.State.MemoryBytes
	m.engine.readAt = m.reads.startedAt
	m.engine.setCached(e.State.Cached)
	if m.options.ChecksFencing {
		m.fence.observeFence(e.State.HighestFencingToken)
	}
	m.applyListing(e.State.Models)
	m.updateUnattributed(e.State)
	if m.ineffective(&m.predecessor, m.reads.startedAt, m.reads.step) {
		m.engine.predecessorsDone = true
	}
	m.reads.nextAt = m.now.Add(m.options.StateInterval)
	m.markAllDirty()
}

// engineRestarted discards the state of the previous incarnation. Orders that were in flight stay: they may reach the
// new process, which may have lost the fencing tokens.
func (m *Machine) engineRestarted() {
	m.accepted = accepted{}
	m.engine.predecessorsDone = false
	m.engine.unattributedBytes = 0
	for _, r := range m.replicas {
		m.announceUnusable(&r.holding)
		m.invalidateHolding(&r.holding)
		for _, a := range r.adapters {
			m.invalidateHolding(a)
		}
	}
}

// invalidateHolding marks what the previous incarnation held as unknown until the read that detected the restart is
// applied. An order that ended after that read began may have been carried out by either incarnation, which needs
// another read.
func (m *Machine) invalidateHolding(h *holding) {
	h.observed = observedNothing
	if h.order != nil {
		return
	}
	if m.unresolvedLoadPending(h) {
		m.restoreUnresolved(h)
	}
	if h.state == loaded {
		h.state = unknown
	}
	if m.reads.step < h.orderEndedStep {
		m.scheduleRead()
	}
}

// restoreUnresolved reserves memory again for loads of unknown outcome. They had been ruled out by a fencing token that
// the restarted engine may have lost.
func (m *Machine) restoreUnresolved(h *holding) {
	m.setUnknown(h)
	for _, o := range h.unresolved {
		if o.isLoad() {
			h.bytes = max(h.bytes, o.MemoryBytes)
		}
	}
}

// setCached records which checkpoints are cached on the engine's host.
func (v *engineView) setCached(cached map[string]string) {
	v.cached = cached
	v.cachedNames = sortedKeys(cached)
}

// updateUnattributed computes the memory that the engine uses for anything but the listed models and adapters. An
// adapter load in flight may use memory without being listed; as long as that alone explains a difference, the previous
// value stays.
func (m *Machine) updateUnattributed(s endpoint.EngineState) {
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
	unattributed := max(0, s.UsedBytes-explained)
	if previous := m.engine.unattributedBytes; previous <= unattributed && previous >= unattributed-inFlight {
		return
	}
	m.engine.unattributedBytes = unattributed
}
