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
	listInterval  = time.Second
	redialDelay   = 300 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	mostBackoff   = 2 * time.Second
	grantSettle   = 20 * time.Millisecond
	readinessTime = 500 * time.Millisecond
)

// entry is the process on an entry host: the machines of package entry, joined as its shell joins them.
type entry struct {
	*process
	w        *world
	table    *tableClient
	view     *membership.View
	store    *declarations.Store
	skipping *skippingClock
	grants   *replicas.Manager
	rounds   *roundClock
	claims   *atmostonce.Claims
	router   *routing.Router
	budget   *routing.RetryBudget
	limiter  *admission.Limiter
	permits  *permits.Budget

	links map[string]*entryLink
	// told is the declarations' revision that each connected agent was last sent, since since when endpoints answer or not.
	told    map[string]uint64
	since   map[string]reachability
	version uint64
	// views are the engines as of viewsVersion.
	views        []replicas.EngineView
	viewsVersion uint64
	// behindSince is when an agent was first heard to hold a higher revision, behindAsked when one was last asked for it.
	behindSince, behindAsked time.Time
	named                    map[string]map[string]bool
	point                    uint64
	sent                     map[string]int
	picking                  map[*request]bool
	// requests are those in flight, committed those whose fate is awaited in the background.
	requests map[*request]bool
	sequence int
	roundAt  time.Duration
	failures int
	revision uint64
	listed   bool
	draining bool
	// tableFreed is when the way to the table was last freed.
	tableFreed time.Duration
}

// reachability is whether an endpoint answers and since when, and what else of its report the grants are decided from.
type reachability struct {
	reachable, leaving bool
	since              time.Time
	memory             int64
	kind               string
	labels             map[string]string
}

// grantPolicy has short times, so that slots come and go within a run.
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
		links:   map[string]*entryLink{}, told: map[string]uint64{}, since: map[string]reachability{},
		named: map[string]map[string]bool{}, sent: map[string]int{}, picking: map[*request]bool{}, requests: map[*request]bool{},
	}
	e.start()
	e.skipping = &skippingClock{}
	e.store = declarations.NewStore(declarations.Options{LogKeep: 16, EditTimeout: 3 * time.Second, Seed: w.random.Uint64()},
		e.table, e.skipping, noLog, noMetrics{})
	e.claims = atmostonce.NewClaims(e.table, atmostonce.ClaimsOptions{Timeout: claimPatience, Seed: w.random.Uint64()})
	e.rounds = &roundClock{process: e.process, started: e.now()}
	options := replicas.DefaultOptions()
	options.Policy, options.Incarnation, options.Seed = grantPolicy(), w.random.Uint64(), w.random.Uint64()
	options.FullInterval = 5 * time.Second
	options.WritesPerSecond, options.ParallelWrites = float64(rate.Inf), 1
	inputs := replicas.Inputs{Declarations: e, Engines: e, Peers: e, Usage: e}
	e.grants = replicas.NewManager(options, e.table, inputs, e.rounds, noLog, noMetrics{}, nil)
	return e
}

// begin starts the process's work.
func (e *entry) begin() {
	e.logf("%s starts", e.name)
	e.poll()
	e.readHosts()
	e.wakeGrants(0)
	e.pushPermits()
	e.keepClaims()
}

// poll reads the declarations from the table.
func (e *entry) poll() {
	wait := pollInterval
	if _, _, err := e.store.Operation(context.Background(), "none", 0); err != nil {
		e.failures = min(e.failures+1, 2)
		wait = min(wait<<e.failures, mostBackoff)
	} else {
		e.failures = 0
	}
	e.skipping.skipped = 0
	e.declarationsRead()
	e.later(e.jitter(wait), e.poll)
}

// declarationsRead pushes a new revision to the agents.
func (e *entry) declarationsRead() {
	revision := e.store.Current().Revision()
	if revision < e.revision {
		e.violated("P9", "%s goes back from revision %d to %d", e.name, e.revision, revision)
	}
	if revision == e.revision {
		return
	}
	e.revision, e.behindSince = revision, time.Time{}
	e.logf("%s has revision %d", e.name, revision)
	e.soon(func() {
		for _, name := range e.endpoints() {
			if e.endpoint(name).Connected {
				e.pushTo(name)
			}
		}
		e.wakeGrants(grantSettle)
		e.announce()
	})
}

