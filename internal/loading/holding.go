package loading

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// state is the known state of a model version or adapter in the engine's memory.
type state int

const (
	// absent: the engine does not hold it and no order in flight would load it.
	absent state = iota
	// loading: a load order is in flight.
	loading
	// loaded: the engine holds it.
	loaded
	// unloading: an unload order is in flight.
	unloading
	// unknown: the outcome of an order is unknown, or the engine reports a load or unload in progress.
	unknown
)

// replicaStates maps a state to that of the status report.
var replicaStates = map[state]wirepb.ReplicaState{
	absent:    wirepb.ReplicaState_ABSENT,
	loading:   wirepb.ReplicaState_LOADING,
	loaded:    wirepb.ReplicaState_LOADED,
	unloading: wirepb.ReplicaState_UNLOADING,
	unknown:   wirepb.ReplicaState_UNKNOWN,
}

// observation is the state of a model version or adapter in a read of the engine's state.
type observation int

const (
	// observedNothing: there was no read since the last order.
	observedNothing observation = iota
	observedAbsent
	observedLoaded
	// observedTransient: being loaded or unloaded.
	observedTransient
)

// holding is a model version or an adapter that the engine's memory may hold.
type holding struct {
	replica *replica
	// adapter is empty for the model version itself.
	adapter string

	state state
	// bytes is the size of the weights, and kvFloor the minimum KV cache, that the ledger reserves unless the state is
	// absent.
	bytes, kvFloor int64
	// adopted is set if the engine holds it without an order of this agent, so that its size must come from the
	// declarations.
	adopted bool

	// order is the order in flight; unresolved are those that ended with an unknown outcome.
	order      *order
	unresolved []*order
	// orderEndedStep is the step at which the last order ended; reads that began before it are ignored.
	orderEndedStep uint64
	// observed is the result of the newest applicable read, and observedAt when that read began.
	observed   observation
	observedAt time.Time

	// announced is set while it is reported as usable.
	announced bool
	running   int
	waiting   int
	idleSince time.Time
	// wantedUntil keeps a load wanted, and its result in memory, for callers that were given a retry delay.
	wantedUntil time.Time

	failures int
	// retryAt is the time of the next load attempt after a failure, and unloadAt of the next unload attempt.
	retryAt, unloadAt time.Time
	permit            permit
}

// replica is a model version with its adapters.
type replica struct {
	holding
	model    string
	adapters ordered[*holding]
	demands  map[string]*demand
	// earliest is the earliest deadline of the waiting requests; earliestStale is set if it must be recomputed.
	earliest      time.Time
	earliestStale bool
	// keepUntil is when the idle replica is due to be unloaded; zero if not computed.
	keepUntil time.Time
	keep      time.Duration
	// warmRetryAt is the next attempt at a load that only keeps the replica warm, after noRoomCount attempts without
	// room.
	warmRetryAt time.Time
	noRoomCount int
	// nextAdapterCheck is when the idle adapters are checked next.
	nextAdapterCheck time.Time
	times            loadTimes

	dirty bool
	// due is when the replica must be reconciled again, and heapIndex its index in the timers.
	due       time.Time
	heapIndex int
}

func newReplica(model string) *replica {
	r := &replica{model: model, demands: map[string]*demand{}, heapIndex: notScheduled}
	r.replica = r
	return r
}

func (h *holding) key() string { return h.adapter }
func (r *replica) key() string { return r.model }

// isAdapter reports whether a holding is an adapter.
func (h *holding) isAdapter() bool { return h.adapter != "" }

// isIdle reports whether a holding has no running or waiting requests and no order in flight.
func (h *holding) isIdle() bool { return h.running == 0 && h.waiting == 0 && h.order == nil }

// adapterOrderInFlight reports whether an order for one of the adapters is in flight.
func (r *replica) adapterOrderInFlight() bool {
	for _, a := range r.adapters {
		if a.order != nil {
			return true
		}
	}
	return false
}

// unresolvedPending reports whether an order of unknown outcome may still take effect.
func (m *Machine) unresolvedPending(h *holding) bool {
	for _, o := range h.unresolved {
		if !m.ineffectiveNow(o) {
			return true
		}
	}
	return false
}

// unresolvedUntil returns when the last order of unknown outcome expires; zero if there is none.
func (m *Machine) unresolvedUntil(h *holding) time.Time {
	end := time.Time{}
	for _, o := range h.unresolved {
		if !m.ineffectiveNow(o) && m.expiresAt(o).After(end) {
			end = m.expiresAt(o)
		}
	}
	return end
}

// replica returns the record of a model version, creating it if needed.
func (m *Machine) replica(model string) *replica {
	r := m.replicas.get(model)
	if r == nil {
		r = newReplica(model)
		m.replicas.insert(r)
		m.initObservation(&r.holding)
	}
	return r
}

// adapterOf returns the record of an adapter, creating it if needed.
func (m *Machine) adapterOf(r *replica, adapter string) *holding {
	a := r.adapters.get(adapter)
	if a == nil {
		a = &holding{replica: r, adapter: adapter}
		r.adapters.insert(a)
		m.initObservation(a)
	}
	return a
}

// find returns the record of a model version, or of its adapter if one is named; nil if there is none.
func (m *Machine) find(model, adapter string) *holding {
	r := m.replicas.get(model)
	switch {
	case r == nil:
		return nil
	case adapter == "":
		return &r.holding
	default:
		return r.adapters.get(adapter)
	}
}

// initObservation sets the observation of a new record from the last read: if the engine held it, it would have a
// record.
func (m *Machine) initObservation(h *holding) {
	if m.engine.known {
		h.observed = observedAbsent
		h.observedAt = m.engine.readAt
	}
}
