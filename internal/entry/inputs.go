package entry

import (
	"strconv"

	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/wire/wirepb"
)

// grantInputs implements the input interfaces of package replicas on the entry's state.
type grantInputs struct{ entry *Entry }

// GrantInputs returns the inputs for the grant decisions.
func (e *Entry) GrantInputs() replicas.Inputs {
	in := grantInputs{entry: e}
	return replicas.Inputs{Declarations: in, Engines: in, Peers: in, Usage: in}
}

// Declared implements replicas.DeclarationSource.
func (g grantInputs) Declared() (replicas.Declared, bool) {
	set, headRow, ok := g.entry.store.CurrentWithHeadRow()
	if !ok {
		return replicas.Declared{}, false
	}
	declared := replicas.Declared{
		Revision: set.Revision(),
		Head:     backing.Condition{Key: declarations.HeadKey, Revision: headRow},
	}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			declared.Models = append(declared.Models, replicas.ModelSpec{
				Model:       declarations.ModelVersion(m.Name, version),
				Selector:    m.Engines,
				MemoryBytes: m.MemoryBytes + m.KvFloorBytes,
				Min:         int(m.MinReplicas),
				Max:         int(m.MaxReplicas),
				Warm:        int(m.WarmReplicas),
				Concurrency: int(m.MaxConcurrency),
			})
		}
	}
	return declared, true
}

// Engines implements replicas.EngineSource.
func (g grantInputs) Engines() ([]replicas.EngineView, uint64) {
	e := g.entry
	version := e.coordinator.version.Load() + e.store.Current().Revision()<<32
	if cached := e.coordinator.engines.Load(); cached != nil && cached.version == version {
		return cached.views, version
	}
	fresh := &engineViews{version: version}
	for _, ep := range e.members.Endpoints() {
		if ep.Status.GetKind() == kindEngine && !ep.Gone {
			fresh.views = append(fresh.views, g.view(ep))
		}
	}
	e.coordinator.engines.Store(fresh)
	return fresh.views, version
}

// engineViews caches the engines as of one version. They are read in each decision round and rarely change.
type engineViews struct {
	version uint64
	views   []replicas.EngineView
}

func (g grantInputs) view(ep *membership.Endpoint) replicas.EngineView {
	c := g.entry.coordinator
	c.mu.Lock()
	reach := c.reachability[ep.Name]
	c.mu.Unlock()
	return replicas.EngineView{
		Name:          ep.Name,
		FailureDomain: ep.FailureDomain,
		Host:          ep.HostID,
		Labels:        g.entry.labels(ep),
		MemoryBytes:   ep.Status.GetMemoryBytes(),
		Reachable:     reach.reachable,
		Since:         reach.since,
		// The agent's own report of leaving is ignored here: an agent that is only being restarted returns to its
		// engine, and releasing its slots and granting them again would leave its models unserved for up to the
		// lifetime of an order.
		Leaving: ep.Listed == backing.HostLeaving,
		Drain:   g.entry.drained(ep.Name),
	}
}

// Hosts implements replicas.EngineSource.
func (g grantInputs) Hosts() replicas.HostsView {
	version, states := g.entry.members.Hosts()
	return replicas.HostsView{Version: version, States: states}
}

// Self implements replicas.PeerSource.
func (g grantInputs) Self() string { return g.entry.options.ID }

// Live implements replicas.PeerSource.
func (g grantInputs) Live() []string {
	ids := []string{}
	for _, peer := range g.entry.members.Entries() {
		if peer.State == backing.HostLive {
			ids = append(ids, peer.ID)
		}
	}
	if !contains(ids, g.entry.options.ID) {
		ids = append(ids, g.entry.options.ID)
	}
	return ids
}

// Usage implements replicas.UsageSource.
func (g grantInputs) Usage(model string) (int, []string) {
	used := 0
	var loaded []string
	for name, ep := range g.entry.members.Endpoints() {
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

func revisionText(revision uint64) string { return "revision " + strconv.FormatUint(revision, 10) }
