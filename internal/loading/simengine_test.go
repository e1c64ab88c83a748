package loading

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// fencing is how a simulated engine handles fencing tokens.
type fencing int

const (
	fencingIgnored fencing = iota
	// fencingDurable: fencing tokens are checked and survive a restart.
	fencingDurable
	// fencingVolatile: fencing tokens are checked and lost on restart, which also breaks the connections of orders in
	// flight.
	fencingVolatile
)

// simModel is a model version in the simulated engine.
type simModel struct {
	bytes    int64
	state    string
	adapters map[string]*simAdapter
}

type simAdapter struct {
	bytes  int64
	loaded bool
}

// simOrder is an order in flight in the simulation.
type simOrder struct {
	endpoint.Order
	agent int
	// sent, arrived and answered are the stages of the order; answer is the engine's response.
	sent, arrived, answered bool
	answer                  error
	// abandoned is set once the sender has abandoned the order or died; it has no effect after expires.
	abandoned bool
	expires   time.Time
}

// simEngine is an engine that executes orders late and in any order.
type simEngine struct {
	random      *rand.Rand
	fencing     fencing
	limit, base int64
	incarnation int
	highest     uint64
	models      map[string]*simModel
	orders      []*simOrder
	// faultFree disables random failures of the engine.
	faultFree bool
	// violation is the first violation of an invariant.
	violation string
}

func (e *simEngine) used() int64 {
	used := e.base
	for _, m := range e.models {
		used += m.bytes
		for _, a := range m.adapters {
			used += a.bytes
		}
	}
	return used
}

func (e *simEngine) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

func (e *simEngine) state() endpoint.EngineState {
	s := endpoint.EngineState{
		Incarnation: fmt.Sprint(e.incarnation),
		MemoryBytes: e.limit,
		UsedBytes:   e.used(),
	}
	if e.fencing != fencingIgnored {
		s.HighestFencingToken = e.highest
	}
	for _, name := range sortedKeys(e.models) {
		m := e.models[name]
		listed := endpoint.LoadedModel{Model: name, State: m.state, MemoryBytes: m.bytes}
		for _, adapter := range sortedKeys(m.adapters) {
			if m.adapters[adapter].loaded {
				listed.Adapters = append(listed.Adapters, adapter)
			}
		}
		s.Models = append(s.Models, listed)
	}
	return s
}

// arrive delivers a sent order to the engine.
func (e *simEngine) arrive(o *simOrder) {
	m := e.models[o.Model]
	if o.Kind == endpoint.OrderLoad && m != nil && m.state == endpoint.EngineUnloading {
		return
	}
	o.arrived = true
	if e.fencing != fencingIgnored && o.FencingToken < e.highest {
		e.end(o, endpoint.ErrFenced)
		return
	}
	e.highest = max(e.highest, o.FencingToken)
	if !e.faultFree && e.random.IntN(20) == 0 {
		e.end(o, endpoint.ErrUnavailable)
		return
	}
	switch o.Kind {
	case endpoint.OrderLoad:
		if m != nil {
			return
		}
		e.models[o.Model] = &simModel{bytes: o.MemoryBytes, state: endpoint.EngineLoading, adapters: map[string]*simAdapter{}}
		e.checkMemory(o)
	case endpoint.OrderUnload:
		if m != nil {
			m.state = endpoint.EngineUnloading
		}
	case endpoint.OrderLoadAdapter:
		if m == nil || m.state != endpoint.EngineLoaded {
			e.end(o, endpoint.ErrLoadFailed)
			return
		}
		if m.adapters[o.Adapter] == nil {
			m.adapters[o.Adapter] = &simAdapter{bytes: o.MemoryBytes}
			e.checkMemory(o)
		}
	case endpoint.OrderUnloadAdapter:
		e.unloadAdapter(o, m)
	}
}

func (e *simEngine) unloadAdapter(o *simOrder, m *simModel) {
	if m == nil || m.adapters[o.Adapter] == nil {
		e.end(o, nil)
		return
	}
	if !m.adapters[o.Adapter].loaded {
		e.end(o, endpoint.ErrUnavailable)
		return
	}
	delete(m.adapters, o.Adapter)
	e.end(o, nil)
}

func (e *simEngine) checkMemory(o *simOrder) {
	if e.used() > e.limit {
		e.violate("order %s of agent %d raises the used memory to %d of %d", o.ID, o.agent, e.used(), e.limit)
	}
}

// work completes an order that has arrived.
func (e *simEngine) work(o *simOrder) {
	m := e.models[o.Model]
	failed := !e.faultFree && e.random.IntN(8) == 0
	switch o.Kind {
	case endpoint.OrderLoad:
		switch {
		case m == nil:
			e.end(o, endpoint.ErrLoadFailed)
		case m.state == endpoint.EngineLoaded:
			e.end(o, nil)
		case m.state == endpoint.EngineLoading && failed:
			delete(e.models, o.Model)
			e.end(o, endpoint.ErrLoadFailed)
		case m.state == endpoint.EngineLoading:
			m.state = endpoint.EngineLoaded
			e.end(o, nil)
		}
	case endpoint.OrderUnload:
		delete(e.models, o.Model)
		e.end(o, nil)
	case endpoint.OrderLoadAdapter:
		if m == nil || m.adapters[o.Adapter] == nil || failed && !m.adapters[o.Adapter].loaded {
			if m != nil {
				delete(m.adapters, o.Adapter)
			}
			e.end(o, endpoint.ErrLoadFailed)
			return
		}
		m.adapters[o.Adapter].loaded = true
		e.end(o, nil)
	}
}

// end sets the answer of an order.
func (e *simEngine) end(o *simOrder, answer error) {
	o.answered = true
	o.answer = answer
}

// restart replaces the engine's process. Orders in progress end without an answer.
func (e *simEngine) restart() {
	e.incarnation++
	e.models = map[string]*simModel{}
	if e.fencing == fencingVolatile {
		e.highest = 0
	}
	for _, o := range e.orders {
		if o.arrived && !o.answered || o.sent && !o.answered && e.fencing == fencingVolatile {
			o.arrived = true
			o.answered = true
			o.answer = endpoint.ErrOutcomeUnknown
		}
	}
}

// expireOrders drops abandoned orders that have ended or expired. An abandoned adapter load completes when it expires:
// the engine does not list adapters while it loads them, so only the order's lifetime bounds the load.
func (e *simEngine) expireOrders(now time.Time) {
	e.orders = slices.DeleteFunc(e.orders, func(o *simOrder) bool {
		if !o.abandoned {
			return false
		}
		if o.answered {
			return true
		}
		if now.Before(o.expires) {
			return false
		}
		if o.arrived && o.Kind == endpoint.OrderLoadAdapter {
			e.work(o)
		}
		return !o.arrived || o.answered
	})
}
