package replicas

import (
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// judge sets the health of each slot.
func (r *run) judge(spec *ModelSpec, d *draft) {
	turn := r.markLoaded(r.snapshot.Demand[d.model].Usage.Loaded)
	var g *group
	if spec != nil {
		g = r.index.group(spec.Selector)
	}
	for _, s := range d.slots {
		s.engine = r.index.holder(s.slot.Engine, s.slot.Host)
		s.loaded = s.engine >= 0 && r.loaded[s.engine] == turn
		s.quiet = r.silent(s.engine)
		if s.slot.State == replicaspb.SlotState_RELEASING {
			s.health = healthReleasing
			continue
		}
		if spec != nil {
			s.health, s.reason = r.judgeGranted(spec, g, s)
		}
	}
}

// markLoaded marks the named engines as loaded, and returns the number to compare the marks with.
func (r *run) markLoaded(engines []string) uint32 {
	r.turn++
	for _, name := range engines {
		if i, ok := r.index.byName[name]; ok {
			r.loaded[i] = r.turn
		}
	}
	return r.turn
}

func (r *run) judgeGranted(spec *ModelSpec, g *group, s *slotDraft) (health, Reason) {
	if s.engine >= 0 {
		e := &r.index.engines[s.engine]
		switch {
		case e.Leaving, e.Drain:
			return healthLeaving, ReasonLeaving
		case !g.has[s.engine]:
			return healthMisplaced, ReasonMismatch
		case e.MemoryBytes > 0 && e.MemoryBytes < spec.MemoryBytes:
			return healthMisplaced, ReasonNoFit
		}
	}
	if s.quiet && !r.index.mostSilent {
		return healthSilent, ReasonSilent
	}
	if r.failing(spec.Model, s.slot.Engine) {
		return healthFailing, ReasonFailing
	}
	return healthGood, ""
}

// silent reports whether an engine has not answered for long; -1 stands for one that this process has not heard of.
//
// A process that hears from less than half of the engines is more likely cut off itself: judgeGranted then takes no
// silence as a reason to move slots.
func (r *run) silent(engine int) bool {
	since := r.snapshot.Since
	if engine >= 0 {
		e := &r.index.engines[engine]
		if e.Reachable {
			return false
		}
		since = e.Since
	}
	due := since.Add(r.policy.SilentAfter)
	if r.now.Before(due) {
		r.again(due)
		return false
	}
	return true
}

// unserved reports whether a reason for wanting a slot elsewhere says that the engine cannot serve the model version at
// all, as against too slowly.
func unserved(reason wirepb.RefusalReason) bool {
	return reason == wirepb.RefusalReason_NO_MEMORY || reason == wirepb.RefusalReason_LOAD_FAILED
}

// failing reports whether an engine has failed to serve a model version for long, and still does.
func (r *run) failing(model, engine string) bool {
	for _, w := range r.snapshot.Demand[model].Wants {
		if w.Engine == engine && unserved(w.Reason) && r.fresh(w) && w.Last.Sub(w.First) >= r.policy.FailingAfter {
			return true
		}
	}
	return false
}

func (r *run) fresh(w Want) bool { return r.now.Sub(w.Last) < r.policy.WantLife }

// avoided returns the engines that lately failed to serve a model version.
func (r *run) avoided(model string) map[string]struct{} {
	avoided := map[string]struct{}{}
	for _, w := range r.snapshot.Demand[model].Wants {
		if unserved(w.Reason) && r.now.Sub(w.Last) < r.policy.AvoidFor {
			avoided[w.Engine] = struct{}{}
		}
	}
	return avoided
}
