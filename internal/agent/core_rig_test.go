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
	orderLifetime = time.Second
	replicaBytes  = 40
	engineBytes   = 100
)

// harnessStart is the initial time of a harness's clock.
var harnessStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// manualClock only advances when the test sets it.
type manualClock struct {
	clock.Real
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// fixedPolicy keeps idle replicas loaded for a minute.
type fixedPolicy struct{}

func (fixedPolicy) Observe(string, time.Time) {}
func (fixedPolicy) SetWeights(_, _ float64)   {}
func (fixedPolicy) Keep(string, time.Time, time.Duration, float64) time.Duration {
	return time.Minute
}

// fakeEngine is the state of the engine, as far as the core's reads and orders use it.
type fakeEngine struct {
	unreachable bool
	incarnation string
	loaded      map[string][]string
}

// coreHarness drives a core without goroutines. It answers reads and permit requests immediately, and completes orders
// when the test says so.
type coreHarness struct {
	// fail ends the test. In a property it panics instead, so that gopter prints the operations.
	fail   func(format string, args ...any)
	core   *core
	clock  *manualClock
	engine fakeEngine
	rows   map[string]*replicaspb.Row
	// revision is the table's revision.
	revision uint64

	reads, rowReads int
	permits         []string
	// withholdPermits leaves permit requests unanswered.
	withholdPermits bool
	orders          []endpoint.Order
	ordersSent      int
	offerCount      int
	requests        map[string]*pendingRequest
	// outcomes holds the outcomes seen so far. A request without one is waiting, or its decision has not been read yet.
	outcomes map[string]string
}

// The outcomes of a request in the harness. A refused request has the name of its refusal reason instead.
const (
	outcomeWaiting   = "waiting"
	outcomeStarted   = "started"
	outcomeCancelled = "cancelled"
	outcomeFinished  = "finished"
)

// newCoreHarness returns an engine's core with slots for "a@1" and "b@1" and no model loaded.
func newCoreHarness(fail func(string, ...any), queue admission.Options) *coreHarness {
	policy := fixedPolicy{}
	machine := loading.NewMachine(loading.Options{
		Engine:        "engine-1",
		Host:          "host-1",
		MemoryBytes:   engineBytes,
		OrderLifetime: orderLifetime,
		StateInterval: time.Hour,
		PermitTimeout: time.Second,
	}, policy)
	r := newHarness(fail, queue, machine, policy)
	r.step(loading.Tick{})
	r.grant("a@1", true)
	r.grant("b@1", true)
	r.declare()
	// Orders of an earlier agent may take effect within their lifetime, so the core first waits that long.
	r.advance(2 * orderLifetime)
	return r
}

func newHarness(fail func(string, ...any), queue admission.Options, machine *loading.Machine, policy IdlePolicy) *coreHarness {
	r := &coreHarness{
		fail:     fail,
		clock:    &manualClock{now: harnessStart},
		engine:   fakeEngine{incarnation: "1", loaded: map[string][]string{}},
		rows:     map[string]*replicaspb.Row{},
		revision: 10,
		requests: map[string]*pendingRequest{},
		outcomes: map[string]string{},
	}
	const capacity = 2
	r.core = newCore(r.clock, admission.NewQueue(queue), machine, policy, capacity)
	r.core.onChange = func() {}
	r.core.executor = r
	return r
}

// execute implements actionExecutor.
func (r *coreHarness) execute(list []loading.Action) {
	for _, action := range list {
		switch action := action.(type) {
		case loading.SendOrder:
			r.orders = append(r.orders, action.Order)
			r.ordersSent++
		case loading.ReadEngine:
			r.reads++
		case loading.ReadRows:
			r.rowReads++
		case loading.AskPermit:
			r.permits = append(r.permits, action.ID)
		}
	}
}

// step passes an event to the core and answers its reads and permit requests.
func (r *coreHarness) step(e loading.Event) {
	r.core.step(e)
	r.answerPending()
}

// answerPending answers the core's reads and permit requests until there are no more.
func (r *coreHarness) answerPending() {
	for r.reads > 0 || r.rowReads > 0 || len(r.permits) > 0 {
		switch {
		case r.reads > 0:
			r.reads--
			r.core.step(r.engineRead())
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
			if r.withholdPermits {
				continue
			}
			r.core.step(loading.PermitGranted{ID: id, Expires: r.clock.now.Add(time.Minute)})
		}
	}
}

func (r *coreHarness) engineRead() loading.Event {
	if r.engine.unreachable {
		return loading.EngineReadFailed{}
	}
	state := endpoint.EngineState{Incarnation: r.engine.incarnation, MemoryBytes: engineBytes}
	for model, adapters := range r.engine.loaded {
		state.UsedBytes += replicaBytes
		state.Models = append(state.Models, endpoint.LoadedModel{
			Model: model, State: endpoint.EngineLoaded, MemoryBytes: replicaBytes, Adapters: slices.Clone(adapters),
		})
	}
	return loading.EngineRead{State: state}
}

// grant pushes a row that grants the engine a slot or takes it away.
func (r *coreHarness) grant(model string, granted bool) {
	r.revision++
	row := &replicaspb.Row{Model: model, Revision: r.revision}
	if granted {
		row.Slots = []*replicaspb.Slot{{Engine: "engine-1", Host: "host-1", State: replicaspb.SlotState_GRANTED}}
	}
	r.rows[model] = row
	r.step(loading.RowSeen{Row: row})
}

// declare declares the models "a@1" to "c@1" with an adapter "x" of "a@1" and the service "s".
func (r *coreHarness) declare() {
	snapshot := &pb.Snapshot{Revision: 1}
	for _, name := range []string{"a", "b", "c"} {
		snapshot.Objects = append(snapshot.Objects, declarations.ModelObject(&pb.Model{
			Name: name, Versions: []string{"1"}, DefaultVersion: "1", MemoryBytes: replicaBytes, MaxReplicas: 1, MaxConcurrency: 2,
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
	r.answerPending()
}

// advance moves the clock forward and runs the core's timer.
func (r *coreHarness) advance(d time.Duration) {
	r.clock.now = r.clock.now.Add(d)
	r.core.expire()
	r.answerPending()
}

// requestOption changes the default request, which is an interactive one for the model "a@1" with a deadline in one
// minute.
type requestOption func(*admission.Request)

func forModel(model, adapter string) requestOption {
	return func(q *admission.Request) { q.Target = admission.Target{Model: model, Adapter: adapter} }
}

func forService(name string) requestOption {
	return func(q *admission.Request) { q.Target = admission.Target{Service: name} }
}

func inBatch(q *admission.Request) { q.Class = wirepb.Class_BATCH }

func withDeadline(left time.Duration) requestOption {
	return func(q *admission.Request) { q.Deadline = q.Arrived.Add(left) }
}

// offer offers a request and records a refusal.
func (r *coreHarness) offer(id string, changes ...requestOption) {
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
	w := newPendingRequest(q)
	refusal := r.core.offer(w)
	r.answerPending()
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

// outcome returns the present outcome of a request.
func (r *coreHarness) outcome(id string) string {
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

// cancel withdraws a request as its exchange does: a request that has started meanwhile is finished.
func (r *coreHarness) cancel(id string) {
	cancelled := r.core.cancel(id)
	r.answerPending()
	switch o := r.outcome(id); {
	case cancelled && o == outcomeWaiting:
		r.outcomes[id] = outcomeCancelled
	case cancelled || o == outcomeWaiting:
		r.fail("cancelling %s returned %v, but its outcome is %s", id, cancelled, o)
	case o == outcomeStarted:
		r.finish(id)
	}
}

func (r *coreHarness) finish(id string) {
	r.core.finish(id, serviceTime{})
	r.answerPending()
	r.outcomes[id] = outcomeFinished
}

// completeOrder ends the oldest order, successfully or with an error.
func (r *coreHarness) completeOrder(err error) {
	o := r.orders[0]
	r.orders = r.orders[1:]
	if err == nil {
		r.applyOrder(o)
	}
	r.step(loading.OrderDone{ID: o.ID, Err: err})
}

func (r *coreHarness) applyOrder(o endpoint.Order) {
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

// completeOrders completes all orders successfully, including those that result from them.
func (r *coreHarness) completeOrders() {
	for len(r.orders) > 0 {
		r.completeOrder(nil)
	}
}

// check verifies the invariants that hold between any two events.
func (r *coreHarness) check() {
	c := r.core
	if c.queue.Len() != len(c.waiting) {
		r.fail("%d requests in the queue, but %d waiting", c.queue.Len(), len(c.waiting))
	}
	for id := range c.held {
		if c.waiting[id] == nil {
			r.fail("%s is held but not waiting", id)
		}
	}
	replicas := map[string]int{}
	for id, target := range c.running {
		replicas[target.Model+target.Service]++
		if r.outcome(id) != outcomeStarted {
			r.fail("%s is running but its outcome is %s", id, r.outcome(id))
		}
	}
	for target, n := range c.runningByTarget {
		if n <= 0 {
			r.fail("%d running requests counted for %v", n, target)
		}
		replicas[target.Model+target.Service] -= n
	}
	for name, n := range replicas {
		running := c.runningOf(admission.Target{Model: name})
		if n != 0 || running > c.limit(admission.Target{Model: name}) {
			r.fail("%s: %d running, counts differ by %d", name, running, n)
		}
	}
	for id := range r.requests {
		r.checkRequest(id)
	}
}

func (r *coreHarness) checkRequest(id string) {
	o := r.outcome(id)
	_, runs := r.core.running[id]
	_, waits := r.core.waiting[id]
	if runs != (o == outcomeStarted) || waits != (o == outcomeWaiting) {
		r.fail("%s has outcome %s; waiting %v, running %v", id, o, waits, runs)
	}
	if waits && r.core.leaving {
		r.fail("%s is waiting at a leaving endpoint", id)
	}
}
