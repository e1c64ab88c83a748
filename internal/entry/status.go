package entry

import (
	"context"
	"slices"
	"strings"

	"balsamsail/internal/declarations"
	"balsamsail/internal/membership"
	"balsamsail/internal/operator"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// Status implements operator.Backend.
func (o *Operator) Status(context.Context) (operator.Status, error) {
	e := o.entry
	set := e.store.Current()
	status := operator.Status{
		Entry:    e.options.ID,
		At:       e.clock.Now(),
		Revision: set.Revision(),
		Outage:   e.store.OutageSince(),
	}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			status.Models = append(status.Models, e.modelStatus(m, declarations.ModelVersion(m.Name, version)))
		}
	}
	for _, ep := range e.members.Endpoints() {
		status.Endpoints = append(status.Endpoints, e.endpointStatus(ep))
	}
	slices.SortFunc(status.Endpoints, func(a, b operator.EndpointStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return status, nil
}

// modelStatus returns the status of one model version over all engines.
func (e *Entry) modelStatus(m *declarations.Model, model string) operator.ModelStatus {
	status := operator.ModelStatus{
		Model:        model,
		MinReplicas:  int(m.MinReplicas),
		MaxReplicas:  int(m.MaxReplicas),
		WarmReplicas: int(m.WarmReplicas),
	}
	endpoints := e.members.Endpoints()
	for _, ep := range endpoints {
		if ep.Status.GetKind() == kindEngine && !ep.Leaving && m.Engines.Matches(e.labels(ep)) {
			status.Eligible++
		}
	}
	row := e.grants.Row(model)
	for _, slot := range row.GetSlots() {
		replica := e.replicaStatus(endpoints[slot.Engine], slot, row)
		status.Replicas = append(status.Replicas, replica)
		status.Queued += replica.Queued
	}
	status.Why = whyModel(status, row)
	return status
}

// whyModel returns the reason why a model version has no replicas.
func whyModel(status operator.ModelStatus, row *replicaspb.Row) string {
	switch {
	case len(row.GetSlots()) > 0:
		return ""
	case status.Eligible == 0:
		return "no live engine matches the selector"
	default:
		return "no slot granted yet"
	}
}

// replicaStates maps replica states on the wire to those of package operator.
var replicaStates = map[wirepb.ReplicaState]operator.ReplicaState{
	wirepb.ReplicaState_ABSENT:    operator.ReplicaGranted,
	wirepb.ReplicaState_LOADING:   operator.ReplicaLoading,
	wirepb.ReplicaState_LOADED:    operator.ReplicaLoaded,
	wirepb.ReplicaState_UNLOADING: operator.ReplicaUnloading,
	wirepb.ReplicaState_UNKNOWN:   operator.ReplicaUnknown,
}

// replicaStatus returns the status of one slot and of the replica that its engine holds.
func (e *Entry) replicaStatus(ep *membership.Endpoint, slot *replicaspb.Slot, row *replicaspb.Row) operator.ReplicaStatus {
	status := operator.ReplicaStatus{
		Engine:        slot.Engine,
		FailureDomain: slot.FailureDomain,
		State:         operator.ReplicaGranted,
		Revision:      row.Revision,
	}
	if ep == nil || !ep.Connected {
		status.State = operator.ReplicaUnknown
		status.Why = "the agent does not answer"
		return status
	}
	if r := ep.Replicas[row.Model]; r != nil {
		e.fillReplica(&status, ep, r)
	}
	if slot.State == replicaspb.SlotState_RELEASING {
		status.State = operator.ReplicaReleasing
		status.Why = "the slot is given up"
	}
	return status
}

func (e *Entry) fillReplica(status *operator.ReplicaStatus, ep *membership.Endpoint, r *wirepb.Replica) {
	status.State = replicaStates[r.State]
	status.Running = int(r.Running)
	status.Queued = int(r.Queued)
	status.Adapters = r.Adapters
	if r.State == wirepb.ReplicaState_LOADED && r.Running == 0 && r.Queued == 0 {
		status.State = operator.ReplicaIdle
		status.IdleSince = ep.IdleSince[r.Model]
	}
	if r.State == wirepb.ReplicaState_UNKNOWN {
		status.Why = "the result of an order is not known"
	}
}

// endpointStatus returns the status of one endpoint.
func (e *Entry) endpointStatus(ep *membership.Endpoint) operator.EndpointStatus {
	s := ep.Status
	status := operator.EndpointStatus{
		Endpoint:      ep.Name,
		Kind:          s.GetKind(),
		FailureDomain: ep.FailureDomain,
		Reachable:     ep.Connected,
		Ready:         s.GetReady(),
		Leaving:       ep.Leaving,
		Drained:       e.drained(ep.Name),
		MemoryBytes:   s.GetMemoryBytes(),
		ReservedBytes: s.GetMemoryReservedBytes(),
		Running:       int(s.GetLoad().GetRunning()),
		Queued:        int(s.GetLoad().GetQueued()),
		Revision:      s.GetDeclarationsRevision(),
		Labels:        e.labels(ep),
	}
	switch {
	case ep.Gone:
		status.Why = "the host is gone"
	case !ep.Connected:
		status.Why = "the agent does not answer"
	case !s.GetReady():
		status.Why = "the agent does not know its endpoint's state yet"
	}
	return status
}
