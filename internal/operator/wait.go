package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// WaitInterval is the time between two looks of Wait and Settle.
const WaitInterval = 200 * time.Millisecond

// InForceReader tells where a revision is in force. Client is one.
type InForceReader interface {
	InForce(ctx context.Context, revision uint64) (InForce, error)
}

// OperationReader looks edits up. Client is one.
type OperationReader interface {
	Operation(ctx context.Context, id string) (Operation, error)
}

// Wait returns when the revision is in force in every live process, with what it saw last. When ctx ends before, it
// fails with ErrNotInForce and returns the last answer, whose Missing names the processes.
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

// waitError keeps the last failure to look, if any.
func waitError(last error) error {
	if last == nil {
		return ErrNotInForce
	}
	return errors.Wrap(ErrNotInForce, last.Error())
}

// Settle looks an operation of unknown outcome up until it is known or ctx ends. It returns the operation as last seen.
func Settle(ctx context.Context, reader OperationReader, id string) Operation {
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

// sleep reports false when ctx ends first.
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
