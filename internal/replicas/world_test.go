package replicas

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/selector"
	"balsamsail/internal/wire/wirepb"
)

const headKey = "declarations/head"

// simDecider is a deciding process with its own, mostly stale, view of all inputs.
type simDecider struct {
	decider  *Decider
	store    *rowStore
	demand   *demandTracker
	declared Declared
	hosts    HostsView
	engines  map[string]EngineView
	// version is the version of engines.
	version uint64
	since   time.Time
	// delayed are changes that the process decided but, being paused, has not proposed yet.
	delayed []Change
}

// push is a row in flight to an agent.
type push struct {
	to  *simEngine
	row *replicaspb.Row
}

// simulation is a set of racing deciders, a table, engines, and the faults between them.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	table    *memoryTable
	deciders []*simDecider
	engines  map[string]*simEngine
	hosts    HostsView
	models   map[string]ModelSpec
	declared Declared
	// rows are the rows as stored in the table.
	rows map[string]*replicaspb.Row
	// pushes are rows in flight to agents.
	pushes []push
	// late are writes whose responses were lost and that may still take effect.
	late []backing.Txn
	// disabledGuard is the guard that is disabled, if any.
	disabledGuard guard
	// violation is the first violation of an invariant, unsettled the first error in the state after the faults have
	// ended.
	violation string
	unsettled string
	counts    map[string]int
	nextID    int
}

const (
	simEngineCount  = 5
	simModelCount   = 3
	simDeciderCount = 3
)

// simPolicy returns a policy with short times, so that slots are granted and released within a run.
func simPolicy() Policy {
	p := DefaultPolicy()
	p.ExtraHold = 20 * time.Second
	p.AvoidFor = 20 * time.Second
	p.UnreachableAfter = 5 * time.Second
	p.FailingAfter = 5 * time.Second
	p.MoveTimeout = 20 * time.Second
	return p
}

func newSimulation(seed int64, disabled guard) *simulation {
	sim := &simulation{
		rng:           rand.New(rand.NewPCG(uint64(seed), 1)),
		now:           start,
		table:         newMemoryTable(),
		engines:       map[string]*simEngine{},
		hosts:         HostsView{States: map[string]backing.HostState{}},
		models:        map[string]ModelSpec{},
		rows:          map[string]*replicaspb.Row{},
		disabledGuard: disabled,
		counts:        map[string]int{},
	}
	sim.table.observe = sim.observe
	for i, view := range engines(simEngineCount, "north", "east", "cargo") {
		view.Host = sim.newID("h")
		view.Labels = map[string]string{"pool": []string{"a", "b"}[i%2]}
		sim.engines[view.Name] = newSimEngine(view, disabled == guardHostInSlot)
		sim.engines[view.Name].start(nil, 0)
		sim.listHost(view.Host, backing.HostLive)
	}
	for i := range simModelCount {
		sim.declare(fmt.Sprintf("m%d@1", i))
	}
	for range simDeciderCount {
		d := sim.newDecider()
		sim.catchUp(d)
		sim.deciders = append(sim.deciders, d)
	}
	return sim
}

func (sim *simulation) newID(prefix string) string {
	sim.nextID++
	return fmt.Sprintf("%s%d", prefix, sim.nextID)
}

func (sim *simulation) newDecider() *simDecider {
	return &simDecider{
		decider:  NewDecider(simPolicy()),
		store:    newRowStore(),
		demand:   newDemandTracker(simPolicy()),
		declared: sim.declared,
		engines:  map[string]EngineView{},
		since:    sim.now,
	}
}

// catchUp updates a decider's view to the current state.
func (sim *simulation) catchUp(d *simDecider) {
	sim.readRows(d, true)
	d.hosts = sim.hosts
	d.declared = sim.declared
	for name := range sim.engines {
		sim.observeEngine(d, name)
	}
}

