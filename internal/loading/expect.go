package loading

import (
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// loadTimes are a model version's average load durations; 0 if none was measured.
type loadTimes struct {
	store, cached time.Duration
}

// smoothing is the weight of the newest measurement in the moving average.
const smoothing = 0.3

func smooth(previous, newest time.Duration) time.Duration {
	if previous == 0 {
		return newest
	}
	return previous + time.Duration(smoothing*float64(newest-previous))
}

// observeLoad records the duration of a load.
func (m *Machine) observeLoad(o *order) {
	took := m.now.Sub(o.sentAt)
	switch {
	case o.holding.isAdapter():
		m.adapterTime = smooth(m.adapterTime, took)
	case o.fromStore:
		o.holding.replica.times.store = smooth(o.holding.replica.times.store, took)
	default:
		o.holding.replica.times.cached = smooth(o.holding.replica.times.cached, took)
	}
}

// isCached reports whether a load is expected not to read from the weight store. Adapters always come from the store.
func (m *Machine) isCached(h *holding) bool {
	return !h.isAdapter() && m.engine.cached[h.replica.model] != ""
}

// expectedLoad returns the expected duration of a load; 0 if unknown.
func (m *Machine) expectedLoad(h *holding) time.Duration {
	if h.isAdapter() {
		return m.adapterTime
	}
	if m.isCached(h) {
		return h.replica.times.cached
	}
	if h.replica.times.store > 0 {
		return h.replica.times.store
	}
	return m.models[h.replica.model].ExpectedLoad
}

// coldStart returns the expected duration of a cold start of a loaded replica, for the idle policy.
func (m *Machine) coldStart(r *replica) time.Duration {
	if expected := m.expectedLoad(&r.holding); expected > 0 {
		return expected
	}
	return m.models[r.model].ExpectedLoad
}

// readyAt returns the earliest time at which requests for an unusable target may run, or false if there is no estimate.
// The estimate is a lower bound, so that no request is refused that could have been served.
func (m *Machine) readyAt(target *holding, deadline time.Time) (time.Time, bool) {
	r := target.replica
	at, known := m.loadedAt(&r.holding, deadline)
	if !target.isAdapter() {
		return at, known
	}
	adapterAt, adapterKnown := m.loadedAt(target, deadline)
	if r.state == loaded {
		return adapterAt, adapterKnown
	}
	return at.Add(m.expectedLoad(target)), known || adapterKnown
}

// loadedAt returns the earliest time at which one holding may be loaded.
func (m *Machine) loadedAt(h *holding, deadline time.Time) (time.Time, bool) {
	expected := m.expectedLoad(h)
	switch h.state {
	case loaded:
		return m.now, true
	case loading:
		return later(m.now, h.order.sentAt.Add(expected)), expected > 0
	}
	start := m.startAt(h, deadline)
	return start.Add(expected), expected > 0 || start.After(m.now)
}

// startAt returns the earliest time at which a load may start, given the orders that block it and the loads ahead of
// it.
func (m *Machine) startAt(h *holding, deadline time.Time) time.Time {
	start := m.now
	if !m.options.ChecksFencing {
		start = later(start, m.expiresAt(&m.predecessor))
	}
	if h.state == unknown && h.observed != observedTransient && !m.mayOrder(h) {
		start = later(start, m.unresolvedUntil(h))
	}
	if h.isAdapter() {
		return start
	}
	return start.Add(m.queueTime(h, deadline.Add(-m.expectedLoad(h))))
}

// queueTime returns how long a load waits for loads in flight and for more urgent ones, with LoadsAtOnce running
// concurrently.
func (m *Machine) queueTime(h *holding, urgency time.Time) time.Duration {
	busy := make([]time.Duration, m.options.LoadsAtOnce)
	add := func(d time.Duration) {
		least := slices.Index(busy, slices.Min(busy))
		busy[least] += max(0, d)
	}
	for _, o := range m.orders {
		if o.Kind == endpoint.OrderLoad && !o.unknown {
			add(o.sentAt.Add(m.expectedLoad(o.holding)).Sub(m.now))
		}
	}
	for _, other := range m.queue() {
		if other != h && !other.isAdapter() && m.urgency(other).Before(urgency) {
			add(m.expectedLoad(other))
		}
	}
	return slices.Min(busy)
}
