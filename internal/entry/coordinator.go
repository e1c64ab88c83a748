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

// coordinator sends the entry's state to the agents and passes the agents' reports to the packages that decide grants
// and permits. It implements membership.Observer.
type coordinator struct {
	entry *Entry
	// version increases with each change of the endpoint state that the grants are decided from.
	version atomic.Uint64
	// engines caches the engine views last passed to the grants manager.
	engines atomic.Pointer[engineViews]

	mu     sync.Mutex
	budget *permits.Budget
	wake   chan struct{}
	// sentRevision is, for each connected agent, the declarations revision that it was last sent or reported to hold.
	sentRevision map[string]uint64
	// reachability is the last observed reachability of each endpoint.
	reachability map[string]reachability
	// listed is each endpoint's last seen state in the host list.
	listed map[string]backing.HostState
	// lag tracks whether agents hold a higher revision than this entry.
	lag revisionLag
}

// reachability is whether an endpoint is reachable and since when, and the other reported values that the grants are
// decided from.
type reachability struct {
	reachable bool
	since     time.Time
	leaving   bool
	memory    int64
	kind      string
	labels    map[string]string
}

// sameReport compares all fields except since.
func (r reachability) sameReport(other reachability) bool {
	return r.reachable == other.reachable && r.leaving == other.leaving && r.memory == other.memory &&
		r.kind == other.kind && maps.Equal(r.labels, other.labels)
}

func newCoordinator(e *Entry) *coordinator {
	return &coordinator{
		entry:        e,
		budget:       permits.NewBudget(e.options.Permits),
		wake:         make(chan struct{}, 1),
		sentRevision: map[string]uint64{},
		reachability: map[string]reachability{},
		listed:       map[string]backing.HostState{},
	}
}

// Connected implements membership.Observer. It sends a new connection the grants and the host state. The declarations
// are sent after the agent's first report, which contains the revision that it holds: most agents already hold the
// current one, from another entry or from before a disconnect, and a snapshot to each agent would make the start of an
// entry more expensive with the size of the fleet.
func (c *coordinator) Connected(endpoint string) {
	e := c.entry
	down := &wirepb.ControlDown{
		Rows:      e.grants.RowsOf(endpoint),
		Entries:   c.entryIDs(),
		HostState: c.hostState(endpoint),
		WantState: !e.store.Ready(),
	}
	c.mu.Lock()
	delete(c.sentRevision, endpoint)
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
			e.grants.ConfirmRelease(replicas.Release{Engine: endpoint, Host: ep.HostID, Model: r.Model, Revision: r.Revision})
		}
	}
	for _, w := range up.Wanted {
		e.grants.RequestSlot(endpoint, w.Model, w.Reason, int(w.Demand))
	}
	if up.Snapshot != nil {
		if err := e.store.ApplyFromPeer(up.Snapshot, nil); err != nil {
			e.logger.Warn("cannot apply the declarations snapshot from an agent", "endpoint", endpoint, "error", err)
		}
	}
	if up.WantSnapshot {
		e.members.Send(endpoint, &wirepb.ControlDown{Snapshot: e.store.Current().Snapshot()})
	}
	if ep != nil && ep.Connected {
		// An edit made between the connection and the agent's first report was not pushed, because the agent did not
		// count as connected yet.
		c.recordHeldRevision(endpoint, up.Status)
		c.pushDeclarationsTo(endpoint)
		c.notifyLeaving(endpoint, ep)
	}
	c.requestNewerDeclarations(now, endpoint, up.Status)
	c.updatePermits(now, endpoint, up)
	c.updateReachability(now, endpoint)
	e.changes.broadcast()
}

// updatePermits passes the agent's permit requests and loads in flight to the permit budget.
func (c *coordinator) updatePermits(now time.Time, endpoint string, up *wirepb.ControlUp) {
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
		c.wakePermits()
	}
}

// Lost implements membership.Observer.
func (c *coordinator) Lost(endpoint string) {
	now := c.entry.clock.Now()
	c.mu.Lock()
	c.budget.AgentGone(now, endpoint)
	delete(c.sentRevision, endpoint)
	c.mu.Unlock()
	c.updateReachability(now, endpoint)
	c.entry.changes.broadcast()
	c.wakePermits()
}

