package replicas

import (
	"cmp"
	"slices"
)

// movingDivisor limits rebalancing: slots are moved only while fewer than one in movingDivisor model versions have a
// slot that is being released or has to be.
const movingDivisor = 10

// rebalance moves one idle slot to a better engine if the decision has no other changes: out of a failure domain that
// holds at least two slots of the model version more than another domain, or off an engine whose load is far above its
// fair share while others are below theirs, for example after an engine has joined.
//
// There is at most one move per decision, only to a strictly better engine, and only while few model versions have
// moving slots. This bounds the rate of writes after many engines change at once, and ensures that no move is reversed
// by a later one. A model version whose only slot would have to be released first is not moved, and neither is one that
// holds its maximum because of demand.
func (r *decisionRun) rebalance() {
	if len(r.decision.Changes) > 0 || r.moving*movingDivisor >= max(len(r.specs), movingDivisor) {
		return
	}
	if r.balanceDomains() {
		return
	}
	r.balanceLoads()
}

// moveTries limits the number of slots for which a better engine is searched in one decision.
const moveTries = 8

// stableModel is a declared model version whose slots are all healthy.
type stableModel struct {
	spec  *ModelSpec
	view  RowView
	cache *rowCache
	// draft is created on first use.
	draft *draft
}

// slots returns the slot drafts of a stable model version, in row order.
func (r *decisionRun) slots(t *stableModel) []*slotDraft {
	if t.draft == nil {
		t.draft = newDraft(t.spec.Model, t.view)
		r.assessSlots(t.spec, t.draft)
	}
	return t.draft.slots
}

// balanceDomains moves a slot out of a failure domain that holds at least two more than another.
func (r *decisionRun) balanceDomains() bool {
	tries := moveTries
	for _, t := range r.stable {
		domain := r.crowdedDomain(t)
		if domain == "" {
			continue
		}
		for _, s := range slices.Backward(r.slots(t)) {
			if s.slot.FailureDomain != domain || !r.movable(t, s) {
				continue
			}
			if r.move(t, s, ReasonSpread) {
				return true
			}
			if tries--; tries == 0 {
				return false
			}
		}
	}
	return false
}

// crowdedDomain returns a failure domain that holds at least two slots of a model version more than another domain
// matched by its selector, or "" if there is none.
func (r *decisionRun) crowdedDomain(t *stableModel) string {
	m := t.cache
	if m.crowdedComputed {
		return m.crowdedDomain
	}
	m.crowdedComputed = true
	counts := map[string]int{}
	for _, s := range m.row.GetSlots() {
		counts[s.FailureDomain]++
	}
	least := len(m.granted)
	for domain := range r.index.group(t.spec.Selector).domains {
		least = min(least, counts[domain])
	}
	for _, s := range m.row.GetSlots() {
		if counts[s.FailureDomain] >= least+2 {
			m.crowdedDomain = s.FailureDomain
			break
		}
	}
	return m.crowdedDomain
}

// overloaded is a slot on an engine whose load exceeds its fair share. ratio is load divided by share.
type overloaded struct {
	*stableModel
	slot  int
	ratio float64
}

// balanceLoads moves a slot off the engine with the highest load relative to its fair share, if that load exceeds
// MoveBound times the share or another engine is far below its own share.
func (r *decisionRun) balanceLoads() {
	found := r.overloaded()
	slices.SortStableFunc(found, func(a, b overloaded) int { return cmp.Compare(b.ratio, a.ratio) })
	tries := moveTries
	for _, o := range found {
		s := r.slots(o.stableModel)[o.slot]
		if !r.movable(o.stableModel, s) {
			continue
		}
		if r.move(o.stableModel, s, ReasonBalance) {
			return
		}
		if tries--; tries == 0 {
			return
		}
	}
}

