package replicas

import (
	"cmp"
	"slices"
	"time"

	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// recheckInterval is the time after which a decision is taken again when it waits for something that is not an input's
// change, such as a replica's load.
const recheckInterval = time.Second

// Decider decides changes of rows. It keeps nothing between decisions but what it has worked out from its inputs. It is
// not safe for concurrent use.
type Decider struct {
	policy  Policy
	index   *engineIndex
	version uint64
}

// NewDecider returns a Decider.
func NewDecider(policy Policy) *Decider { return &Decider{policy: policy} }

// Decide returns the changes that the snapshot calls for.
func (d *Decider) Decide(now time.Time, s *Snapshot) Decision {
	r := d.newRun(now, s)
	for _, model := range r.models() {
		r.decideModel(model)
	}
	r.rebalance()
	slices.SortFunc(r.decision.Changes, func(a, b Change) int { return cmp.Compare(a.Model, b.Model) })
	return r.decision
}

// run is one decision in the making.
type run struct {
	now      time.Time
	policy   Policy
	snapshot *Snapshot
	index    *engineIndex
	specs    map[string]*ModelSpec
	// load and warm are the declared weights of each engine's slots, and of those of them that stay loaded.
	load, warm []int64
	// moving is the number of model versions with a slot on its way out, and settled lists those whose slots are all good.
	moving   int
	settled  []settled
	decision Decision
}

func (d *Decider) newRun(now time.Time, s *Snapshot) *run {
	if d.index == nil || s.EnginesVersion == 0 || s.EnginesVersion != d.version {
		d.index = newEngineIndex(s.Engines)
		d.version = s.EnginesVersion
	}
	r := &run{
		now:      now,
		policy:   d.policy,
		snapshot: s,
		index:    d.index,
		specs:    make(map[string]*ModelSpec, len(s.Declared.Models)),
		load:     make([]int64, len(s.Engines)),
		warm:     make([]int64, len(s.Engines)),
	}
	r.measure()
	return r
}

// measure works out what each engine's slots weigh, and what share of the engines' memory they make up.
func (r *run) measure() {
	for _, g := range r.index.groups {
		g.density = 0
	}
	for i := range r.snapshot.Declared.Models {
		spec := &r.snapshot.Declared.Models[i]
		r.specs[spec.Model] = spec
		granted := r.weigh(spec, r.snapshot.Rows[spec.Model].Row)
		home, _ := r.policy.bounds(*spec)
		g := r.index.group(spec.Selector)
		if g.memory > 0 {
			g.density += float64(spec.MemoryBytes) * float64(max(home, granted)) / float64(g.memory)
		}
	}
}

// weigh adds a row's GRANTED slots to the loads of their engines and returns their number.
func (r *run) weigh(spec *ModelSpec, row *replicaspb.Row) int {
	granted := 0
	for _, s := range row.GetSlots() {
		if s.State != replicaspb.SlotState_GRANTED {
			continue
		}
		if i := r.index.holder(s.Engine, s.Host); i >= 0 {
			r.load[i] += spec.MemoryBytes
			if granted < spec.Warm {
				r.warm[i] += spec.MemoryBytes
			}
		}
		granted++
	}
	return granted
}

// models returns the names of all declared model versions and of all that have a row, in order.
func (r *run) models() []string {
	names := make([]string, 0, len(r.specs)+len(r.snapshot.Rows))
	for name := range r.specs {
		names = append(names, name)
	}
	for name := range r.snapshot.Rows {
		if _, declared := r.specs[name]; !declared {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// again asks for another decision at a time.
func (r *run) again(at time.Time) {
	if r.decision.Again.IsZero() || at.Before(r.decision.Again) {
		r.decision.Again = at
	}
}

// decideModel decides one model version's row.
//
// A row that was decided under newer declarations than this process has is left alone: this process would undo what an
// accepted edit asked for, and the process that decided it would do it again, until this one catches up.
func (r *run) decideModel(model string) {
	view := r.snapshot.Rows[model]
	if view.Row.GetDeclarationsRevision() > r.snapshot.Declared.Revision {
		return
	}
	d := newDraft(model, view)
	spec := r.specs[model]
	r.removeFreed(d)
	r.judge(spec, d)
	if spec == nil {
		r.releaseAll(d)
	} else {
		r.settle(spec, d)
	}
	r.note(spec, d)
}

// note takes a decided row into the decision.
func (r *run) note(spec *ModelSpec, d *draft) {
	switch {
	case d.count(healthReleasing, healthMisplaced, healthLeaving) > 0:
		r.moving++
	case spec != nil && len(d.steps) == 0 && d.count(healthGood) == len(d.slots):
		r.settled = append(r.settled, settled{spec: spec, draft: d})
	}
	if len(d.steps) > 0 {
		r.decision.Changes = append(r.decision.Changes, d.change(r.snapshot.Declared))
	}
}

// removeFreed drops the slots that certainly hold nothing: those whose engines confirmed their release and those whose
// hosts are gone. No other slot is ever dropped.
func (r *run) removeFreed(d *draft) {
	releases := r.snapshot.Releases[d.model]
	for _, s := range slices.Clone(d.slots) {
		if gone(r.snapshot.Hosts, s.slot) {
			d.remove(s, ReasonHostGone)
			continue
		}
		if s.slot.State != replicaspb.SlotState_RELEASING {
			continue
		}
		confirmed := releases[Holder{Engine: s.slot.Engine, Host: s.slot.Host}]
		if confirmed > 0 && confirmed >= releasingSince(d.row, s.slot) {
			d.remove(s, ReasonConfirmed)
		}
	}
}

// judge sets the health of each slot.
func (r *run) judge(spec *ModelSpec, d *draft) {
	usage := r.snapshot.Demand[d.model].Usage
	for _, s := range d.slots {
		s.engine = r.index.holder(s.slot.Engine, s.slot.Host)
		s.loaded = slices.Contains(usage.Loaded, s.slot.Engine)
		s.quiet = r.silent(s.engine)
		if s.slot.State == replicaspb.SlotState_RELEASING {
			s.health = healthReleasing
			continue
		}
		if spec != nil {
			s.health, s.reason = r.judgeGranted(spec, s)
		}
	}
}

func (r *run) judgeGranted(spec *ModelSpec, s *slotDraft) (health, Reason) {
	if s.engine >= 0 {
		e := &r.index.engines[s.engine]
		switch {
		case e.Leaving, e.Drain:
			return healthLeaving, ReasonLeaving
		case !spec.Selector.Matches(e.Labels):
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

// releaseAll takes back all slots of a model version that is not declared any more.
func (r *run) releaseAll(d *draft) {
	for _, s := range d.slots {
		if s.health != healthReleasing {
			d.release(s, ReasonUndeclared)
		}
	}
}
