package replicas

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// guard names a safety rule that keeps engines from holding more than was decided. The simulation can disable one, to
// show that its checks detect the violations that the rule prevents.
type guard string

const (
	guardNone guard = ""
	// guardConfirmation: a RELEASING slot is removed from the row only after its engine has confirmed.
	guardConfirmation guard = "confirmation"
	// guardConfirmedRevision: a confirmation of an older release is ignored.
	guardConfirmedRevision guard = "confirmed revision"
	// guardReleasingCounts: RELEASING slots count against the maximum.
	guardReleasingCounts guard = "releasing counts"
	// guardCondition: a write is conditional on the row that it was decided from.
	guardCondition guard = "condition on the row"
	// guardHead: a write is conditional on the declarations that it was decided from.
	guardHead guard = "condition on the declarations"
	// guardUnlisted: a host that is not listed yet is not gone.
	guardUnlisted guard = "not listed yet"
	// guardHostInSlot: a slot belongs to the engine on its host, not to any engine of that name.
	guardHostInSlot guard = "host in the slot"
	// guardRowsFirst: a restarted agent waits for its predecessor's orders and reads the rows from the table before it
	// acts.
	guardRowsFirst guard = "rows first"
	// guardRowsFloor: after that read, rows at older revisions are ignored.
	guardRowsFloor guard = "rows floor"
)

// decide runs a decision with the guard disabled.
func (g guard) decide(d *Decider, now time.Time, s *Snapshot) []Change {
	switch g {
	case guardConfirmation:
		s.Releases = confirmAll(s, false)
	case guardConfirmedRevision:
		s.Releases = confirmAll(s, true)
	case guardReleasingCounts:
		return decideUncounted(d, now, s)
	case guardHead:
		s.Declared.Head = backing.Condition{}
	case guardUnlisted:
		s.Hosts = unlistedAreGone(s)
	}
	changes := d.Decide(now, s).Changes
	if g == guardCondition {
		for i := range changes {
			changes[i].Expected = unconditional
		}
	}
	return changes
}

// unconditional marks a change whose condition always holds; the simulation replaces it by the row's current revision.
const unconditional = math.MaxUint64

// confirmAll returns forged confirmations of all RELEASING slots, or only of those whose engines have confirmed some
// revision before.
func confirmAll(s *Snapshot, onlyEver bool) map[string]map[Holder]uint64 {
	forged := map[string]map[Holder]uint64{}
	for model, view := range s.Rows {
		forged[model] = map[Holder]uint64{}
		for _, slot := range view.Row.Slots {
			holder := Holder{Engine: slot.Engine, Host: slot.Host}
			if !onlyEver || s.Releases[model][holder] > 0 {
				forged[model][holder] = math.MaxUint64
			}
		}
	}
	return forged
}

// decideUncounted decides as if RELEASING slots were not in the rows, and adds them back to the changed rows.
func decideUncounted(d *Decider, now time.Time, s *Snapshot) []Change {
	hidden := map[string][]*replicaspb.Slot{}
	for model, view := range s.Rows {
		row := proto.CloneOf(view.Row)
		row.Slots = nil
		for _, slot := range view.Row.Slots {
			if slot.State == replicaspb.SlotState_RELEASING {
				hidden[model] = append(hidden[model], slot)
				continue
			}
			row.Slots = append(row.Slots, slot)
		}
		s.Rows[model] = RowView{Row: row, Since: view.Since}
	}
	changes := d.Decide(now, s).Changes
	for i := range changes {
		for _, slot := range hidden[changes[i].Model] {
			if SlotOf(changes[i].Next, slot.Engine, slot.Host) == nil {
				changes[i].Next.Slots = append(changes[i].Next.Slots, slot)
			}
		}
	}
	return changes
}

// unlistedAreGone returns a host list in which every unlisted host is gone.
func unlistedAreGone(s *Snapshot) HostsView {
	view := HostsView{Version: s.Hosts.Version, States: map[string]backing.HostState{}}
	for host, state := range s.Hosts.States {
		view.States[host] = state
	}
	for _, row := range s.Rows {
		for _, slot := range row.Row.Slots {
			if _, listed := view.States[slot.Host]; !listed {
				view.States[slot.Host] = backing.HostGone
			}
		}
	}
	return view
}
