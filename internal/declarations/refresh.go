package declarations

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// refresh brings the store to the table's newest revision and returns what the table holds.
func (s *Store) refresh(ctx context.Context) (viewRead, error) {
	if err := s.refreshing.Acquire(ctx, 1); err != nil {
		return viewRead{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer s.refreshing.Release(1)
	view, err := s.read(ctx)
	s.noteRead(err)
	return view, err
}

func (s *Store) noteRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.metrics.polls.WithLabelValues(resultFailed).Inc()
		if s.outageSince.IsZero() {
			s.outageSince = s.clock.Now()
		}
		return
	}
	s.metrics.polls.WithLabelValues(resultOK).Inc()
	s.outageSince, s.seen = time.Time{}, true
}

// maxReadAttempts bounds the reads that follow each other because edits are made meanwhile.
const maxReadAttempts = 5

func (s *Store) read(ctx context.Context) (viewRead, error) {
	for range maxReadAttempts {
		if err := s.readOnce(ctx); err != nil {
			return viewRead{}, err
		}
		set, history := s.holder.view()
		s.mu.Lock()
		view := viewRead{set: set, history: history, headRow: s.headRow}
		current := set.revision == s.headRevision
		s.mu.Unlock()
		if current {
			return view, nil
		}
	}
	return viewRead{}, errors.Wrap(ErrUnavailable, "the table is behind what is held")
}

// readOnce reads the head, and what has changed since the last time if it differs.
func (s *Store) readOnce(ctx context.Context) error {
	// Taken before the read: an own edit that commits meanwhile would make the answer look older than what is known.
	s.mu.Lock()
	known, seen := s.headRow, s.seen
	s.mu.Unlock()
	row, err := s.table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if seen && row.Revision == known {
		return nil
	}
	if row.Revision < known {
		// A table that lost rows would otherwise make the system go on with what it holds and refuse every edit without
		// a word.
		return errors.Wrapf(ErrUnavailable, "the table went back from row revision %d to %d", known, row.Revision)
	}
	err = s.fetch(ctx, known)
	if errors.Is(err, ErrGap) {
		// The log was trimmed beyond what is held: read everything.
		err = s.fetch(ctx, 0)
	}
	return err
}

// fetch reads all rows that were written after a table revision, in one call and so as of one revision, and adopts them.
func (s *Store) fetch(ctx context.Context, after uint64) error {
	listing, err := s.table.List(ctx, tablePrefix, after)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	content, err := decodeContent(listing.Rows)
	if err != nil {
		return err
	}
	if err := s.adoptContent(content, after == 0); err != nil {
		return err
	}
	s.noteHead(content.headRow, content.head.GetRevision())
	return nil
}

// noteHead notes the head's row once all that was written up to it is held. Reads may end out of order; the row only
// moves forward.
func (s *Store) noteHead(row, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row > s.headRow {
		s.headRow, s.headRevision = row, revision
	}
}

// adoptContent takes in what was read. The log is kept also where a peer was faster with the declarations themselves: it
// tells which operations were made, and without it an edit that a client repeats would be made twice.
func (s *Store) adoptContent(content *tableContent, whole bool) error {
	if err := s.adoptNewer(content, whole); err != nil {
		return err
	}
	s.holder.fill(content.log)
	return nil
}

func (s *Store) adoptNewer(content *tableContent, whole bool) error {
	if content.head.GetRevision() <= s.Current().Revision() {
		return nil
	}
	if !whole {
		return s.applyAll(content.log)
	}
	set, err := NewSet(&pb.Snapshot{Revision: content.head.GetRevision(), Objects: content.objects})
	if err != nil {
		return err
	}
	return s.adopt(set)
}
