package replicas

import (
	"cmp"
	"slices"
	"time"

	"balsamsail/internal/replicas/replicaspb"
)

// recheckInterval is the time after which a decision is taken again when it waits for something that is not an input's
// change, such as a replica's load.
const recheckInterval = time.Second

// Decider decides changes of rows. What it keeps between decisions follows from its inputs and only saves working it out
// again. It is not safe for concurrent use.
type Decider struct {
	policy  Policy
	index   *engineIndex
	version uint64
	memos   map[string]*memo
	scratch scratch
}

// NewDecider returns a Decider.
func NewDecider(policy Policy) *Decider { return &Decider{policy: policy, memos: map[string]*memo{}} }

// Decide returns the changes that the snapshot calls for.
func (d *Decider) Decide(now time.Time, s *Snapshot) Decision {
	if d.index == nil || s.EnginesVersion == 0 || s.EnginesVersion != d.version {
		d.index = newEngineIndex(s.Engines)
		d.version = s.EnginesVersion
	}
	d.index.listHosts(s.Hosts)
	d.scratch.reset(len(s.Engines))
	r := &run{
		now:      now,
		policy:   d.policy,
		snapshot: s,
		index:    d.index,
		memos:    d.memos,
		specs:    make(map[string]*ModelSpec, len(s.Declared.Models)),
		scratch:  &d.scratch,
	}
	r.measure()
	r.decide()
	d.forget(s.Rows)
	return r.decision
}

// forget drops what was worked out for rows that are gone.
func (d *Decider) forget(rows map[string]RowView) {
	for model := range d.memos {
		if _, ok := rows[model]; !ok {
			delete(d.memos, model)
		}
	}
}

// run is one decision in the making.
type run struct {
	now      time.Time
	policy   Policy
	snapshot *Snapshot
	index    *engineIndex
	memos    map[string]*memo
	specs    map[string]*ModelSpec
	// moving is the number of model versions with a slot on its way out, and settled lists those whose slots are all good.
	moving   int
	settled  []*settled
	decision Decision
	*scratch
}

func (r *run) decide() {
	for _, model := range r.models() {
		r.decideModel(model)
	}
	r.rebalance()
	slices.SortFunc(r.decision.Changes, func(a, b Change) int { return cmp.Compare(a.Model, b.Model) })
}

// measure works out what each engine's slots weigh, and its share of all that the slots weigh when they are spread evenly
// over the memory of the engines that may hold them.
func (r *run) measure() {
	r.index.resetDensities()
	for i := range r.snapshot.Declared.Models {
		spec := &r.snapshot.Declared.Models[i]
		r.specs[spec.Model] = spec
		m := r.memo(spec.Model)
		r.weigh(spec, m)
		home, _ := r.policy.bounds(*spec)
		g := r.index.group(spec.Selector)
		if g.memory > 0 {
			g.density += float64(spec.MemoryBytes) * float64(max(home, len(m.granted))) / float64(g.memory)
		}
	}
	r.index.addShares(r.share)
}

// weigh adds a row's GRANTED slots to the loads of their engines.
func (r *run) weigh(spec *ModelSpec, m *memo) {
	for n, engine := range m.granted {
		if engine < 0 {
			continue
		}
		r.load[engine] += spec.MemoryBytes
		if n < spec.Warm {
			r.warm[engine] += spec.MemoryBytes
		}
	}
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
	spec, m := r.specs[model], r.memo(model)
	if spec != nil && r.stillCalm(m, model) {
		r.settled = append(r.settled, &settled{spec: spec, view: view, memo: m})
		return
	}
	d := newDraft(model, view)
	r.removeFreed(d)
	r.judge(spec, d)
	if spec == nil {
		r.releaseAll(d)
	} else {
		r.settle(spec, d)
	}
	r.note(spec, d, view, m)
}

// note takes a decided row into the decision.
func (r *run) note(spec *ModelSpec, d *draft, view RowView, m *memo) {
	switch {
	case d.count(healthReleasing, healthMisplaced, healthLeaving) > 0:
		r.moving++
	case spec != nil && len(d.steps) == 0 && d.count(healthGood) == len(d.slots):
		r.settled = append(r.settled, &settled{spec: spec, view: view, memo: m, draft: d})
		r.becomeCalm(spec, m, d)
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

// releaseAll takes back all slots of a model version that is not declared any more.
func (r *run) releaseAll(d *draft) {
	for _, s := range d.slots {
		if s.health != healthReleasing {
			d.release(s, ReasonUndeclared)
		}
	}
}
