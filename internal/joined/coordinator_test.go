package joined

import (
	"maps"
	"slices"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// handleConnected sends an agent its grants and its host's state on a new connection. The declarations follow after the
// agent's first report.
func (e *entry) handleConnected(endpoint string) {
	delete(e.sentRevision, endpoint)
	e.send(endpoint, &wirepb.ControlDown{
		Rows: e.grants.RowsOf(endpoint), HostState: e.hostState(endpoint), WantState: !e.store.Ready(),
	})
}

// handleReport handles an agent's batch.
func (e *entry) handleReport(l *entryLink, up *wirepb.ControlUp) {
	now, name := e.now(), l.name
	e.view.ApplyReport(now, name, up.Status)
	ep := e.endpoint(name)
	for _, r := range up.Releases {
		if ep != nil {
			e.grants.ConfirmRelease(replicas.Release{Engine: name, Host: ep.HostID, Model: r.Model, Revision: r.Revision})
			e.scheduleGrantRound(grantSettle)
		}
	}
	for _, w := range up.Wanted {
		e.grants.RequestSlot(name, w.Model, w.Reason, int(w.Demand))
		e.scheduleGrantRound(grantSettle)
	}
	if up.Snapshot != nil {
		_ = e.store.ApplyFromPeer(up.Snapshot, nil)
		e.pushRevision()
	}
	if up.WantSnapshot {
		e.send(name, &wirepb.ControlDown{Snapshot: e.store.Current().Snapshot()})
	}
	if ep != nil && ep.Connected {
		e.sentRevision[name] = max(e.sentRevision[name], up.Status.DeclarationsRevision)
		e.pushDeclarations(name)
	}
	e.checkBehind(name, up.Status)
	for _, id := range up.PermitsDone {
		e.permits.Done(now, name, id)
	}
	e.permits.InFlight(now, name, int(up.Status.LoadsInFlight), int(up.Status.AdaptersInFlight))
	for _, r := range up.PermitRequests {
		e.permits.Request(now, name, r)
	}
	if len(up.PermitRequests)+len(up.PermitsDone) > 0 {
		e.grantPermits()
	}
	e.updateReachability(name)
	e.wakeRequests()
}

// handleConnectionLost handles the end of a connection.
func (e *entry) handleConnectionLost(l *entryLink) {
	if e.links[l.name] == l {
		e.view.SetDisconnected(l.name)
	}
	e.permits.AgentGone(e.now(), l.name)
	delete(e.sentRevision, l.name)
	e.updateReachability(l.name)
	e.wakeRequests()
}

// hostsChanged handles a new host list.
func (e *entry) hostsChanged() {
	e.version++
	for _, name := range e.endpoints() {
		ep := e.endpoint(name)
		if ep.Gone {
			e.router.Forget(name)
		}
		if ep.Connected && ep.Listed == backing.HostLeaving && !ep.Status.GetLeaving() {
			e.send(name, &wirepb.ControlDown{HostState: wirepb.HostState_HOST_LEAVING})
		}
	}
	e.scheduleGrantRound(grantSettle)
	e.wakeRequests()
}

// updateReachability updates an endpoint's reachability, its time, and the other reported fields on which grants depend.
func (e *entry) updateReachability(endpoint string) {
	next := reachability{since: e.now()}
	if ep := e.endpoint(endpoint); ep != nil {
		next.reachable, next.leaving = ep.Connected && ep.Status.GetReady(), ep.Leaving
		next.memory, next.kind, next.labels = ep.Status.GetMemoryBytes(), ep.Status.GetKind(), ep.Status.GetLabels()
	}
	old, known := e.reachabilityOf[endpoint]
	same := old.reachable == next.reachable && old.leaving == next.leaving && old.memory == next.memory &&
		old.kind == next.kind && maps.Equal(old.labels, next.labels)
	if known && same {
		return
	}
	if known && old.reachable == next.reachable {
		next.since = old.since
	}
	e.reachabilityOf[endpoint] = next
	e.version++
	e.scheduleGrantRound(grantSettle)
}

// pushDeclarations sends an agent the deltas since the revision that it was last sent or has reported, or a snapshot.
func (e *entry) pushDeclarations(endpoint string) {
	set := e.store.Current()
	sent, known := e.sentRevision[endpoint]
	if !known || sent >= set.Revision() {
		return
	}
	e.sentRevision[endpoint] = set.Revision()
	deltas, ok := e.store.DeltasSince(sent)
	if !ok || sent == 0 {
		e.send(endpoint, &wirepb.ControlDown{Snapshot: set.Snapshot()})
		return
	}
	e.send(endpoint, &wirepb.ControlDown{Deltas: deltas})
}

const (
	behindTimeout        = time.Second
	stateRequestInterval = time.Second
)

// checkBehind requests the declarations from an agent that has had a higher revision for longer than behindTimeout. That
// happens when the entry cannot read the table.
func (e *entry) checkBehind(endpoint string, status *wirepb.Status) {
	now := e.now()
	if status.DeclarationsRevision <= e.store.Current().Revision() {
		return
	}
	if e.behindSince.IsZero() {
		e.behindSince = now
	}
	if now.Sub(e.behindSince) >= behindTimeout && now.Sub(e.stateRequestedAt) >= stateRequestInterval {
		e.stateRequestedAt = now
		e.send(endpoint, &wirepb.ControlDown{WantState: true})
	}
}

// pushRows sends changed rows to the agents that have a slot in the new or the previous version.
func (e *entry) pushRows() {
	rows, deleted, next := e.grants.ChangedSince(e.rowsCursor)
	e.rowsCursor = next
	for _, row := range rows {
		before, now := e.rowEngines[row.Model], map[string]bool{}
		for _, s := range row.Slots {
			now[s.Engine] = true
		}
		e.rowEngines[row.Model] = now
		down := &wirepb.ControlDown{Rows: []*replicaspb.Row{row}}
		for _, name := range e.endpoints() {
			if now[name] || before[name] {
				e.send(name, down)
			}
		}
	}
	for _, model := range deleted {
		delete(e.rowEngines, model)
	}
	if len(rows) > 0 {
		e.wakeRequests()
	}
}

// pushPermits decides pending permit requests periodically.
func (e *entry) pushPermits() {
	wait := time.Second
	if next := e.grantPermits(); !next.IsZero() {
		wait = min(wait, max(10*time.Millisecond, next.Sub(e.now())))
	}
	e.later(wait, e.pushPermits)
}

func (e *entry) grantPermits() time.Time {
	for _, g := range e.permits.Decide(e.now()) {
		e.send(g.Agent, &wirepb.ControlDown{Permits: []*wirepb.Permit{g.Permit}})
	}
	return e.permits.Next()
}

// wakeRequests wakes the requests that wait for an endpoint.
func (e *entry) wakeRequests() {
	for _, r := range sortedRequests(e.picking) {
		e.soon(r.repick())
	}
}

// Declared implements replicas.DeclarationSource.
func (e *entry) Declared() (replicas.Declared, bool) {
	set, headRow, ok := e.store.CurrentWithHeadRow()
	if !ok {
		return replicas.Declared{}, false
	}
	declared := replicas.Declared{
		Revision: set.Revision(), Head: backing.Condition{Key: declarations.HeadKey, Revision: headRow},
	}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			declared.Models = append(declared.Models, replicas.ModelSpec{
				Model: declarations.ModelVersion(m.Name, version), Selector: m.Engines, MemoryBytes: m.MemoryBytes + m.KvFloorBytes,
				Min: int(m.MinReplicas), Max: int(m.MaxReplicas), Warm: int(m.WarmReplicas), Concurrency: int(m.MaxConcurrency),
			})
		}
	}
	return declared, true
}

