package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// WaitInterval is the polling interval of Wait and AwaitOperation.
const WaitInterval = 200 * time.Millisecond

// InForceReader reports where a revision is in force. Client implements it.
type InForceReader interface {
	InForce(ctx context.Context, revision uint64) (InForce, error)
}

// OperationReader looks up edits. Client implements it.
type OperationReader interface {
	Operation(ctx context.Context, id string) (Operation, error)
}

// Wait polls until the revision is in force in every live process and returns the last response. If ctx is done first, it
// also returns ErrNotInForce; Missing of the last response then lists the remaining processes.
func Wait(ctx context.Context, reader InForceReader, revision uint64) (InForce, error) {
	last := InForce{Revision: revision}
	for {
		seen, err := reader.InForce(ctx, revision)
		if err == nil {
			last = seen
		}
		if err == nil && len(seen.Processes) > 0 && len(seen.Missing()) == 0 {
			return seen, nil
		}
		if !sleep(ctx, WaitInterval) {
			return last, waitError(err)
		}
	}
}

// waitError returns ErrNotInForce with the last polling error, if any.
func waitError(last error) error {
	if last == nil {
		return ErrNotInForce
	}
	return errors.Wrap(ErrNotInForce, last.Error())
}

// AwaitOperation polls an operation of unknown outcome until the outcome is known or ctx is done. It returns the last
// state read.
func AwaitOperation(ctx context.Context, reader OperationReader, id string) Operation {
	last := Operation{OperationID: id, State: OperationUnknown}
	for {
		seen, err := reader.Operation(ctx, id)
		if err == nil {
			last = seen
		}
		if last.State != OperationUnknown || !sleep(ctx, WaitInterval) {
			return last
		}
	}
}

// sleep waits for d; it returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
