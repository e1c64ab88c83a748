package joined

import (
	"context"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/replicas"
	"balsamsail/internal/wire/wirepb"
)

const (
	kindEngine  = "engine"
	kindService = "service"

	heartbeatInterval = time.Second
	batchDelay        = 20 * time.Millisecond
	tableRetry        = time.Second
	probeInterval     = time.Second
	commitTimeout     = 2 * time.Second
	maxAnswer         = 15 * time.Second
	drainLinger       = 500 * time.Millisecond
	longestWait       = 250 * time.Millisecond
)

// agent is the process beside an endpoint: the machines of package agent, joined as its shell joins them.
type agent struct {
	*process
	w *world
	// number rises from agent to agent.
	number   int
	host     *host
	core     *core
	table    *tableClient
	receiver *declarations.Receiver
	// declaredAt is when the declarations last changed here.
	declaredAt time.Duration
	// streams are the control streams: an entry that gave one up may have another one taken up before it ends here.
	streams []*controlStream
	// readAsked and rowsAsked are the shell's channels of capacity one; reading and readingRows are set while it reads.
	readAsked, rowsAsked bool
	readID               uint64
	reading, readingRows bool
	// inflight counts the request streams, offers the offers.
	inflight, offers int
	// unloads counts the unload orders on their way.
	unloads  int
	draining bool
}

func newAgent(h *host) *agent {
	w := h.world
	w.agents++
	a := &agent{
		process: &process{sim: w.sim, name: h.endpoint + "@" + h.id}, w: w, number: w.agents, host: h,
		table: &tableClient{memoryTable: w.table}, receiver: declarations.NewReceiver(),
	}
	queue := admission.NewQueue(admission.Options{MaxWaiting: 6, MaxPerTarget: 4, MaxPerCaller: 4, BatchEvery: 2, Seed: w.random.Uint64()})
	policy := idle.NewPolicy(idle.Options{Min: 500 * time.Millisecond, Max: 20 * time.Second})
	var machine *loading.Machine
	if h.kind == kindEngine {
		machine = loading.NewMachine(loading.Options{
			Engine: h.endpoint, Host: h.id, MemoryBytes: engineLimit, ChecksFencing: h.engine.fencing != fencingIgnored,
			OrderLifetime: orderLife, StateInterval: 5 * time.Second, PermitTimeout: time.Second, Seed: w.random.Uint64(),
		}, policy)
	}
	a.core = newCore(a, queue, machine, policy)
	return a
}

// begin starts the process.
func (a *agent) begin() {
	a.start()
	a.logf("%s starts", a.name)
	a.w.net.notice()
	if a.core.machine == nil {
		a.probe()
	} else {
		a.core.step(loading.Tick{})
	}
	a.tick()
}

// tick is the shell's timer.
func (a *agent) tick() {
	wait := longestWait
	if next := a.core.expire(); !next.IsZero() {
		wait = min(longestWait, max(time.Millisecond, next.Sub(a.now())))
	}
	a.later(wait, a.tick)
}

// probe checks that a plain service answers.
func (a *agent) probe() {
	up := a.host.service.up && !a.w.faulty(30)
	if a.core.up != up {
		a.core.up = up
		if up {
			a.perform(a.core.pump(a.now()))
		}
		a.stir()
	}
	a.later(probeInterval, a.probe)
}

// perform carries out the machine's actions.
func (a *agent) perform(actions []loading.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case loading.SendOrder:
			if isUnload(action.Order) {
				a.unloads++
			}
			a.soon(func() { a.order(action.Order) })
		case loading.ReadEngine:
			a.askRead(action.ID)
		case loading.ReadRows:
			a.askRows()
		case loading.AskPermit:
			a.askPermit(action)
		case loading.ReleasePermit:
			a.broadcast(func(up *wirepb.ControlUp) { up.PermitsDone = append(up.PermitsDone, action.ID) })
		case loading.ConfirmRelease:
			release := &wirepb.SlotRelease{Model: action.Model, Revision: action.Revision}
			a.broadcast(func(up *wirepb.ControlUp) { up.Releases = append(up.Releases, release) })
		case loading.WantSlot:
			wanted := &wirepb.SlotWanted{Model: action.Model, Reason: action.Reason, Demand: 1}
			a.broadcast(func(up *wirepb.ControlUp) { up.Wanted = append(up.Wanted, wanted) })
		}
	}
}

