package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
)

// rowsInterval is the least time between two reads of the table: each writes to it.
const rowsInterval = 5 * time.Second

// grant is what the machine knows of its slot in one model version's row.
type grant struct {
	// row is the newest row seen; nil when a read of the table showed that the row does not name the engine.
	row *replicaspb.Row
	// slot is the engine's own slot in row; nil when it has none.
	slot *replicaspb.Slot
	// revision is the table revision as of which slot is known.
	revision uint64
	// owed is set when a confirmation is due as soon as the engine holds nothing.
	owed bool
}

// slotBook holds the rows.
//
// Rows come from the table and, late and out of order, from peers. A row only ever replaces an older one; and after a
// read of the table, rows up to its revision are known whole, so a pushed row that is not newer is ignored. Without the
// first read a pushed row may be older than a release that a predecessor of this agent confirmed; loading under it would
// make one replica more than was decided. So until then nothing is loaded.
type slotBook struct {
	grants map[string]*grant
	// read is set once the table was read, as of revision.
	read     bool
	revision uint64
	// asked is set while a read is outstanding; askAt is when the next one may be asked for.
	asked bool
	askAt time.Time
}

// slotKnowledge is what the machine knows of its slot for a model version.
type slotKnowledge int

const (
	// slotUnknown: the table was not read and no row was pushed.
	slotUnknown slotKnowledge = iota
	slotGranted
	// slotLost: RELEASING, or not in the row.
	slotLost
)

func (b *slotBook) grant(model string) *grant {
	g := b.grants[model]
	if g == nil {
		g = &grant{}
		b.grants[model] = g
	}
	return g
}

// knowledge returns what is known of the slot for a model version.
func (b *slotBook) knowledge(model string) slotKnowledge {
	g := b.grants[model]
	switch {
	case g != nil && g.slot.GetState() == replicaspb.SlotState_GRANTED:
		return slotGranted
	case g != nil && g.revision > 0 || b.read:
		return slotLost
	default:
		return slotUnknown
	}
}

// rowSeen takes in a row. fromTable says that it was read from the table itself.
//
// A release is confirmed for the newest revision known, and no row up to that is ever accepted again: so nothing is
// loaded under a revision for which a release was confirmed.
func (m *Machine) rowSeen(row *replicaspb.Row, fromTable bool) {
	m.fence.observeRevision(row.Revision)
	g := m.slots.grant(row.Model)
	switch {
	case row.Revision == g.revision && g.row != nil:
		m.seenAgain(g)
	case row.Revision <= g.revision:
	case !fromTable && m.slots.read && row.Revision <= m.slots.revision:
	default:
		m.acceptRow(g, row)
	}
	m.touch(m.replica(row.Model))
}

// seenAgain repeats the confirmation of a release: the first one may have been lost on its way.
func (m *Machine) seenAgain(g *grant) {
	g.owed = g.owed || g.slot.GetState() == replicaspb.SlotState_RELEASING
}

// acceptRow makes a row the newest one known.
func (m *Machine) acceptRow(g *grant, row *replicaspb.Row) {
	g.row = row
	g.slot = replicas.SlotOf(row, m.options.Engine, m.options.Host)
	g.revision = row.Revision
	g.owed = g.slot.GetState() == replicaspb.SlotState_RELEASING
}

// rowsRead takes in a read of the table. Reads may come out of order.
func (m *Machine) rowsRead(e RowsRead) {
	m.slots.asked = false
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
			g.owed = false
		}
	}
	m.touchAll()
}

// granted reports whether the engine has a GRANTED slot for a model version.
func (m *Machine) granted(r *replica) bool { return m.slots.knowledge(r.model) == slotGranted }

// warm reports whether a replica stays loaded while idle.
func (m *Machine) warm(r *replica) bool {
	spec, ok := m.models[r.model]
	g := m.slots.grants[r.model]
	return ok && g != nil && g.slot != nil &&
		replicas.Warm(g.row, m.options.Engine, m.options.Host, spec.WarmReplicas)
}

// Rows returns the rows that name the engine, in the order of their model versions.
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

// sortedKeys returns a map's keys in order, so that the machine's actions do not depend on a map's order.
func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
