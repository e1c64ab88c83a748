package loading

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
)

const (
	simOrderLife = 10 * time.Second
	simLimit     = 100
	simBase      = 7
)

// simModels and simAdapters are the declarations; not all of them fit into memory at once.
var (
	simModels = []ModelSpec{
		{Model: "a@1", MemoryBytes: 40, KVFloorBytes: 5, ExpectedLoad: time.Second},
		{Model: "b@1", MemoryBytes: 50, KVFloorBytes: 5},
		{Model: "c@1", MemoryBytes: 30, WarmReplicas: 1},
	}
	simAdapters = []AdapterSpec{
		{Adapter: "a-x", Model: "a@1", MemoryBytes: 6},
		{Adapter: "a-y", Model: "a@1", MemoryBytes: 9},
		{Adapter: "b-x", Model: "b@1", MemoryBytes: 8},
	}
)

// simTarget is the model version and adapter that a simulated request needs.
type simTarget struct{ model, adapter string }

// simWorld simulates a table of grants, one engine, and the successive agents beside it.
type simWorld struct {
	random *rand.Rand
	now    time.Time
	engine *simEngine

	// rows are all versions of each row; releasing are the revisions at which slots became RELEASING.
	revision  uint64
	rows      map[string][]*replicaspb.Row
	releasing map[string]uint64
	confirmed map[string]uint64
	// confirmations are those in flight.
	confirmations []ConfirmRelease

	machine       *Machine
	agent         int
	steps         int
	fence         uint64
	pending       []Event
	delivered     []Event
	reads         []ReadEngine
	rowsRequested bool
	permits       []AskPermit
	usable        map[simTarget]bool
	demands       map[string]RequestWaiting
	running       map[string]simTarget
	requests      int
	faultFree     bool
	log           []string
}

func newSimWorld(seed uint64, f fencing) *simWorld {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &simWorld{
		random:    random,
		now:       time.Unix(1_000_000, 0),
		rows:      map[string][]*replicaspb.Row{},
		releasing: map[string]uint64{},
		confirmed: map[string]uint64{},
		engine:    &simEngine{random: random, fencing: f, limit: simLimit, base: simBase, models: map[string]*simModel{}},
	}
	w.startAgent()
	return w
}

// startAgent replaces the agent: its memory is lost, and the orders it sent remain in flight.
func (w *simWorld) startAgent() {
	w.engine.orders = slices.DeleteFunc(w.engine.orders, func(o *simOrder) bool { return !o.sent })
	for _, o := range w.engine.orders {
		w.abandon(o)
	}
	w.agent++
	w.revision++
	w.machine = NewMachine(Options{
		Engine:        "e",
		MemoryBytes:   simLimit,
		ChecksFencing: w.engine.fencing != fencingIgnored,
		OrderLifetime: simOrderLife,
		StateInterval: 5 * time.Second,
		PermitTimeout: time.Second,
		Seed:          w.random.Uint64(),
	}, fixedPolicy(time.Duration(w.random.IntN(5))*time.Second))
	w.pending, w.delivered, w.reads, w.permits, w.rowsRequested = nil, nil, nil, nil, false
	w.usable = map[simTarget]bool{}
	w.demands = map[string]RequestWaiting{}
	w.running = map[string]simTarget{}
	w.step(Tick{})
	w.pending = append(w.pending, SpecsChanged{Models: simModels, Adapters: simAdapters})
}

func (w *simWorld) abandon(o *simOrder) {
	if !o.abandoned {
		o.abandoned = true
		o.expires = w.now.Add(simOrderLife)
	}
}

// step applies an event to the machine and carries out its actions.
func (w *simWorld) step(e Event) {
	w.steps++
	w.logf("%v agent %d: %T%+v", w.now.Sub(time.Unix(1_000_000, 0)), w.agent, e, e)
	for _, a := range w.machine.Step(w.now, e) {
		w.logf("    -> %T%+v", a, a)
		w.perform(a)
	}
}

func (w *simWorld) logf(format string, args ...any) {
	if w.log != nil {
		w.log = append(w.log, fmt.Sprintf(format, args...))
	}
}

