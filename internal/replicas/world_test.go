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

// worldDecider is one process that decides, with its own, mostly stale, view of everything.
type worldDecider struct {
	decider  *Decider
	store    *store
	demand   *demandBook
	declared Declared
	hosts    HostsView
	engines  map[string]EngineView
	// version is that of engines.
	version uint64
	since   time.Time
	// stashed are changes that the process decided and, paused, has not proposed yet.
	stashed []Change
}

// push is a row on its way to an agent.
type push struct {
	to  *worldEngine
	row *replicaspb.Row
}

// world is a few racing deciders, a table, engines and everything that may go wrong between them.
type world struct {
	random   *rand.Rand
	now      time.Time
	table    *memoryTable
	deciders []*worldDecider
	engines  map[string]*worldEngine
	hosts    HostsView
	models   map[string]ModelSpec
	declared Declared
	// rows are the rows as they are in the table.
	rows map[string]*replicaspb.Row
	// pushes are rows on their way to agents.
	pushes []push
	// late are writes whose answers were lost and that may still arrive.
	late []backing.Txn
	// broken names the guard that is left out; empty in the real thing.
	broken guard
	// broke is the first violation of what must always hold, unsettled the first thing wrong after the faults have stopped.
	broke     string
	unsettled string
	counts    map[string]int
	nextID    int
}

const (
	worldEngines  = 5
	worldModels   = 3
	worldDeciders = 3
)

// worldPolicy has short times, so that slots come and go within a run.
func worldPolicy() Policy {
	p := DefaultPolicy()
	p.ExtraHold = 20 * time.Second
	p.AvoidFor = 20 * time.Second
	p.SilentAfter = 5 * time.Second
	p.FailingAfter = 5 * time.Second
	p.MoveTimeout = 20 * time.Second
	return p
}

func newWorld(seed int64, broken guard) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(uint64(seed), 1)),
		now:     start,
		table:   newMemoryTable(),
		engines: map[string]*worldEngine{},
		hosts:   HostsView{States: map[string]backing.HostState{}},
		models:  map[string]ModelSpec{},
		rows:    map[string]*replicaspb.Row{},
		broken:  broken,
		counts:  map[string]int{},
	}
	w.table.observe = w.observe
	for i, view := range engines(worldEngines, "north", "east", "cargo") {
		view.Host = w.newID("h")
		view.Labels = map[string]string{"pool": []string{"a", "b"}[i%2]}
		w.engines[view.Name] = newWorldEngine(view, broken == guardHostInSlot)
		w.engines[view.Name].begin(nil, 0)
		w.listHost(view.Host, backing.HostLive)
	}
	for i := range worldModels {
		w.declare(fmt.Sprintf("m%d@1", i))
	}
	for range worldDeciders {
		d := w.newDecider()
		w.catchUp(d)
		w.deciders = append(w.deciders, d)
	}
	return w
}

func (w *world) newID(prefix string) string {
	w.nextID++
	return fmt.Sprintf("%s%d", prefix, w.nextID)
}

func (w *world) newDecider() *worldDecider {
	return &worldDecider{
		decider:  NewDecider(worldPolicy()),
		store:    newStore(),
		demand:   newDemandBook(worldPolicy()),
		declared: w.declared,
		engines:  map[string]EngineView{},
		since:    w.now,
	}
}

// catchUp shows a decider everything as it is.
func (w *world) catchUp(d *worldDecider) {
	w.read(d, true)
	d.hosts = w.hosts
	d.declared = w.declared
	for name := range w.engines {
		w.look(d, name)
	}
}

// violated notes the first violation.
func (w *world) violated(format string, args ...any) {
	if w.broke == "" {
		w.broke = fmt.Sprintf(format, args...)
	}
}

// declare gives a model version new numbers and a new selector.
func (w *world) declare(model string) {
	selectors := []string{"pool = a", "pool = b", "pool in (a, b)"}
	most := 1 + w.random.IntN(3)
	w.models[model] = ModelSpec{
		Model:       model,
		Selector:    selector.MustParse(selectors[w.random.IntN(len(selectors))]),
		MemoryBytes: int64(1+w.random.IntN(60)) * gibibyte,
		Min:         w.random.IntN(most + 1),
		Max:         most,
		Concurrency: 4,
	}
	w.publish()
}

// publish makes the declared models a new revision of the declarations.
func (w *world) publish() {
	head, err := w.table.Commit(context.Background(), backing.Txn{Puts: []backing.Put{{Key: headKey}}})
	if err != nil {
		panic(err)
	}
	w.declared = Declared{Revision: head, Head: backing.Condition{Key: headKey, Revision: head}}
	for _, model := range slices.Sorted(maps.Keys(w.models)) {
		w.declared.Models = append(w.declared.Models, w.models[model])
	}
}

// listHost makes a new version of the host list; with no state the host is not listed any more.
func (w *world) listHost(host string, state backing.HostState) {
	next := HostsView{Version: w.hosts.Version + 1, States: maps.Clone(w.hosts.States)}
	if state == "" {
		delete(next.States, host)
	} else {
		next.States[host] = state
	}
	w.hosts = next
}

// observe checks each commit as it happens: a grant keeps to the maximum in force, a slot that is being released is never
// granted again, and nothing leaves a row that its engine holds.
func (w *world) observe(before, after backing.Row) {
	if !strings.HasPrefix(before.Key+after.Key, KeyPrefix) {
		return
	}
	old, next := mustDecode(before), mustDecode(after)
	delete(w.rows, old.GetModel())
	if next != nil {
		w.rows[next.Model] = next
	}
	w.counts["commit"]++
	for _, s := range next.GetSlots() {
		was := SlotOf(old, s.Engine, s.Host)
		if was == nil {
			w.checkGrant(next)
		}
		if was.GetState() == replicaspb.SlotState_RELEASING && s.State == replicaspb.SlotState_GRANTED {
			w.violated("%s: slot of %s granted again while it was being released", next.Model, s.Engine)
		}
	}
}

