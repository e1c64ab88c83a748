package engineagent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// testClass is that of an engine with three places for models and four for adapters.
func testClass() *EngineClass {
	class := &EngineClass{Version: 1, MemoryMB: 230_000, AdapterPlaces: 4, Models: make(map[string]Model)}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		class.Models[name] = Model{SizeMB: 72_000, AdapterMB: 66}
	}
	return class
}

// lateOrder is an order that reaches the engine long after it was sent.
type lateOrder struct {
	at    time.Time
	order Order
}

// engine is a small model of an engine that carries out orders and breaks when its memory or places are overcommitted.
type engine struct {
	t        *testing.T
	id       string
	class    *EngineClass
	models   map[string]map[string]bool
	sequence int64
	busy     *Order
	busyEnds time.Time
	late     []lateOrder
	// refusedBusy counts the orders that came while it carried out another.
	refusedBusy int
}

func newEngine(t *testing.T, models ...string) *engine {
	e := &engine{t: t, id: "i1", class: testClass(), models: make(map[string]map[string]bool)}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
	}
	return e
}

// advance finishes what is due and carries out orders that come late.
func (e *engine) advance(now time.Time) {
	if e.busy != nil && !now.Before(e.busyEnds) {
		if e.busy.Kind == Load {
			e.models[e.busy.Model] = make(map[string]bool)
		} else {
			delete(e.models, e.busy.Model)
		}
		e.busy = nil
	}
	rest := e.late[:0]
	for _, l := range e.late {
		if now.Before(l.at) {
			rest = append(rest, l)
			continue
		}
		e.take(now, l.order)
	}
	e.late = rest
}

// take carries out an order and checks that it overcommits nothing.
func (e *engine) take(now time.Time, o Order) Result {
	if o.EndpointID != e.id {
		return WrongEndpoint
	}
	if e.busy != nil {
		e.refusedBusy++
	}
	if o.Sequence != e.sequence || e.busy != nil {
		return Conflict
	}
	e.sequence++
	switch {
	case o.Adapter != "" && o.Kind == Load:
		e.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(e.models[o.Model], o.Adapter)
	default:
		e.busy, e.busyEnds = &o, now.Add(time.Second)
	}
	e.check(o)
	return Accepted
}

func (e *engine) check(o Order) {
	used, adapters := 0.0, 0
	for m, list := range e.models {
		used += e.class.Models[m].SizeMB + float64(len(list))*e.class.Models[m].AdapterMB
		adapters += len(list)
	}
	if e.busy != nil && e.busy.Kind == Load {
		used += e.class.Models[e.busy.Model].SizeMB
	}
	if used > e.class.MemoryMB || adapters > e.class.AdapterPlaces {
		e.t.Fatalf("order %+v overcommits the engine: %.0f MB, %d adapters", o, used, adapters)
	}
}

func (e *engine) report() *Report {
	r := &Report{Models: make(map[string]map[string]bool), Busy: e.busy != nil, Sequence: e.sequence}
	for m, list := range e.models {
		r.Models[m] = make(map[string]bool)
		for a := range list {
			r.Models[m][a] = true
		}
	}
	return r
}

// drive runs a core against an engine for a time; answer says what becomes of each order.
func drive(c *Core, e *engine, now time.Time, length time.Duration, answer func(now time.Time, o Order) Result) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
		e.advance(now)
		action := c.Next(now)
		switch {
		case action.Read:
			c.Reported(now, e.report())
		case action.Order != nil:
			c.Answered(now, *action.Order, answer(now, *action.Order))
		}
	}
	return now
}

func tell(c *Core, now time.Time, m GatewayMessage) {
	m.EndpointID, m.EndpointRevision, m.Class = "i1", 1, testClass()
	c.FromGateway(now, "gateway", m)
}

func TestCommandSwapsModels(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	tell(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"b"}, Load: "d"}})
	drive(c, e, start, 4*time.Second, e.take)
	if _, ok := e.models["d"]; !ok || len(e.models) != 3 {
		t.Errorf("the engine holds %v, want a, c and d", e.models)
	}
	if c.command != nil {
		t.Error("the command is still being carried out")
	}
}

// A command that would overcommit memory is dropped, whatever its sender believed.
func TestCommandWithoutRoomIsDropped(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	tell(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Load: "d"}})
	drive(c, e, start, 2*time.Second, e.take)
	if e.sequence != 0 || c.command != nil {
		t.Errorf("%d orders accepted, command %v, want none", e.sequence, c.command)
	}
}

