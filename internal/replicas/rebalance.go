package replicas

import (
	"cmp"
	"slices"
)

// movingShare is the part of the model versions (one in so many) that may have a slot on its way out before a slot is
// moved only for a better place.
const movingShare = 10

// rebalance moves one idle slot to a better place, when there is nothing else to do: out of a failure domain that two
// slots of the model version share while another domain has none, or off an engine that holds far more than its share
// of the declared weights while others hold less, as when an engine has joined.
//
// One move per decision, only to a strictly better place, and only while few model versions are moving: a change of many
// engines at once then costs a bounded rate of writes, and no move is ever answered by one back. A model version whose
// only slot would have to go first is left where it is, and so is one that holds its maximum on demand.
func (r *run) rebalance() {
	if len(r.decision.Changes) > 0 || r.moving*movingShare >= max(len(r.specs), movingShare) {
		return
	}
	if r.spread() {
		return
	}
	r.level()
}

// moveTries bounds the slots for which a better place is looked for in one decision.
const moveTries = 8

// settled is a declared model version whose slots are all good.
type settled struct {
	spec *ModelSpec
	view RowView
	memo *memo
	// draft is made when it is needed.
	draft *draft
}

// slots returns the drafts of a settled model version's slots, in the order of its row.
func (r *run) slots(t *settled) []*slotDraft {
	if t.draft == nil {
		t.draft = newDraft(t.spec.Model, t.view)
		r.judge(t.spec, t.draft)
	}
	return t.draft.slots
}

// spread moves a slot out of a failure domain that has two more than another.
func (r *run) spread() bool {
	tries := moveTries
	for _, t := range r.settled {
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

// crowdedDomain returns the failure domain with the most slots of a model version, if another one of the domains that
// its selector reaches has at least two less.
func (r *run) crowdedDomain(t *settled) string {
	m := t.memo
	if m.crowdedKnown {
		return m.crowded
	}
	m.crowdedKnown = true
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
			m.crowded = s.FailureDomain
			break
		}
	}
	return m.crowded
}

// overloaded is a slot on an engine that holds more than its share, and by how much.
type overloaded struct {
	*settled
	slot  int
	ratio float64
}

// level moves a slot off the engine that is furthest over its share: when it is so by far, or when another engine is far
// below its own.
func (r *run) level() {
	found := r.overloaded()
	slices.SortStableFunc(found, func(a, b overloaded) int { return cmp.Compare(b.ratio, a.ratio) })
	tries := moveTries
	for _, o := range found {
		s := r.slots(o.settled)[o.slot]
		if !r.movable(o.settled, s) {
			continue
		}
		if r.move(o.settled, s, ReasonBalance) {
			return
		}
		if tries--; tries == 0 {
			return
		}
	}
}

// overloaded returns the slots from which level may choose.
func (r *run) overloaded() []overloaded {
	var found []overloaded
	type kind struct {
		group *group
		need  int64
	}
	low := map[kind]bool{}
	for _, t := range r.settled {
		k := kind{r.index.group(t.spec.Selector), t.spec.MemoryBytes}
		if _, known := low[k]; !known {
			low[k] = r.hasLow(k.group, k.need)
		}
		bound := r.policy.MoveBound
		if low[k] {
			bound = 1
		}
		for n, engine := range t.memo.granted {
			if engine >= 0 && r.overWith(engine, k.need, bound) {
				found = append(found, overloaded{settled: t, slot: n, ratio: float64(r.load[engine]) / r.share[engine]})
			}
		}
	}
	return found
}

// hasLow reports whether an engine of a group would still be far below its share with need more.
func (r *run) hasLow(g *group, need int64) bool {
	for _, i := range g.members {
		if r.fill(i, need) == fillLow && r.index.engines[i].Reachable && r.index.live[i] {
			return true
		}
	}
	return false
}

// overWith reports whether an engine is over bound times its share by a slot of the given weight that it holds.
func (r *run) overWith(engine int, need int64, bound float64) bool {
	r.load[engine] -= need
	over := r.over(engine, need, bound)
	r.load[engine] += need
	return over
}

// movable reports whether a slot may move: it holds nothing, and its model version has another slot or room for one.
func (r *run) movable(t *settled, s *slotDraft) bool {
	_, most := r.policy.bounds(*t.spec)
	return s.engine >= 0 && !s.loaded && (len(t.draft.slots) > 1 || most > 1)
}

// move replaces a slot by one in a strictly better place, if there is one.
func (r *run) move(t *settled, s *slotDraft, reason Reason) bool {
	need := t.spec.MemoryBytes
	home, most := r.policy.bounds(*t.spec)
	room := most > len(t.draft.slots)
	if !room && len(t.draft.slots) > home {
		return false
	}
	others := *t.draft
	others.slots = slices.DeleteFunc(slices.Clone(t.draft.slots), func(o *slotDraft) bool { return o == s })
	r.load[s.engine] -= need
	target := r.better(t.spec, &others, s, reason)
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

// better returns the engine that would get the slot if it were placed anew, or -1 when that is no better than where the
// slot is. The draft and the loads are those without the slot. For balance the target must not be over its share with the
// slot, as the engine that it leaves is: such a slot is not moved again while the loads stay as they are.
func (r *run) better(spec *ModelSpec, others *draft, s *slotDraft, reason Reason) int {
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
	worth := fill == fillLow || fill == fillEven && r.over(s.engine, need, r.policy.MoveBound)
	return targetIf(target, there <= here && worth)
}

func targetIf(target int, ok bool) int {
	if !ok {
		return -1
	}
	return target
}