func (w *world) checkGrant(row *replicaspb.Row) {
	w.counts["grant"]++
	spec, declared := w.models[row.Model]
	if !declared {
		w.violated("%s: granted though it is not declared", row.Model)
	}
	if len(row.Slots) > spec.Max {
		w.violated("%s: granted %s, above the maximum %d", row.Model, short(row), spec.Max)
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

// check looks at the truth: whatever an engine holds, it has a slot for.
func (w *world) check() {
	holders := map[string]int{}
	for _, e := range w.engines {
		for _, model := range e.holds() {
			holders[model]++
			row := w.rows[model]
			if SlotOf(row, e.Name, e.Host) == nil {
				w.violated("%s on %s (%s) holds %s, row: %s", e.Name, e.Host, e.FailureDomain, model, short(row))
			}
		}
	}
}

// read brings a decider's rows up to date, with or without deletions.
func (w *world) read(d *worldDecider, full bool) {
	after, complete := d.store.progress()
	if full || !complete {
		full, after = true, 0
	}
	listing, err := w.table.List(context.Background(), KeyPrefix, after)
	if err != nil {
		return
	}
	d.store.take(w.now, listing, full)
}

// look lets a decider see one engine as it is.
func (w *world) look(d *worldDecider, name string) {
	e := w.engines[name]
	view := e.EngineView
	view.Reachable = e.acts() && e.linked
	old, known := d.engines[name]
	view.Since = old.Since
	if !known || old.Reachable != view.Reachable || old.Host != view.Host {
		view.Since = w.now
	}
	d.engines[name] = view
	if !reflect.DeepEqual(old, view) {
		d.version++
	}
}

// decide runs one decision of a decider.
func (w *world) decide(d *worldDecider) []Change {
	w.counts["decision"]++
	rows, _ := d.store.views()
	s := &Snapshot{
		Declared:       d.declared,
		Rows:           rows,
		EnginesVersion: d.version,
		Hosts:          d.hosts,
		Since:          d.since,
		Demand:         map[string]Demand{},
		Releases:       d.demand.confirmed(w.now, rows),
	}
	for _, name := range slices.Sorted(maps.Keys(d.engines)) {
		s.Engines = append(s.Engines, d.engines[name])
	}
	d.demand.expire(w.now)
	for model := range w.models {
		demand := d.demand.demand(w.now, model)
		demand.Usage = Usage{Known: true, Loaded: w.loadedAt(model)}
		s.Demand[model] = demand
	}
	if w.broken == guardNone && w.random.IntN(4) == 0 {
		w.compareWithFresh(d, s)
	}
	return w.broken.decide(d.decider, w.now, s)
}

// compareWithFresh checks that what a Decider keeps between decisions does not change them.
func (w *world) compareWithFresh(d *worldDecider, s *Snapshot) {
	used, fresh := d.decider.Decide(w.now, s), NewDecider(worldPolicy()).Decide(w.now, s)
	if fmt.Sprint(used) != fmt.Sprint(fresh) {
		w.violated("decided %v, a fresh process decides %v", used, fresh)
	}
}

func (w *world) loadedAt(model string) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		if w.engines[name].loaded[model] {
			names = append(names, name)
		}
	}
	return names
}

// propose writes a change with whatever may happen to a write.
func (w *world) propose(d *worldDecider, c Change, faults bool) {
	w.counts["proposal"]++
	c.Next.OperationId = w.newID("op")
	w.table.fault = nil
	if faults {
		w.table.fault = w.commitFault
	}
	row, err := Propose(context.Background(), w.table, c)
	w.table.fault = nil
	switch {
	case errors.Is(err, ErrConflict):
		w.counts["proposal in conflict"]++
		w.read(d, w.random.IntN(2) == 0)
	case err != nil:
		w.counts["proposal lost"]++
	case row == nil:
		d.store.drop(w.now, c.Model, c.Expected)
	default:
		d.store.put(w.now, row)
	}
}

// commitFault loses some answers, with the write made, never made, or still to come.
func (w *world) commitFault(txn backing.Txn) (error, bool) {
	switch w.random.IntN(12) {
	case 0:
		return backing.ErrOutcomeUnknown, true
	case 1:
		return backing.ErrOutcomeUnknown, false
	case 2:
		w.late = append(w.late, txn)
		return backing.ErrOutcomeUnknown, false
	case 3:
		return backing.ErrUnavailable, false
	default:
		return nil, false
	}
}

// confirmations lets an agent tidy up and tells some deciders of what it confirms.
func (w *world) confirmations(e *worldEngine, share float64) {
	for _, r := range e.tidy() {
		for _, d := range w.deciders {
			if w.random.Float64() < share {
				d.demand.released(w.now, r)
			}
		}
	}
}

// want lets an engine ask for another slot.
func (w *world) want(e *worldEngine, model string) {
	reasons := []wirepb.RefusalReason{
		wirepb.RefusalReason_NO_MEMORY, wirepb.RefusalReason_LOAD_FAILED, wirepb.RefusalReason_QUEUE_FULL,
	}
	reason := reasons[w.random.IntN(len(reasons))]
	for _, d := range w.deciders {
		d.demand.wanted(w.now, e.Name, model, reason, 1+w.random.IntN(20))
	}
}
