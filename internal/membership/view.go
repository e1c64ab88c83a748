// Package membership tracks, at an entry, which endpoints exist, which of them are leaving or gone, and the status that
// their agents report.
//
// View is the deterministic part: it merges the platform's lagging host list with the agents' status reports. Manager
// does the I/O: it reads the list, maintains a connection with a control stream to each agent, and passes the reports
// on.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

// Endpoint is an entry's view of an endpoint. A value that was returned is never modified afterwards.
type Endpoint struct {
	Name          string
	HostID        string
	Address       string
	FailureDomain string
	// Listed is the state in the host list, empty if the host is not listed any more.
	Listed backing.HostState
	// Connected is set when the agent has a working control stream and has reported its full status on it.
	Connected bool
	// Leaving is set when the endpoint accepts no new work, according to the list, its agent or both.
	Leaving bool
	// Gone is set when the platform has terminated the host: nothing runs there any more.
	Gone bool
	// ReportedAt is when the latest report was received.
	ReportedAt time.Time
	// Status is the merged status, nil before the first report.
	Status *wirepb.Status
	// Replicas contains the replicas of the merged status by model version.
	Replicas map[string]*wirepb.Replica
	// IdleSince contains, by model version, the time at which each replica that was last reported as idle became idle.
	IdleSince map[string]time.Time
}

// Entry is an entry host in the host list.
type Entry struct {
	ID            string
	FailureDomain string
	Address       string
	State         backing.HostState
}

// View merges the host list and the reports. It is not safe for concurrent use; the values it returns are.
type View struct {
	version     uint64
	initialized bool
	hosts       map[string]backing.HostState
	history     hostHistory
	endpoints   map[string]*Endpoint
	entries     []Entry
}

// NewView returns an empty view.
func NewView() *View {
	return &View{endpoints: map[string]*Endpoint{}, history: hostHistory{states: map[string]backing.HostState{}}}
}

