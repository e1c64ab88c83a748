package replicas

import (
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// assessSlots sets the health of each slot.
func (r *decisionRun) assessSlots(spec *ModelSpec, d *draft) {
	mark := r.markLoaded(r.snapshot.Demand[d.model].Usage.Loaded)
	var g *group
	if spec != nil {
		g = r.index.group(spec.Selector)
	}
	for _, s := range d.slots {
		s.engine = r.index.holder(s.slot.Engine, s.slot.Host)
		s.loaded = s.engine >= 0 && r.loaded[s.engine] == mark
		s.unreachable = r.unreachable(s.engine)
		if s.slot.State == replicaspb.SlotState_RELEASING {
			s.health = healthReleasing
			continue
		}
		if spec != nil {
			s.health, s.reason = r.assessGranted(spec, g, s)
		}
	}
}

// markLoaded marks the named engines as loaded, and returns the value that identifies the marks of this call.
func (r *decisionRun) markLoaded(engines []string) uint32 {
	r.mark++
	for _, name := range engines {
		if i, ok := r.index.byName[name]; ok {
			r.loaded[i] = r.mark
		}
	}
	return r.mark
}

func (r *decisionRun) assessGranted(spec *ModelSpec, g *group, s *slotDraft) (health, Reason) {
	if s.engine >= 0 {
		e := &r.index.engines[s.engine]
		switch {
		case e.Leaving, e.Drain:
			return healthLeaving, ReasonLeaving
		case !g.isMember[s.engine]:
			return healthMisplaced, ReasonMismatch
		case e.MemoryBytes > 0 && e.MemoryBytes < spec.MemoryBytes:
			return healthMisplaced, ReasonNoFit
		}
	}
	if s.unreachable && !r.index.mostUnreachable {
		return healthUnreachable, ReasonUnreachable
	}
	if r.failing(spec.Model, s.slot.Engine) {
		return healthFailing, ReasonFailing
	}
	return healthGood, ""
}

// unreachable reports whether an engine has been unreachable for at least UnreachableAfter; -1 stands for an engine
// without any report.
//
// A process that reaches less than half of the engines is more likely cut off itself; assessGranted then does not treat
// unreachable engines as a reason to move slots.
func (r *decisionRun) unreachable(engine int) bool {
	since := r.snapshot.Since
	if engine >= 0 {
		e := &r.index.engines[engine]
		if e.Reachable {
			return false
		}
		since = e.Since
	}
	deadline := since.Add(r.policy.UnreachableAfter)
	if r.now.Before(deadline) {
		r.recheckAt(deadline)
		return false
	}
	return true
}

// cannotServe reports whether the reason of a slot request means that the engine cannot serve the model version at all,
// rather than too slowly.
func cannotServe(reason wirepb.RefusalReason) bool {
	return reason == wirepb.RefusalReason_NO_MEMORY || reason == wirepb.RefusalReason_LOAD_FAILED
}

// failing reports whether an engine has failed to serve a model version for at least FailingAfter, and still does.
func (r *decisionRun) failing(model, engine string) bool {
	for _, req := range r.snapshot.Demand[model].SlotRequests {
		if req.Engine == engine && cannotServe(req.Reason) && r.recent(req) && req.Last.Sub(req.First) >= r.policy.FailingAfter {
			return true
		}
	}
	return false
}

func (r *decisionRun) recent(s SlotRequest) bool { return r.now.Sub(s.Last) < r.policy.SlotRequestTTL }

// avoided returns the engines that failed to serve a model version within the last AvoidFor.
func (r *decisionRun) avoided(model string) map[string]struct{} {
	avoided := map[string]struct{}{}
	for _, req := range r.snapshot.Demand[model].SlotRequests {
		if cannotServe(req.Reason) && r.now.Sub(req.Last) < r.policy.AvoidFor {
			avoided[req.Engine] = struct{}{}
		}
	}
	return avoided
}