// Engines implements replicas.EngineSource.
func (e *entry) Engines() ([]replicas.EngineView, uint64) {
	version := e.version + e.store.Current().Revision()<<32
	if version == e.viewsVersion && e.views != nil {
		return e.views, version
	}
	var views []replicas.EngineView
	for _, name := range e.endpoints() {
		ep := e.endpoint(name)
		if ep.Status.GetKind() != kindEngine || ep.Gone {
			continue
		}
		views = append(views, replicas.EngineView{
			Name: name, FailureDomain: ep.FailureDomain, Host: ep.HostID, Labels: e.labels(ep),
			MemoryBytes: ep.Status.GetMemoryBytes(), Reachable: e.reachabilityOf[name].reachable, Since: e.reachabilityOf[name].since,
			Leaving: ep.Leaving, Drain: e.drained(name),
		})
	}
	e.views, e.viewsVersion = views, version
	return views, version
}

// Hosts implements replicas.EngineSource.
func (e *entry) Hosts() replicas.HostsView {
	version, states := e.view.Hosts()
	return replicas.HostsView{Version: version, States: states}
}

// Self implements replicas.PeerSource.
func (e *entry) Self() string { return e.name }

// Live implements replicas.PeerSource.
func (e *entry) Live() []string {
	live := []string{}
	for _, peer := range e.view.Entries() {
		if peer.State == backing.HostLive {
			live = append(live, peer.ID)
		}
	}
	return live
}

