package engineagent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var start = time.Unix(1000, 0)

// testClass returns the class of an engine with memory for three models and capacity for four adapters.
func testClass() *EngineClass {
	class := &EngineClass{Version: 1, MemoryMB: 230_000, MaxAdapters: 4, Models: make(map[string]Model)}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		class.Models[name] = Model{SizeMB: 72_000, AdapterMB: 66}
	}
	return class
}

// delayedOrder is an order that reaches the engine seconds after it was sent.
type delayedOrder struct {
	at    time.Time
	order Order
}

// fakeEngine simulates an engine that carries out orders. It fails the test when its memory or adapter capacity is
// overcommitted.
type fakeEngine struct {
	t        *testing.T
	id       string
	started  int64
	class    *EngineClass
	models   map[string]map[string]bool
	sequence int64
	busy     *Order
	busyEnds time.Time
	delayed  []delayedOrder
	// ordersWhileBusy counts the orders that arrived while the engine was carrying out another one.
	ordersWhileBusy int
}

func newEngine(t *testing.T, models ...string) *fakeEngine {
	e := &fakeEngine{t: t, id: "i1", class: testClass(), models: make(map[string]map[string]bool)}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
	}
	return e
}

// advance completes the current order if it is due and handles the delayed orders that have arrived.
func (e *fakeEngine) advance(now time.Time) {
	if e.busy != nil && !now.Before(e.busyEnds) {
		if e.busy.Kind == Load {
			e.models[e.busy.Model] = make(map[string]bool)
		} else {
			delete(e.models, e.busy.Model)
		}
		e.busy = nil
	}
	pending := e.delayed[:0]
	for _, d := range e.delayed {
		if now.Before(d.at) {
			pending = append(pending, d)
			continue
		}
		e.handleOrder(now, d.order)
	}
	e.delayed = pending
}

// handleOrder starts to carry out an order and checks that the engine's capacity suffices.
func (e *fakeEngine) handleOrder(now time.Time, o Order) Result {
	if o.EndpointID != e.id {
		return WrongEndpoint
	}
	if e.busy != nil {
		e.ordersWhileBusy++
	}
	if o.Sequence != e.sequence || e.busy != nil {
		return Conflict
	}
	if _, loaded := e.models[o.Model]; o.Adapter != "" && !loaded {
		return Rejected
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
	e.checkCapacity(o)
	return Accepted
}

// handleOrderUnreliably handles an order whose response may be lost, and which may then reach the engine seconds later.
func (e *fakeEngine) handleOrderUnreliably(random *rand.Rand, now time.Time, o Order) Result {
	switch random.IntN(4) {
	case 0:
		e.delayed = append(e.delayed, delayedOrder{at: now.Add(2*time.Second + time.Duration(random.IntN(10_000))*time.Millisecond), order: o})
		return Unknown
	case 1:
		e.handleOrder(now, o)
		return Unknown
	}
	return e.handleOrder(now, o)
}

func (e *fakeEngine) checkCapacity(o Order) {
	used, adapters := 0.0, 0
	for m, list := range e.models {
		used += e.class.Models[m].SizeMB + float64(len(list))*e.class.Models[m].AdapterMB
		adapters += len(list)
	}
	if e.busy != nil && e.busy.Kind == Load {
		used += e.class.Models[e.busy.Model].SizeMB
	}
	if used > e.class.MemoryMB || adapters > e.class.MaxAdapters {
		e.t.Fatalf("order %+v overcommits the engine: %.0f MB, %d adapters", o, used, adapters)
	}
}

func (e *fakeEngine) report() *Report {
	r := &Report{Started: e.started, Models: make(map[string]map[string]bool), Busy: e.busy != nil, Sequence: e.sequence}
	for m, list := range e.models {
		r.Models[m] = make(map[string]bool)
		for a := range list {
			r.Models[m][a] = true
		}
	}
	return r
}

// drive runs a core against an engine for the given length of simulated time; answer returns the result of each order.
func drive(c *Core, e *fakeEngine, now time.Time, length time.Duration, answer func(now time.Time, o Order) Result) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
		e.advance(now)
		action := c.Next(now)
		switch {
		case action.Read:
			c.HandleReport(now, e.report())
		case action.Order != nil:
			c.HandleOrderResult(now, *action.Order, answer(now, *action.Order))
		}
	}
	return now
}

func sendGatewayMessage(c *Core, now time.Time, m GatewayMessage) {
	m.EndpointID, m.EndpointRevision, m.Class = "i1", 1, testClass()
	c.HandleGatewayMessage(now, "gateway", m)
}

func TestCommandSwapsModels(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"b"}, Load: "d"}})
	drive(c, e, start, 4*time.Second, e.handleOrder)
	if _, ok := e.models["d"]; !ok || len(e.models) != 3 {
		t.Errorf("loaded models %v, want a, c and d", e.models)
	}
	if c.command != nil {
		t.Error("the command is not cleared")
	}
}

