package replicas

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/replicas/replicaspb"
)

// health is what the decision makes of a slot. The order is that in which slots are given up: the last first.
type health int

const (
	// healthGood: the engine may and can serve.
	healthGood health = iota
	// healthFailing: the engine has failed to serve the model version for long.
	healthFailing
	// healthSilent: the engine has not answered for long; it may be alive and hold a replica.
	healthSilent
	// healthMisplaced: the engine may not hold the model version any more, but does serve.
	healthMisplaced
	// healthLeaving: the engine takes no new work.
	healthLeaving
	// healthReleasing: the slot is RELEASING.
	healthReleasing
)

// slotDraft is one slot of a row that is being decided.
type slotDraft struct {
	slot *replicaspb.Slot
	// before is the slot as it is in the row; nil for a new one.
	before *replicaspb.Slot
	engine int
	health health
	reason Reason
	loaded bool
	// quiet says that the holder cannot be expected to confirm a release soon.
	quiet bool
}

// draft is a row that is being decided.
type draft struct {
	model string
	row   *replicaspb.Row
	since time.Time
	slots []*slotDraft
	steps []Step
}

// newDraft copies a row's slots; a missing row has none.
func newDraft(model string, view RowView) *draft {
	d := &draft{model: model, row: view.Row, since: view.Since}
	slots := view.Row.GetSlots()
	drafts := make([]slotDraft, len(slots))
	d.slots = make([]*slotDraft, len(slots), len(slots)+1)
	for i, s := range slots {
		drafts[i] = slotDraft{slot: s, before: s, engine: -1}
		d.slots[i] = &drafts[i]
	}
	return d
}

func (d *draft) step(action Action, engine string, reason Reason) {
	d.steps = append(d.steps, Step{Action: action, Engine: engine, Reason: reason})
}

// remove drops a slot from the row.
func (d *draft) remove(s *slotDraft, reason Reason) {
	d.slots = slices.DeleteFunc(d.slots, func(o *slotDraft) bool { return o == s })
	d.step(Remove, s.slot.Engine, reason)
}

// release makes a slot RELEASING.
func (d *draft) release(s *slotDraft, reason Reason) {
	s.slot = proto.CloneOf(s.slot)
	s.slot.State = replicaspb.SlotState_RELEASING
	s.slot.ReleasingRevision = 0
	s.health = healthReleasing
	d.step(StartRelease, s.slot.Engine, reason)
}

// grant adds a slot, before the first one that it may stand in for, because callers are sent to the first slot first.
func (d *draft) grant(e *EngineView, engine int, hosts HostsView, reason Reason) {
	slot := &replicaspb.Slot{
		Engine:        e.Name,
		State:         replicaspb.SlotState_GRANTED,
		FailureDomain: e.FailureDomain,
		Host:          e.Host,
		HostsVersion:  hosts.Version,
	}
	at := slices.IndexFunc(d.slots, func(s *slotDraft) bool {
		return s.health != healthGood && s.health != healthReleasing
	})
	if at < 0 {
		at = len(d.slots)
	}
	d.slots = slices.Insert(d.slots, at, &slotDraft{slot: slot, engine: engine, health: healthGood})
	d.step(Grant, e.Name, reason)
}

// count returns how many slots are of one of the given healths.
func (d *draft) count(of ...health) int {
	n := 0
	for _, s := range d.slots {
		if slices.Contains(of, s.health) {
			n++
		}
	}
	return n
}

// change returns the change that the draft amounts to.
func (d *draft) change(declared Declared) Change {
	next := &replicaspb.Row{
		Model:                d.model,
		DeclarationsRevision: max(declared.Revision, d.row.GetDeclarationsRevision()),
	}
	for _, s := range d.slots {
		next.Slots = append(next.Slots, d.stamp(s))
	}
	return Change{
		Model:    d.model,
		Next:     next,
		Expected: d.row.GetRevision(),
		Head:     declared.Head,
		Steps:    d.steps,
	}
}

// stamp fills in what only a later write can know of a slot: the revision at which it became RELEASING.
func (d *draft) stamp(s *slotDraft) *replicaspb.Slot {
	if s.before.GetState() != replicaspb.SlotState_RELEASING || s.slot.ReleasingRevision > 0 {
		return s.slot
	}
	slot := proto.CloneOf(s.slot)
	slot.ReleasingRevision = d.row.Revision
	return slot
}

// gone reports whether the host of a slot is known to be gone.
func gone(hosts HostsView, s *replicaspb.Slot) bool { return hosts.Gone(s.Host, s.HostsVersion) }
