package declarations

// HeadKey is the key of the head row, which names the newest revision in the table. Other packages make their writes
// conditional on this row, so that a write decided on older declarations cannot commit after an edit was accepted.
const HeadKey = headKey

// CurrentWithHeadRow returns the current set and the table revision of the head row that names it. It returns false
// before the first read, and while the head row last read names a revision other than the current set's.
func (s *Store) CurrentWithHeadRow() (*Set, uint64, bool) {
	s.mu.Lock()
	headRowRevision, revision, synced := s.headRowRevision, s.headRevision, s.synced
	s.mu.Unlock()
	set := s.Current()
	return set, headRowRevision, synced && set.Revision() == revision
}
