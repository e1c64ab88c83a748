// Package membership keeps, at an entry, which endpoints exist, which are leaving or gone, and what their agents say of
// themselves.
//
// View is the deterministic part: it merges the platform's lagging host list with the agents' status reports. Manager
// is the shell around it: it reads the list, keeps one connection with a control stream to each agent, and hands the
// reports on.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

// Endpoint is an endpoint as an entry sees it. Values handed out are never changed afterwards.
type Endpoint struct {
	Name          string
	HostID        string
	Address       string
	FailureDomain string
	// Listed is the state in the host list; empty when the host is not listed any more.
	Listed backing.HostState
	// Connected says that the agent has a working control stream and has reported its whole status.
	Connected bool
	// Leaving says that the endpoint takes no new work: by the list, the agent's own word, or both.
	Leaving bool
	// Gone says that the platform has taken the host away: nothing runs there any more.
	Gone bool
	// ReportedAt is when the latest report came.
	ReportedAt time.Time
	// Status is the merged status, nil before the first report.
	Status *wirepb.Status
	// Replicas indexes Status.Replicas by model version.
	Replicas map[string]*wirepb.Replica
	// IdleSince is since when replicas have been idle that were last reported so, by model version.
	IdleSince map[string]time.Time
}

// Entry is another entry host of the list.
type Entry struct {
	ID            string
	FailureDomain string
	Address       string
	State         backing.HostState
}

// View merges host list and reports. It is not safe for concurrent use; the values it returns are.
type View struct {
	version   uint64
	read      bool
	hosts     map[string]backing.HostState
	past      pastHosts
	endpoints map[string]*Endpoint
	entries   []Entry
}

// NewView returns an empty view.
func NewView() *View {
	return &View{endpoints: map[string]*Endpoint{}, past: pastHosts{states: map[string]backing.HostState{}}}
}

// Endpoint returns what is known of an endpoint.
func (v *View) Endpoint(name string) (*Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// Endpoints returns all endpoints by name.
func (v *View) Endpoints() map[string]*Endpoint { return v.endpoints }

// Entries returns the listed entries that are not gone, by identifier.
func (v *View) Entries() []Entry { return v.entries }

// Hosts returns the version of the host list that was last taken and the states of the hosts in it.
func (v *View) Hosts() (uint64, map[string]backing.HostState) { return v.version, v.hosts }

// runs reports whether a host is listed and not gone.
func (v *View) runs(host string) bool {
	state, listed := v.hosts[host]
	return listed && state != backing.HostGone
}

// clone returns a copy that may take in a list without a change of v.
func (v *View) clone() *View {
	copied := *v
	copied.endpoints = maps.Clone(v.endpoints)
	copied.past.states = maps.Clone(v.past.states)
	copied.past.order = slices.Clone(v.past.order)
	return &copied
}

// HostsRead takes in the host list and reports whether it says anything new: its version rises with each change.
//
// A list of a lower version than one seen before is ignored: the list lags, and two reads may be answered by replicas of
// the platform that lag differently, so that an older list would let a leaving host seem live again and get new work.
func (v *View) HostsRead(hosts []backing.Host, version uint64) bool {
	if v.read && version <= v.version {
		return false
	}
	v.read = true
	v.version = version
	listed := map[string]bool{}
	before := maps.Clone(v.endpoints)
	v.entries = nil
	previous := v.hosts
	v.hosts = make(map[string]backing.HostState, len(hosts))
	for _, h := range hosts {
		h.State = v.past.note(h.ID, h.State)
		v.hosts[h.ID] = h.State
		switch h.Role {
		case backing.RoleEntry:
			v.listEntry(h)
		case backing.RoleEndpoint:
			v.listEndpoint(h, listed, before)
		}
	}
	v.noteUnlisted(previous)
	v.dropUnlisted(listed)
	slices.SortFunc(v.entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return true
}

// noteUnlisted remembers the hosts of the list before that the new one does not name: the platform lists a host until it is
// terminated.
func (v *View) noteUnlisted(previous map[string]backing.HostState) {
	for id := range previous {
		if _, listed := v.hosts[id]; !listed {
			v.past.note(id, backing.HostGone)
		}
	}
}

func (v *View) listEntry(h backing.Host) {
	if h.State == backing.HostGone {
		return
	}
	v.entries = append(v.entries, Entry{ID: h.ID, FailureDomain: h.FailureDomain, Address: h.Address, State: h.State})
}

// listEndpoint takes in one listed endpoint host. Where a replacement host has taken over the endpoint's name, the host that
// goes on longest counts.
//
// What is known of the host comes from the time before this list. If it were looked up among what the list has made so
// far, a gone host that stands before its replacement would take the replacement's connection and status away with each
// read, and no change report brings them back: the endpoint would get no request and no declarations from this entry.
func (v *View) listEndpoint(h backing.Host, listed map[string]bool, before map[string]*Endpoint) {
	next := &Endpoint{Name: h.Endpoint}
	if old, ok := before[h.Endpoint]; ok && old.HostID == h.ID {
		*next = *old
	}
	if listed[h.Endpoint] && worst(h.State, v.endpoints[h.Endpoint].Listed) == h.State {
		return
	}
	listed[h.Endpoint] = true
	next.HostID = h.ID
	next.Address = h.Address
	next.FailureDomain = h.FailureDomain
	next.Listed = h.State
	if h.State == backing.HostGone {
		next.end()
	}
	next.Leaving = leaving(next)
	v.endpoints[h.Endpoint] = next
}

// end notes that the host is gone, and with it the agent that its last report came from.
func (e *Endpoint) end() {
	e.Gone = true
	e.Connected = false
}

// dropUnlisted marks endpoints that were listed and are not any more: the platform lists a host until it is terminated.
func (v *View) dropUnlisted(listed map[string]bool) {
	for name, e := range v.endpoints {
		if listed[name] || e.Gone {
			continue
		}
		next := *e
		next.Listed = ""
		next.end()
		next.Leaving = true
		v.endpoints[name] = &next
	}
}

// leaving joins the sources that say an endpoint stops. One of them suffices, so that the slowest does not matter.
func leaving(e *Endpoint) bool {
	if e.Gone || e.Listed == backing.HostLeaving {
		return true
	}
	return e.Status.GetLeaving()
}

// Reported merges a status report. A change report before a whole one is not usable and is dropped, and so is the late
// report of a host that is gone.
func (v *View) Reported(now time.Time, name string, status *wirepb.Status) bool {
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
		keepFixed(status, old.Status)
	}
	next.Leaving = leaving(&next)
	v.endpoints[name] = &next
	return true
}

// keepFixed fills a change report with what such a report leaves out because it is as it was.
func keepFixed(status, old *wirepb.Status) {
	status.Endpoint = old.GetEndpoint()
	status.Kind = old.GetKind()
	status.FailureDomain = old.GetFailureDomain()
	status.Labels = old.GetLabels()
	status.MemoryBytes = old.GetMemoryBytes()
	status.Incarnation = old.GetIncarnation()
	status.Cached = old.GetCached()
	status.OperatorAddress = old.GetOperatorAddress()
}

// mergeReplicas applies the changed replicas to the earlier ones.
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

// mergeIdle notes since when the changed replicas have been idle: a replica that stays idle is not reported again.
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

// Lost notes that the connection to an agent has ended.
func (v *View) Lost(name string) {
	old, ok := v.endpoints[name]
	if !ok {
		return
	}
	next := *old
	next.Connected = false
	v.endpoints[name] = &next
}