// Story: the answer to a load is lost, and the load reaches the engine seconds later, when the agent has long carried out
// something else. The engine's memory would be overcommitted and the engine crash. The sequence in each order keeps the late one
// from being carried out; an engine never takes both.
func TestLateOrderIsHarmless(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		now := start
		for i := range 12 {
			held := make([]string, 0, 3)
			for _, m := range []string{"a", "b", "c", "d", "e"} {
				if _, ok := e.models[m]; ok {
					held = append(held, m)
				}
			}
			load := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
			command := &Command{ID: uint64(i + 1), EndpointID: "i1", Load: load}
			if len(held) == 3 {
				command.Unload = []string{held[random.IntN(3)]}
			}
			tell(c, now, GatewayMessage{Command: command, Wanted: []Adapter{{"a", fmt.Sprint(random.IntN(8))}, {"b", fmt.Sprint(random.IntN(8))}}})
			now = drive(c, e, now, time.Duration(random.IntN(4000))*time.Millisecond, func(now time.Time, o Order) Result {
				switch random.IntN(4) {
				case 0:
					e.late = append(e.late, lateOrder{at: now.Add(2*time.Second + time.Duration(random.IntN(10_000))*time.Millisecond), order: o})
					return Unknown
				case 1:
					e.take(now, o)
					return Unknown
				}
				return e.take(now, o)
			})
		}
	}
}

// Story: an agent is killed while its engine loads a model, and its successor does not know which. Adapters must not take the
// memory that the load needs.
func TestRestartedAgentLeavesRoomForAnUnknownLoad(t *testing.T) {
	e := newEngine(t, "a", "b")
	e.class.Models["a"] = Model{SizeMB: 72_000, AdapterMB: 5_000}
	e.class.Models["c"] = Model{SizeMB: 80_000}
	e.busy, e.busyEnds, e.sequence = &Order{Kind: Load, Model: "c"}, start.Add(2*time.Second), 1
	c := NewCore(100 * time.Millisecond)
	for i := range 3 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		c.FromGateway(now, "gateway", GatewayMessage{EndpointID: "i1", EndpointRevision: 1, Class: e.class, Wanted: []Adapter{{"a", fmt.Sprint(i)}}})
		drive(c, e, now, 300*time.Millisecond, e.take)
	}
}

// Story: an engine loads a model for six seconds, and requests wait for an adapter there. Orders for it are refused until the load
// is over; the agent gave one every 90 ms, each at a price, and held the adapter's requests to this engine.
func TestBusyEngineIsNotOrdered(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	tell(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"b"}, Load: "d"}})
	now := start
	for range 20 {
		tell(c, now, GatewayMessage{Wanted: []Adapter{{"a", "1"}}})
		now = drive(c, e, now, 200*time.Millisecond, e.take)
	}
	if e.refusedBusy > 0 {
		t.Errorf("%d orders given while the engine was busy, want none", e.refusedBusy)
	}
	if !e.models["a"]["1"] {
		t.Error("the adapter was not loaded after the model")
	}
}

// Places for adapters are few: one that requests use stays, the one that was used longest ago makes way.
func TestAdapterUsedLongestAgoMakesWay(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a")
	now := start
	for i := range 5 {
		tell(c, now, GatewayMessage{Wanted: []Adapter{{"a", fmt.Sprint(i)}}, Used: []Adapter{{"a", "0"}}})
		now = drive(c, e, now, 300*time.Millisecond, e.take)
	}
	held := e.models["a"]
	if !held["0"] || held["1"] || !held["4"] {
		t.Errorf("the engine holds adapters %v, want the one in use and the newest, not the second", held)
	}
}

// Story: an engine crashes and comes back empty at the same address, as another incarnation. Its agent must not go on with the
// command for the one before.
func TestRestartedEngineEndsTheCommand(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	tell(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"a"}, Load: "d"}})
	now := drive(c, e, start, 300*time.Millisecond, e.take)
	e.id, e.sequence, e.busy = "i2", 0, nil
	clear(e.models)
	now = drive(c, e, now, time.Second, e.take)
	if e.sequence != 0 || c.command != nil {
		t.Errorf("%d orders accepted by the new incarnation, command %v, want none", e.sequence, c.command)
	}
	c.FromGateway(now, "gateway", GatewayMessage{EndpointID: "i2", EndpointRevision: 2, Command: &Command{ID: 2, EndpointID: "i2", Load: "a"}})
	drive(c, e, now, 2*time.Second, e.take)
	if _, ok := e.models["a"]; !ok {
		t.Error("the new incarnation gets no orders")
	}
}
