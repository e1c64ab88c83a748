package loading

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// state is what the machine knows of a model version or adapter in the engine's memory.
type state int

const (
	// absent: the engine does not hold it and no order is under way that would load it.
	absent state = iota
	// loading: a load order is in flight.
	loading
	// loaded: the engine holds it.
	loaded
	// unloading: an unload order is in flight.
	unloading
	// unknown: an order's result is not known, or the engine shows something in between.
	unknown
)

// replicaStates turns a state into that of the status.
var replicaStates = map[state]wirepb.ReplicaState{
	absent:    wirepb.ReplicaState_ABSENT,
	loading:   wirepb.ReplicaState_LOADING,
	loaded:    wirepb.ReplicaState_LOADED,
	unloading: wirepb.ReplicaState_UNLOADING,
	unknown:   wirepb.ReplicaState_UNKNOWN,
}

// shown is how the engine's state showed a model version or adapter.
type shown int

const (
	// shownNothing: no read since the last order tells.
	shownNothing shown = iota
	shownAbsent
	shownLoaded
	// shownBetween: being loaded or unloaded.
	shownBetween
)

// holding is a model version or an adapter as the engine's memory may hold it.
type holding struct {
	replica *replica
	// adapter is empty for the model version itself.
	adapter string

	state state
	// bytes are the weights that the ledger counts while the state is not absent, and kvFloor what is kept free beside.
	bytes, kvFloor int64
	// adopted is set when the engine was found to hold it, so that its size must come from the declarations.
	adopted bool

	// order is in flight; doubts have ended without a definite result.
	order  *order
	doubts []*order
	// settled is the step at which the last order ended: reads that began before it tell nothing.
	settled uint64
	// shown is what the newest read that tells something showed, and shownAt when that read began.
	shown   shown
	shownAt time.Time

	// announced is set while requests may run.
	announced bool
	running   int
	waiting   int
	idleSince time.Time
	// wishUntil keeps a load wanted, and its result in memory, for callers that were told when to come back.
	wishUntil time.Time

	failures int
	// retryAt is when the next load may be tried after a failure, and unloadAt the next unload.
	retryAt, unloadAt time.Time
	permit            permit
}

// replica is a model version with its adapters.
type replica struct {
	holding
	model    string
	adapters ordered[*holding]
	demands  map[string]*demand
	// earliest is the first deadline of the waiting requests; stale when it must be looked for again.
	earliest      time.Time
	earliestStale bool
	// keepUntil is when the idle replica is due to be unloaded; zero when not worked out.
	keepUntil time.Time
	keep      time.Duration
	// warmAt is when a load that only keeps the replica warm may be tried again, after crowded tries without room.
	warmAt  time.Time
	crowded int
	// adaptersAt is when the idle adapters are looked at next.
	adaptersAt time.Time
	times      loadTimes

	dirty bool
	// due is when the replica is looked at again, at position place of the timers; zero when it is not there.
	due   time.Time
	place int
}

func newReplica(model string) *replica {
	r := &replica{model: model, demands: map[string]*demand{}, place: notPlaced}
	r.replica = r
	return r
}

func (h *holding) key() string { return h.adapter }
func (r *replica) key() string { return r.model }

// isAdapter reports whether a holding is an adapter.
func (h *holding) isAdapter() bool { return h.adapter != "" }

// isIdle reports whether nothing runs on a holding, nothing waits for it and no order for it is in flight.
func (h *holding) isIdle() bool { return h.running == 0 && h.waiting == 0 && h.order == nil }

// adapterOrder reports whether an order for one of the adapters is in flight.
func (r *replica) adapterOrder() bool {
	for _, a := range r.adapters {
		if a.order != nil {
			return true
		}
	}
	return false
}

// liveDoubt reports whether an order of unknown result may still take effect.
func (m *Machine) liveDoubt(h *holding) bool {
	for _, o := range h.doubts {
		if !m.overNow(o) {
			return true
		}
	}
	return false
}

// doubtsEnd is when the last order of unknown result is over at the latest; zero when there is none.
func (m *Machine) doubtsEnd(h *holding) time.Time {
	end := time.Time{}
	for _, o := range h.doubts {
		if !m.overNow(o) && m.spentAt(o).After(end) {
			end = m.spentAt(o)
		}
	}
	return end
}

// replica returns the record of a model version, and makes it if there is none.
func (m *Machine) replica(model string) *replica {
	r := m.replicas.get(model)
	if r == nil {
		r = newReplica(model)
		m.replicas.insert(r)
		m.inherit(&r.holding)
	}
	return r
}

// adapterOf returns the record of an adapter, and makes it if there is none.
func (m *Machine) adapterOf(r *replica, adapter string) *holding {
	a := r.adapters.get(adapter)
	if a == nil {
		a = &holding{replica: r, adapter: adapter}
		r.adapters.insert(a)
		m.inherit(a)
	}
	return a
}

// find returns the record of a model version, or with an adapter named of that; nil if there is none.
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

// inherit gives a new record what the last read showed: that the engine does not hold it, or there would be a record.
func (m *Machine) inherit(h *holding) {
	if m.engine.known {
		h.shown = shownAbsent
		h.shownAt = m.engine.readAt
	}
}
