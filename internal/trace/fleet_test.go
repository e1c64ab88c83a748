package trace

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

const (
	// memoryUnit is an accelerator's memory; shares are rounded to its thousandths.
	memoryUnit  = 1000
	unloadTime  = time.Second
	readTime    = time.Millisecond
	reportEvery = 5 * time.Second
)

// timed is something that happens at a time; sequence keeps the order of what happens at the same time.
type timed struct {
	at       time.Time
	sequence int
	do       func()
}

// agenda is a heap of what is to happen.
type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// heldModel is a model version in the memory of one engine.
type heldModel struct {
	state   string
	bytes   int64
	running int
	// idleFrom is when it last stopped serving, or began to load.
	idleFrom time.Time
}

// node is one engine with its agent's machine and policy.
type node struct {
	name    string
	machine *loading.Machine
	policy  loading.IdlePolicy
	models  map[string]*heldModel
	usable  map[string]bool
	waiting map[string][]*pending
	tickAt  time.Time
	loads   int
}

// pending is a request on its way.
type pending struct {
	Request
	id      string
	arrived time.Time
	// tried are the engines that refused it.
	tried int
	done  bool
}

// fleet plays a trace through the real machines, policies and budget of a deployment, with engines that only take time.
// Each model has slots on two engines; a request goes to the first and, if refused, to the second.
type fleet struct {
	trace   *Trace
	now     time.Time
	agenda  agenda
	counter int
	nodes   []*node
	budget  *permits.Budget
	wakeAt  time.Time
	held    map[int][]*pending
	holding bool

	result       Result
	refused      int
	batchRefused int
	overcommit   int
}

func newFleet(t *Trace, opts permits.Options, holding bool, policy func() loading.IdlePolicy) *fleet {
	f := &fleet{trace: t, now: epoch, budget: permits.NewBudget(opts), held: map[int][]*pending{}, holding: holding}
	for e := range t.Profile.Engines {
		p := policy()
		n := &node{
			name: fmt.Sprintf("engine-%02d", e), policy: p, models: map[string]*heldModel{}, usable: map[string]bool{}, waiting: map[string][]*pending{},
			machine: loading.NewMachine(loading.Options{
				Engine: fmt.Sprintf("engine-%02d", e), Host: "h", MemoryBytes: memoryUnit, ChecksFencing: true, OrderLifetime: time.Minute,
				StateInterval: time.Hour, PermitTimeout: 30 * time.Second, LoadsAtOnce: 2, Seed: uint64(e),
			}, p),
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.step(n, loading.Tick{})
		f.step(n, loading.SpecsChanged{Models: f.specs()})
	}
	f.at(epoch.Add(reportEvery), f.report)
	for _, r := range t.Requests {
		p := &pending{Request: r, arrived: epoch.Add(r.At)}
		f.at(p.arrived, func() { f.arrive(p) })
	}
	return f
}

// slots returns the engines of a model, the first one preferred; neighbours in the list of models share neither.
func (f *fleet) slots(model int) [2]*node {
	n := len(f.nodes)
	first := model % n
	second := (first + 1 + model/n%(n-1)) % n
	return [2]*node{f.nodes[first], f.nodes[second]}
}

func (f *fleet) specs() []loading.ModelSpec {
	var specs []loading.ModelSpec
	for _, m := range f.trace.Models {
		specs = append(specs, loading.ModelSpec{Model: m.Name, MemoryBytes: int64(m.MemoryShare * memoryUnit), ExpectedLoad: m.ColdStart})
	}
	return specs
}

// rows returns the grants that name a node.
func (f *fleet) rows(n *node) []*replicaspb.Row {
	var rows []*replicaspb.Row
	for i, m := range f.trace.Models {
		row := &replicaspb.Row{Model: m.Name, Revision: 1}
		named := false
		for _, s := range f.slots(i) {
			row.Slots = append(row.Slots, &replicaspb.Slot{Engine: s.name, Host: "h", State: replicaspb.SlotState_GRANTED})
			named = named || s == n
		}
		if named {
			rows = append(rows, row)
		}
	}
	return rows
}

func (f *fleet) at(t time.Time, do func()) {
	f.counter++
	heap.Push(&f.agenda, timed{t, f.counter, do})
}

// run plays the trace to its end.
func (f *fleet) run() Result {
	end := epoch.Add(f.trace.Length)
	for len(f.agenda) > 0 {
		next := heap.Pop(&f.agenda).(timed)
		if next.at.After(end) {
			break
		}
		f.now = next.at
		next.do()
	}
	f.now = end
	for _, n := range f.nodes {
		for _, h := range n.models {
			f.account(h)
		}
	}
	slices.Sort(f.result.Waits)
	return f.result
}

// account adds the idle time of a model up to now.
func (f *fleet) account(h *heldModel) {
	if h.running == 0 && f.now.After(h.idleFrom) {
		f.result.IdleSeconds += f.now.Sub(h.idleFrom).Seconds() * float64(h.bytes) / memoryUnit
	}
	h.idleFrom = f.now
}

// step gives a machine an event, carries out its actions and arranges the next tick.
func (f *fleet) step(n *node, e loading.Event) {
	for _, a := range n.machine.Step(f.now, e) {
		f.perform(n, a)
	}
	next := n.machine.NextDeadline()
	if next.IsZero() || !n.tickAt.IsZero() && !next.Before(n.tickAt) {
		return
	}
	if next.Before(f.now) {
		next = f.now
	}
	n.tickAt = next
	f.at(next, func() {
		if n.tickAt.Equal(next) {
			n.tickAt = time.Time{}
			f.step(n, loading.Tick{})
		}
	})
}

func (f *fleet) perform(n *node, a loading.Action) {
	switch a := a.(type) {
	case loading.SendOrder:
		f.order(n, a.Order)
	case loading.ReadEngine:
		f.at(f.now.Add(readTime), func() { f.step(n, loading.EngineRead{ID: a.ID, State: n.state()}) })
	case loading.ReadRows:
		f.at(f.now.Add(readTime), func() { f.step(n, loading.RowsRead{Rows: f.rows(n), Revision: 1}) })
	case loading.AskPermit:
		f.budget.Request(f.now, n.name, &wirepb.PermitRequest{Id: a.ID, Kind: a.Kind, Model: a.Model, SlackMicros: a.Deadline.Sub(f.now).Microseconds()})
		f.decide()
	case loading.ReleasePermit:
		f.budget.Done(f.now, n.name, a.ID)
		f.decide()
	case loading.Usable:
		n.usable[a.Model] = true
		f.at(f.now, func() { f.startWaiting(n, a.Model) })
	case loading.Unusable:
		delete(n.usable, a.Model)
	case loading.RefuseRequests:
		f.refuse(n, a)
	}
}

// decide carries the budget's answers to the agents.
func (f *fleet) decide() {
	for _, g := range f.budget.Decide(f.now) {
		n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == g.Agent })]
		var e loading.Event = loading.PermitDenied{ID: g.Permit.GetId(), RetryAt: f.now.Add(time.Duration(g.Permit.GetRetryAfterMicros()) * time.Microsecond)}
		if valid := g.Permit.GetValidMicros(); valid > 0 {
			e = loading.PermitGranted{ID: g.Permit.GetId(), Expires: f.now.Add(time.Duration(valid) * time.Microsecond)}
		}
		f.at(f.now, func() { f.step(n, e) })
	}
	if next := f.budget.Next(); !next.IsZero() && next.After(f.now) && (f.wakeAt.IsZero() || next.Before(f.wakeAt)) {
		f.wakeAt = next
		f.at(next, func() {
			f.wakeAt = time.Time{}
			f.decide()
		})
	}
}

