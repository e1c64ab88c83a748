package declarations

// HeadKey is the key of the table's row that names the newest revision. Other slices make their writes conditional on
// it, so that none that was decided under older declarations commits after an edit was accepted.
const HeadKey = headKey

// Declared returns the newest set with the table revision of the head's row that names it; false while the set that is
// held is not the one that the row last read names.
func (s *Store) Declared() (*Set, uint64, bool) {
	s.mu.Lock()
	row, revision, seen := s.headRow, s.headRevision, s.seen
	s.mu.Unlock()
	set := s.Current()
	return set, row, seen && set.Revision() == revision
}
