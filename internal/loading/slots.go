package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
)

// rowsInterval is the minimum time between two reads of the table, each of which writes to it.
const rowsInterval = 5 * time.Second

// grant is the known state of the engine's slot in one model version's row.
type grant struct {
	// row is the newest row; nil if a read of the table showed that the row does not name the engine.
	row *replicaspb.Row
	// slot is the engine's own slot in row; nil if it has none.
	slot *replicaspb.Slot
	// revision is the table revision at which slot was current.
	revision uint64
	// confirmDue is set if a release must be confirmed as soon as the engine does not hold the model version.
	confirmDue bool
}

// slotTable holds the newest known rows.
//
// Rows come from the table and, late and out of order, from peers. A row only replaces an older one. A read of the
// table is complete up to its revision, so pushed rows that are not newer are ignored. Before the first read a pushed
// row may be older than a release that a previous agent confirmed, and loading under it would exceed the decided
// replica count, so nothing is loaded until then.
type slotTable struct {
	grants map[string]*grant
	// read is set once the table was read; revision is that of the newest read.
	read     bool
	revision uint64
	// readPending is set while a read is outstanding; nextReadAt is the earliest time of the next one.
	readPending bool
	nextReadAt  time.Time
}

// slotStatus is the known status of the engine's slot for a model version.
type slotStatus int

const (
	// slotUnknown: the table was not read and no row was pushed.
	slotUnknown slotStatus = iota
	slotGranted
	// slotLost: RELEASING, or not in the row.
	slotLost
)

func (t *slotTable) grant(model string) *grant {
	g := t.grants[model]
	if g == nil {
		g = &grant{}
		t.grants[model] = g
	}
	return g
}

// status returns the status of the slot for a model version.
func (t *slotTable) status(model string) slotStatus {
	g := t.grants[model]
	switch {
	case g != nil && g.slot.GetState() == replicaspb.SlotState_GRANTED:
		return slotGranted
	case g != nil && g.revision > 0 || t.read:
		return slotLost
	default:
		return slotUnknown
	}
}

// rowSeen handles a row. fromTable is set if it was read from the table itself.
//
// A release is confirmed at the newest known revision, and no row up to that is accepted afterwards, so nothing is
// loaded under a revision whose release was confirmed.
func (m *Machine) rowSeen(row *replicaspb.Row, fromTable bool) {
	m.fence.observeRevision(row.Revision)
	g := m.slots.grant(row.Model)
	switch {
	case row.Revision == g.revision && g.row != nil:
		m.repeatConfirmation(g)
	case row.Revision <= g.revision:
	case !fromTable && m.slots.read && row.Revision <= m.slots.revision:
	default:
		m.acceptRow(g, row)
	}
	m.markDirty(m.replica(row.Model))
}

// repeatConfirmation schedules another confirmation of a release, as the first one may have been lost.
func (m *Machine) repeatConfirmation(g *grant) {
	g.confirmDue = g.confirmDue || g.slot.GetState() == replicaspb.SlotState_RELEASING
}

// acceptRow makes a row the newest known one.
func (m *Machine) acceptRow(g *grant, row *replicaspb.Row) {
	g.row = row
	g.slot = replicas.SlotOf(row, m.options.Engine, m.options.Host)
	g.revision = row.Revision
	g.confirmDue = g.slot.GetState() == replicaspb.SlotState_RELEASING
}

// rowsRead handles a read of the table. Reads may arrive out of order.
func (m *Machine) rowsRead(e RowsRead) {
	m.slots.readPending = false
	m.fence.observeRevision(e.Revision)
	if m.slots.read && e.Revision < m.slots.revision {
		return
	}
	named := make(map[string]bool, len(e.Rows))
	for _, row := range e.Rows {
		named[row.Model] = true
		m.rowSeen(row, true)
	}
	m.slots.read = true
	m.slots.revision = max(m.slots.revision, e.Revision)
	for model, g := range m.slots.grants {
		if !named[model] && g.revision <= e.Revision {
			g.row = nil
			g.slot = nil
			g.revision = e.Revision
			g.confirmDue = false
		}
	}
	m.markAllDirty()
}

// granted reports whether the engine has a GRANTED slot for a model version.
func (m *Machine) granted(r *replica) bool { return m.slots.status(r.model) == slotGranted }

// warm reports whether a replica stays loaded while idle.
func (m *Machine) warm(r *replica) bool {
	spec, ok := m.models[r.model]
	g := m.slots.grants[r.model]
	return ok && g != nil && g.slot != nil &&
		replicas.Warm(g.row, m.options.Engine, m.options.Host, spec.WarmReplicas)
}

// Rows returns the rows that name the engine, sorted by model version.
func (m *Machine) Rows() []*replicaspb.Row {
	rows := []*replicaspb.Row{}
	for _, g := range m.slots.grants {
		if g.slot != nil {
			rows = append(rows, g.row)
		}
	}
	slices.SortFunc(rows, func(a, b *replicaspb.Row) int { return cmp.Compare(a.Model, b.Model) })
	return rows
}

// sortedKeys returns the sorted keys of a map, to make the machine's actions deterministic.
func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