// recordViolation records the first violation.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// declare declares a model version with a random size, selector and bounds.
func (sim *simulation) declare(model string) {
	selectors := []string{"pool = a", "pool = b", "pool in (a, b)"}
	most := 1 + sim.rng.IntN(3)
	sim.models[model] = ModelSpec{
		Model:       model,
		Selector:    selector.MustParse(selectors[sim.rng.IntN(len(selectors))]),
		MemoryBytes: int64(1+sim.rng.IntN(60)) * gibibyte,
		Min:         sim.rng.IntN(most + 1),
		Max:         most,
		Concurrency: 4,
	}
	sim.publish()
}

// publish commits the declared models as a new revision of the declarations.
func (sim *simulation) publish() {
	head, err := sim.table.Commit(context.Background(), backing.Txn{Puts: []backing.Put{{Key: headKey}}})
	if err != nil {
		panic(err)
	}
	sim.declared = Declared{Revision: head, Head: backing.Condition{Key: headKey, Revision: head}}
	for _, model := range slices.Sorted(maps.Keys(sim.models)) {
		sim.declared.Models = append(sim.declared.Models, sim.models[model])
	}
}

// listHost creates a new version of the host list; an empty state removes the host from it.
func (sim *simulation) listHost(host string, state backing.HostState) {
	next := HostsView{Version: sim.hosts.Version + 1, States: maps.Clone(sim.hosts.States)}
	if state == "" {
		delete(next.States, host)
	} else {
		next.States[host] = state
	}
	sim.hosts = next
}

// observe checks each commit: a grant respects the maximum in force, and a RELEASING slot is never granted again. check
// detects the removal of a slot whose engine still holds a replica.
func (sim *simulation) observe(before, after backing.Row) {
	if !strings.HasPrefix(before.Key+after.Key, KeyPrefix) {
		return
	}
	old, next := mustDecode(before), mustDecode(after)
	delete(sim.rows, old.GetModel())
	if next != nil {
		sim.rows[next.Model] = next
	}
	sim.counts["commit"]++
	for _, s := range next.GetSlots() {
		was := SlotOf(old, s.Engine, s.Host)
		if was == nil {
			sim.checkGrant(next)
		}
		if was.GetState() == replicaspb.SlotState_RELEASING && s.State == replicaspb.SlotState_GRANTED {
			sim.recordViolation("%s: slot of %s granted again while it was being released", next.Model, s.Engine)
		}
	}
}

func (sim *simulation) checkGrant(row *replicaspb.Row) {
	sim.counts["grant"]++
	spec, declared := sim.models[row.Model]
	if !declared {
		sim.recordViolation("%s: granted although not declared", row.Model)
	}
	if len(row.Slots) > spec.Max {
		sim.recordViolation("%s: granted %s, above the maximum %d", row.Model, short(row), spec.Max)
	}
}

func mustDecode(r backing.Row) *replicaspb.Row {
	if r.Key == "" {
		return nil
	}
	row, err := DecodeRow(r)
	if err != nil {
		panic(err)
	}
	return row
}

// check compares the engines with the table: every engine has a slot for whatever it holds.
func (sim *simulation) check() {
	holders := map[string]int{}
	for _, e := range sim.engines {
		for _, model := range e.loadedModels() {
			holders[model]++
			row := sim.rows[model]
			if SlotOf(row, e.Name, e.Host) == nil {
				sim.recordViolation("%s on %s (%s) holds %s, row: %s", e.Name, e.Host, e.FailureDomain, model, short(row))
			}
		}
	}
}

// readRows updates a decider's rows, with or without deletions.
func (sim *simulation) readRows(d *simDecider, full bool) {
	after, complete := d.store.progress()
	if full || !complete {
		full, after = true, 0
	}
	listing, err := sim.table.List(context.Background(), KeyPrefix, after)
	if err != nil {
		return
	}
	d.store.applyListing(sim.now, listing, full)
}

// observeEngine updates a decider's view of one engine.
func (sim *simulation) observeEngine(d *simDecider, name string) {
	e := sim.engines[name]
	view := e.EngineView
	view.Reachable = e.active() && e.connected
	old, known := d.engines[name]
	view.Since = old.Since
	if !known || old.Reachable != view.Reachable || old.Host != view.Host {
		view.Since = sim.now
	}
	d.engines[name] = view
	if !reflect.DeepEqual(old, view) {
		d.version++
	}
}

