package watch

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Replica is a process's copy of a table. It is fed by a watch of the store, by another process's replica, or by both at
// the same time: what it already has is dropped. Its methods may be called concurrently.
type Replica struct {
	// table is the name of the table.
	table string

	mu   sync.Mutex
	sink Sink
	// known is set once the whole table has been received; rows are those at revision.
	known    bool
	rows     map[string]Row
	revision int64
	// rowsRevision is the revision that the rows have not changed since. Other tables change in between: a replica that has
	// reached it has all rows of this one.
	rowsRevision int64
	// confirmedAt is when the store is known to have had no later changes, and down is set while it is unavailable.
	confirmedAt time.Time
	down        bool
	onChange    func(Change)
	// isUsable reports whether a row can be used; nil if all can.
	isUsable func(Row) bool
}

// maxUnusableBytes is the length up to which the values of rows that cannot be used are kept and passed on. The rows of a table go to
// other processes in one message, whose length is bounded.
const maxUnusableBytes = 1 << 10

// Change is a change of a replica, to be applied to replicas in other processes.
type Change struct {
	Table string
	// Replace is set if Rows is the whole table.
	Replace bool
	Rows    []Row
	// Base is the revision that the changed rows follow, and Revision the one that they lead to.
	Base, Revision int64
	// ConfirmedAt is when the store is known to have had no later changes.
	ConfirmedAt time.Time
	// Unavailable is set while the store is unavailable to the sender.
	Unavailable bool
}

// NewReplica returns an empty replica of a table that passes what it receives to a sink.
func NewReplica(table string, sink Sink) *Replica {
	return &Replica{table: table, sink: sink, rows: make(map[string]Row)}
}

// Table returns the name of the table.
func (r *Replica) Table() string { return r.table }

// OnChange sets a function that is called, with the lock held, with each change. Call OnChange before the first change.
func (r *Replica) OnChange(call func(Change)) { r.onChange = call }

// OmitUnusable sets a function that reports whether a row can be used. The long values of others reach the sink, but are neither kept nor
// passed on. Call OmitUnusable before the first change.
func (r *Replica) OmitUnusable(isUsable func(Row) bool) { r.isUsable = isUsable }

// kept returns rows as they are kept and passed on.
func (r *Replica) kept(rows []Row) []Row {
	list := slices.Clone(rows)
	for i, row := range list {
		if r.isUsable != nil && len(row.Value) > maxUnusableBytes && !r.isUsable(row) {
			list[i].Value = nil
		}
	}
	return list
}

// Snapshot returns the whole table as a change, and whether it is known.
func (r *Replica) Snapshot() (Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change(true, slices.Collect(maps.Values(r.rows)), 0), r.known
}

// Status returns a change without rows: the replica's revision, and when that was confirmed.
func (r *Replica) Status() (Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change(false, nil, r.rowsRevision), r.known
}

func (r *Replica) change(replace bool, rows []Row, base int64) Change {
	return Change{Table: r.table, Replace: replace, Rows: rows, Base: base, Revision: r.revision, ConfirmedAt: r.confirmedAt, Unavailable: r.down}
}

// ConfirmedAt returns when the replica was last known to have all changes.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// position returns the revision from which a watch can continue, and whether there is one.
func (r *Replica) position() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.known
}

// Apply applies a change that another source has sent. It ignores what is older than the replica, and a change that does
// not follow the replica's revision: a gap is closed by the next whole table or by a watch of the store. It reports whether
// the replica has everything up to the change.
func (r *Replica) Apply(c Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case c.Replace && (!r.known || c.Revision >= r.revision):
		r.setAvailable(c)
		r.replace(c)
	case !c.Replace && r.known && c.Base <= r.revision:
		r.setAvailable(c)
		r.applyRows(c)
	}
	return r.known && c.Revision <= r.revision
}

// setAvailable passes on whether the store is available. This comes before the rows: registrations that lapsed in an
// outage are to be known as such when they are removed. Only a later confirmation ends an outage. The caller holds mu.
func (r *Replica) setAvailable(c Change) {
	switch {
	case c.Unavailable && !r.down && !c.ConfirmedAt.Before(r.confirmedAt):
		r.setDown(nil)
	case !c.Unavailable && r.down && c.ConfirmedAt.After(r.confirmedAt):
		r.down = false
		r.sink.Available()
		r.notify(r.change(false, nil, r.rowsRevision))
	}
}

func (r *Replica) replace(c Change) {
	r.known, r.revision, r.rowsRevision = true, c.Revision, c.Revision
	r.confirmedAt = later(r.confirmedAt, c.ConfirmedAt)
	clear(r.rows)
	rows := r.kept(c.Rows)
	for _, row := range rows {
		r.rows[row.Key] = row
	}
	r.sink.Replace(c.Rows)
	r.notify(r.change(true, rows, 0))
}

func (r *Replica) applyRows(c Change) {
	base, rowsBase := r.revision, r.rowsRevision
	if c.Revision >= r.revision {
		r.confirmedAt = later(r.confirmedAt, c.ConfirmedAt)
	}
	var rows []Row
	for _, row := range c.Rows {
		if row.Revision <= base {
			continue
		}
		rows = append(rows, row)
	}
	kept := r.kept(rows)
	for _, row := range kept {
		if row.Deleted {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = row
		}
	}
	r.revision = max(r.revision, c.Revision)
	if len(rows) > 0 {
		r.rowsRevision = r.revision
		r.sink.Apply(rows)
		r.notify(r.change(false, newestVersions(kept), rowsBase))
	}
}

// newestVersions returns the last version of each row. Other replicas need the state, not its history: with it, a hub that
// catches up with the store would send a message that grows with the outage and that its gateways reject.
func newestVersions(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Key] = i
	}
	newest := make([]Row, 0, len(last))
	for i, row := range rows {
		if last[row.Key] == i {
			newest = append(newest, row)
		}
	}
	return newest
}

// setUnavailable records that the store does not answer this process.
func (r *Replica) setUnavailable(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		r.setDown(err)
	}
}

// setDown passes on that the store is unavailable. The caller holds mu.
func (r *Replica) setDown(err error) {
	r.down = true
	r.sink.Unavailable(err)
	r.notify(r.change(false, nil, r.rowsRevision))
}

func (r *Replica) notify(c Change) {
	if r.onChange != nil {
		r.onChange(c)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
