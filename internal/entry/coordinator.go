package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// coordinator passes what the entry knows to the agents and what the agents say to the deciding slices. It implements
// membership.Observer.
type coordinator struct {
	entry *Entry
	// version rises with each change of what is known of endpoints that the grants are decided from.
	version atomic.Uint64
	// engines are the engines as they were last handed to the grants.
	engines atomic.Pointer[engineViews]

	mu     sync.Mutex
	budget *permits.Budget
	wake   chan struct{}
	// told is the declarations' revision that each connected agent was last sent, or said that it holds.
	told map[string]uint64
	// since is when an endpoint's reachability last changed.
	since map[string]reachability
	// listed is each endpoint's state in the host list as last seen.
	listed map[string]backing.HostState
	// behind is what is known of agents that hold a higher revision than this entry.
	behind behind
}

// reachability is whether an endpoint answers and since when, and what else of its report the grants are decided from.
type reachability struct {
	reachable bool
	since     time.Time
	leaving   bool
	memory    int64
	kind      string
	labels    map[string]string
}

// sameReport compares all but the time.
func (r reachability) sameReport(other reachability) bool {
	return r.reachable == other.reachable && r.leaving == other.leaving && r.memory == other.memory &&
		r.kind == other.kind && maps.Equal(r.labels, other.labels)
}

func newCoordinator(e *Entry) *coordinator {
	return &coordinator{
		entry:  e,
		budget: permits.NewBudget(e.options.Permits),
		wake:   make(chan struct{}, 1),
		told:   map[string]uint64{},
		since:  map[string]reachability{},
		listed: map[string]backing.HostState{},
	}
}

// Connected implements membership.Observer: a new connection starts with the grants and what the entry knows of hosts. The
// declarations follow the agent's first report, which tells what it holds: most agents hold them already, from another
// entry or from before a break, and a snapshot to each would make the start of an entry cost the more the larger the
// fleet is.
func (c *coordinator) Connected(endpoint string) {
	e := c.entry
	down := &wirepb.ControlDown{
		Rows:      e.grants.RowsOf(endpoint),
		Entries:   c.entries(),
		HostState: c.hostState(endpoint),
		WantState: !e.store.Ready(),
	}
	c.mu.Lock()
	delete(c.told, endpoint)
	c.mu.Unlock()
	e.members.Send(endpoint, down)
}

// Reported implements membership.Observer.
func (c *coordinator) Reported(endpoint string, up *wirepb.ControlUp) {
	e := c.entry
	now := e.clock.Now()
	ep := e.members.Endpoint(endpoint)
	for _, r := range up.Releases {
		if ep != nil {
			e.grants.Released(replicas.Release{Engine: endpoint, Host: ep.HostID, Model: r.Model, Revision: r.Revision})
		}
	}
	for _, w := range up.Wanted {
		e.grants.Wanted(endpoint, w.Model, w.Reason, int(w.Demand))
	}
	if up.Snapshot != nil {
		if err := e.store.Learn(up.Snapshot, nil); err != nil {
			e.logger.Warn("declarations of a peer not taken", "endpoint", endpoint, "error", err)
		}
	}
	if up.WantSnapshot {
		e.members.Send(endpoint, &wirepb.ControlDown{Snapshot: e.store.Current().Snapshot()})
	}
	if ep != nil && ep.Connected {
		// An edit that came between the connection and its first report found the agent not connected yet.
		c.noteHeld(endpoint, up.Status)
		c.pushTo(endpoint)
		c.tellLeaving(endpoint, ep)
	}
	c.catchUp(now, endpoint, up.Status)
	c.permits(now, endpoint, up)
	c.noteReachability(now, endpoint)
	e.changes.announce()
}

// permits hands the agent's asking and its loads in flight to the budget.
func (c *coordinator) permits(now time.Time, endpoint string, up *wirepb.ControlUp) {
	c.mu.Lock()
	for _, id := range up.PermitsDone {
		c.budget.Done(now, endpoint, id)
	}
	if s := up.Status; s != nil {
		c.budget.InFlight(now, endpoint, int(s.LoadsInFlight), int(s.AdaptersInFlight))
	}
	for _, r := range up.PermitRequests {
		c.budget.Request(now, endpoint, r)
	}
	c.mu.Unlock()
	if len(up.PermitRequests) > 0 || len(up.PermitsDone) > 0 {
		c.nudge()
	}
}

// Lost implements membership.Observer.
func (c *coordinator) Lost(endpoint string) {
	now := c.entry.clock.Now()
	c.mu.Lock()
	c.budget.AgentGone(now, endpoint)
	delete(c.told, endpoint)
	c.mu.Unlock()
	c.noteReachability(now, endpoint)
	c.entry.changes.announce()
	c.nudge()
}

// Changed implements membership.Observer.
func (c *coordinator) Changed() {
	e := c.entry
	c.version.Add(1)
	for name, ep := range e.members.Endpoints() {
		c.noteListed(name, ep.Listed, ep.Gone)
		if ep.Connected {
			c.tellLeaving(name, ep)
		}
	}
	e.grants.Notify()
	e.changes.announce()
}

// tellLeaving tells an agent that its host leaves, until it says so itself. A list that came between its connection and its
// first report found it not connected yet, and does not come again.
func (c *coordinator) tellLeaving(endpoint string, ep *membership.Endpoint) {
	if ep.Listed == backing.HostLeaving && !ep.Status.GetLeaving() {
		c.entry.members.Send(endpoint, &wirepb.ControlDown{HostState: wirepb.HostState_HOST_LEAVING})
	}
}