// keepClaims lets the claims that were given up be freed in the background.
func (e *entry) keepClaims() {
	if !e.w.table.down && !e.table.cut && e.w.table.lossy == 0 {
		e.w.freeClaims(e.claims)
	}
	e.later(e.jitter(2*time.Second), e.keepClaims)
}

// wakeGrants lets the manager of the grants do a round within a time.
func (e *entry) wakeGrants(d time.Duration) {
	at := e.at + d
	if e.roundAt > e.at && e.roundAt <= at {
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
		e.wakeGrants(next)
	})
}

// readHosts reads the host list.
func (e *entry) readHosts() {
	hosts, version, _ := e.w.hosts.Hosts(context.Background())
	// The answer takes its time, and another read may be answered before.
	e.later(e.w.net.latency(), func() {
		if e.view.ApplyHosts(hosts, version) {
			e.adjustLinks()
			e.hostsChanged()
		}
		e.listed = true
	})
	e.later(e.jitter(listInterval), e.readHosts)
}

// adjustLinks starts a link to each listed endpoint and stops those to hosts that are gone or replaced.
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

// entryLink keeps the connection to one agent.
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
		func(m any) { l.e.reported(l, m.(*wirepb.ControlUp)) },
		func() { c.fail(atEntry) },
	)
	_ = l.control.write(atEntry, &wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: l.e.name})
	c.closed = func() {
		l.conn, l.control = nil, nil
		l.e.lost(l)
		l.redial()
	}
	l.e.connectedTo(l.name)
	l.heartbeat(c)
}

func (l *entryLink) heartbeat(c *conn) {
	if l.conn == c {
		l.flush()
		l.e.later(heartbeatInterval, func() { l.heartbeat(c) })
	}
}

// stop ends the link for good.
func (l *entryLink) stop() {
	l.stopped = true
	if l.conn != nil {
		l.conn.fail(atEntry)
	}
}

// send queues a batch; without a connection it is dropped, because a new one starts with the whole state.
func (l *entryLink) send(down *wirepb.ControlDown) {
	if l.conn == nil {
		return
	}
	l.pending = append(l.pending, down)
	if len(l.pending) == 1 {
		l.e.later(batchDelay, l.flush)
	}
}

// flush sends what is queued as one batch.
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

// crash kills the process. Its callers' connections break.
func (e *entry) crash() {
	if !e.alive {
		return
	}
	e.logf("%s crashes", e.name)
	e.finish()
}

func (e *entry) finish() {
	e.end()
	e.w.net.exited(e.process, false)
}

// stop is the planned stop: the balancer sends callers elsewhere, what is in flight is finished, then the process ends.
func (e *entry) stop() {
	if e.draining || !e.alive {
		return
	}
	e.logf("%s stops by plan", e.name)
	e.draining = true
	e.later(readinessTime, e.awaitEnd)
}

func (e *entry) awaitEnd() {
	if len(e.requests) > 0 {
		e.later(10*time.Millisecond, e.awaitEnd)
		return
	}
	e.logf("%s has stopped", e.name)
	e.finish()
}

// ready reports whether callers may be sent here.
func (e *entry) ready() bool {
	return e.alive && !e.draining && e.listed && (e.store.Ready() || e.learned())
}

// learned reports whether an entry that cannot read the table holds the highest revision that the agents it reaches hold.
func (e *entry) learned() bool {
	revision := e.store.Current().Revision()
	for _, name := range e.endpoints() {
		if ep := e.endpoint(name); ep.Connected && ep.Status.GetDeclarationsRevision() > revision {
			return false
		}
	}
	return revision > 0
}

// hostState is what an agent is told of its own host.
func (e *entry) hostState(endpoint string) wirepb.HostState {
	if ep := e.endpoint(endpoint); ep != nil && ep.Listed == backing.HostLeaving {
		return wirepb.HostState_HOST_LEAVING
	}
	return wirepb.HostState_LIVE
}
