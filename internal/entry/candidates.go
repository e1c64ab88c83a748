package entry

import (
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// candidates returns the endpoints that can serve a target.
func (e *Entry) candidates(t admission.Target) []routing.Candidate {
	if t.Service != "" {
		return e.serviceCandidates(t.Service)
	}
	return e.modelCandidates(t)
}

// modelCandidates returns the engines that hold a slot of the target's model, in the order of the table's row. If the
// table has been down since this entry started there is no row, and the slots that the agents report are used.
func (e *Entry) modelCandidates(t admission.Target) []routing.Candidate {
	endpoints := e.members.Endpoints()
	row := e.grants.Row(t.Model)
	if row == nil {
		return e.reportedCandidates(endpoints, t)
	}
	list := make([]routing.Candidate, 0, len(row.Slots))
	for i, slot := range row.Slots {
		ep := endpoints[slot.Engine]
		if ep == nil || slot.State != replicaspb.SlotState_GRANTED || replicas.SlotOf(row, ep.Name, ep.HostID) != slot {
			continue
		}
		if ep.Replicas[t.Model].GetRevision() == 0 {
			// The agent has not received its slot yet and would refuse: the request waits for it instead.
			continue
		}
		list = append(list, e.candidate(ep, t, i))
	}
	return list
}

// reportedCandidates returns the engines whose agents report a slot. It returns none once the grants have been read
// from the table.
func (e *Entry) reportedCandidates(endpoints map[string]*membership.Endpoint, t admission.Target) []routing.Candidate {
	var list []routing.Candidate
	if e.grants.Synced() {
		return nil
	}
	for _, ep := range endpoints {
		if r := ep.Replicas[t.Model]; r != nil && r.Revision > 0 {
			list = append(list, e.candidate(ep, t, 0))
		}
	}
	return list
}

// candidate describes one endpoint for routing.
func (e *Entry) candidate(ep *membership.Endpoint, t admission.Target, index int) routing.Candidate {
	c := routing.Candidate{
		Endpoint:      ep.Name,
		FailureDomain: ep.FailureDomain,
		SlotIndex:     index,
		HasAdapter:    t.Adapter == "",
		ReportedAt:    ep.ReportedAt,
		Sent:          e.inFlight.get(ep.Name),
		Leaving:       ep.Leaving || e.drained(ep.Name),
		Reachable:     ep.Connected && ep.Status.GetReady(),
		Wait:          time.Duration(ep.Status.GetLoad().GetWaitMicros()) * time.Microsecond,
	}
	if r := ep.Replicas[t.Model]; r != nil {
		c.State = r.State
		c.Running = int(r.Running)
		c.Queued = int(r.Queued)
		c.HasAdapter = c.HasAdapter || contains(r.Adapters, t.Adapter)
	}
	c.Cached = contains(ep.Status.GetCached(), t.Model)
	return c
}

// drained reports whether an operator is draining an endpoint.
func (e *Entry) drained(endpoint string) bool {
	declared, ok := e.store.Current().Engine(endpoint)
	return ok && declared.Drain
}

// serviceCandidates returns the endpoints that match a plain service's selector.
func (e *Entry) serviceCandidates(service string) []routing.Candidate {
	set := e.store.Current()
	declared, ok := set.Service(service)
	if !ok {
		return nil
	}
	var list []routing.Candidate
	for _, ep := range e.members.Endpoints() {
		if ep.Status.GetKind() != kindService || !declared.Endpoints.Matches(e.labels(ep)) {
			continue
		}
		c := e.candidate(ep, admission.Target{Service: service}, 0)
		c.State = wirepb.ReplicaState_LOADED
		c.Running = int(ep.Status.GetLoad().GetRunning())
		c.Queued = int(ep.Status.GetLoad().GetQueued())
		list = append(list, c)
	}
	return list
}

const (
	kindService = "service"
	kindEngine  = "engine"
)

// Built-in labels of every endpoint.
const (
	labelEndpoint      = "endpoint"
	labelFailureDomain = "failure-domain"
	labelKind          = "kind"
)

// labels returns an endpoint's labels: those from its agent's settings, overridden by the operators' declarations, and
// the built-in ones.
func (e *Entry) labels(ep *membership.Endpoint) map[string]string {
	labels := map[string]string{}
	for k, v := range ep.Status.GetLabels() {
		labels[k] = v
	}
	if declared, ok := e.store.Current().Engine(ep.Name); ok {
		for k, v := range declared.Labels {
			labels[k] = v
		}
	}
	labels[labelEndpoint] = ep.Name
	labels[labelFailureDomain] = ep.FailureDomain
	labels[labelKind] = ep.Status.GetKind()
	return labels
}