// overloaded returns the slots that balanceLoads may move.
func (r *decisionRun) overloaded() []overloaded {
	var found []overloaded
	type kind struct {
		group *group
		need  int64
	}
	low := map[kind]bool{}
	for _, t := range r.stable {
		k := kind{r.index.group(t.spec.Selector), t.spec.MemoryBytes}
		if _, known := low[k]; !known {
			low[k] = r.hasUnderloaded(k.group, k.need)
		}
		bound := r.policy.MoveBound
		if low[k] {
			bound = 1
		}
		for n, engine := range t.cache.granted {
			if engine >= 0 && r.exceedsShareWith(engine, k.need, bound) {
				found = append(found, overloaded{stableModel: t, slot: n, ratio: float64(r.load[engine]) / r.share[engine]})
			}
		}
	}
	return found
}

// hasUnderloaded reports whether an engine of a group would still be far below its fair share with need more bytes.
func (r *decisionRun) hasUnderloaded(g *group, need int64) bool {
	for _, i := range g.members {
		if r.fill(i, need) == fillLow && r.index.engines[i].Reachable && r.index.live[i] {
			return true
		}
	}
	return false
}

// exceedsShareWith reports whether an engine exceeds bound times its fair share because of a slot of the given size
// that it holds.
func (r *decisionRun) exceedsShareWith(engine int, need int64, bound float64) bool {
	r.load[engine] -= need
	exceeds := r.exceedsShare(engine, need, bound)
	r.load[engine] += need
	return exceeds
}

// movable reports whether a slot may move: it is not loaded, and its model version has another slot or room for one.
func (r *decisionRun) movable(t *stableModel, s *slotDraft) bool {
	_, maxSlots := r.policy.bounds(*t.spec)
	return s.engine >= 0 && !s.loaded && (len(t.draft.slots) > 1 || maxSlots > 1)
}

// move replaces a slot by one on a strictly better engine, if there is one.
func (r *decisionRun) move(t *stableModel, s *slotDraft, reason Reason) bool {
	need := t.spec.MemoryBytes
	baseline, maxSlots := r.policy.bounds(*t.spec)
	room := maxSlots > len(t.draft.slots)
	if !room && len(t.draft.slots) > baseline {
		return false
	}
	others := *t.draft
	others.slots = slices.DeleteFunc(slices.Clone(t.draft.slots), func(o *slotDraft) bool { return o == s })
	r.load[s.engine] -= need
	target := r.betterEngine(t.spec, &others, s, reason)
	r.load[s.engine] += need
	if target < 0 {
		return false
	}
	d := t.draft
	d.release(s, reason)
	if room {
		d.grant(&r.index.engines[target], target, r.snapshot.Hosts, ReasonReplace)
	}
	r.decision.Changes = append(r.decision.Changes, d.change(r.snapshot.Declared))
	return true
}

// betterEngine returns the engine that would get the slot if it were placed again, or -1 if that is no improvement over
// the current engine. The draft and the loads must exclude the slot. For ReasonBalance the target must not exceed its
// share with the slot as the current engine does; the slot is then not moved again while the loads stay the same.
func (r *decisionRun) betterEngine(spec *ModelSpec, others *draft, s *slotDraft, reason Reason) int {
	found := r.candidates(spec, others)
	domains := domainCounts(others)
	best := r.pick(spec, found, domains)
	if best < 0 || found[best].engine == s.engine || found[best].avoid {
		return -1
	}
	target := found[best].engine
	here := domains[s.slot.FailureDomain]
	there := domains[r.index.engines[target].FailureDomain]
	if reason == ReasonSpread {
		return targetIf(target, there < here)
	}
	need := spec.MemoryBytes
	fill := r.fill(target, need)
	worth := fill == fillLow || fill == fillEven && r.exceedsShare(s.engine, need, r.policy.MoveBound)
	return targetIf(target, there <= here && worth)
}

func targetIf(target int, ok bool) int {
	if !ok {
		return -1
	}
	return target
}