// order gives an order; its answer is taken whenever it comes.
func (a *agent) order(o endpoint.Order) {
	done := func(err error) {
		a.later(0, func() {
			a.core.step(loading.OrderDone{ID: o.ID, Err: err})
			if isUnload(o) {
				a.unloads--
			}
		})
	}
	if !a.host.engine.up || a.w.faulty(30) {
		done(endpoint.ErrUnreachable)
		return
	}
	a.host.engine.give(a, o, done)
}

func isUnload(o endpoint.Order) bool {
	return o.Kind == endpoint.OrderUnload || o.Kind == endpoint.OrderUnloadAdapter
}

func (a *agent) askRead(id uint64) {
	a.readAsked, a.readID = true, id
	a.readEngine()
}

// readEngine reads the engine's state when that was asked for and no read is under way.
func (a *agent) readEngine() {
	if a.reading || !a.readAsked {
		return
	}
	a.reading, a.readAsked = true, false
	ended := func(e loading.Event) {
		a.reading = false
		a.core.step(e)
		a.readEngine()
	}
	a.soon(func() {
		id, e := a.readID, a.host.engine
		if a.w.without == guardReadID {
			id = 0
		}
		slow := a.between(200*time.Microsecond, 2*time.Millisecond)
		if a.w.faulty(10) {
			slow = a.between(0, 2*time.Second)
		}
		lost := a.w.faulty(20)
		looked := a.between(0, slow)
		if e.readTime > 0 {
			slow, looked = e.readTime, 0
		}
		a.w.after(looked, func() {
			if !e.up || lost {
				a.later(slow-looked, func() { ended(loading.EngineReadFailed{ID: id}) })
				return
			}
			state := e.state()
			a.later(slow-looked, func() { ended(loading.EngineRead{ID: id, State: state}) })
		})
	})
}

func (a *agent) askRows() {
	a.rowsAsked = true
	a.readRows()
}

// readRows registers the agent in the table and reads its grants, again until both are done.
func (a *agent) readRows() {
	if a.readingRows || !a.rowsAsked {
		return
	}
	a.readingRows, a.rowsAsked = true, false
	again := func() {
		a.later(tableRetry, func() {
			a.readingRows, a.rowsAsked = false, true
			a.readRows()
		})
	}
	a.later(a.w.net.latency(), func() {
		put := backing.Put{Key: "agents/" + a.host.endpoint, Value: []byte(a.name)}
		if _, err := a.table.Commit(context.Background(), backing.Txn{Puts: []backing.Put{put}}); err != nil {
			again()
			return
		}
		a.later(a.w.net.latency(), func() {
			listing, err := a.table.List(context.Background(), replicas.KeyPrefix, 0)
			if err != nil {
				again()
				return
			}
			a.later(a.w.net.latency(), func() {
				a.readingRows = false
				a.core.step(a.rowsOf(listing))
				a.readRows()
			})
		})
	})
}

func (a *agent) rowsOf(listing backing.Listing) loading.RowsRead {
	read := loading.RowsRead{Revision: listing.Revision}
	for _, stored := range listing.Rows {
		row, err := replicas.DecodeRow(stored)
		if err != nil {
			a.violated("table", "%v", err)
			continue
		}
		if replicas.SlotOf(row, a.host.endpoint, a.host.id) != nil {
			read.Rows = append(read.Rows, row)
		}
	}
	return read
}

// leave stops the taking of new work.
func (a *agent) leave() { a.core.leave() }

// stop is the planned stop: no new work, what runs is finished, then the process ends.
func (a *agent) stop() {
	if a.draining || !a.alive {
		return
	}
	a.logf("%s stops by plan", a.name)
	a.draining = true
	a.leave()
	a.awaitEnd()
}

func (a *agent) awaitEnd() {
	if a.inflight > 0 {
		a.later(10*time.Millisecond, a.awaitEnd)
		return
	}
	a.later(drainLinger, a.awaitUnloads)
}

// awaitUnloads waits for the unloads on their way, and ends the process.
func (a *agent) awaitUnloads() {
	if a.unloads > 0 && a.w.without != guardUnloads {
		a.later(10*time.Millisecond, a.awaitUnloads)
		return
	}
	a.logf("%s has stopped", a.name)
	a.host.endAgent(true)
}