// A command that would overcommit the engine's memory is dropped.
func TestCommandWithoutRoomIsDropped(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Load: "d"}})
	drive(c, e, start, 2*time.Second, e.handleOrder)
	if e.sequence != 0 || c.command != nil {
		t.Errorf("%d orders accepted, command %v, want none", e.sequence, c.command)
	}
}

// The response to a load order is lost, and the order reaches the engine seconds later, after newer orders. Carrying out both
// would overcommit the engine's memory and crash it. The sequence in each order makes the engine reject the delayed one.
func TestLateOrderIsHarmless(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		now := start
		for i := range 12 {
			loaded := make([]string, 0, 3)
			for _, m := range []string{"a", "b", "c", "d", "e"} {
				if _, ok := e.models[m]; ok {
					loaded = append(loaded, m)
				}
			}
			load := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
			command := &Command{ID: uint64(i + 1), EndpointID: "i1", Load: load}
			if len(loaded) == 3 {
				command.Unload = []string{loaded[random.IntN(3)]}
			}
			sendGatewayMessage(c, now, GatewayMessage{Command: command, Wanted: []Adapter{{"a", fmt.Sprint(random.IntN(8))}, {"b", fmt.Sprint(random.IntN(8))}}})
			now = drive(c, e, now, time.Duration(random.IntN(4000))*time.Millisecond, func(now time.Time, o Order) Result {
				return e.handleOrderUnreliably(random, now, o)
			})
		}
	}
}

// An agent restarts while its engine loads a model and cannot determine which model that is. Adapters must not take the
// memory that the load needs.
func TestRestartedAgentLeavesRoomForAnUnknownLoad(t *testing.T) {
	e := newEngine(t, "a", "b")
	e.class.Models["a"] = Model{SizeMB: 72_000, AdapterMB: 5_000}
	e.class.Models["c"] = Model{SizeMB: 80_000}
	e.busy, e.busyEnds, e.sequence = &Order{Kind: Load, Model: "c"}, start.Add(2*time.Second), 1
	c := NewCore(100 * time.Millisecond)
	for i := range 3 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		c.HandleGatewayMessage(now, "gateway", GatewayMessage{EndpointID: "i1", EndpointRevision: 1, Class: e.class, Wanted: []Adapter{{"a", fmt.Sprint(i)}}})
		drive(c, e, now, 300*time.Millisecond, e.handleOrder)
	}
}

// Requests wait for an adapter on an engine that takes six seconds to load a model and refuses all orders until then. The
// agent used to send an order every 90 ms: each call was refused, and the requests kept waiting for this engine. It must
// send none while the engine is busy.
func TestBusyEngineIsNotOrdered(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"b"}, Load: "d"}})
	now := start
	for range 20 {
		sendGatewayMessage(c, now, GatewayMessage{Wanted: []Adapter{{"a", "1"}}})
		now = drive(c, e, now, 200*time.Millisecond, e.handleOrder)
	}
	if e.ordersWhileBusy > 0 {
		t.Errorf("%d orders sent while the engine was busy, want 0", e.ordersWhileBusy)
	}
	if !e.models["a"]["1"] {
		t.Error("the adapter was not loaded after the model load completed")
	}
}

// When the adapter capacity is used up, the least recently used adapter is unloaded, but never one that requests use.
func TestAdapterUsedLongestAgoMakesWay(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a")
	now := start
	for i := range 5 {
		sendGatewayMessage(c, now, GatewayMessage{Wanted: []Adapter{{"a", fmt.Sprint(i)}}, Used: []Adapter{{"a", "0"}}})
		now = drive(c, e, now, 300*time.Millisecond, e.handleOrder)
	}
	adapters := e.models["a"]
	if !adapters["0"] || adapters["1"] || !adapters["4"] {
		t.Errorf("loaded adapters %v, want 0 (in use) and 4 (newest) and not 1 (least recently used)", adapters)
	}
}

