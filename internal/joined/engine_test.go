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
		s.HighestFence = e.highest
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

// give takes an order from the agent; reply gets the answer.
func (e *engine) give(a *agent, order endpoint.Order, reply func(error)) {
	o := &engineOrder{Order: order, incarnation: e.incarnation, agent: a, reply: reply}
	e.orders[o] = true
	delay := e.between(200*time.Microsecond, 2*time.Millisecond)
	if e.faulty(10) {
		delay = e.between(0, lateOrder)
	}
	if e.faulty(10) {
		e.after(e.between(0, 3*time.Second), func() { e.lose(o) })
	}
	if e.script != nil {
		late, lost := e.script(order)
		delay += late
		if lost {
			e.after(time.Millisecond, func() { e.lose(o) })
		}
	}
	e.after(delay, func() { e.arrive(o) })
	e.after(orderTimeout, func() { e.lose(o) })
}

// lose breaks the connection of an order: its answer is lost, and it may still take effect.
func (e *engine) lose(o *engineOrder) {
	if o.reply != nil {
		e.answer(o, endpoint.ErrOutcomeUnknown)
	}
}

// answer answers an order, if somebody waits for it.
func (e *engine) answer(o *engineOrder, err error) {
	delete(e.orders, o)
	reply := o.reply
	o.reply = nil
	if reply == nil {
		return
	}
	e.after(e.between(100*time.Microsecond, time.Millisecond), func() { reply(err) })
}

func (e *engine) answerAll(orders []*engineOrder, err error) {
	for _, o := range orders {
		e.answer(o, err)
	}
}

// agentGone lets the engine forget who waits for its answers, and give up the requests of the agent.
func (e *engine) agentGone(planned bool) {
	for r := range e.runs {
		r.cancelled = true
	}
	for o := range e.orders {
		o.left = planned && o.reply != nil
		o.reply = nil
	}
	clear(e.orders)
}

// arrive lets an order reach the engine.
func (e *engine) arrive(o *engineOrder) {
	o.arrived = true
	switch {
	case !e.up || e.fencing == fencingVolatile && o.incarnation != e.incarnation:
		e.answer(o, endpoint.ErrOutcomeUnknown)
		return
	case e.fencing != fencingIgnored && o.Fence < e.highest:
		e.logf("%s fences %v %s off", e.host.endpoint, o.Kind, o.ID)
		e.answer(o, endpoint.ErrFenced)
		return
	}
	e.highest = max(e.highest, o.Fence)
	e.checkSender(o)
	if e.faulty(20) {
		e.answer(o, endpoint.ErrUnavailable)
		return
	}
	e.logf("%s gets %v %s %s (%s)", e.host.endpoint, o.Kind, o.Model, o.Adapter, o.ID)
	switch o.Kind {
	case endpoint.OrderLoad:
		e.load(o)
	case endpoint.OrderUnload:
		e.unload(o)
	case endpoint.OrderLoadAdapter:
		e.loadAdapter(o)
	case endpoint.OrderUnloadAdapter:
		e.unloadAdapter(o)
	}
	e.dirty = true
}

func (e *engine) load(o *engineOrder) {
	m := e.models[o.Model]
	switch {
	case m == nil:
		m = &engineModel{name: o.Model, bytes: o.MemoryBytes, state: endpoint.EngineLoading, adapters: map[string]*engineAdapter{}}
		e.models[o.Model] = m
		m.waiting = append(m.waiting, o)
		e.checkMemory(o)
		e.later(e.loadTime(o.Model), func() { e.loaded(m) })
	case m.state == endpoint.EngineLoaded:
		e.answer(o, nil)
	case m.state == endpoint.EngineLoading:
		m.waiting = append(m.waiting, o)
	default:
		m.next = append(m.next, o)
	}
}

// loadTime is short for cached checkpoints, and long when the store is slow.
func (e *engine) loadTime(model string) time.Duration {
	switch {
	case e.cached[model] != "":
		return e.between(20*time.Millisecond, 200*time.Millisecond)
	case e.slowStore:
		return e.between(time.Second, 6*time.Second)
	default:
		return e.between(200*time.Millisecond, 1500*time.Millisecond)
	}
}

func (e *engine) loaded(m *engineModel) {
	if e.models[m.name] != m || m.state != endpoint.EngineLoading {
		return
	}
	waiting := m.waiting
	m.waiting = nil
	if e.faulty(8) {
		delete(e.models, m.name)
		e.answerAll(waiting, endpoint.ErrLoadFailed)
		return
	}
	m.state = endpoint.EngineLoaded
	e.cached[m.name] = "disk"
	e.answerAll(waiting, nil)
}

func (e *engine) unload(o *engineOrder) {
	m := e.models[o.Model]
	if m == nil {
		e.answer(o, nil)
		return
	}
	m.leaving = append(m.leaving, o)
	if m.state == endpoint.EngineUnloading {
		return
	}
	m.state = endpoint.EngineUnloading
	e.cut(func(r *run) bool { return r.model == m.name }, o)
	e.later(e.between(time.Millisecond, 300*time.Millisecond), func() { e.unloaded(m) })
}

// unloaded ends an unload, and lets the loads go on that waited for it.
func (e *engine) unloaded(m *engineModel) {
	delete(e.models, m.name)
	e.answerAll(m.leaving, nil)
	e.answerAll(m.waiting, endpoint.ErrLoadFailed)
	for _, name := range slices.Sorted(maps.Keys(m.adapters)) {
		e.answerAll(m.adapters[name].waiting, endpoint.ErrLoadFailed)
	}
	for _, o := range m.next {
		e.load(o)
	}
	e.dirty = true
}

func (e *engine) loadAdapter(o *engineOrder) {
	m := e.models[o.Model]
	if m == nil || m.state != endpoint.EngineLoaded {
		e.answer(o, endpoint.ErrLoadFailed)
		return
	}
	a := m.adapters[o.Adapter]
	switch {
	case a == nil:
		a = &engineAdapter{bytes: o.MemoryBytes, waiting: []*engineOrder{o}}
		m.adapters[o.Adapter] = a
		e.checkMemory(o)
		e.later(e.between(10*time.Millisecond, longestAdapterLoad), func() { e.adapterLoaded(m, o.Adapter, a) })
	case a.loaded:
		e.answer(o, nil)
	default:
		a.waiting = append(a.waiting, o)
	}
}

func (e *engine) adapterLoaded(m *engineModel, name string, a *engineAdapter) {
	if e.models[m.name] != m || m.adapters[name] != a {
		return
	}
	waiting := a.waiting
	a.waiting = nil
	if m.state != endpoint.EngineLoaded || e.faulty(8) {
		delete(m.adapters, name)
		e.answerAll(waiting, endpoint.ErrLoadFailed)
		return
	}
	a.loaded = true
	e.answerAll(waiting, nil)
}

func (e *engine) unloadAdapter(o *engineOrder) {
	m := e.models[o.Model]
	if m == nil || m.adapters[o.Adapter] == nil {
		e.answer(o, nil)
		return
	}
	if !m.adapters[o.Adapter].loaded {
		e.answer(o, endpoint.ErrUnavailable)
		return
	}
	delete(m.adapters, o.Adapter)
	e.cut(func(r *run) bool { return r.model == m.name && r.adapter == o.Adapter }, o)
	e.answer(o, nil)
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
	return slices.SortedFunc(maps.Keys(orders), func(a, b *engineOrder) int { return cmp.Compare(a.Fence, b.Fence) })
}
