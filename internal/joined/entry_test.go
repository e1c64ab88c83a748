package joined

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

const (
	listInterval   = time.Second
	redialDelay    = 300 * time.Millisecond
	pollInterval   = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
	grantSettle    = 20 * time.Millisecond
	readinessDelay = 500 * time.Millisecond
)

// entry is the process on an entry host. It connects the state machines in the same way as the I/O code of package entry.
type entry struct {
	*process
	w         *world
	table     *tableClient
	view      *membership.View
	store     *declarations.Store
	skipClock *skippingClock
	grants    *replicas.Manager
	rounds    *roundClock
	claims    *atmostonce.Claims
	router    *routing.Router
	budget    *routing.RetryBudget
	limiter   *admission.Limiter
	permits   *permits.Budget

	links map[string]*entryLink
	// sentRevision is the revision of the declarations that each connected agent was last sent or has reported.
	sentRevision   map[string]uint64
	reachabilityOf map[string]reachability
	version        uint64
	// views caches the engine views of viewsVersion.
	views        []replicas.EngineView
	viewsVersion uint64
	// behindSince is the time since which an agent has reported a higher revision, stateRequestedAt the time at which an
	// agent was last asked for its declarations.
	behindSince, stateRequestedAt time.Time
	rowEngines                    map[string]map[string]bool
	rowsCursor                    uint64
	inFlight                      map[string]int
	picking                       map[*request]bool
	// requests are the requests in flight.
	requests    map[*request]bool
	sequence    int
	roundAt     time.Duration
	failures    int
	revision    uint64
	hostsListed bool
	draining    bool
	// tableReachableAt is the time at which the table last became reachable again.
	tableReachableAt time.Duration
}

// reachability is an endpoint's reachability, the time since which it has not changed, and the other reported fields on
// which grants depend.
type reachability struct {
	reachable, leaving bool
	since              time.Time
	memory             int64
	kind               string
	labels             map[string]string
}

// grantPolicy returns a policy with short times, so that slots change often within a run.
func grantPolicy() replicas.Policy {
	p := replicas.DefaultPolicy()
	p.UnreachableAfter, p.FailingAfter = 5*time.Second, 5*time.Second
	p.ExtraHold, p.AvoidFor, p.MoveTimeout = 12*time.Second, 12*time.Second, 12*time.Second
	p.GrowInterval, p.SlotRequestTTL = time.Second, 5*time.Second
	return p
}

func newEntry(w *world, name string) *entry {
	e := &entry{
		process: &process{sim: w.sim, name: name}, w: w, table: &tableClient{memoryTable: w.table}, view: membership.NewView(),
		router:  routing.NewRouter(routing.Options{Seed: w.random.Uint64()}),
		budget:  routing.NewRetryBudget(routing.BudgetOptions{}),
		limiter: admission.NewLimiter(admission.LimiterOptions{MaxInFlight: 40, MaxBatch: 20, Seed: w.random.Uint64()}),
		permits: permits.NewBudget(permits.Options{LoadsPerSecond: 4, LoadsAtOnce: 2, Lease: 4 * time.Second, MaxRetry: time.Second / 2}),
		links:   map[string]*entryLink{}, sentRevision: map[string]uint64{}, reachabilityOf: map[string]reachability{},
		rowEngines: map[string]map[string]bool{}, inFlight: map[string]int{}, picking: map[*request]bool{}, requests: map[*request]bool{},
	}
	e.start()
	e.skipClock = &skippingClock{}
	e.store = declarations.NewStore(declarations.Options{LogKeep: 16, EditTimeout: 3 * time.Second, Seed: w.random.Uint64()},
		e.table, e.skipClock, discardLogger, discardRegisterer{})
	e.claims = atmostonce.NewClaims(e.table, atmostonce.ClaimsOptions{Timeout: claimTimeout, Seed: w.random.Uint64()})
	e.rounds = &roundClock{process: e.process, started: e.now()}
	options := replicas.DefaultOptions()
	options.Policy, options.Incarnation, options.Seed = grantPolicy(), w.random.Uint64(), w.random.Uint64()
	options.FullInterval = 5 * time.Second
	options.WritesPerSecond, options.ParallelWrites = float64(rate.Inf), 1
	inputs := replicas.Inputs{Declarations: e, Engines: e, Peers: e, Usage: e}
	e.grants = replicas.NewManager(options, e.table, inputs, e.rounds, discardLogger, discardRegisterer{}, nil)
	return e
}