// Usage implements replicas.UsageSource.
func (e *entry) Usage(model string) (used int, loaded []string) {
	for _, name := range e.endpoints() {
		ep := e.endpoint(name)
		r := ep.Replicas[model]
		if r == nil || !ep.Connected {
			continue
		}
		used += int(r.Running + r.Queued)
		if r.State == wirepb.ReplicaState_LOADED || r.State == wirepb.ReplicaState_LOADING {
			loaded = append(loaded, name)
		}
	}
	return used, loaded
}

// labels returns an endpoint's reported, declared and built-in labels.
func (e *entry) labels(ep *membership.Endpoint) map[string]string {
	labels := maps.Clone(ep.Status.GetLabels())
	if labels == nil {
		labels = map[string]string{}
	}
	if declared, ok := e.store.Current().Engine(ep.Name); ok {
		maps.Copy(labels, declared.Labels)
	}
	labels["endpoint"], labels["failure-domain"], labels["kind"] = ep.Name, ep.FailureDomain, ep.Status.GetKind()
	return labels
}

// drained reports whether an endpoint is declared as drained.
func (e *entry) drained(endpoint string) bool {
	declared, ok := e.store.Current().Engine(endpoint)
	return ok && declared.Drain
}

// candidates returns the endpoints that can serve a target.
func (e *entry) candidates(t admission.Target) []routing.Candidate {
	if t.Service != "" {
		return e.serviceCandidates(t.Service)
	}
	row := e.grants.Row(t.Model)
	if row == nil {
		return e.reportedCandidates(t)
	}
	var list []routing.Candidate
	for i, slot := range row.Slots {
		ep := e.endpoint(slot.Engine)
		if ep == nil || slot.State != replicaspb.SlotState_GRANTED || replicas.SlotOf(row, ep.Name, ep.HostID) != slot {
			continue
		}
		if ep.Replicas[t.Model].GetRevision() > 0 {
			list = append(list, e.candidate(ep, t, i))
		}
	}
	return list
}

// reportedCandidates returns the engines that report a slot. It is used while the entry has not read the rows.
func (e *entry) reportedCandidates(t admission.Target) []routing.Candidate {
	var list []routing.Candidate
	if e.grants.Synced() {
		return nil
	}
	for _, name := range e.endpoints() {
		if r := e.endpoint(name).Replicas[t.Model]; r != nil && r.Revision > 0 {
			list = append(list, e.candidate(e.endpoint(name), t, 0))
		}
	}
	return list
}

func (e *entry) candidate(ep *membership.Endpoint, t admission.Target, index int) routing.Candidate {
	c := routing.Candidate{
		Endpoint: ep.Name, FailureDomain: ep.FailureDomain, SlotIndex: index, HasAdapter: t.Adapter == "",
		ReportedAt: ep.ReportedAt, Sent: e.inFlight[ep.Name], Leaving: ep.Leaving || e.drained(ep.Name),
		Reachable: ep.Connected && ep.Status.GetReady(), Wait: micros(ep.Status.GetLoad().GetWaitMicros()),
		Cached: slices.Contains(ep.Status.GetCached(), t.Model),
	}
	if r := ep.Replicas[t.Model]; r != nil {
		c.State, c.Running, c.Queued = r.State, int(r.Running), int(r.Queued)
		c.HasAdapter = c.HasAdapter || slices.Contains(r.Adapters, t.Adapter)
	}
	return c
}

// serviceCandidates returns the endpoints that a plain service's selector matches.
func (e *entry) serviceCandidates(service string) []routing.Candidate {
	declared, ok := e.store.Current().Service(service)
	if !ok {
		return nil
	}
	var list []routing.Candidate
	for _, name := range e.endpoints() {
		ep := e.endpoint(name)
		if ep.Status.GetKind() != kindService || !declared.Endpoints.Matches(e.labels(ep)) {
			continue
		}
		c := e.candidate(ep, admission.Target{Service: service}, 0)
		c.State = wirepb.ReplicaState_LOADED
		c.Running, c.Queued = int(ep.Status.GetLoad().GetRunning()), int(ep.Status.GetLoad().GetQueued())
		list = append(list, c)
	}
	return list
}
