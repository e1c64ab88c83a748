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
	// engineMemory is the memory of one accelerator in thousandths, to which memory shares are rounded down.
	engineMemory   = 1000
	unloadDuration = time.Second
	readLatency    = time.Millisecond
	reportInterval = 5 * time.Second
)

// timedEvent is a scheduled callback. Events at the same time run in the order of sequence.
type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of scheduled events.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// residentModel is a model version in the memory of one engine.
type residentModel struct {
	state   string
	bytes   int64
	running int
	// idleFrom is the time of the last accounting or the start of the load.
	idleFrom time.Time
}

// node is an engine with its agent's state machine and idle policy.
type node struct {
	name    string
	machine *loading.Machine
	policy  loading.IdlePolicy
	models  map[string]*residentModel
	usable  map[string]bool
	waiting map[string][]*pendingRequest
	tickAt  time.Time
	loads   int
}

// pendingRequest is a request that has not been served yet.
type pendingRequest struct {
	Request
	id      string
	arrived time.Time
	// attempts is the number of engines to which the request has been offered.
	attempts int
	done     bool
}

// fleet simulates a trace with the production state machines, idle policies and load budget. Engines are simulated by
// delays. Each model has slots on two engines; a request goes to the first one and, if refused, to the second.
type fleet struct {
	trace        *Trace
	now          time.Time
	events       eventQueue
	counter      int
	nodes        []*node
	budget       *permits.Budget
	wakeAt       time.Time
	heldRequests map[int][]*pendingRequest
	holdBatch    bool

	result       Result
	refused      int
	batchRefused int
	overcommit   int
}

func newFleet(t *Trace, opts permits.Options, holdBatch bool, policy func() loading.IdlePolicy) *fleet {
	f := &fleet{trace: t, now: epoch, budget: permits.NewBudget(opts), heldRequests: map[int][]*pendingRequest{}, holdBatch: holdBatch}
	for e := range t.Profile.Engines {
		p := policy()
		n := &node{
			name: fmt.Sprintf("engine-%02d", e), policy: p, models: map[string]*residentModel{}, usable: map[string]bool{}, waiting: map[string][]*pendingRequest{},
			machine: loading.NewMachine(loading.Options{
				Engine: fmt.Sprintf("engine-%02d", e), Host: "h", MemoryBytes: engineMemory, ChecksFencing: true, OrderLifetime: time.Minute,
				StateInterval: time.Hour, PermitTimeout: 30 * time.Second, LoadsAtOnce: 2, Seed: uint64(e),
			}, p),
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.step(n, loading.Tick{})
		f.step(n, loading.SpecsChanged{Models: f.specs()})
	}
	f.schedule(epoch.Add(reportInterval), f.report)
	for _, r := range t.Requests {
		p := &pendingRequest{Request: r, arrived: epoch.Add(r.At)}
		f.schedule(p.arrived, func() { f.arrive(p) })
	}
	return f
}

// slots returns the two engines of a model, the preferred one first. Adjacent models in the list differ in both engines.
func (f *fleet) slots(model int) [2]*node {
	n := len(f.nodes)
	first := model % n
	second := (first + 1 + model/n%(n-1)) % n
	return [2]*node{f.nodes[first], f.nodes[second]}
}

func (f *fleet) specs() []loading.ModelSpec {
	var specs []loading.ModelSpec
	for _, m := range f.trace.Models {
		specs = append(specs, loading.ModelSpec{Model: m.Name, MemoryBytes: int64(m.MemoryShare * engineMemory), ExpectedLoad: m.ColdStart})
	}
	return specs
}

// rows returns the rows of the replica table that name a node.
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

func (f *fleet) schedule(t time.Time, run func()) {
	f.counter++
	heap.Push(&f.events, timedEvent{t, f.counter, run})
}

// run simulates the trace to its end.
func (f *fleet) run() Result {
	end := epoch.Add(f.trace.Length)
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(timedEvent)
		if next.at.After(end) {
			break
		}
		f.now = next.at
		next.run()
	}
	f.now = end
	for _, n := range f.nodes {
		for _, h := range n.models {
			f.accountIdle(h)
		}
	}
	slices.Sort(f.result.Waits)
	return f.result
}

// accountIdle adds the idle time of a model since the last accounting.
func (f *fleet) accountIdle(h *residentModel) {
	if h.running == 0 && f.now.After(h.idleFrom) {
		f.result.IdleSeconds += f.now.Sub(h.idleFrom).Seconds() * float64(h.bytes) / engineMemory
	}
	h.idleFrom = f.now
}

