package agent

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"balsamsail/internal/admission"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	rigLife    = time.Second
	rigReplica = 40
	rigMemory  = 100
)

// rigBegin is the time at which a rig begins.
var rigBegin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// handClock stands still until the test moves it.
type handClock struct {
	clock.Real
	now time.Time
}

func (c *handClock) Now() time.Time { return c.now }

// steadyPolicy keeps idle replicas for a minute.
type steadyPolicy struct{}

func (steadyPolicy) Observe(string, time.Time) {}
func (steadyPolicy) SetWeights(_, _ float64)   {}
func (steadyPolicy) Keep(string, time.Time, time.Duration, float64) time.Duration {
	return time.Minute
}

// rigEngine is the engine beside a core, as far as the core's reads and orders touch it.
type rigEngine struct {
	silent      bool
	incarnation string
	loaded      map[string][]string
}

// coreRig drives a core without goroutines: it answers reads, rows and permits at once, and orders when it is told to.
type coreRig struct {
	// fail ends the test; a property panics instead, to be told the operations.
	fail   func(format string, args ...any)
	core   *core
	clock  *handClock
	engine rigEngine
	rows   map[string]*replicaspb.Row
	// revision is the table's.
	revision uint64

	reads, rowReads int
	permits         []string
	// withheld leaves what the core asks permits for without an answer.
	withheld bool
	orders   []endpoint.Order
	given    int
	offers   int
	requests map[string]*waiting
	// outcomes are what became of the requests; those without one wait or run.
	outcomes map[string]string
}

// The outcomes of a request at the rig; a refused one has its reason's name.
const (
	outcomeWaiting   = "waiting"
	outcomeStarted   = "started"
	outcomeCancelled = "cancelled"
	outcomeFinished  = "finished"
)

// newCoreRig returns an engine's core with slots for "a@1" and "b@1", of which nothing is loaded.
func newCoreRig(fail func(string, ...any), queue admission.Options) *coreRig {
	policy := steadyPolicy{}
	machine := loading.NewMachine(loading.Options{
		Engine:         "engine-1",
		Host:           "host-1",
		MemoryBytes:    rigMemory,
		OrderLife:      rigLife,
		StateInterval:  time.Hour,
		PermitPatience: time.Second,
	}, policy)
	r := newRig(fail, queue, machine, policy)
	r.step(loading.Tick{})
	r.grant("a@1", true)
	r.grant("b@1", true)
	r.declare()
	// Orders of an earlier agent may take effect for as long as an order lives.
	r.pass(2 * rigLife)
	return r
}

func newRig(fail func(string, ...any), queue admission.Options, machine *loading.Machine, policy IdlePolicy) *coreRig {
	r := &coreRig{
		fail:     fail,
		clock:    &handClock{now: rigBegin},
		engine:   rigEngine{incarnation: "1", loaded: map[string][]string{}},
		rows:     map[string]*replicaspb.Row{},
		revision: 10,
		requests: map[string]*waiting{},
		outcomes: map[string]string{},
	}
	const capacity = 2
	r.core = newCore(r.clock, admission.NewQueue(queue), machine, policy, capacity)
	r.core.changed = func() {}
	r.core.perform = r
	return r
}

// perform implements performer.
func (r *coreRig) perform(list []loading.Action) {
	for _, action := range list {
		switch action := action.(type) {
		case loading.GiveOrder:
			r.orders = append(r.orders, action.Order)
			r.given++
		case loading.ReadEngine:
			r.reads++
		case loading.ReadRows:
			r.rowReads++
		case loading.AskPermit:
			r.permits = append(r.permits, action.ID)
		}
	}
}

// step gives the core an event and answers what it asks.
func (r *coreRig) step(e loading.Event) {
	r.core.step(e)
	r.answer()
}