// begin starts the process's periodic tasks.
func (e *entry) begin() {
	e.logf("%s starts", e.name)
	e.poll()
	e.readHosts()
	e.scheduleGrantRound(0)
	e.pushPermits()
	e.maintainClaims()
}

// poll reads the declarations from the table periodically.
func (e *entry) poll() {
	wait := pollInterval
	if _, _, err := e.store.Operation(context.Background(), "none", 0); err != nil {
		e.failures = min(e.failures+1, 2)
		wait = min(wait<<e.failures, maxBackoff)
	} else {
		e.failures = 0
	}
	e.skipClock.skipped = 0
	e.pushRevision()
	e.later(e.jitter(wait), e.poll)
}

// pushRevision sends a new revision to the agents.
func (e *entry) pushRevision() {
	revision := e.store.Current().Revision()
	if revision < e.revision {
		e.violated("P9", "%s went back from revision %d to %d", e.name, e.revision, revision)
	}
	if revision == e.revision {
		return
	}
	e.revision, e.behindSince = revision, time.Time{}
	e.logf("%s has revision %d", e.name, revision)
	e.soon(func() {
		for _, name := range e.endpoints() {
			if e.endpoint(name).Connected {
				e.pushDeclarations(name)
			}
		}
		e.scheduleGrantRound(grantSettle)
		e.wakeRequests()
	})
}

// maintainClaims periodically frees abandoned claims.
func (e *entry) maintainClaims() {
	if !e.w.table.down && !e.table.cut && e.w.table.failOneIn == 0 {
		e.w.runClaims(e.claims)
	}
	e.later(e.jitter(2*time.Second), e.maintainClaims)
}

// scheduleGrantRound schedules a round of the replica manager after d, unless an earlier one is scheduled.
func (e *entry) scheduleGrantRound(d time.Duration) {
	at := e.elapsed + d
	if e.roundAt > e.elapsed && e.roundAt <= at {
		return
	}
	e.roundAt = at
	e.later(d, func() {
		if e.roundAt != at {
			return
		}
		e.roundAt = 0
		next := e.rounds.round(e.grants)
		e.pushRows()
		e.scheduleGrantRound(next)
	})
}

// readHosts reads the host list periodically.
func (e *entry) readHosts() {
	hosts, version, _ := e.w.hosts.Hosts(context.Background())
	// The answer is delayed, and a later read may be answered before.
	e.later(e.w.net.latency(), func() {
		if e.view.ApplyHosts(hosts, version) {
			e.adjustLinks()
			e.hostsChanged()
		}
		e.hostsListed = true
	})
	e.later(e.jitter(listInterval), e.readHosts)
}

// adjustLinks starts a link to each listed endpoint and stops the links to hosts that are gone or replaced.
func (e *entry) adjustLinks() {
	for _, name := range e.endpoints() {
		ep := e.endpoint(name)
		l := e.links[name]
		if l != nil && (ep.Gone || l.host.id != ep.Address) {
			l.stop()
			delete(e.links, name)
			l = nil
		}
		if l == nil && !ep.Gone {
			l = &entryLink{e: e, name: name, host: e.w.hostByID[ep.Address]}
			e.links[name] = l
			l.connect()
		}
	}
}

func (e *entry) endpoints() []string { return slices.Sorted(maps.Keys(e.view.Endpoints())) }

func (e *entry) endpoint(name string) *membership.Endpoint {
	ep, _ := e.view.Endpoint(name)
	return ep
}

// entryLink maintains the connection to one agent.
type entryLink struct {
	e       *entry
	name    string
	host    *host
	conn    *conn
	control *stream
	pending []*wirepb.ControlDown
	stopped bool
}

func (l *entryLink) connect() {
	if l.stopped {
		return
	}
	e := l.e
	e.w.net.dial(e.process, e.w.net.link(e.name, l.host.id), l.host, func(c *conn) {
		switch {
		case c == nil:
			l.redial()
		case l.stopped:
			c.fail(atEntry)
		default:
			l.connected(c)
		}
	})
}