// Endpoint returns the state of an endpoint.
func (v *View) Endpoint(name string) (*Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// Endpoints returns all endpoints by name.
func (v *View) Endpoints() map[string]*Endpoint { return v.endpoints }

// Entries returns the listed entries that are not gone, sorted by ID.
func (v *View) Entries() []Entry { return v.entries }

// Hosts returns the version of the last applied host list and the states of the hosts in it.
func (v *View) Hosts() (uint64, map[string]backing.HostState) { return v.version, v.hosts }

// isRunning reports whether a host is listed and not gone.
func (v *View) isRunning(host string) bool {
	state, listed := v.hosts[host]
	return listed && state != backing.HostGone
}

// clone returns a copy to which a list can be applied without changing v.
func (v *View) clone() *View {
	copied := *v
	copied.endpoints = maps.Clone(v.endpoints)
	copied.history.states = maps.Clone(v.history.states)
	copied.history.order = slices.Clone(v.history.order)
	return &copied
}

// ApplyHosts applies a host list and reports whether it is newer than the last one: its version increases with each
// change.
//
// A list with a lower version is ignored: two reads may be answered by platform replicas that lag differently, and an
// older list would make a leaving host appear live again and get new work.
func (v *View) ApplyHosts(hosts []backing.Host, version uint64) bool {
	if v.initialized && version <= v.version {
		return false
	}
	v.initialized = true
	v.version = version
	listed := map[string]bool{}
	before := maps.Clone(v.endpoints)
	v.entries = nil
	previous := v.hosts
	v.hosts = make(map[string]backing.HostState, len(hosts))
	for _, h := range hosts {
		h.State = v.history.record(h.ID, h.State)
		v.hosts[h.ID] = h.State
		switch h.Role {
		case backing.RoleEntry:
			v.listEntry(h)
		case backing.RoleEndpoint:
			v.listEndpoint(h, listed, before)
		}
	}
	v.recordUnlisted(previous)
	v.markUnlistedGone(listed)
	slices.SortFunc(v.entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return true
}

// recordUnlisted records as gone the hosts of the previous list that the new one does not contain, because the platform
// lists a host until it is terminated.
func (v *View) recordUnlisted(previous map[string]backing.HostState) {
	for id := range previous {
		if _, listed := v.hosts[id]; !listed {
			v.history.record(id, backing.HostGone)
		}
	}
}

func (v *View) listEntry(h backing.Host) {
	if h.State == backing.HostGone {
		return
	}
	v.entries = append(v.entries, Entry{ID: h.ID, FailureDomain: h.FailureDomain, Address: h.Address, State: h.State})
}

// listEndpoint applies one listed endpoint host. If several hosts are listed for the same endpoint, as after a
// replacement, the one in the earliest lifecycle state wins.
//
// The host's previous state is looked up in the endpoints as of before this list. If it were looked up in the endpoints
// updated so far, a gone host listed before its replacement would discard the replacement's connection and status with
// each read. Change reports do not restore them, so the endpoint would get no requests and no declarations from this
// entry.
func (v *View) listEndpoint(h backing.Host, listed map[string]bool, before map[string]*Endpoint) {
	next := &Endpoint{Name: h.Endpoint}
	if old, ok := before[h.Endpoint]; ok && old.HostID == h.ID {
		*next = *old
	}
	if listed[h.Endpoint] && laterState(h.State, v.endpoints[h.Endpoint].Listed) == h.State {
		return
	}
	listed[h.Endpoint] = true
	next.HostID = h.ID
	next.Address = h.Address
	next.FailureDomain = h.FailureDomain
	next.Listed = h.State
	if h.State == backing.HostGone {
		next.markGone()
	}
	next.Leaving = leaving(next)
	v.endpoints[h.Endpoint] = next
}

// markGone records that the host is gone, and with it its agent.
func (e *Endpoint) markGone() {
	e.Gone = true
	e.Connected = false
}

// markUnlistedGone marks the endpoints that are not listed any more as gone, because the platform lists a host until it
// is terminated.
func (v *View) markUnlistedGone(listed map[string]bool) {
	for name, e := range v.endpoints {
		if listed[name] || e.Gone {
			continue
		}
		next := *e
		next.Listed = ""
		next.markGone()
		next.Leaving = true
		v.endpoints[name] = &next
	}
}

// leaving reports whether any source reports that the endpoint is leaving. One is enough, so that the slowest source
// causes no delay.
func leaving(e *Endpoint) bool {
	if e.Gone || e.Listed == backing.HostLeaving {
		return true
	}
	return e.Status.GetLeaving()
}

// ApplyReport merges a status report and reports whether it was used. A change report before a full one is dropped, and
// so is a late report of a host that is gone.
func (v *View) ApplyReport(now time.Time, name string, status *wirepb.Status) bool {
	old, ok := v.endpoints[name]
	if !ok || status == nil || old.Gone {
		return false
	}
	if !status.Full && (old.Status == nil || !old.Connected) {
		return false
	}
	next := *old
	next.Connected = true
	next.ReportedAt = now
	next.Replicas = mergeReplicas(old.Replicas, status)
	next.IdleSince = mergeIdle(old.IdleSince, now, status)
	next.Status = status
	if !status.Full {
		copyUnchanged(status, old.Status)
	}
	next.Leaving = leaving(&next)
	v.endpoints[name] = &next
	return true
}

// copyUnchanged fills in the fields that a change report omits because they have not changed.
func copyUnchanged(status, old *wirepb.Status) {
	status.Endpoint = old.GetEndpoint()
	status.Kind = old.GetKind()
	status.FailureDomain = old.GetFailureDomain()
	status.Labels = old.GetLabels()
	status.MemoryBytes = old.GetMemoryBytes()
	status.Incarnation = old.GetIncarnation()
	status.Cached = old.GetCached()
	status.OperatorAddress = old.GetOperatorAddress()
}

// mergeReplicas merges the reported replicas into the earlier ones.
func mergeReplicas(old map[string]*wirepb.Replica, status *wirepb.Status) map[string]*wirepb.Replica {
	if !status.Full && len(status.Replicas) == 0 {
		return old
	}
	merged := make(map[string]*wirepb.Replica, len(old)+len(status.Replicas))
	if !status.Full {
		for model, r := range old {
			merged[model] = r
		}
	}
	for _, r := range status.Replicas {
		if r.State == wirepb.ReplicaState_ABSENT && r.Revision == 0 {
			delete(merged, r.Model)
			continue
		}
		merged[r.Model] = r
	}
	return merged
}

// mergeIdle updates the times at which the reported replicas became idle. A replica that stays idle is not reported
// again.
func mergeIdle(old map[string]time.Time, now time.Time, status *wirepb.Status) map[string]time.Time {
	if !status.Full && len(status.Replicas) == 0 {
		return old
	}
	merged := map[string]time.Time{}
	if !status.Full {
		maps.Copy(merged, old)
	}
	for _, r := range status.Replicas {
		delete(merged, r.Model)
		if r.IdleMillis > 0 {
			merged[r.Model] = now.Add(-time.Duration(r.IdleMillis) * time.Millisecond)
		}
	}
	return merged
}

// SetDisconnected records that the connection to an agent has ended.
func (v *View) SetDisconnected(name string) {
	old, ok := v.endpoints[name]
	if !ok {
		return
	}
	next := *old
	next.Connected = false
	v.endpoints[name] = &next
}
