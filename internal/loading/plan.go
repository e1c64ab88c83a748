package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// wantsLoad reports whether a holding should be loaded and is not, nor being loaded.
func (m *Machine) wantsLoad(h *holding) bool {
	if m.leaving || h.state != absent && !m.mayReissue(h) {
		return false
	}
	r := h.replica
	if !m.slots.read || !m.granted(r) || !m.isDeclared(h) || m.now.Before(h.retryAt) {
		return false
	}
	if h.isAdapter() && (r.state != loaded || r.order != nil) || !h.isAdapter() && r.adapterOrder() {
		return false
	}
	return h.waiting > 0 || m.now.Before(h.wishUntil) || !h.isAdapter() && m.warm(r) && !m.now.Before(r.warmAt)
}

// mayReissue reports whether a load may be ordered for something whose state is unknown: the engine refuses the earlier
// order once it has accepted this one, and its state shows nothing under way.
func (m *Machine) mayReissue(h *holding) bool {
	return h.state == unknown && m.options.ChecksFencing && !h.isAdapter() &&
		(h.shown == shownAbsent || h.shown == shownLoaded)
}

// isDeclared reports whether a model version, or an adapter of it, is declared.
func (m *Machine) isDeclared(h *holding) bool {
	if h.isAdapter() {
		return m.adapters[h.adapter].Model == h.replica.model
	}
	_, ok := m.models[h.replica.model]
	return ok
}

// updateWanting keeps the set of wanted loads.
func (m *Machine) updateWanting(h *holding) {
	if m.wantsLoad(h) {
		m.wanting[h] = struct{}{}
		return
	}
	delete(m.wanting, h)
	m.dropPermit(h)
}

// urgency returns the latest time at which a load may start for its first waiting request; far away when none waits.
func (m *Machine) urgency(h *holding) time.Time {
	deadline := h.replica.deadline()
	if deadline.IsZero() {
		deadline = m.now.Add(farDeadline)
	}
	return deadline.Add(-m.expectedLoad(h))
}

// queue returns the wanted loads, least slack first.
func (m *Machine) queue() []*holding {
	if len(m.wanting) == 0 {
		return nil
	}
	queue := make([]*holding, 0, len(m.wanting))
	for h := range m.wanting {
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

// plan starts the wanted loads for which there is room, makes room for the most urgent of the others, and refuses those
// for which none can be made.
//
// Only so many load at once, and only so many ask for permits at once. One that waits for its permit does not keep a
// later one out whose checkpoint is cached.
func (m *Machine) plan() {
	if len(m.wanting) == 0 || !m.canLoad() {
		return
	}
	room := m.newRoom()
	free := m.options.LoadsAtOnce - m.loadsInFlight()
	asking := 0
	for _, h := range m.queue() {
		next := h.isAdapter() || free > 0 && (m.isCached(h) || asking < free)
		answer := room.claim(h, next)
		if answer == roomNever {
			m.noRoom(h)
			continue
		}
		if !next {
			continue
		}
		started := m.permitted(h) && answer == roomNow && m.canOrder()
		if started {
			m.giveLoad(h, !m.isCached(h))
			delete(m.wanting, h)
		}
		switch {
		case h.isAdapter():
		case started:
			free--
		case !m.isCached(h):
			asking++
		}
	}
}

// noRoom refuses the requests that wait for a load for which no room can be made, and asks for another slot.
func (m *Machine) noRoom(h *holding) {
	delete(m.wanting, h)
	m.dropPermit(h)
	h.wishUntil = time.Time{}
	if h.waiting > 0 {
		m.refuseWaiting(h, refusalNoMemory, retrySoon)
		return
	}
	if r := h.replica; m.warm(r) && !h.isAdapter() {
		m.emit(WantSlot{Model: r.model, Reason: refusalNoMemory.reason})
		r.crowded++
		r.warmAt = m.now.Add(m.backOffTime(r.crowded))
		m.wakeAt(r, r.warmAt)
	}
}

// loadsInFlight counts the loads of model versions that are under way.
func (m *Machine) loadsInFlight() int {
	n := 0
	for _, r := range m.replicas {
		if r.state == loading || r.state == unknown && r.shown == shownBetween {
			n++
		}
	}
	return n
}

// refusalFor turns an error of an order into the refusal of the requests that wait for it.
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

// loadFailed takes in the definite failure of a load.
func (m *Machine) loadFailed(h *holding, err error) {
	h.failures++
	h.wishUntil = time.Time{}
	m.backOff(h)
	m.refuseWaiting(h, refusalFor(err), h.retryAt.Sub(m.now))
}

const (
	minBackOff = time.Second
	maxBackOff = 2 * time.Minute
)

// backOff sets when a load may be tried again.
func (m *Machine) backOff(h *holding) {
	h.retryAt = m.now.Add(m.backOffTime(h.failures))
	m.wakeAt(h.replica, h.retryAt)
}

// backOffTime returns a time that is longer after each failure, and not the same for all engines.
func (m *Machine) backOffTime(failures int) time.Duration {
	wait := min(float64(minBackOff)*math.Pow(2, float64(failures)), float64(maxBackOff))
	return time.Duration(wait * (0.5 + 0.5*m.random.Float64()))
}
