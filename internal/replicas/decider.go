package replicas

import (
	"cmp"
	"slices"
	"time"

	"balsamsail/internal/replicas/replicaspb"
)

// recheckInterval is the delay before a decision is repeated when it waits for something that is not reported as an
// input change, such as the load of a replica.
const recheckInterval = time.Second

// Decider computes row changes. The state it keeps between decisions is a cache derived from its inputs and does not
// affect the result. It is not safe for concurrent use.
type Decider struct {
	policy  Policy
	index   *engineIndex
	version uint64
	caches  map[string]*rowCache
	scratch scratch
}

// NewDecider returns a Decider.
func NewDecider(p Policy) *Decider { return &Decider{policy: p, caches: map[string]*rowCache{}} }

// Decide returns the changes required by the snapshot.
func (d *Decider) Decide(now time.Time, s *Snapshot) Decision {
	if d.index == nil || s.EnginesVersion == 0 || s.EnginesVersion != d.version {
		d.index = newEngineIndex(s.Engines)
		d.version = s.EnginesVersion
	}
	d.index.setHosts(s.Hosts)
	d.scratch.reset(len(s.Engines))
	r := &decisionRun{
		now:      now,
		policy:   d.policy,
		snapshot: s,
		index:    d.index,
		caches:   d.caches,
		specs:    make(map[string]*ModelSpec, len(s.Declared.Models)),
		scratch:  &d.scratch,
	}
	r.computeLoads()
	r.decide()
	d.pruneCaches(s.Rows)
	return r.decision
}

// pruneCaches drops the caches of rows that no longer exist.
func (d *Decider) pruneCaches(rows map[string]RowView) {
	for model := range d.caches {
		if _, ok := rows[model]; !ok {
			delete(d.caches, model)
		}
	}
}

// decisionRun is the state of one Decide call.
type decisionRun struct {
	now      time.Time
	policy   Policy
	snapshot *Snapshot
	index    *engineIndex
	caches   map[string]*rowCache
	specs    map[string]*ModelSpec
	// moving is the number of model versions with a slot that is being released or has to be. stable lists the model
	// versions whose slots are all healthy.
	moving   int
	stable   []*stableModel
	decision Decision
	*scratch
}

func (r *decisionRun) decide() {
	for _, model := range r.models() {
		r.decideModel(model)
	}
	r.rebalance()
	slices.SortFunc(r.decision.Changes, func(a, b Change) int { return cmp.Compare(a.Model, b.Model) })
}

// computeLoads computes the load of each engine, and its fair share: the load that it would have if the declared memory
// of all slots were spread evenly over the memory of the engines that may hold them.
func (r *decisionRun) computeLoads() {
	r.index.resetDensities()
	for i := range r.snapshot.Declared.Models {
		spec := &r.snapshot.Declared.Models[i]
		r.specs[spec.Model] = spec
		m := r.rowCache(spec.Model)
		r.addLoads(spec, m)
		baseline, _ := r.policy.bounds(*spec)
		g := r.index.group(spec.Selector)
		if g.memory > 0 {
			g.density += float64(spec.MemoryBytes) * float64(max(baseline, len(m.granted))) / float64(g.memory)
		}
	}
	r.index.addShares(r.share)
}

// addLoads adds a row's GRANTED slots to the loads of their engines.
func (r *decisionRun) addLoads(spec *ModelSpec, m *rowCache) {
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

// models returns the sorted names of all model versions that are declared or have a row.
func (r *decisionRun) models() []string {
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

// recheckAt requests another decision at the given time.
func (r *decisionRun) recheckAt(at time.Time) {
	if r.decision.RecheckAt.IsZero() || at.Before(r.decision.RecheckAt) {
		r.decision.RecheckAt = at
	}
}

// decideModel decides one model version's row.
//
// A row that was decided under newer declarations than this process has is left unchanged. Otherwise this process would
// revert what an accepted edit requires, the up-to-date process would apply it again, and both would repeat this until
// this process catches up.
func (r *decisionRun) decideModel(model string) {
	view := r.snapshot.Rows[model]
	if view.Row.GetDeclarationsRevision() > r.snapshot.Declared.Revision {
		return
	}
	spec, m := r.specs[model], r.rowCache(model)
	if spec != nil && r.isSteady(m, model) {
		r.stable = append(r.stable, &stableModel{spec: spec, view: view, cache: m})
		return
	}
	d := newDraft(model, view)
	r.removeFreed(d)
	r.assessSlots(spec, d)
	if spec == nil {
		r.releaseAll(d)
	} else {
		r.adjustSlots(spec, d)
	}
	r.recordResult(spec, d, view, m)
}

// recordResult adds a decided row to the decision.
func (r *decisionRun) recordResult(spec *ModelSpec, d *draft, view RowView, m *rowCache) {
	switch {
	case d.count(healthReleasing, healthMisplaced, healthLeaving) > 0:
		r.moving++
	case spec != nil && len(d.steps) == 0 && d.count(healthGood) == len(d.slots):
		r.stable = append(r.stable, &stableModel{spec: spec, view: view, cache: m, draft: d})
		r.markSteady(spec, m, d)
	}
	if len(d.steps) > 0 {
		r.decision.Changes = append(r.decision.Changes, d.change(r.snapshot.Declared))
	}
}

// removeFreed removes the slots that are certain to hold nothing: those whose engines confirmed their release and those
// whose hosts are gone. No other slot is ever removed.
func (r *decisionRun) removeFreed(d *draft) {
	releases := r.snapshot.Releases[d.model]
	for _, s := range slices.Clone(d.slots) {
		if hostGone(r.snapshot.Hosts, s.slot) {
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

// releaseAll releases all slots of a model version that is no longer declared.
func (r *decisionRun) releaseAll(d *draft) {
	for _, s := range d.slots {
		if s.health != healthReleasing {
			d.release(s, ReasonUndeclared)
		}
	}
}
