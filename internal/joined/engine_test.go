package joined

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"balsamsail/internal/endpoint"
)

// fencing is an engine's treatment of fencing tokens.
type fencing int

const (
	fencingIgnored fencing = iota
	// fencingDurable: tokens are checked, and the highest one survives a restart.
	fencingDurable
	// fencingVolatile: tokens are checked, but the highest one is lost at a restart, which breaks the connections of orders
	// in flight.
	fencingVolatile
)

const (
	// orderLife is the maximum time for which an abandoned order may still take effect.
	orderLife = 8 * time.Second
	// orderTimeout is the time after which an agent abandons an order.
	orderTimeout = 12 * time.Second
	// maxOrderDelay is the maximum delay of an order. maxAdapterLoad is short enough for a delayed adapter load to end
	// within orderLife.
	maxOrderDelay  = 5 * time.Second
	maxAdapterLoad = 2 * time.Second
)

// engineModel is a model version in an engine's memory.
type engineModel struct {
	name     string
	bytes    int64
	state    string
	adapters map[string]*engineAdapter
	// loadOrders are the orders that wait for the load, unloadOrders those that wait for the unload, and nextLoads the load
	// orders that start after the unload.
	loadOrders, unloadOrders []*engineOrder
	nextLoads                []*engineOrder
}

type engineAdapter struct {
	bytes   int64
	loaded  bool
	waiting []*engineOrder
}

// engineOrder is an order in flight.
type engineOrder struct {
	endpoint.Order
	incarnation int
	agent       *agent
	arrived     bool
	// senderStopped is set if the sender had a planned stop before it got the answer.
	senderStopped bool
	// reply is called with the answer; nil after the sender has abandoned the order or ended.
	reply func(error)
}

// engine is a model engine. Orders to it may be delayed, and their answers may be lost.
type engine struct {
	*world
	host         *host
	fencing      fencing
	limit, base  int64
	up           bool
	incarnation  int
	highestFence uint64
	// newestAgent is the highest number of an agent of which an order was accepted.
	newestAgent int
	models      map[string]*engineModel
	orders      map[*engineOrder]bool
	runs        map[*run]bool
	// cached lists the model versions whose checkpoints are cached on the host; others are loaded from the weight store.
	cached map[string]string
	// orderHook, if set, returns an additional delay of an order and whether its answer is lost at once.
	orderHook func(endpoint.Order) (late time.Duration, lost bool)
	// readDelay, if set, is the duration of a state read, and firstByteDelay the time from an answer's head to its first
	// byte.
	readDelay, firstByteDelay time.Duration
}

func newEngine(h *host, f fencing) *engine {
	return &engine{
		world: h.world, host: h, fencing: f, limit: engineLimit, base: engineBase, up: true, incarnation: 1,
		models: map[string]*engineModel{}, orders: map[*engineOrder]bool{}, runs: map[*run]bool{}, cached: map[string]string{},
	}
}

func (e *engine) used() int64 {
	used := e.base
	for _, m := range e.models {
		used += m.bytes
		for _, a := range m.adapters {
			used += a.bytes
		}
	}
	return used
}

// state returns the state that the engine reports.
func (e *engine) state() endpoint.EngineState {
	s := endpoint.EngineState{
		Incarnation: strconv.Itoa(e.incarnation), MemoryBytes: e.limit, UsedBytes: e.used(), Cached: maps.Clone(e.cached),
	}
	if e.fencing != fencingIgnored {
		s.HighestFencingToken = e.highestFence
	}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		m := e.models[name]
		listed := endpoint.LoadedModel{Model: name, State: m.state, MemoryBytes: m.bytes}
		for _, adapter := range slices.Sorted(maps.Keys(m.adapters)) {
			if m.adapters[adapter].loaded {
				listed.Adapters = append(listed.Adapters, adapter)
			}
		}
		s.Models = append(s.Models, listed)
	}
	return s
}

// later runs a function after a delay, unless the engine has restarted by then.
func (e *engine) later(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.after(d, func() {
		if e.up && e.incarnation == incarnation {
			run()
		}
	})
}

// checkSender checks that an engine which checks fencing tokens accepts no order of an earlier agent after one of a later
// agent.
func (e *engine) checkSender(o *engineOrder) {
	if e.fencing != fencingIgnored && o.agent.number < e.newestAgent {
		e.violated("fencing", "%s accepts order %s of %s after one of a later agent", e.host.endpoint, o.ID, o.agent.name)
	}
	e.newestAgent = max(e.newestAgent, o.agent.number)
}

// checkMemory checks that a load does not exceed the engine's memory.
func (e *engine) checkMemory(o *engineOrder) {
	if used := e.used(); used > e.limit {
		e.violated("P2", "order %s (%s %s) increases the memory use of %s to %d of %d", o.ID, o.Model, o.Adapter, e.host.endpoint, used, e.limit)
	}
}

// abortRuns aborts running requests. It is a violation if an order causes this, unless the order's sender crashed: a new
// agent may serve requests with loaded models before all orders of its crashed predecessor have ended.
func (e *engine) abortRuns(match func(*run) bool, by *engineOrder) {
	for _, r := range sortedRuns(e.runs) {
		if !match(r) {
			continue
		}
		if by != nil && !r.cancelled && (by.agent == e.host.agent || by.senderStopped) {
			e.violated("P8", "order %s to %s aborts request %s of %s %s", by.ID, e.host.endpoint, r.request, r.model, r.adapter)
		}
		delete(e.runs, r)
		r.truncate()
	}
}

// restart replaces the engine's process. Orders that it was executing end with an unknown outcome.
func (e *engine) restart() {
	e.logf("engine %s restarts", e.host.endpoint)
	e.stop()
	e.up = true
	e.incarnation++
	if e.fencing == fencingVolatile {
		e.highestFence = 0
	}
	if e.oneIn(2) {
		clear(e.cached)
	}
}

func (e *engine) stop() {
	e.up = false
	e.models = map[string]*engineModel{}
	for _, o := range sortedOrders(e.orders) {
		if o.arrived || e.fencing == fencingVolatile {
			e.answer(o, endpoint.ErrOutcomeUnknown)
		}
	}
	e.abortRuns(func(*run) bool { return true }, nil)
	e.dirty = true
}

func sortedOrders(orders map[*engineOrder]bool) []*engineOrder {
	return slices.SortedFunc(maps.Keys(orders), func(a, b *engineOrder) int { return cmp.Compare(a.FencingToken, b.FencingToken) })
}