// Changed implements membership.Observer.
func (c *coordinator) Changed() {
	e := c.entry
	c.version.Add(1)
	for name, ep := range e.members.Endpoints() {
		c.recordListed(name, ep.Listed, ep.Gone)
		if ep.Connected {
			c.notifyLeaving(name, ep)
		}
	}
	e.grants.Notify()
	e.changes.broadcast()
}

// notifyLeaving notifies an agent that its host is leaving, until the agent reports it. A host list that arrived
// between the agent's connection and its first report was not sent to it, and the list is not sent again unless it
// changes.
func (c *coordinator) notifyLeaving(endpoint string, ep *membership.Endpoint) {
	if ep.Listed == backing.HostLeaving && !ep.Status.GetLeaving() {
		c.entry.members.Send(endpoint, &wirepb.ControlDown{HostState: wirepb.HostState_HOST_LEAVING})
	}
}

// recordListed records a change of a host's listed state on the timeline, and discards the routing observations of a
// host that is gone.
func (c *coordinator) recordListed(endpoint string, state backing.HostState, gone bool) {
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

// forget discards the routing observations of an endpoint whose host is gone.
func (e *Entry) forget(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Forget(endpoint)
}

// updateReachability updates the reachability of an endpoint and notifies the grants manager of a change.
func (c *coordinator) updateReachability(now time.Time, endpoint string) {
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
	old, known := c.reachability[endpoint]
	changed := !known || !old.sameReport(next)
	if changed {
		if known && old.reachable == next.reachable {
			next.since = old.since
		}
		c.reachability[endpoint] = next
	}
	c.mu.Unlock()
	if changed {
		c.version.Add(1)
		c.entry.grants.Notify()
	}
}

func (c *coordinator) wakePermits() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// requestSlot reports to the grants manager that a request found no engine for its model.
func (c *coordinator) requestSlot(model string, reason wirepb.RefusalReason) {
	c.entry.grants.RequestSlot("", model, reason, 1)
}

// hostState returns the host state to send to an agent.
func (c *coordinator) hostState(endpoint string) wirepb.HostState {
	ep := c.entry.members.Endpoint(endpoint)
	if ep != nil && ep.Listed == backing.HostLeaving {
		return wirepb.HostState_HOST_LEAVING
	}
	return wirepb.HostState_LIVE
}

// entryIDs returns the identifiers of the listed entries.
func (c *coordinator) entryIDs() []string {
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
		c.lag.reset()
		c.mu.Unlock()
		c.applyLimits()
		for name, ep := range e.members.Endpoints() {
			if ep.Connected {
				c.pushDeclarationsTo(name)
			}
		}
		e.grants.Notify()
		e.changes.broadcast()
		e.recorder.Record(timeline.Event{Kind: timeline.DeclarationApplied, Detail: revisionText(e.store.Current().Revision())})
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// recordHeldRevision raises the sent revision of an agent to the one that it reports to hold.
func (c *coordinator) recordHeldRevision(endpoint string, status *wirepb.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != nil {
		c.sentRevision[endpoint] = max(c.sentRevision[endpoint], status.DeclarationsRevision)
	}
}

// pushDeclarationsTo sends an agent the deltas since the revision that it holds, or a snapshot. It sends nothing to an
// agent that has not reported its revision yet.
func (c *coordinator) pushDeclarationsTo(endpoint string) {
	e := c.entry
	set := e.store.Current()
	c.mu.Lock()
	sent, known := c.sentRevision[endpoint]
	if known {
		c.sentRevision[endpoint] = max(sent, set.Revision())
	}
	c.mu.Unlock()
	if !known || sent >= set.Revision() {
		return
	}
	deltas, ok := e.store.DeltasSince(sent)
	if !ok || sent == 0 {
		e.members.Send(endpoint, &wirepb.ControlDown{Snapshot: set.Snapshot()})
		return
	}
	e.members.Send(endpoint, &wirepb.ControlDown{Deltas: deltas})
}

// applyLimits applies the declared limits of the weight store to the permit budget.
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
		o.MaxAdapterLoads = int(limits.GetAdaptersInTransit())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.SetLimits(o)
}
