package declarations

import (
	"sync/atomic"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
)

// Receiver holds the newest declarations that a process receives from several senders, whose messages may be
// duplicated, reordered or delayed. It is safe for concurrent use.
type Receiver struct {
	holder  *holder
	lastErr atomic.Pointer[error]
}

// NewReceiver returns a receiver with the empty set.
func NewReceiver() *Receiver { return &Receiver{holder: newHolder(0)} }

// ApplySnapshot installs a snapshot if it is newer than the current set, and reports whether it did.
func (r *Receiver) ApplySnapshot(snapshot *pb.Snapshot) bool {
	// Avoids parsing a snapshot that another sender has already delivered; replace makes the authoritative check.
	if snapshot.GetRevision() <= r.Revision() {
		return false
	}
	set, err := NewSet(snapshot)
	if err == nil {
		err = r.holder.replace(set)
	}
	return r.recordError(err)
}

// ApplyDelta applies a delta that directly follows the current revision. It reports whether it did and, if a newer
// delta could not be applied, that there is a gap, which a snapshot must close.
func (r *Receiver) ApplyDelta(delta *pb.Delta) (applied, gap bool) {
	err := r.holder.apply(delta)
	return r.recordError(err), err != nil && !errors.Is(err, ErrStaleRevision)
}

func (r *Receiver) recordError(err error) bool {
	if errors.Is(err, ErrInvalid) {
		r.lastErr.Store(&err)
	}
	return err == nil
}

// Err returns why the last malformed snapshot or delta could not be applied, or nil. It wraps ErrInvalid; the usual
// cause is a sender of another build.
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

// Snapshot returns the newest set as a snapshot message.
func (r *Receiver) Snapshot() *pb.Snapshot { return r.Current().Snapshot() }

// Changed returns a channel that is closed at the next change of the set. Call it before Current to miss no change.
func (r *Receiver) Changed() <-chan struct{} { return r.holder.watch() }