// answer answers the core's reads and permits until it asks no more.
func (r *coreRig) answer() {
	for r.reads > 0 || r.rowReads > 0 || len(r.permits) > 0 {
		switch {
		case r.reads > 0:
			r.reads--
			r.core.step(r.read())
		case r.rowReads > 0:
			r.rowReads--
			read := loading.RowsRead{Revision: r.revision}
			for _, row := range r.rows {
				read.Rows = append(read.Rows, row)
			}
			r.core.step(read)
		default:
			id := r.permits[0]
			r.permits = r.permits[1:]
			if r.withheld {
				continue
			}
			r.core.step(loading.PermitGiven{ID: id, Expires: r.clock.now.Add(time.Minute)})
		}
	}
}

func (r *coreRig) read() loading.Event {
	if r.engine.silent {
		return loading.EngineLost{}
	}
	state := endpoint.EngineState{Incarnation: r.engine.incarnation, MemoryBytes: rigMemory}
	for model, adapters := range r.engine.loaded {
		state.UsedBytes += rigReplica
		state.Models = append(state.Models, endpoint.LoadedModel{
			Model: model, State: endpoint.EngineLoaded, MemoryBytes: rigReplica, Adapters: slices.Clone(adapters),
		})
	}
	return loading.EngineRead{State: state}
}

// grant pushes a row that names the engine, or no longer does.
func (r *coreRig) grant(model string, granted bool) {
	r.revision++
	row := &replicaspb.Row{Model: model, Revision: r.revision}
	if granted {
		row.Slots = []*replicaspb.Slot{{Engine: "engine-1", Host: "host-1", State: replicaspb.SlotState_GRANTED}}
	}
	r.rows[model] = row
	r.step(loading.RowSeen{Row: row})
}

// declare declares the models "a@1" to "c@1" with an adapter "x" of "a@1" and the service "s".
func (r *coreRig) declare() {
	snapshot := &pb.Snapshot{Revision: 1}
	for _, name := range []string{"a", "b", "c"} {
		snapshot.Objects = append(snapshot.Objects, declarations.ModelObject(&pb.Model{
			Name: name, Versions: []string{"1"}, DefaultVersion: "1", MemoryBytes: rigReplica, MaxReplicas: 1, MaxConcurrency: 2,
		}))
	}
	snapshot.Objects = append(snapshot.Objects,
		declarations.AdapterObject(&pb.Adapter{Name: "x", Model: "a", Version: "1", MemoryBytes: 1}),
		declarations.ServiceObject(&pb.Service{Name: "s", PathPrefix: "/s/", MaxConcurrency: 1}))
	set, err := declarations.NewSet(snapshot)
	if err != nil {
		r.fail("%v", err)
	}
	r.core.declare(set)
	r.answer()
}

// pass lets time pass.
func (r *coreRig) pass(d time.Duration) {
	r.clock.now = r.clock.now.Add(d)
	r.core.expire()
	r.answer()
}

// request is one that waits a minute for the model "a@1" unless it is changed.
type request func(*admission.Request)

func of(model, adapter string) request {
	return func(q *admission.Request) { q.Target = admission.Target{Model: model, Adapter: adapter} }
}

func forService(name string) request {
	return func(q *admission.Request) { q.Target = admission.Target{Service: name} }
}

func batch(q *admission.Request) { q.Class = wirepb.Class_BATCH }

func due(left time.Duration) request {
	return func(q *admission.Request) { q.Deadline = q.Arrived.Add(left) }
}

// offer offers a request and notes a refusal.
func (r *coreRig) offer(id string, changes ...request) {
	q := admission.Request{
		ID:       id,
		Target:   admission.Target{Model: "a@1"},
		Class:    wirepb.Class_INTERACTIVE,
		Arrived:  r.clock.now,
		Deadline: r.clock.now.Add(time.Minute),
	}
	for _, change := range changes {
		change(&q)
	}
	w := newWaiting(q)
	refusal := r.core.offer(w)
	r.answer()
	if refusal != nil {
		if r.requests[id] == nil {
			r.outcomes[id] = refusal.Reason.String()
		}
		return
	}
	if r.requests[id] != nil {
		r.fail("%s was accepted twice", id)
	}
	r.requests[id] = w
}

