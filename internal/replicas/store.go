package replicas

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// store keeps the rows as last read from the table. Rows are never changed once they are in it.
type store struct {
	mu       sync.RWMutex
	rows     map[string]storedRow
	byEngine map[string]map[string]struct{}
	// sequence rises with each change.
	sequence uint64
	// read is the table revision up to which all rows have been read.
	read     uint64
	complete bool
	watchers map[chan struct{}]struct{}
}

type storedRow struct {
	view RowView
	// sequence is the store's at the row's last change; a deleted row stays with no row in its view.
	sequence uint64
}

func newStore() *store {
	return &store{
		rows:     map[string]storedRow{},
		byEngine: map[string]map[string]struct{}{},
		watchers: map[chan struct{}]struct{}{},
	}
}

// put takes in a row unless a newer one is known, and reports whether it did.
func (s *store) put(now time.Time, row *replicaspb.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[row.Model].view.Row
	if old != nil && old.Revision >= row.Revision {
		return false
	}
	s.replace(row.Model, RowView{Row: row, Since: now})
	return true
}

// drop forgets a row that the table was seen without, unless a row newer than the given revision is known.
func (s *store) drop(now time.Time, model string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[model].view.Row
	if old == nil || old.Revision > revision {
		return false
	}
	s.replace(model, RowView{Since: now})
	return true
}

func (s *store) replace(model string, view RowView) {
	for _, slot := range s.rows[model].view.Row.GetSlots() {
		delete(s.byEngine[slot.Engine], model)
	}
	s.sequence++
	s.rows[model] = storedRow{view: view, sequence: s.sequence}
	for _, slot := range view.Row.GetSlots() {
		models := s.byEngine[slot.Engine]
		if models == nil {
			models = map[string]struct{}{}
			s.byEngine[slot.Engine] = models
		}
		models[model] = struct{}{}
	}
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// take takes in a listing, of all rows or of those that changed since the last one, and returns the keys of rows that
// cannot be read.
func (s *store) take(now time.Time, listing backing.Listing, full bool) (corrupt []string) {
	listed := make(map[string]struct{}, len(listing.Rows))
	for _, r := range listing.Rows {
		listed[ModelOfKey(r.Key)] = struct{}{}
		row, err := DecodeRow(r)
		if err != nil {
			corrupt = append(corrupt, r.Key)
			continue
		}
		s.put(now, row)
	}
	if full {
		s.dropUnlisted(now, listed, listing.Revision)
	}
	s.readTo(listing.Revision)
	return corrupt
}

// dropUnlisted forgets the rows that a listing of all rows does not have.
func (s *store) dropUnlisted(now time.Time, listed map[string]struct{}, revision uint64) {
	rows, _ := s.views()
	for model := range rows {
		if _, ok := listed[model]; !ok {
			s.drop(now, model, revision)
		}
	}
}

// readTo notes that all rows up to a table revision have been read.
func (s *store) readTo(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = max(s.read, revision)
	s.complete = true
}

// progress returns the table revision up to which all rows have been read, and whether they have been read at all.
func (s *store) progress() (uint64, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.read, s.complete
}

// views returns all rows and the sequence that they are at.
func (s *store) views() (map[string]RowView, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	views := make(map[string]RowView, len(s.rows))
	for model, r := range s.rows {
		if r.view.Row != nil {
			views[model] = r.view
		}
	}
	return views, s.sequence
}

func (s *store) row(model string) *replicaspb.Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rows[model].view.Row
}

func (s *store) at() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// rowsOf returns the rows that name an engine, in the order of their model versions.
func (s *store) rowsOf(engine string) []*replicaspb.Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var rows []*replicaspb.Row
	for _, model := range slices.Sorted(maps.Keys(s.byEngine[engine])) {
		rows = append(rows, s.rows[model].view.Row)
	}
	return rows
}

// since returns the rows that changed after a sequence, the model versions whose rows were deleted after it, and the
// sequence to ask from next.
func (s *store) since(after uint64) (rows []*replicaspb.Row, deleted []string, next uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if after == s.sequence {
		return nil, nil, after
	}
	for model, r := range s.rows {
		switch {
		case r.sequence <= after:
		case r.view.Row == nil:
			deleted = append(deleted, model)
		default:
			rows = append(rows, r.view.Row)
		}
	}
	slices.SortFunc(rows, func(a, b *replicaspb.Row) int { return cmp.Compare(a.Model, b.Model) })
	slices.Sort(deleted)
	return rows, deleted, s.sequence
}

func (s *store) watch() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, c)
	}
}