func (l *entryLink) redial() { l.e.later(l.e.jitter(redialDelay), l.connect) }

func (l *entryLink) connected(c *conn) {
	l.conn, l.pending = c, nil
	l.control = c.openStream(
		func(m any) { l.e.handleReport(l, m.(*wirepb.ControlUp)) },
		func() { c.fail(atEntry) },
	)
	_ = l.control.write(atEntry, &wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: l.e.name})
	c.onClose = func() {
		l.conn, l.control = nil, nil
		l.e.handleConnectionLost(l)
		l.redial()
	}
	l.e.handleConnected(l.name)
	l.heartbeat(c)
}

func (l *entryLink) heartbeat(c *conn) {
	if l.conn == c {
		l.flush()
		l.e.later(heartbeatInterval, func() { l.heartbeat(c) })
	}
}

// stop closes the link permanently.
func (l *entryLink) stop() {
	l.stopped = true
	if l.conn != nil {
		l.conn.fail(atEntry)
	}
}

// send queues a batch. Without a connection the batch is dropped, because a new connection starts with the full state.
func (l *entryLink) send(down *wirepb.ControlDown) {
	if l.conn == nil {
		return
	}
	l.pending = append(l.pending, down)
	if len(l.pending) == 1 {
		l.e.later(batchDelay, l.flush)
	}
}

// flush sends the queued batches as one.
func (l *entryLink) flush() {
	if l.conn == nil {
		return
	}
	merged := &wirepb.ControlDown{}
	for _, d := range l.pending {
		mergeDown(merged, d)
	}
	l.pending = nil
	_ = l.control.write(atEntry, merged)
}

func mergeDown(into, d *wirepb.ControlDown) {
	if d.Snapshot != nil {
		into.Snapshot, into.Deltas = d.Snapshot, nil
	}
	into.Deltas = append(into.Deltas, d.Deltas...)
	into.Rows = append(into.Rows, d.Rows...)
	into.Permits = append(into.Permits, d.Permits...)
	if d.HostState != wirepb.HostState_HOST_STATE_UNSPECIFIED {
		into.HostState = d.HostState
	}
	into.WantState = into.WantState || d.WantState
}

// send queues a batch for an agent.
func (e *entry) send(endpoint string, down *wirepb.ControlDown) {
	if l := e.links[endpoint]; l != nil {
		l.send(down)
	}
}

// crash kills the process. Its callers' connections are lost.
func (e *entry) crash() {
	if !e.alive {
		return
	}
	e.logf("%s crashes", e.name)
	e.finish()
}

func (e *entry) finish() {
	e.end()
	e.w.net.closeProcessConns(e.process, false)
}

// stop starts a planned stop: the load balancer sends new calls elsewhere, requests in flight are finished, then the
// process ends.
func (e *entry) stop() {
	if e.draining || !e.alive {
		return
	}
	e.logf("%s begins a planned stop", e.name)
	e.draining = true
	e.later(readinessDelay, e.awaitIdle)
}

func (e *entry) awaitIdle() {
	if len(e.requests) > 0 {
		e.later(10*time.Millisecond, e.awaitIdle)
		return
	}
	e.logf("%s has stopped", e.name)
	e.finish()
}

// ready reports whether the load balancer may send calls to the entry.
func (e *entry) ready() bool {
	return e.alive && !e.draining && e.hostsListed && (e.store.Ready() || e.caughtUp())
}

// caughtUp reports whether an entry that cannot read the table has the highest revision of its connected agents.
func (e *entry) caughtUp() bool {
	revision := e.store.Current().Revision()
	for _, name := range e.endpoints() {
		if ep := e.endpoint(name); ep.Connected && ep.Status.GetDeclarationsRevision() > revision {
			return false
		}
	}
	return revision > 0
}

// hostState returns the host state that is sent to an agent.
func (e *entry) hostState(endpoint string) wirepb.HostState {
	if ep := e.endpoint(endpoint); ep != nil && ep.Listed == backing.HostLeaving {
		return wirepb.HostState_HOST_LEAVING
	}
	return wirepb.HostState_LIVE
}
