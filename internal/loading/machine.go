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

// Machine decides what one engine holds in memory. It is not safe for concurrent use.
//
// It keeps a record of each model version and adapter that may be in the engine's memory, with the orders that may
// still change it. Each step handles one event, reconciles the records that the event affects, and plans the pending
// loads.
type Machine struct {
	options Options
	policy  IdlePolicy
	random  *rand.Rand

	// now and step are the time and number of the current step.
	now     time.Time
	step    uint64
	actions []Action

	engine   engineView
	reads    engineReads
	slots    slotTable
	fence    fenceSource
	accepted accepted
	// predecessor represents all orders that earlier agents of this engine may have left in flight.
	predecessor  order
	barrierOrder *order
	orders       map[string]*order

	specsKnown bool
	models     map[string]ModelSpec
	adapters   map[string]AdapterSpec

	replicas    ordered[*replica]
	wanted      map[*holding]struct{}
	demands     map[string]*demand
	running     map[string]*runningRequest
	deadlines   schedule[*demand]
	timers      schedule[*replica]
	dirty       []*replica
	adapterTime time.Duration

	permits      map[string]*holding
	permitPrefix string
	permitCount  uint64

	leaving bool
}

// NewMachine returns a Machine with no state of its engine yet. The time of the first step counts as the start of the
// agent: no earlier agent of the engine may send an order after that.
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
		slots:     slotTable{grants: map[string]*grant{}},
		orders:    map[string]*order{},
		models:    map[string]ModelSpec{},
		adapters:  map[string]AdapterSpec{},
		wanted:    map[*holding]struct{}{},
		demands:   map[string]*demand{},
		running:   map[string]*runningRequest{},
		permits:   map[string]*holding{},
		deadlines: schedule[*demand]{due: demandDue, index: demandIndex},
		timers:    schedule[*replica]{due: replicaDue, index: replicaIndex},
	}
	m.permitPrefix = strconv.FormatUint(m.random.Uint64(), 36) + "-"
	return m
}

func demandDue(d *demand) time.Time   { return d.deadline }
func demandIndex(d *demand) *int      { return &d.heapIndex }
func replicaDue(r *replica) time.Time { return r.due }
func replicaIndex(r *replica) *int    { return &r.heapIndex }

// Step handles one event and returns the actions to carry out, in order. Time never moves backwards: a time before that
// of an earlier step is replaced by the latter.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.begin(now)
	m.apply(e)
	m.processTimers()
	m.reconcileDirty()
	m.barrier()
	m.plan()
	m.reconcileDirty()
	m.expireDemands()
	m.issueRead()
	actions := m.actions
	m.actions = nil
	return actions
}

// begin starts a step. The first step also requests the initial reads of the engine and the table.
func (m *Machine) begin(now time.Time) {
	m.step++
	m.now = later(m.now, now)
	if m.step > 1 {
		return
	}
	m.predecessor = order{unknown: true, endedAt: m.now}
	m.scheduleRead()
	m.readRows()
}

// apply dispatches the event to its handler.
func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case EngineRead:
		m.engineRead(e)
	case EngineReadFailed:
		m.engineReadFailed(e)
	case RowsRead:
		m.rowsRead(e)
	case RowSeen:
		m.rowSeen(e.Row, false)
	case SpecsChanged:
		m.specsChanged(e)
	case RequestWaiting:
		m.requestWaiting(e)
	case RequestGone:
		m.requestGone(e.Request)
	case Started:
		m.startedRequest(e)
	case Finished:
		m.finished(e)
	case PermitGranted:
		m.permitGranted(e)
	case PermitDenied:
		m.permitDenied(e)
	case OrderDone:
		m.orderDone(e)
	case Leaving:
		m.leaving = true
		m.markAllDirty()
	case Tick:
	}
}

// processTimers handles deadlines and timers that have expired.
func (m *Machine) processTimers() {
	m.expireDemands()
	for {
		r, ok := m.timers.next(m.now)
		if !ok {
			break
		}
		m.markDirty(r)
	}
	if !m.engine.predecessorsDone && m.engine.known && m.expired(&m.predecessor, m.now) {
		m.scheduleReadFrom(m.expiresAt(&m.predecessor), 0)
	}
}

// emit adds an action to the result of the step.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// NextDeadline returns the latest time of the next Step, with a Tick if there is no other event; zero if no step is
// needed.
func (m *Machine) NextDeadline() time.Time {
	next := earlier(m.deadlines.first(), m.timers.first())
	if m.reads.outstanding {
		next = earlier(next, m.reads.requestedAt.Add(readTimeout))
	} else {
		next = earlier(next, m.reads.nextAt)
	}
	if m.engine.predecessorsDone || !m.engine.known {
		return next
	}
	if end := m.expiresAt(&m.predecessor); end.After(m.now) {
		next = earlier(next, end)
	}
	if m.options.ChecksFencing && m.engine.nextBarrierAt.After(m.now) {
		next = earlier(next, m.engine.nextBarrierAt)
	}
	return next
}