// report tells the budget what is in flight, as heartbeats do.
func (f *fleet) report() {
	for _, n := range f.nodes {
		f.budget.InFlight(f.now, n.name, n.loads, 0)
	}
	f.decide()
	f.at(f.now.Add(reportEvery), f.report)
}

func (n *node) state() endpoint.EngineState {
	s := endpoint.EngineState{Incarnation: "1", MemoryBytes: memoryUnit}
	for _, model := range slices.Sorted(maps.Keys(n.models)) {
		h := n.models[model]
		s.UsedBytes += h.bytes
		s.Models = append(s.Models, endpoint.LoadedModel{Model: model, State: h.state, MemoryBytes: h.bytes})
	}
	return s
}

// order lets the engine carry out an order.
func (f *fleet) order(n *node, o endpoint.Order) {
	took := readTime
	h := n.models[o.Model]
	switch {
	case o.Kind == endpoint.OrderLoad:
		i := slices.IndexFunc(f.trace.Models, func(m Model) bool { return m.Name == o.Model })
		took = f.trace.Models[i].ColdStart
		f.result.Wakes++
		n.loads++
		n.models[o.Model] = &heldModel{state: endpoint.EngineLoading, bytes: o.MemoryBytes, idleFrom: f.now}
		if n.state().UsedBytes > memoryUnit {
			f.overcommit++
		}
	case h != nil:
		h.state = endpoint.EngineUnloading
		took = unloadTime
	}
	f.at(f.now.Add(took), func() {
		if o.Kind == endpoint.OrderLoad {
			n.loads--
			n.models[o.Model].state = endpoint.EngineLoaded
		} else if h != nil {
			f.account(h)
			delete(n.models, o.Model)
		}
		f.step(n, loading.OrderDone{ID: o.ID})
	})
}
