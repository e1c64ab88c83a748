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

// rowStore caches the rows as last read from the table. Stored rows are never modified.
type rowStore struct {
	mu       sync.RWMutex
	rows     map[string]storedRow
	byEngine map[string]map[string]struct{}
	// sequence increases with each change.
	sequence uint64
	// readRevision is the table revision up to which all rows have been read.
	readRevision uint64
	complete     bool
	watchers     map[chan struct{}]struct{}
}

type storedRow struct {
	view RowView
	// sequence is the store's sequence number at the row's last change. A deleted row is kept with a nil Row in its
	// view.
	sequence uint64
}

func newRowStore() *rowStore {
	return &rowStore{
		rows:     map[string]storedRow{},
		byEngine: map[string]map[string]struct{}{},
		watchers: map[chan struct{}]struct{}{},
	}
}

// put stores a row unless a newer one is stored, and reports whether it did.
func (s *rowStore) put(now time.Time, row *replicaspb.Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[row.Model].view.Row
	if old != nil && old.Revision >= row.Revision {
		return false
	}
	s.replace(row.Model, RowView{Row: row, Since: now})
	return true
}

// drop removes a row that is missing from the table, unless a row newer than the given revision is stored.
func (s *rowStore) drop(now time.Time, model string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rows[model].view.Row
	if old == nil || old.Revision > revision {
		return false
	}
	s.replace(model, RowView{Since: now})
	return true
}

func (s *rowStore) replace(model string, view RowView) {
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

// applyListing applies a listing of all rows, or of those that changed since the last one, and returns the keys of the
// rows that cannot be decoded.
func (s *rowStore) applyListing(now time.Time, listing backing.Listing, full bool) (corrupt []string) {
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
	s.advance(listing.Revision)
	return corrupt
}

// dropUnlisted removes the rows that are missing from a listing of all rows.
func (s *rowStore) dropUnlisted(now time.Time, listed map[string]struct{}, revision uint64) {
	rows, _ := s.views()
	for model := range rows {
		if _, ok := listed[model]; !ok {
			s.drop(now, model, revision)
		}
	}
}

// advance records that all rows up to a table revision have been read.
func (s *rowStore) advance(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRevision = max(s.readRevision, revision)
	s.complete = true
}

// progress returns the table revision up to which all rows have been read, and whether all rows have been read at least
// once.
func (s *rowStore) progress() (uint64, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readRevision, s.complete
}

// views returns all rows and the current sequence number.
func (s *rowStore) views() (map[string]RowView, uint64) {
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

func (s *rowStore) row(model string) *replicaspb.Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rows[model].view.Row
}

func (s *rowStore) currentSequence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// rowsOf returns the rows that contain a slot of an engine, ordered by model version.
func (s *rowStore) rowsOf(engine string) []*replicaspb.Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var rows []*replicaspb.Row
	for _, model := range slices.Sorted(maps.Keys(s.byEngine[engine])) {
		rows = append(rows, s.rows[model].view.Row)
	}
	return rows
}

// since returns the rows that changed after a sequence number, the model versions whose rows were deleted after it, and
// the sequence number for the next call.
func (s *rowStore) since(after uint64) (rows []*replicaspb.Row, deleted []string, next uint64) {
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

func (s *rowStore) watch() (<-chan struct{}, func()) {
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
