package loading

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	defaultLoadsAtOnce   = 2
	defaultStateInterval = 10 * time.Second
)

// Machine decides what one engine holds. It is not safe for concurrent use.
//
// It keeps a record of each model version and adapter that may be in the engine's memory, with the orders that may still
// change it. Each step takes in one event, looks at the records that it touched, and plans the loads that are wanted.
type Machine struct {
	options Options
	policy  IdlePolicy
	random  *rand.Rand

	// now and step are those of the event that is taken in.
	now     time.Time
	step    uint64
	actions []Action

	engine   engineView
	reads    engineReads
	slots    slotBook
	fence    fenceSource
	accepted accepted
	// predecessor stands for all orders that earlier agents of this engine may have left in flight.
	predecessor  order
	barrierOrder *order
	orders       map[string]*order

	specsSeen bool
	models    map[string]ModelSpec
	adapters  map[string]AdapterSpec

	replicas    ordered[*replica]
	wanting     map[*holding]struct{}
	demands     map[string]*demand
	running     map[string]*run
	deadlines   schedule[*demand]
	timers      schedule[*replica]
	dirty       []*replica
	adapterTime time.Duration

	permits      map[string]*holding
	permitPrefix string
	permitCount  uint64

	leaving bool
}

// NewMachine returns a Machine that knows nothing of its engine yet. The time of the first step counts as the agent's
// start: no earlier agent of the engine may give an order from then on.
func NewMachine(options Options, policy IdlePolicy) *Machine {
	if options.LoadsAtOnce <= 0 {
		options.LoadsAtOnce = defaultLoadsAtOnce
	}
	if options.StateInterval <= 0 {
		options.StateInterval = defaultStateInterval
	}
	m := &Machine{
		options:   options,
		policy:    policy,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		slots:     slotBook{grants: map[string]*grant{}},
		orders:    map[string]*order{},
		models:    map[string]ModelSpec{},
		adapters:  map[string]AdapterSpec{},
		wanting:   map[*holding]struct{}{},
		demands:   map[string]*demand{},
		running:   map[string]*run{},
		permits:   map[string]*holding{},
		deadlines: schedule[*demand]{due: demandDue, place: demandPlace},
		timers:    schedule[*replica]{due: replicaDue, place: replicaPlace},
	}
	m.permitPrefix = strconv.FormatUint(m.random.Uint64(), 36) + "-"
	return m
}

func demandDue(d *demand) time.Time   { return d.deadline }
func demandPlace(d *demand) *int      { return &d.place }
func replicaDue(r *replica) time.Time { return r.due }
func replicaPlace(r *replica) *int    { return &r.place }

// Step takes in one event at a time and returns what the shell must do, in order. A time before that of an earlier step
// counts as that one.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.begin(now)
	m.apply(e)
	m.passTime()
	m.tendDirty()
	m.barrier()
	m.plan()
	m.tendDirty()
	m.expireDemands()
	m.askReads()
	actions := m.actions
	m.actions = nil
	return actions
}

// begin starts a step.
func (m *Machine) begin(now time.Time) {
	m.step++
	m.now = later(m.now, now)
	if m.step > 1 {
		return
	}
	m.predecessor = order{unknown: true, endedAt: m.now}
	m.wantRead()
	m.readRows()
}

// apply takes in the event.
func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case EngineRead:
		m.engineRead(e)
	case EngineLost:
		m.engineLost(e)
	case RowsRead:
		m.rowsRead(e)
	case RowSeen:
		m.rowSeen(e.Row, false)
	case SpecsChanged:
		m.specsChanged(e)
	case Demanded:
		m.demanded(e)
	case DemandGone:
		m.demandGone(e.Request)
	case Started:
		m.startedRequest(e)
	case Finished:
		m.finished(e)
	case PermitGiven:
		m.permitGiven(e)
	case PermitDenied:
		m.permitDenied(e)
	case OrderDone:
		m.orderDone(e)
	case Leaving:
		m.leaving = true
		m.touchAll()
	case Tick:
	}
}

// passTime does what has become due.
func (m *Machine) passTime() {
	m.expireDemands()
	for {
		r, ok := m.timers.next(m.now)
		if !ok {
			break
		}
		m.touch(r)
	}
	if !m.engine.clear && m.engine.known && m.spent(&m.predecessor, m.now) {
		m.wantReadFrom(m.spentAt(&m.predecessor), 0)
	}
}

// emit adds an action to the step's.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// NextDeadline returns when the machine must be stepped again at the latest, with a Tick if nothing else happens; the
// zero time when there is no need.
func (m *Machine) NextDeadline() time.Time {
	next := earlier(m.deadlines.first(), m.timers.first())
	if m.reads.outstanding {
		next = earlier(next, m.reads.askedAt.Add(readPatience))
	} else {
		next = earlier(next, m.reads.next)
	}
	if m.engine.clear || !m.engine.known {
		return next
	}
	if end := m.spentAt(&m.predecessor); end.After(m.now) {
		next = earlier(next, end)
	}
	if m.options.ChecksFencing && m.engine.barrierAt.After(m.now) {
		next = earlier(next, m.engine.barrierAt)
	}
	return next
}
