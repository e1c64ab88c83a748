package loading

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/endpoint"
)

// fencing is how a simulated engine treats fencing numbers.
type fencing int

const (
	fencingIgnored fencing = iota
	// fencingDurable: numbers are checked and outlive a restart.
	fencingDurable
	// fencingVolatile: numbers are checked and forgotten at a restart, which breaks the connections of orders on their way.
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

// simOrder is an order on its way through the simulated world.
type simOrder struct {
	endpoint.Order
	agent int
	// sent, arrived and answered are the stages; answer is what the engine said.
	sent, arrived, answered bool
	answer                  error
	// abandoned is set once its sender gave it up or died; from dies on it has no effect any more.
	abandoned bool
	dies      time.Time
}

// simEngine is an engine that carries orders out late and in any order.
type simEngine struct {
	random      *rand.Rand
	fencing     fencing
	limit, base int64
	incarnation int
	highest     uint64
	models      map[string]*simModel
	orders      []*simOrder
	// calm engines have no failures of their own.
	calm bool
	// violation is the first thing that must not happen.
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
		s.HighestFence = e.highest
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

// arrive lets a sent order reach the engine.
func (e *simEngine) arrive(o *simOrder) {
	m := e.models[o.Model]
	if o.Kind == endpoint.OrderLoad && m != nil && m.state == endpoint.EngineUnloading {
		return
	}
	o.arrived = true
	if e.fencing != fencingIgnored && o.Fence < e.highest {
		e.end(o, endpoint.ErrFenced)
		return
	}
	e.highest = max(e.highest, o.Fence)
	if !e.calm && e.random.IntN(20) == 0 {
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
		e.violate("order %s of agent %d takes the memory to %d of %d", o.ID, o.agent, e.used(), e.limit)
	}
}

// work brings an order that has arrived to its end.
func (e *simEngine) work(o *simOrder) {
	m := e.models[o.Model]
	failed := !e.calm && e.random.IntN(8) == 0
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

// end fixes the answer of an order.
func (e *simEngine) end(o *simOrder, answer error) {
	o.answered = true
	o.answer = answer
}

// restart replaces the engine's process. Orders that it was carrying out end without an answer.
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

// settle drops what is over and, of an abandoned adapter load whose life ends, brings it to its end: an engine does not
// list what it is loading, so that only the life tells when it is over.
func (e *simEngine) settle(now time.Time) {
	e.orders = slices.DeleteFunc(e.orders, func(o *simOrder) bool {
		if !o.abandoned {
			return false
		}
		if o.answered {
			return true
		}
		if now.Before(o.dies) {
			return false
		}
		if o.arrived && o.Kind == endpoint.OrderLoadAdapter {
			e.work(o)
		}
		return !o.arrived || o.answered
	})
}