// step passes an event to a node's state machine, executes the resulting actions and schedules the next tick.
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
	f.schedule(next, func() {
		if n.tickAt.Equal(next) {
			n.tickAt = time.Time{}
			f.step(n, loading.Tick{})
		}
	})
}

func (f *fleet) perform(n *node, a loading.Action) {
	switch a := a.(type) {
	case loading.SendOrder:
		f.executeOrder(n, a.Order)
	case loading.ReadEngine:
		f.schedule(f.now.Add(readLatency), func() { f.step(n, loading.EngineRead{ID: a.ID, State: n.state()}) })
	case loading.ReadRows:
		f.schedule(f.now.Add(readLatency), func() { f.step(n, loading.RowsRead{Rows: f.rows(n), Revision: 1}) })
	case loading.AskPermit:
		f.budget.Request(f.now, n.name, &wirepb.PermitRequest{Id: a.ID, Kind: a.Kind, Model: a.Model, SlackMicros: a.Deadline.Sub(f.now).Microseconds()})
		f.grantPermits()
	case loading.ReleasePermit:
		f.budget.Done(f.now, n.name, a.ID)
		f.grantPermits()
	case loading.Usable:
		n.usable[a.Model] = true
		f.schedule(f.now, func() { f.startWaiting(n, a.Model) })
	case loading.Unusable:
		delete(n.usable, a.Model)
	case loading.RefuseRequests:
		f.refuse(n, a)
	}
}

// grantPermits delivers the budget's decisions to the agents.
func (f *fleet) grantPermits() {
	for _, g := range f.budget.Decide(f.now) {
		n := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == g.Agent })]
		var e loading.Event = loading.PermitDenied{ID: g.Permit.GetId(), RetryAt: f.now.Add(time.Duration(g.Permit.GetRetryAfterMicros()) * time.Microsecond)}
		if valid := g.Permit.GetValidMicros(); valid > 0 {
			e = loading.PermitGranted{ID: g.Permit.GetId(), Expires: f.now.Add(time.Duration(valid) * time.Microsecond)}
		}
		f.schedule(f.now, func() { f.step(n, e) })
	}
	if next := f.budget.Next(); !next.IsZero() && next.After(f.now) && (f.wakeAt.IsZero() || next.Before(f.wakeAt)) {
		f.wakeAt = next
		f.schedule(next, func() {
			f.wakeAt = time.Time{}
			f.grantPermits()
		})
	}
}

// report sends the number of loads in flight to the budget, as agents do in heartbeats.
func (f *fleet) report() {
	for _, n := range f.nodes {
		f.budget.InFlight(f.now, n.name, n.loads, 0)
	}
	f.grantPermits()
	f.schedule(f.now.Add(reportInterval), f.report)
}

func (n *node) state() endpoint.EngineState {
	s := endpoint.EngineState{Incarnation: "1", MemoryBytes: engineMemory}
	for _, model := range slices.Sorted(maps.Keys(n.models)) {
		h := n.models[model]
		s.UsedBytes += h.bytes
		s.Models = append(s.Models, endpoint.LoadedModel{Model: model, State: h.state, MemoryBytes: h.bytes})
	}
	return s
}

// executeOrder simulates an engine's execution of an order.
func (f *fleet) executeOrder(n *node, o endpoint.Order) {
	duration := readLatency
	h := n.models[o.Model]
	switch {
	case o.Kind == endpoint.OrderLoad:
		i := slices.IndexFunc(f.trace.Models, func(m Model) bool { return m.Name == o.Model })
		duration = f.trace.Models[i].ColdStart
		f.result.Loads++
		n.loads++
		n.models[o.Model] = &residentModel{state: endpoint.EngineLoading, bytes: o.MemoryBytes, idleFrom: f.now}
		if n.state().UsedBytes > engineMemory {
			f.overcommit++
		}
	case h != nil:
		h.state = endpoint.EngineUnloading
		duration = unloadDuration
	}
	f.schedule(f.now.Add(duration), func() {
		if o.Kind == endpoint.OrderLoad {
			n.loads--
			n.models[o.Model].state = endpoint.EngineLoaded
		} else if h != nil {
			f.accountIdle(h)
			delete(n.models, o.Model)
		}
		f.step(n, loading.OrderDone{ID: o.ID})
	})
}
