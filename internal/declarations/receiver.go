package declarations

import (
	"sync/atomic"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
)

// Receiver holds the newest declarations that a process gets from several senders, which may repeat each other, overtake
// each other and lag. It is safe for concurrent use.
type Receiver struct {
	holder  *holder
	lastErr atomic.Pointer[error]
}

// NewReceiver returns a receiver that holds the empty set.
func NewReceiver() *Receiver { return &Receiver{holder: newHolder(0)} }

// ApplySnapshot adopts a snapshot if it is newer than what is held, and reports whether it did.
func (r *Receiver) ApplySnapshot(snapshot *pb.Snapshot) bool {
	// The check before the work spares the parsing of a snapshot that each further sender repeats; replace decides.
	if snapshot.GetRevision() <= r.Revision() {
		return false
	}
	set, err := NewSet(snapshot)
	if err == nil {
		err = r.holder.replace(set)
	}
	return r.note(err)
}

// ApplyDelta adopts a delta that follows the revision that is held. It reports whether it did and, when it did not
// although the delta is newer, that there is a gap, which a snapshot must close.
func (r *Receiver) ApplyDelta(delta *pb.Delta) (applied, gap bool) {
	err := r.holder.apply(delta)
	return r.note(err), err != nil && !errors.Is(err, ErrOldRevision)
}

func (r *Receiver) note(err error) bool {
	if errors.Is(err, ErrInvalid) {
		r.lastErr.Store(&err)
	}
	return err == nil
}

// Err returns why the last unreadable snapshot or delta could not be adopted, or nil. It wraps ErrInvalid and comes of
// senders of another build.
func (r *Receiver) Err() error {
	if err := r.lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Current returns the newest set.
func (r *Receiver) Current() *Set { return r.holder.current.Load() }

// Revision returns the newest set's revision.
func (r *Receiver) Revision() uint64 { return r.Current().revision }

// Snapshot returns the newest set as a message.
func (r *Receiver) Snapshot() *pb.Snapshot { return r.Current().Snapshot() }

// Changed returns a channel that is closed when the set changes next; take it before reading Current.
func (r *Receiver) Changed() <-chan struct{} { return r.holder.watch() }