func (w *simWorld) perform(a Action) {
	switch a := a.(type) {
	case SendOrder:
		w.give(a.Order)
	case ReadEngine:
		w.reads = append(w.reads, a)
	case ReadRows:
		w.rowsRequested = true
	case AskPermit:
		w.permits = append(w.permits, a)
	case ConfirmRelease:
		w.confirmations = append(w.confirmations, a)
	case Usable:
		w.usable[simTarget{a.Model, a.Adapter}] = true
	case Unusable:
		for t := range w.usable {
			if t.model == a.Model && (a.Adapter == "" || t.adapter == a.Adapter) {
				delete(w.usable, t)
			}
		}
	case RefuseRequests:
		w.refuse(a)
	}
}

// give checks and sends an order.
func (w *simWorld) give(o endpoint.Order) {
	if o.FencingToken <= w.fence {
		w.engine.violate("fencing token %d after %d", o.FencingToken, w.fence)
	}
	w.fence = o.FencingToken
	for _, other := range w.engine.orders {
		both := o.Adapter != "" && other.Adapter != "" && o.Adapter != other.Adapter
		if other.Model == o.Model && other.agent == w.agent && !other.abandoned && !both {
			w.engine.violate("order %s while %s is in flight", o.ID, other.ID)
		}
	}
	for id, t := range w.running {
		if t.model == o.Model && o.Kind == endpoint.OrderUnload || t.adapter == o.Adapter && o.Kind == endpoint.OrderUnloadAdapter {
			w.engine.violate("order %s aborts request %s", o.ID, id)
		}
	}
	w.engine.orders = append(w.engine.orders, &simOrder{Order: o, agent: w.agent})
}

func (w *simWorld) refuse(a RefuseRequests) {
	for id, d := range w.demands {
		one := a.Request == "" || a.Request == id
		if one && d.Model == a.Model && (a.Adapter == "" || d.Adapter == a.Adapter) {
			delete(w.demands, id)
		}
	}
}

// row returns the newest row of a model version.
func (w *simWorld) row(model string) *replicaspb.Row {
	versions := w.rows[model]
	if len(versions) == 0 {
		return &replicaspb.Row{Model: model}
	}
	return versions[len(versions)-1]
}

// write adds a new version of a row to the table.
func (w *simWorld) write(model string, state replicaspb.SlotState) {
	w.revision++
	row := &replicaspb.Row{Model: model, Revision: w.revision}
	if state != replicaspb.SlotState_SLOT_STATE_UNSPECIFIED {
		row.Slots = append(row.Slots, &replicaspb.Slot{Engine: "e", State: state})
	}
	w.rows[model] = append(w.rows[model], row)
	w.logf("table: %v", row)
}

// changeRow follows the protocol of grants and releases.
func (w *simWorld) changeRow(model string) {
	row := w.row(model)
	switch {
	case len(row.Slots) == 0:
		w.write(model, replicaspb.SlotState_GRANTED)
	case row.Slots[0].State == replicaspb.SlotState_GRANTED:
		w.write(model, replicaspb.SlotState_RELEASING)
		w.releasing[model] = w.revision
	case w.confirmed[model] >= w.releasing[model]:
		w.write(model, replicaspb.SlotState_SLOT_STATE_UNSPECIFIED)
	}
}

// readTable returns the rows that name the engine.
func (w *simWorld) readTable() RowsRead {
	read := RowsRead{Revision: w.revision}
	for _, m := range simModels {
		if row := w.row(m.Model); len(row.Slots) > 0 {
			read.Rows = append(read.Rows, proto.CloneOf(row))
		}
	}
	return read
}

// check returns the first violation, or "".
func (w *simWorld) check() string {
	for model := range w.engine.models {
		if len(w.row(model).Slots) == 0 {
			w.engine.violate("%s is loaded without a slot", model)
		}
	}
	for id, d := range w.demands {
		if w.now.After(d.Deadline) && !w.usable[simTarget{d.Model, d.Adapter}] {
			w.engine.violate("request %s was not answered by its deadline", id)
		}
	}
	return w.engine.violation
}
