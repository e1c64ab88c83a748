package declarations

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
)

// holder holds the newest set that a process has received and the most recent deltas that led to it.
type holder struct {
	current atomic.Pointer[Set]

	mu      sync.Mutex
	changed chan struct{}
	// history holds at most historyLimit deltas up to the current revision, sorted by revision. Installing a snapshot
	// leaves a gap, until backfill adds the missing deltas from the table's log.
	history      []*pb.Delta
	historyLimit int
}

func newHolder(historyLimit int) *holder {
	h := &holder{changed: make(chan struct{}), historyLimit: historyLimit}
	h.current.Store(Empty())
	return h
}

// watch returns a channel that is closed at the next change of the set. A caller that calls it before reading current
// misses no change.
func (h *holder) watch() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// replace installs a whole set. It returns an error that wraps ErrStaleRevision unless the set is newer than the
// current one.
//
// The check prevents the configuration from reverting: a snapshot may have been sent, or read from the table, before a
// newer one was installed from another source, and arrive after it. Revisions increase with each commit, and the lock
// makes check and store atomic, so the current revision never goes back.
func (h *holder) replace(set *Set) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load().revision; set.revision <= current {
		return errors.Wrapf(ErrStaleRevision, "revision %d, current is %d", set.revision, current)
	}
	h.publish(set)
	return nil
}

// apply applies the delta of the next revision. The error wraps ErrStaleRevision, ErrGap or ErrInvalid. Like replace,
// it never goes back to an older revision.
func (h *holder) apply(delta *pb.Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.current.Load().Apply(delta)
	if err != nil {
		return err
	}
	h.addToHistory(delta)
	h.publish(next)
	return nil
}

// backfill adds deltas up to the current revision to the history and ignores those already present.
func (h *holder) backfill(deltas []*pb.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, delta := range deltas {
		if delta.GetRevision() <= h.current.Load().revision {
			h.addToHistory(delta)
		}
	}
}

func compareRevision(delta *pb.Delta, revision uint64) int {
	return cmp.Compare(delta.GetRevision(), revision)
}

// addToHistory must be called with the lock held. It does not modify slices that view has returned.
func (h *holder) addToHistory(delta *pb.Delta) {
	i, found := slices.BinarySearchFunc(h.history, delta.GetRevision(), compareRevision)
	switch {
	case found:
		return
	case i == len(h.history):
		h.history = append(h.history, delta)
	default:
		h.history = slices.Insert(slices.Clone(h.history), i, delta)
	}
	if excess := len(h.history) - h.historyLimit; excess > 0 {
		h.history = h.history[excess:]
	}
}

// publish must be called with the lock held.
func (h *holder) publish(set *Set) {
	h.current.Store(set)
	close(h.changed)
	h.changed = make(chan struct{})
}

// since returns the deltas after a revision up to the current one; false if the history does not hold all of them.
func (h *holder) since(revision uint64) ([]*pb.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.current.Load().revision
	if revision >= newest {
		return nil, true
	}
	i, found := slices.BinarySearchFunc(h.history, revision+1, compareRevision)
	if !found || uint64(len(h.history)-i) != newest-revision {
		return nil, false
	}
	return slices.Clone(h.history[i:]), true
}

// view returns the current set and the history.
func (h *holder) view() (*Set, []*pb.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), slices.Clip(h.history)
}
