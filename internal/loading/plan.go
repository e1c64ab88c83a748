package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// wantsLoad reports whether a holding should be loaded and is neither loaded nor being loaded.
func (m *Machine) wantsLoad(h *holding) bool {
	if m.leaving || h.state != absent && !m.mayReissue(h) {
		return false
	}
	r := h.replica
	if !m.slots.read || !m.granted(r) || !m.isDeclared(h) || m.now.Before(h.retryAt) {
		return false
	}
	if h.isAdapter() && (r.state != loaded || r.order != nil) || !h.isAdapter() && r.adapterOrderInFlight() {
		return false
	}
	return h.waiting > 0 || m.now.Before(h.wantedUntil) || !h.isAdapter() && m.warm(r) && !m.now.Before(r.warmRetryAt)
}

// mayReissue reports whether a holding in an unknown state may be ordered again: the engine rejects the earlier order
// once it has accepted the new one, and its state shows no load or unload in progress.
func (m *Machine) mayReissue(h *holding) bool {
	return h.state == unknown && m.options.ChecksFencing && !h.isAdapter() &&
		(h.observed == observedAbsent || h.observed == observedLoaded)
}

// isDeclared reports whether a model version, or an adapter of it, is declared.
func (m *Machine) isDeclared(h *holding) bool {
	if h.isAdapter() {
		return m.adapters[h.adapter].Model == h.replica.model
	}
	_, ok := m.models[h.replica.model]
	return ok
}

// updateWanted adds a holding to the set of wanted loads or removes it.
func (m *Machine) updateWanted(h *holding) {
	if m.wantsLoad(h) {
		m.wanted[h] = struct{}{}
		return
	}
	delete(m.wanted, h)
	m.dropPermit(h)
}

// urgency returns the latest start of a load that still meets the earliest deadline of its waiting requests; far in the
// future if none waits.
func (m *Machine) urgency(h *holding) time.Time {
	deadline := h.replica.deadline()
	if deadline.IsZero() {
		deadline = m.now.Add(defaultLoadDeadline)
	}
	return deadline.Add(-m.expectedLoad(h))
}

// queue returns the wanted loads, least slack first.
func (m *Machine) queue() []*holding {
	if len(m.wanted) == 0 {
		return nil
	}
	queue := make([]*holding, 0, len(m.wanted))
	for h := range m.wanted {
		queue = append(queue, h)
	}
	slices.SortFunc(queue, func(a, b *holding) int {
		return cmp.Or(
			m.urgency(a).Compare(m.urgency(b)),
			cmp.Compare(a.replica.model, b.replica.model),
			cmp.Compare(a.adapter, b.adapter),
		)
	})
	return queue
}

// plan starts the wanted loads that fit into memory, orders unloads to make room for the most urgent of the others, and
// refuses those for which not enough memory can be freed.
//
// LoadsAtOnce bounds both the loads in flight and the loads that request permits. A load that waits for its permit does
// not block a later one whose checkpoint is cached.
func (m *Machine) plan() {
	if len(m.wanted) == 0 || !m.canLoad() {
		return
	}
	memory := m.newMemoryPlan()
	free := m.options.LoadsAtOnce - m.loadsInFlight()
	awaitingPermit := 0
	for _, h := range m.queue() {
		next := h.isAdapter() || free > 0 && (m.isCached(h) || awaitingPermit < free)
		answer := memory.claim(h, next)
		if answer == claimDenied {
			m.noRoom(h)
			continue
		}
		if !next {
			continue
		}
		started := m.permitted(h) && answer == claimNow && m.canOrder()
		if started {
			m.orderLoad(h, !m.isCached(h))
			delete(m.wanted, h)
		}
		switch {
		case h.isAdapter():
		case started:
			free--
		case !m.isCached(h):
			awaitingPermit++
		}
	}
}

// noRoom refuses the requests that wait for a load for which not enough memory can be freed, and asks for a slot on
// another engine.
func (m *Machine) noRoom(h *holding) {
	delete(m.wanted, h)
	m.dropPermit(h)
	h.wantedUntil = time.Time{}
	if h.waiting > 0 {
		m.refuseWaiting(h, refusalNoMemory, defaultRetryAfter)
		return
	}
	if r := h.replica; m.warm(r) && !h.isAdapter() {
		m.emit(WantSlot{Model: r.model, Reason: refusalNoMemory.reason})
		r.noRoomCount++
		r.warmRetryAt = m.now.Add(m.backoffDelay(r.noRoomCount))
		m.wakeAt(r, r.warmRetryAt)
	}
}

// loadsInFlight counts the model version loads in progress.
func (m *Machine) loadsInFlight() int {
	n := 0
	for _, r := range m.replicas {
		if r.state == loading || r.state == unknown && r.observed == observedTransient {
			n++
		}
	}
	return n
}

// refusalFor maps an error of an order to the refusal of the requests that wait for it.
func refusalFor(err error) refusal {
	switch {
	case errors.Is(err, endpoint.ErrNoMemory):
		return refusalNoMemory
	case errors.Is(err, endpoint.ErrUnreachable):
		return refusalUnreachable
	default:
		return refusalLoadFailed
	}
}

// loadFailed handles the definite failure of a load.
func (m *Machine) loadFailed(h *holding, err error) {
	h.failures++
	h.wantedUntil = time.Time{}
	m.backOff(h)
	m.refuseWaiting(h, refusalFor(err), h.retryAt.Sub(m.now))
}

const (
	minBackoff = time.Second
	maxBackoff = 2 * time.Minute
)

// backOff sets the time of the next load attempt.
func (m *Machine) backOff(h *holding) {
	h.retryAt = m.now.Add(m.backoffDelay(h.failures))
	m.wakeAt(h.replica, h.retryAt)
}

// backoffDelay returns an exponential backoff with jitter, so that engines do not retry in lockstep.
func (m *Machine) backoffDelay(failures int) time.Duration {
	wait := min(float64(minBackoff)*math.Pow(2, float64(failures)), float64(maxBackoff))
	return time.Duration(wait * (0.5 + 0.5*m.random.Float64()))
}