// noteListed tells the time line of a host's changed state, and forgets what was observed of one that is gone.
func (c *coordinator) noteListed(endpoint string, state backing.HostState, gone bool) {
	if gone {
		state = backing.HostGone
	}
	c.mu.Lock()
	old := c.listed[endpoint]
	c.listed[endpoint] = state
	c.mu.Unlock()
	if old == state {
		return
	}
	switch state {
	case backing.HostLive:
		c.entry.recorder.Record(timeline.Event{Kind: timeline.HostSeen, Endpoint: endpoint})
	case backing.HostLeaving:
		c.entry.recorder.Record(timeline.Event{Kind: timeline.HostLeaving, Endpoint: endpoint})
	case backing.HostGone:
		c.entry.recorder.Record(timeline.Event{Kind: timeline.HostGone, Endpoint: endpoint})
		c.entry.forget(endpoint)
	}
}

// forget drops what was observed of an endpoint whose host is gone.
func (e *Entry) forget(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Forget(endpoint)
}

// noteReachability keeps since when an endpoint answers or not, and tells the grants of a change.
func (c *coordinator) noteReachability(now time.Time, endpoint string) {
	ep := c.entry.members.Endpoint(endpoint)
	next := reachability{since: now}
	if ep != nil {
		next.reachable = ep.Connected && ep.Status.GetReady()
		next.leaving = ep.Listed == backing.HostLeaving
		next.memory = ep.Status.GetMemoryBytes()
		next.kind = ep.Status.GetKind()
		next.labels = ep.Status.GetLabels()
	}
	c.mu.Lock()
	old, known := c.since[endpoint]
	changed := !known || !old.sameReport(next)
	if changed {
		if known && old.reachable == next.reachable {
			next.since = old.since
		}
		c.since[endpoint] = next
	}
	c.mu.Unlock()
	if changed {
		c.version.Add(1)
		c.entry.grants.Notify()
	}
}

func (c *coordinator) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// want tells the grants that a request found no engine.
func (c *coordinator) want(model string, reason wirepb.RefusalReason) {
	c.entry.grants.Wanted("", model, reason, 1)
}

// hostState is what an agent is told of its own host.
func (c *coordinator) hostState(endpoint string) wirepb.HostState {
	ep := c.entry.members.Endpoint(endpoint)
	if ep != nil && ep.Listed == backing.HostLeaving {
		return wirepb.HostState_HOST_LEAVING
	}
	return wirepb.HostState_LIVE
}

// entries are the identifiers of the listed entries.
func (c *coordinator) entries() []string {
	var ids []string
	for _, e := range c.entry.members.Entries() {
		ids = append(ids, e.ID)
	}
	return ids
}

// run pushes declarations, rows and permits until ctx ends.
func (c *coordinator) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.pushDeclarations(ctx) })
	tasks.Go(func() { c.pushRows(ctx) })
	tasks.Go(func() { c.pushPermits(ctx) })
	tasks.Wait()
}

// pushDeclarations sends each new revision to the connected agents.
func (c *coordinator) pushDeclarations(ctx context.Context) {
	e := c.entry
	for {
		changed := e.store.Changed()
		c.mu.Lock()
		c.behind.caughtUp()
		c.mu.Unlock()
		c.applyLimits()
		for name, ep := range e.members.Endpoints() {
			if ep.Connected {
				c.pushTo(name)
			}
		}
		e.grants.Notify()
		e.changes.announce()
		e.recorder.Record(timeline.Event{Kind: timeline.DeclarationApplied, Detail: revisionText(e.store.Current().Revision())})
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// noteHeld takes the revision that an agent says it holds for what it was last sent, where that is not higher.
func (c *coordinator) noteHeld(endpoint string, status *wirepb.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != nil {
		c.told[endpoint] = max(c.told[endpoint], status.DeclarationsRevision)
	}
}

// pushTo sends an agent the deltas since what it was last sent, or a snapshot. An agent that has not told what it holds
// gets nothing yet.
func (c *coordinator) pushTo(endpoint string) {
	e := c.entry
	set := e.store.Current()
	c.mu.Lock()
	told, known := c.told[endpoint]
	if known {
		c.told[endpoint] = max(told, set.Revision())
	}
	c.mu.Unlock()
	if !known || told >= set.Revision() {
		return
	}
	deltas, ok := e.store.DeltasSince(told)
	if !ok || told == 0 {
		e.members.Send(endpoint, &wirepb.ControlDown{Snapshot: set.Snapshot()})
		return
	}
	e.members.Send(endpoint, &wirepb.ControlDown{Deltas: deltas})
}

// applyLimits sets the declared budget of the weight store.
func (c *coordinator) applyLimits() {
	limits := c.entry.store.Current().Limits()
	o := c.entry.options.Permits
	if limits.GetStoreLoadsPerSecond() > 0 {
		o.LoadsPerSecond = limits.GetStoreLoadsPerSecond()
	}
	if limits.GetStoreLoadsAtOnce() > 0 {
		o.LoadsAtOnce = int(limits.GetStoreLoadsAtOnce())
	}
	if limits.GetAdaptersInTransit() > 0 {
		o.AdaptersInTransit = int(limits.GetAdaptersInTransit())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.SetLimits(o)
}