// An engine crashes and restarts without models at the same address, as another incarnation. Its agent must not go on with the
// command for the previous incarnation.
func TestRestartedEngineEndsTheCommand(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
	sendGatewayMessage(c, start, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", Unload: []string{"a"}, Load: "d"}})
	now := drive(c, e, start, 300*time.Millisecond, e.handleOrder)
	e.id, e.sequence, e.busy = "i2", 0, nil
	clear(e.models)
	now = drive(c, e, now, time.Second, e.handleOrder)
	if e.sequence != 0 || c.command != nil {
		t.Errorf("%d orders accepted by the new incarnation, command %v, want none", e.sequence, c.command)
	}
	c.HandleGatewayMessage(now, "gateway", GatewayMessage{EndpointID: "i2", EndpointRevision: 2, Command: &Command{ID: 2, EndpointID: "i2", Load: "a"}})
	drive(c, e, now, 2*time.Second, e.handleOrder)
	if _, ok := e.models["a"]; !ok {
		t.Error("the new incarnation did not load the model")
	}
}

// restart replaces the engine's process by an empty one under the same ID. Delayed orders stay on their way.
func (e *fakeEngine) restart() {
	e.started, e.sequence, e.busy = e.started+1000, 0, nil
	clear(e.models)
}

// An engine restarts under its ID at any moment, among orders that are lost or carried out seconds late, and has the same
// count of orders as before or a higher one when its agent reads it next. A late order for the earlier process must not
// overcommit the new one, and a command for the earlier one must not be carried out by the new one.
func TestRestartUnderTheIDAtAnyStep(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		e.started = 1000
		now := start
		for i := range 12 {
			started := e.started
			if random.IntN(3) == 0 {
				e.restart()
			}
			load := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
			command := &Command{ID: uint64(i + 1), EndpointID: "i1", EngineStarted: started, Load: load}
			if len(e.models) == 3 {
				command.Unload = []string{slices.Sorted(maps.Keys(e.models))[random.IntN(3)]}
			}
			sendGatewayMessage(c, now, GatewayMessage{Command: command, Wanted: []Adapter{{"a", fmt.Sprint(random.IntN(8))}, {"b", fmt.Sprint(random.IntN(8))}}})
			length := time.Duration(random.IntN(4000)) * time.Millisecond
			now = drive(c, e, now, length, func(now time.Time, o Order) Result {
				if random.IntN(20) == 0 {
					e.restart()
				}
				return e.handleOrderUnreliably(random, now, o)
			})
		}
	}
}

// A report of an earlier process, or one that does not state its process after others did, is not used.
func TestReportOfAnEarlierProcessIsNotUsed(t *testing.T) {
	c := NewCore(100 * time.Millisecond)
	report := func(started int64, models ...string) *Report {
		r := &Report{Started: started, Models: make(map[string]map[string]bool)}
		for _, m := range models {
			r.Models[m] = map[string]bool{}
		}
		return r
	}
	sendGatewayMessage(c, start, GatewayMessage{})
	if c.HandleReport(start, report(100, "a")) != nil || c.HandleReport(start, report(200, "b")) != nil {
		t.Fatal("the report of a later process was refused")
	}
	for _, started := range []int64{0, 100, 199} {
		if err := c.HandleReport(start, report(started, "a")); !errors.Is(err, ErrEarlierProcess) || !c.down {
			t.Errorf("a report of the process started at %d was used after one of 200", started)
		}
	}
	if c.HandleReport(start, report(200, "b")) != nil || c.down {
		t.Error("the engine did not return with a good report")
	}
	c.HandleGatewayMessage(start, "gateway", GatewayMessage{EndpointID: "i2", EndpointRevision: 2})
	if c.HandleReport(start, report(150, "b")) != nil {
		t.Error("the start of a process under another ID was compared")
	}
}

// A command for an earlier process of the engine arrives after the restart. What it unloads and loads follows from what
// that process held.
func TestCommandForAnEarlierProcessIsIgnored(t *testing.T) {
	c, e := NewCore(100*time.Millisecond), newEngine(t, "a")
	e.started = 200
	sendGatewayMessage(c, start, GatewayMessage{})
	now := drive(c, e, start, 200*time.Millisecond, e.handleOrder)
	sendGatewayMessage(c, now, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", EngineStarted: 100, Unload: []string{"a"}, Load: "b"}})
	drive(c, e, now, time.Second, e.handleOrder)
	if e.sequence != 0 || c.command != nil {
		t.Errorf("%d orders of a command for the earlier process", e.sequence)
	}
}

// The engine restarts under its ID with the same count of orders or a higher one, which does not show the restart. What
// was queued for the earlier process must not be ordered of the new one.
func TestQueuedCommandEndsWithTheEngineProcess(t *testing.T) {
	for _, sequence := range []int64{0, 5} {
		c, e := NewCore(100*time.Millisecond), newEngine(t, "a", "b", "c")
		e.started = 1000
		sendGatewayMessage(c, start, GatewayMessage{})
		now := drive(c, e, start, 200*time.Millisecond, e.handleOrder)
		sendGatewayMessage(c, now, GatewayMessage{Command: &Command{ID: 1, EndpointID: "i1", EngineStarted: 1000, Unload: []string{"a"}, Load: "d"}, Wanted: []Adapter{{"b", "1"}}})
		e.restart()
		e.sequence = sequence
		c.HandleReport(now, e.report())
		drive(c, e, now, 2*time.Second, e.handleOrder)
		if e.sequence != sequence || len(e.models) != 0 {
			t.Errorf("count of orders %d, then %d, models %v; want no order", sequence, e.sequence, e.models)
		}
	}
}
