package joined

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"balsamsail/internal/backing"
)

// memoryTable simulates the platform's transactional table in memory.
type memoryTable struct {
	*sim
	revision uint64
	rows     map[string]backing.Row
	// down is set during an outage. If failOneIn is not 0, calls fail with probability 1/failOneIn.
	down      bool
	failOneIn int
	// late are delayed commits whose callers already got ErrOutcomeUnknown.
	late []*lateCommit
	// changed is called for each row that a commit changes.
	changed func(before, after backing.Row)
	faults  int
}

type lateCommit struct {
	txn  backing.Txn
	done bool
}

func newMemoryTable(s *sim) *memoryTable {
	return &memoryTable{sim: s, rows: map[string]backing.Row{}}
}

// tableClient is a process's client of the table. It implements backing.Table.
type tableClient struct {
	*memoryTable
	// cut is set while the process cannot reach the table.
	cut bool
}

// callFails decides whether a call fails. It may first apply a late commit, so that other commits take effect between the
// calls of a process.
func (c *tableClient) callFails() bool {
	if c.failOneIn > 0 && c.oneIn(c.failOneIn) {
		c.runLate()
	}
	if c.down || c.cut || c.failOneIn > 0 && c.oneIn(c.failOneIn) {
		c.faults++
		return true
	}
	return false
}

// Get implements backing.Table.
func (c *tableClient) Get(_ context.Context, key string) (backing.Row, error) {
	if c.callFails() {
		return backing.Row{}, backing.ErrUnavailable
	}
	row, ok := c.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

// List implements backing.Table.
func (c *tableClient) List(_ context.Context, prefix string, after uint64) (backing.Listing, error) {
	if c.callFails() {
		return backing.Listing{}, backing.ErrUnavailable
	}
	listing := backing.Listing{Revision: c.revision}
	for key, row := range c.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			listing.Rows = append(listing.Rows, row)
		}
	}
	slices.SortFunc(listing.Rows, func(a, b backing.Row) int { return cmp.Compare(a.Key, b.Key) })
	return listing, nil
}

// Commit implements backing.Table. A failed commit is rejected, or its outcome is unknown: it has no effect, takes effect
// at once, or takes effect later.
func (c *tableClient) Commit(_ context.Context, txn backing.Txn) (uint64, error) {
	if !c.callFails() {
		return c.commit(txn)
	}
	switch c.random.IntN(5) {
	case 0:
		return 0, backing.ErrRateLimited
	case 1:
		if !c.down && !c.cut {
			_, _ = c.commit(txn)
		}
		return 0, backing.ErrOutcomeUnknown
	case 2:
		late := &lateCommit{txn: txn}
		c.memoryTable.late = append(c.memoryTable.late, late)
		c.after(c.between(0, 8*time.Second), func() { c.applyLate(late) })
		return 0, backing.ErrOutcomeUnknown
	case 3:
		return 0, backing.ErrOutcomeUnknown
	default:
		return 0, backing.ErrUnavailable
	}
}

// runLate applies a random late commit.
func (t *memoryTable) runLate() {
	if len(t.late) > 0 {
		t.applyLate(pick(t.sim, t.late))
	}
}

func (t *memoryTable) applyLate(l *lateCommit) {
	if l.done {
		return
	}
	l.done = true
	t.late = slices.DeleteFunc(t.late, func(other *lateCommit) bool { return other == l })
	_, err := t.commit(l.txn)
	t.logf("late commit: %v", err)
}

func (t *memoryTable) commit(txn backing.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if at := t.rows[c.Key].Revision; at != c.Revision {
			return 0, &backing.ConflictError{Key: c.Key, Revision: at}
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.replace(p.Key, backing.Row{Key: p.Key, Revision: t.revision, Value: p.Value})
	}
	for _, key := range txn.Deletes {
		t.replace(key, backing.Row{})
	}
	return t.revision, nil
}

func (t *memoryTable) replace(key string, after backing.Row) {
	before := t.rows[key]
	t.rows[key] = after
	if after.Key == "" {
		delete(t.rows, key)
	}
	t.changed(before, after)
}
