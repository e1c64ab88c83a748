package declarations

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
)

// holder keeps the newest set that a process has seen, and deltas that led to it.
type holder struct {
	current atomic.Pointer[Set]

	mu      sync.Mutex
	changed chan struct{}
	// history holds at most keep deltas up to the current revision, in the order of their revisions. It has gaps where a
	// snapshot was adopted, until the log of the table fills them.
	history []*pb.Delta
	keep    int
}

func newHolder(keep int) *holder {
	h := &holder{changed: make(chan struct{}), keep: keep}
	h.current.Store(Empty())
	return h
}

// watch returns a channel that is closed when the set changes next. Taken before current is read, it misses no change.
func (h *holder) watch() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// replace adopts a whole set. It returns an error that wraps ErrOldRevision unless the set is newer than the one held.
//
// The guard is against a configuration that reverts: a snapshot may have been sent, or read from the table, before a
// newer one was adopted from elsewhere, and arrive after it. Revisions rise with each commit and the lock makes check
// and store one step, so what is held can only go forward.
func (h *holder) replace(set *Set) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.current.Load().revision; set.revision <= held {
		return errors.Wrapf(ErrOldRevision, "revision %d while %d is held", set.revision, held)
	}
	h.publish(set)
	return nil
}

// apply adopts the delta of the next revision. The error wraps ErrOldRevision, ErrGap or ErrInvalid. It guards as replace
// does.
func (h *holder) apply(delta *pb.Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.current.Load().Apply(delta)
	if err != nil {
		return err
	}
	h.remember(delta)
	h.publish(next)
	return nil
}

// fill adds deltas up to the current revision to the history; those that it has are passed over.
func (h *holder) fill(deltas []*pb.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, delta := range deltas {
		if delta.GetRevision() <= h.current.Load().revision {
			h.remember(delta)
		}
	}
}

func compareRevision(delta *pb.Delta, revision uint64) int {
	return cmp.Compare(delta.GetRevision(), revision)
}

// remember is called with the lock held. Slices that view has returned are left as they are.
func (h *holder) remember(delta *pb.Delta) {
	i, known := slices.BinarySearchFunc(h.history, delta.GetRevision(), compareRevision)
	switch {
	case known:
		return
	case i == len(h.history):
		h.history = append(h.history, delta)
	default:
		h.history = slices.Insert(slices.Clone(h.history), i, delta)
	}
	if excess := len(h.history) - h.keep; excess > 0 {
		h.history = h.history[excess:]
	}
}

// publish is called with the lock held.
func (h *holder) publish(set *Set) {
	h.current.Store(set)
	close(h.changed)
	h.changed = make(chan struct{})
}

// since returns the deltas after a revision up to the current one; false when the history doesn't have them all.
func (h *holder) since(revision uint64) ([]*pb.Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.current.Load().revision
	if revision >= newest {
		return nil, true
	}
	i, known := slices.BinarySearchFunc(h.history, revision+1, compareRevision)
	if !known || uint64(len(h.history)-i) != newest-revision {
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
