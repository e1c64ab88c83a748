package joined

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"balsamsail/internal/endpoint"
)

// fencing is how an engine treats fencing numbers.
type fencing int

const (
	fencingIgnored fencing = iota
	// fencingDurable: numbers are checked and outlive a restart.
	fencingDurable
	// fencingVolatile: numbers are checked and forgotten at a restart, which breaks the connections of orders on their way.
	fencingVolatile
)

const (
	// orderLife is the longest time for which an order that was given up may still take effect.
	orderLife = 8 * time.Second
	// orderTimeout is when an agent gives an order up.
	orderTimeout = 12 * time.Second
	// lateOrder is the longest delay of an order, and longestAdapterLoad leaves it time to end within its life.
	lateOrder          = 5 * time.Second
	longestAdapterLoad = 2 * time.Second
)

// engineModel is a model version in an engine's memory.
type engineModel struct {
	name     string
	bytes    int64
	state    string
	adapters map[string]*engineAdapter
	// waiting are orders that want the model loaded, leaving those that wait for its unload, and next those that wait for
	// the memory to be free.
	waiting, leaving []*engineOrder
	next             []*engineOrder
}

type engineAdapter struct {
	bytes   int64
	loaded  bool
	waiting []*engineOrder
}

// engineOrder is an order on its way.
type engineOrder struct {
	endpoint.Order
	incarnation int
	agent       *agent
	arrived     bool
	// left is set when the sender stopped by plan although it had no answer yet.
	left bool
	// reply takes the answer; nil once the sender has given up or died.
	reply func(error)
}

// engine is a model engine. Its orders may come late and their answers get lost.
type engine struct {
	*world
	host        *host
	fencing     fencing
	limit, base int64
	up          bool
	incarnation int
	highest     uint64
	// newest is the number of the newest agent of which an order was taken.
	newest int
	models map[string]*engineModel
	orders map[*engineOrder]bool
	runs   map[*run]bool
	// cached lists the model versions whose checkpoint is on the host; loads of others read the weight store.
	cached map[string]string
	// script, when set, says how late an order comes, and whether its answer is lost at once.
	script func(endpoint.Order) (late time.Duration, lost bool)
	// readTime, when set, is how long a read of the state takes, and firstTime the time from an answer's head to its first
	// bytes.
	readTime, firstTime time.Duration
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

// state is what the engine says of itself.
func (e *engine) state() endpoint.EngineState {
	s := endpoint.EngineState{
		Incarnation: strconv.Itoa(e.incarnation), MemoryBytes: e.limit, UsedBytes: e.used(), Cached: maps.Clone(e.cached),
	}
	if e.fencing != fencingIgnored {
		s.HighestFencingToken = e.highest
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

// later does something unless the engine has restarted by then.
func (e *engine) later(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.after(d, func() {
		if e.up && e.incarnation == incarnation {
			run()
		}
	})
}

// checkSender checks that an engine which checks fencing numbers takes no order of a former agent after one of a later.
func (e *engine) checkSender(o *engineOrder) {
	if e.fencing != fencingIgnored && o.agent.number < e.newest {
		e.violated("fencing", "%s takes order %s of %s, which is gone", e.host.endpoint, o.ID, o.agent.name)
	}
	e.newest = max(e.newest, o.agent.number)
}

// checkMemory checks that what an order loads fits.
func (e *engine) checkMemory(o *engineOrder) {
	if used := e.used(); used > e.limit {
		e.violated("P2", "order %s (%s %s) takes the memory of %s to %d of %d", o.ID, o.Model, o.Adapter, e.host.endpoint, used, e.limit)
	}
}

// cut ends running requests in the middle. An order that does so is a fault, unless its sender crashed: requests may run on
// what is loaded before all orders of a crashed agent are over.
func (e *engine) cut(which func(*run) bool, by *engineOrder) {
	for _, r := range sortedRuns(e.runs) {
		if !which(r) {
			continue
		}
		if by != nil && !r.cancelled && (by.agent == e.host.agent || by.left) {
			e.violated("P8", "order %s to %s cuts request %s of %s %s", by.ID, e.host.endpoint, r.request, r.model, r.adapter)
		}
		delete(e.runs, r)
		r.cut()
	}
}

// restart replaces the engine's process. Orders that it was carrying out end without an answer.
func (e *engine) restart() {
	e.logf("engine %s restarts", e.host.endpoint)
	e.stop()
	e.up = true
	e.incarnation++
	if e.fencing == fencingVolatile {
		e.highest = 0
	}
	if e.chance(2) {
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
	e.cut(func(*run) bool { return true }, nil)
	e.dirty = true
}

func sortedOrders(orders map[*engineOrder]bool) []*engineOrder {
	return slices.SortedFunc(maps.Keys(orders), func(a, b *engineOrder) int { return cmp.Compare(a.FencingToken, b.FencingToken) })
}
