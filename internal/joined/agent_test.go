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
	maxTickInterval   = 250 * time.Millisecond
)

// agent is the process next to an endpoint. It connects the state machines in the same way as the I/O code of package
// agent.
type agent struct {
	*process
	w *world
	// number identifies the agent; later agents have higher numbers.
	number   int
	host     *host
	core     *core
	table    *tableClient
	receiver *declarations.Receiver
	// declaredAt is the time at which the agent's declarations last changed.
	declaredAt time.Duration
	// streams are the control streams. An entry may have several, because a new one can be accepted before an abandoned
	// one ends here.
	streams []*controlStream
	// readRequested and rowsRequested stand for channels of capacity one; reading and readingRows are set during a read.
	readRequested, rowsRequested bool
	readID                       uint64
	reading, readingRows         bool
	// inflight is the number of open request streams, offers the number of all offers.
	inflight, offers int
	// unloads is the number of unload orders in flight.
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

// begin starts the process and its periodic tasks.
func (a *agent) begin() {
	a.start()
	a.logf("%s starts", a.name)
	a.w.net.checkConns()
	if a.core.machine == nil {
		a.probe()
	} else {
		a.core.step(loading.Tick{})
	}
	a.tick()
}

// tick handles expirations and schedules the next tick.
func (a *agent) tick() {
	wait := maxTickInterval
	if next := a.core.expire(); !next.IsZero() {
		wait = min(maxTickInterval, max(time.Millisecond, next.Sub(a.now())))
	}
	a.later(wait, a.tick)
}

// probe checks periodically whether a plain service responds.
func (a *agent) probe() {
	up := a.host.service.up && !a.w.faulty(30)
	if a.core.up != up {
		a.core.up = up
		if up {
			a.perform(a.core.startReady(a.now()))
		}
		a.scheduleWrites()
	}
	a.later(probeInterval, a.probe)
}

// perform executes the loading machine's actions.
func (a *agent) perform(actions []loading.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case loading.SendOrder:
			if isUnload(action.Order) {
				a.unloads++
			}
			a.soon(func() { a.sendOrder(action.Order) })
		case loading.ReadEngine:
			a.requestRead(action.ID)
		case loading.ReadRows:
			a.requestRows()
		case loading.AskPermit:
			a.requestPermit(action)
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

// sendOrder sends an order to the engine. The loading machine gets the result whenever it arrives.
func (a *agent) sendOrder(o endpoint.Order) {
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
	a.host.engine.submit(a, o, done)
}

func isUnload(o endpoint.Order) bool {
	return o.Kind == endpoint.OrderUnload || o.Kind == endpoint.OrderUnloadAdapter
}

func (a *agent) requestRead(id uint64) {
	a.readRequested, a.readID = true, id
	a.readEngine()
}

// readEngine reads the engine's state if a read was requested and none is in progress.
func (a *agent) readEngine() {
	if a.reading || !a.readRequested {
		return
	}
	a.reading, a.readRequested = true, false
	finish := func(e loading.Event) {
		a.reading = false
		a.core.step(e)
		a.readEngine()
	}
	a.soon(func() {
		id, e := a.readID, a.host.engine
		if a.w.disabledGuard == guardReadID {
			id = 0
		}
		duration := a.between(200*time.Microsecond, 2*time.Millisecond)
		if a.w.faulty(10) {
			duration = a.between(0, 2*time.Second)
		}
		lost := a.w.faulty(20)
		sampledAt := a.between(0, duration)
		if e.readDelay > 0 {
			duration, sampledAt = e.readDelay, 0
		}
		a.w.after(sampledAt, func() {
			if !e.up || lost {
				a.later(duration-sampledAt, func() { finish(loading.EngineReadFailed{ID: id}) })
				return
			}
			state := e.state()
			a.later(duration-sampledAt, func() { finish(loading.EngineRead{ID: id, State: state}) })
		})
	})
}

func (a *agent) requestRows() {
	a.rowsRequested = true
	a.readRows()
}

// readRows registers the agent in the table and reads its grants. It retries until both succeed.
func (a *agent) readRows() {
	if a.readingRows || !a.rowsRequested {
		return
	}
	a.readingRows, a.rowsRequested = true, false
	retry := func() {
		a.later(tableRetry, func() {
			a.readingRows, a.rowsRequested = false, true
			a.readRows()
		})
	}
	a.later(a.w.net.latency(), func() {
		put := backing.Put{Key: "agents/" + a.host.endpoint, Value: []byte(a.name)}
		if _, err := a.table.Commit(context.Background(), backing.Txn{Puts: []backing.Put{put}}); err != nil {
			retry()
			return
		}
		a.later(a.w.net.latency(), func() {
			listing, err := a.table.List(context.Background(), replicas.KeyPrefix, 0)
			if err != nil {
				retry()
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

// leave stops accepting new requests.
func (a *agent) leave() { a.core.leave() }

// stop starts a planned stop: the agent accepts no new requests, finishes the running ones and then ends.
func (a *agent) stop() {
	if a.draining || !a.alive {
		return
	}
	a.logf("%s begins a planned stop", a.name)
	a.draining = true
	a.leave()
	a.awaitIdle()
}

func (a *agent) awaitIdle() {
	if a.inflight > 0 {
		a.later(10*time.Millisecond, a.awaitIdle)
		return
	}
	a.later(drainLinger, a.awaitUnloads)
}

// awaitUnloads waits for unload orders in flight and then ends the process.
func (a *agent) awaitUnloads() {
	if a.unloads > 0 && a.w.disabledGuard != guardUnloadsAtStop {
		a.later(10*time.Millisecond, a.awaitUnloads)
		return
	}
	a.logf("%s has stopped", a.name)
	a.host.endAgent(true)
}
