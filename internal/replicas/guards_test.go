package replicas

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// guard names one of the rules that keep engines from holding more than was decided. The world can leave one out, to
// show that its checks see what the rule prevents.
type guard string

const (
	guardNone guard = ""
	// guardConfirmation: a RELEASING slot leaves the row only when its engine has confirmed.
	guardConfirmation guard = "confirmation"
	// guardConfirmedRevision: a confirmation of an older release does not count.
	guardConfirmedRevision guard = "confirmed revision"
	// guardReleasingCounts: RELEASING slots count against the maximum.
	guardReleasingCounts guard = "releasing counts"
	// guardCondition: a write needs the row to be the one that it was decided from.
	guardCondition guard = "condition on the row"
	// guardHead: a write needs the declarations to be those that it was decided from.
	guardHead guard = "condition on the declarations"
	// guardUnlisted: a host that is not listed yet is not gone.
	guardUnlisted guard = "not listed yet"
	// guardHostInSlot: a slot belongs to the engine on its host, not to any engine of that name.
	guardHostInSlot guard = "host in the slot"
	// guardRowsFirst: a restarted agent waits for its predecessor's orders and reads the rows from the table.
	guardRowsFirst guard = "rows first"
	// guardRowsFloor: after that read, rows at older revisions do not count.
	guardRowsFloor guard = "rows floor"
)

// decide runs a decision with the guard left out.
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

// unconditional stands for a condition that always holds; the world fills in the revision that the row has.
const unconditional = math.MaxUint64

// confirmAll makes confirmations of all RELEASING slots, or only of those whose engines ever confirmed any revision.
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

// decideUncounted decides as if RELEASING slots were not in the rows, and puts them back into the changed rows.
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

// unlistedAreGone counts every host that the list does not name as gone.
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
