package declarations

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// refresh updates the store to the table's newest revision and returns the table's state.
func (s *Store) refresh(ctx context.Context) (viewRead, error) {
	if err := s.refreshSem.Acquire(ctx, 1); err != nil {
		return viewRead{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer s.refreshSem.Release(1)
	view, err := s.read(ctx)
	s.recordRead(err)
	return view, err
}

func (s *Store) recordRead(err error) {
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
	s.outageSince, s.synced = time.Time{}, true
}

// maxReadAttempts limits the reads that are repeated because edits commit in between.
const maxReadAttempts = 5

func (s *Store) read(ctx context.Context) (viewRead, error) {
	for range maxReadAttempts {
		if err := s.readOnce(ctx); err != nil {
			return viewRead{}, err
		}
		set, history := s.holder.view()
		s.mu.Lock()
		view := viewRead{set: set, history: history, headRowRevision: s.headRowRevision}
		current := set.revision == s.headRevision
		s.mu.Unlock()
		if current {
			return view, nil
		}
	}
	return viewRead{}, errors.Wrap(ErrUnavailable, "the table is behind the declarations held in memory")
}

// readOnce reads the head row and, if it differs from the one last read, everything that was written since.
func (s *Store) readOnce(ctx context.Context) error {
	// Loaded before the read: if an edit of this process commits in between, the response would otherwise look older
	// than the known head row.
	s.mu.Lock()
	known, synced := s.headRowRevision, s.synced
	s.mu.Unlock()
	row, err := s.table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if synced && row.Revision == known {
		return nil
	}
	if row.Revision < known {
		// Without this check, a table that lost rows would leave the system with its current declarations and every
		// edit rejected, without an error that names the cause.
		return errors.Wrapf(ErrUnavailable, "the table's head row went back from revision %d to %d", known, row.Revision)
	}
	err = s.fetch(ctx, known)
	if errors.Is(err, ErrGap) {
		// The log no longer reaches back to the current revision: read everything.
		err = s.fetch(ctx, 0)
	}
	return err
}

// fetch reads all rows that were written after a table revision and applies them. It reads them in one call, so they
// are consistent as of one revision.
func (s *Store) fetch(ctx context.Context, after uint64) error {
	listing, err := s.table.List(ctx, tablePrefix, after)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	content, err := decodeContent(listing.Rows)
	if err != nil {
		return err
	}
	if err := s.applyContent(content, after == 0); err != nil {
		return err
	}
	s.advanceHead(content.headRowRevision, content.head.GetRevision())
	return nil
}

// advanceHead records the head row's revision once everything written up to it has been applied. Reads may finish out
// of order, so the recorded revision only increases.
func (s *Store) advanceHead(headRowRevision, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if headRowRevision > s.headRowRevision {
		s.headRowRevision, s.headRevision = headRowRevision, revision
	}
}

// applyContent applies what was read. The log is stored even if a peer has already delivered the declarations: it
// records which operations were committed, and without it an edit that a client retries would be applied twice.
func (s *Store) applyContent(content *tableContent, full bool) error {
	if err := s.applyIfNewer(content, full); err != nil {
		return err
	}
	s.holder.backfill(content.log)
	return nil
}

func (s *Store) applyIfNewer(content *tableContent, full bool) error {
	if content.head.GetRevision() <= s.Current().Revision() {
		return nil
	}
	if !full {
		return s.applyAll(content.log)
	}
	set, err := NewSet(&pb.Snapshot{Revision: content.head.GetRevision(), Objects: content.objects})
	if err != nil {
		return err
	}
	return s.installSet(set)
}