// outcome is what became of a request so far.
func (r *coreRig) outcome(id string) string {
	if o, ok := r.outcomes[id]; ok {
		return o
	}
	select {
	case d := <-r.requests[id].decided:
		r.outcomes[id] = outcomeStarted
		if d.refusal != nil {
			r.outcomes[id] = d.refusal.Reason.String()
		}
		return r.outcomes[id]
	default:
		return outcomeWaiting
	}
}

// cancel withdraws a request as its exchange does: one whose turn came meanwhile gives it back.
func (r *coreRig) cancel(id string) {
	waited := r.core.cancel(id)
	r.answer()
	switch o := r.outcome(id); {
	case waited && o == outcomeWaiting:
		r.outcomes[id] = outcomeCancelled
	case waited || o == outcomeWaiting:
		r.fail("%s was cancelled (%v) and is %s", id, waited, o)
	case o == outcomeStarted:
		r.finish(id)
	}
}

func (r *coreRig) finish(id string) {
	r.core.finish(id, spent{})
	r.answer()
	r.outcomes[id] = outcomeFinished
}

// complete ends the oldest order, carried out or with an error.
func (r *coreRig) complete(err error) {
	o := r.orders[0]
	r.orders = r.orders[1:]
	if err == nil {
		r.carryOut(o)
	}
	r.step(loading.OrderDone{ID: o.ID, Err: err})
}

func (r *coreRig) carryOut(o endpoint.Order) {
	adapters, held := r.engine.loaded[o.Model]
	switch o.Kind {
	case endpoint.OrderLoad:
		r.engine.loaded[o.Model] = adapters
	case endpoint.OrderUnload:
		delete(r.engine.loaded, o.Model)
	case endpoint.OrderLoadAdapter:
		if held && !slices.Contains(adapters, o.Adapter) {
			r.engine.loaded[o.Model] = append(adapters, o.Adapter)
		}
	case endpoint.OrderUnloadAdapter:
		if held {
			r.engine.loaded[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
		}
	}
}

// completeAll carries out all orders and those that follow from them.
func (r *coreRig) completeAll() {
	for len(r.orders) > 0 {
		r.complete(nil)
	}
}

// check verifies what holds between any two events.
func (r *coreRig) check() {
	c := r.core
	if c.queue.Len() != len(c.waiting) {
		r.fail("%d in the queue, %d waiting", c.queue.Len(), len(c.waiting))
	}
	for id := range c.held {
		if c.waiting[id] == nil {
			r.fail("%s is held and does not wait", id)
		}
	}
	replicas := map[string]int{}
	for id, target := range c.running {
		replicas[target.Model+target.Service]++
		if r.outcome(id) != outcomeStarted {
			r.fail("%s runs and is %s", id, r.outcome(id))
		}
	}
	for target, n := range c.busy {
		if n <= 0 {
			r.fail("%d busy at %v", n, target)
		}
		replicas[target.Model+target.Service] -= n
	}
	for name, n := range replicas {
		running := c.runningOf(admission.Target{Model: name})
		if n != 0 || running > c.limit(admission.Target{Model: name}) {
			r.fail("%s: %d run, counts differ by %d", name, running, n)
		}
	}
	for id := range r.requests {
		r.checkRequest(id)
	}
}

func (r *coreRig) checkRequest(id string) {
	o := r.outcome(id)
	_, runs := r.core.running[id]
	_, waits := r.core.waiting[id]
	if runs != (o == outcomeStarted) || waits != (o == outcomeWaiting) {
		r.fail("%s is %s; waits %v, runs %v", id, o, waits, runs)
	}
	if waits && r.core.leaving {
		r.fail("%s waits at a leaving endpoint", id)
	}
}