// decide runs one decision of a decider.
func (sim *simulation) decide(d *simDecider) []Change {
	sim.counts["decision"]++
	rows, _ := d.store.views()
	s := &Snapshot{
		Declared:       d.declared,
		Rows:           rows,
		EnginesVersion: d.version,
		Hosts:          d.hosts,
		Since:          d.since,
		Demand:         map[string]Demand{},
		Releases:       d.demand.confirmedRevisions(sim.now, rows),
	}
	for _, name := range slices.Sorted(maps.Keys(d.engines)) {
		s.Engines = append(s.Engines, d.engines[name])
	}
	d.demand.expire(sim.now)
	for model := range sim.models {
		demand := d.demand.demand(sim.now, model)
		demand.Usage = Usage{Known: true, Loaded: sim.enginesWithLoaded(model)}
		s.Demand[model] = demand
	}
	if sim.disabledGuard == guardNone && sim.rng.IntN(4) == 0 {
		sim.compareWithFresh(d, s)
	}
	return sim.disabledGuard.decide(d.decider, sim.now, s)
}

// compareWithFresh checks that the caches of a Decider do not change its decisions.
func (sim *simulation) compareWithFresh(d *simDecider, s *Snapshot) {
	used, fresh := d.decider.Decide(sim.now, s), NewDecider(simPolicy()).Decide(sim.now, s)
	if fmt.Sprint(used) != fmt.Sprint(fresh) {
		sim.recordViolation("decided %v, a new Decider decides %v", used, fresh)
	}
}

func (sim *simulation) enginesWithLoaded(model string) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		if sim.engines[name].loaded[model] {
			names = append(names, name)
		}
	}
	return names
}

// propose writes a change, with random faults if enabled.
func (sim *simulation) propose(d *simDecider, c Change, faults bool) {
	sim.counts["proposal"]++
	c.Next.OperationId = sim.newID("op")
	sim.table.fault = nil
	if faults {
		sim.table.fault = sim.commitFault
	}
	row, err := Propose(context.Background(), sim.table, c)
	sim.table.fault = nil
	switch {
	case errors.Is(err, ErrConflict):
		sim.counts["proposal in conflict"]++
		sim.readRows(d, sim.rng.IntN(2) == 0)
	case err != nil:
		sim.counts["proposal lost"]++
	case row == nil:
		d.store.drop(sim.now, c.Model, c.Expected)
	default:
		d.store.put(sim.now, row)
	}
}

// commitFault returns the fault of a commit: a response may be lost with the write made, never made or delayed.
func (sim *simulation) commitFault(txn backing.Txn) (error, bool) {
	switch sim.rng.IntN(12) {
	case 0:
		return backing.ErrOutcomeUnknown, true
	case 1:
		return backing.ErrOutcomeUnknown, false
	case 2:
		sim.late = append(sim.late, txn)
		return backing.ErrOutcomeUnknown, false
	case 3:
		return backing.ErrUnavailable, false
	default:
		return nil, false
	}
}

// sendConfirmations reconciles an agent and sends its confirmations to some of the deciders.
func (sim *simulation) sendConfirmations(e *simEngine, share float64) {
	for _, r := range e.reconcile() {
		for _, d := range sim.deciders {
			if sim.rng.Float64() < share {
				d.demand.addRelease(sim.now, r)
			}
		}
	}
}

// requestSlot makes an engine request another slot.
func (sim *simulation) requestSlot(e *simEngine, model string) {
	reasons := []wirepb.RefusalReason{
		wirepb.RefusalReason_NO_MEMORY, wirepb.RefusalReason_LOAD_FAILED, wirepb.RefusalReason_QUEUE_FULL,
	}
	reason := reasons[sim.rng.IntN(len(reasons))]
	for _, d := range sim.deciders {
		d.demand.addSlotRequest(sim.now, e.Name, model, reason, 1+sim.rng.IntN(20))
	}
}
