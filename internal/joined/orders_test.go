package joined

import (
	"maps"
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// submit accepts an order from the agent and calls reply with the answer.
func (e *engine) submit(a *agent, order endpoint.Order, reply func(error)) {
	o := &engineOrder{Order: order, incarnation: e.incarnation, agent: a, reply: reply}
	e.orders[o] = true
	delay := e.between(200*time.Microsecond, 2*time.Millisecond)
	if e.faulty(10) {
		delay = e.between(0, maxOrderDelay)
	}
	if e.faulty(10) {
		e.after(e.between(0, 3*time.Second), func() { e.loseAnswer(o) })
	}
	if e.orderHook != nil {
		late, lost := e.orderHook(order)
		delay += late
		if lost {
			e.after(time.Millisecond, func() { e.loseAnswer(o) })
		}
	}
	e.after(delay, func() { e.arrive(o) })
	e.after(orderTimeout, func() { e.loseAnswer(o) })
}

// loseAnswer breaks the connection of an order. Its answer is lost, but it may still take effect.
func (e *engine) loseAnswer(o *engineOrder) {
	if o.reply != nil {
		e.answer(o, endpoint.ErrOutcomeUnknown)
	}
}

// answer answers an order if its sender still waits for it.
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

// handleAgentExit cancels the requests of the agent and drops the replies to its orders.
func (e *engine) handleAgentExit(planned bool) {
	for r := range e.runs {
		r.cancelled = true
	}
	for o := range e.orders {
		o.senderStopped = planned && o.reply != nil
		o.reply = nil
	}
	clear(e.orders)
}

// arrive handles the arrival of an order at the engine.
func (e *engine) arrive(o *engineOrder) {
	o.arrived = true
	switch {
	case !e.up || e.fencing == fencingVolatile && o.incarnation != e.incarnation:
		e.answer(o, endpoint.ErrOutcomeUnknown)
		return
	case e.fencing != fencingIgnored && o.FencingToken < e.highestFence:
		e.logf("%s rejects the fenced %v %s", e.host.endpoint, o.Kind, o.ID)
		e.answer(o, endpoint.ErrFenced)
		return
	}
	e.highestFence = max(e.highestFence, o.FencingToken)
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
		m.loadOrders = append(m.loadOrders, o)
		e.checkMemory(o)
		e.later(e.loadTime(o.Model), func() { e.loaded(m) })
	case m.state == endpoint.EngineLoaded:
		e.answer(o, nil)
	case m.state == endpoint.EngineLoading:
		m.loadOrders = append(m.loadOrders, o)
	default:
		m.nextLoads = append(m.nextLoads, o)
	}
}

// loadTime returns a random load time, which is short for cached checkpoints and long while the weight store is slow.
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
	waiting := m.loadOrders
	m.loadOrders = nil
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
	m.unloadOrders = append(m.unloadOrders, o)
	if m.state == endpoint.EngineUnloading {
		return
	}
	m.state = endpoint.EngineUnloading
	e.abortRuns(func(r *run) bool { return r.model == m.name }, o)
	e.later(e.between(time.Millisecond, 300*time.Millisecond), func() { e.unloaded(m) })
}

// unloaded completes an unload and starts the loads that waited for it.
func (e *engine) unloaded(m *engineModel) {
	delete(e.models, m.name)
	e.answerAll(m.unloadOrders, nil)
	e.answerAll(m.loadOrders, endpoint.ErrLoadFailed)
	for _, name := range slices.Sorted(maps.Keys(m.adapters)) {
		e.answerAll(m.adapters[name].waiting, endpoint.ErrLoadFailed)
	}
	for _, o := range m.nextLoads {
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
		e.later(e.between(10*time.Millisecond, maxAdapterLoad), func() { e.adapterLoaded(m, o.Adapter, a) })
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
	e.abortRuns(func(r *run) bool { return r.model == m.name && r.adapter == o.Adapter }, o)
	e.answer(o, nil)
}
