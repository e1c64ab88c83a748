package replicas

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/replicas/replicaspb"
)

// health is the decision's assessment of a slot. Slots with higher values are released first.
type health int

const (
	// healthGood: the engine is allowed to serve and able to.
	healthGood health = iota
	// healthFailing: the engine has failed to serve the model version for at least FailingAfter.
	healthFailing
	// healthUnreachable: the engine has been unreachable for at least UnreachableAfter; it may be alive and hold a
	// replica.
	healthUnreachable
	// healthMisplaced: the engine may no longer hold the model version, but still serves.
	healthMisplaced
	// healthLeaving: the engine takes no new work.
	healthLeaving
	// healthReleasing: the slot is RELEASING.
	healthReleasing
)

// slotDraft is a slot of a draft.
type slotDraft struct {
	slot *replicaspb.Slot
	// original is the slot as stored in the row; nil for a new one.
	original *replicaspb.Slot
	engine   int
	health   health
	reason   Reason
	loaded   bool
	// unreachable is set if the engine has been unreachable for at least UnreachableAfter or is unknown, so that it is
	// not expected to confirm a release soon.
	unreachable bool
}

// draft is a modified copy of a row, before it becomes a Change.
type draft struct {
	model string
	row   *replicaspb.Row
	since time.Time
	slots []*slotDraft
	steps []Step
}

// newDraft returns a draft with a copy of a row's slots, or with none if there is no row.
func newDraft(model string, view RowView) *draft {
	d := &draft{model: model, row: view.Row, since: view.Since}
	slots := view.Row.GetSlots()
	drafts := make([]slotDraft, len(slots))
	d.slots = make([]*slotDraft, len(slots), len(slots)+1)
	for i, s := range slots {
		drafts[i] = slotDraft{slot: s, original: s, engine: -1}
		d.slots[i] = &drafts[i]
	}
	return d
}

func (d *draft) addStep(action Action, engine string, reason Reason) {
	d.steps = append(d.steps, Step{Action: action, Engine: engine, Reason: reason})
}

// remove removes a slot from the row.
func (d *draft) remove(s *slotDraft, reason Reason) {
	d.slots = slices.DeleteFunc(d.slots, func(o *slotDraft) bool { return o == s })
	d.addStep(Remove, s.slot.Engine, reason)
}

// release sets a slot to RELEASING.
func (d *draft) release(s *slotDraft, reason Reason) {
	s.slot = proto.CloneOf(s.slot)
	s.slot.State = replicaspb.SlotState_RELEASING
	s.slot.ReleasingRevision = 0
	s.health = healthReleasing
	d.addStep(StartRelease, s.slot.Engine, reason)
}

// grant adds a slot. It is inserted before the first slot that it may replace, because requests are sent to the slots
// in row order.
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
	d.addStep(Grant, e.Name, reason)
}

// count returns the number of slots with one of the given health values.
func (d *draft) count(of ...health) int {
	n := 0
	for _, s := range d.slots {
		if slices.Contains(of, s.health) {
			n++
		}
	}
	return n
}

// change returns the draft as a Change.
func (d *draft) change(declared Declared) Change {
	next := &replicaspb.Row{
		Model:                d.model,
		DeclarationsRevision: max(declared.Revision, d.row.GetDeclarationsRevision()),
	}
	for _, s := range d.slots {
		next.Slots = append(next.Slots, d.withReleasingRevision(s))
	}
	return Change{
		Model:    d.model,
		Next:     next,
		Expected: d.row.GetRevision(),
		Head:     declared.Head,
		Steps:    d.steps,
	}
}

// withReleasingRevision sets the revision at which a slot became RELEASING. It is set by the next write of the row,
// because the revision of a write is not known before its commit.
func (d *draft) withReleasingRevision(s *slotDraft) *replicaspb.Slot {
	if s.original.GetState() != replicaspb.SlotState_RELEASING || s.slot.ReleasingRevision > 0 {
		return s.slot
	}
	slot := proto.CloneOf(s.slot)
	slot.ReleasingRevision = d.row.Revision
	return slot
}

// hostGone reports whether the host of a slot is known to be gone.
func hostGone(hosts HostsView, s *replicaspb.Slot) bool { return hosts.Gone(s.Host, s.HostsVersion) }
