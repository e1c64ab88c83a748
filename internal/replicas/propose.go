package replicas

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// Propose writes a change and returns the row as committed; nil if the row was deleted.
//
// The write commits only if the row is unchanged since the decision. On ErrConflict the caller reads the row again and
// repeats the decision. If the response is lost, Propose reads the row back: if it carries the change's operation ID,
// the write took effect and Propose returns success. Otherwise it returns ErrOutcomeUnknown, because the write may
// still be in flight. In that case, too, the caller decides again from the current row: the lost write is conditional
// on the old revision, so it commits only if nothing else has been written in between, and any later decision is based
// and conditional on the state that includes it.
func Propose(ctx context.Context, table backing.Table, c Change) (*replicaspb.Row, error) {
	txn, err := transaction(c)
	if err != nil {
		return nil, err
	}
	revision, err := table.Commit(ctx, txn)
	if err == nil {
		return committedRow(c, revision), nil
	}
	if errors.Is(err, backing.ErrOutcomeUnknown) || ctx.Err() != nil {
		return readBack(ctx, table, c)
	}
	return nil, commitError(err)
}

func transaction(c Change) (backing.Txn, error) {
	key := Key(c.Model)
	txn := backing.Txn{Conditions: []backing.Condition{{Key: key, Revision: c.Expected}}}
	if c.Head.Key != "" {
		txn.Conditions = append(txn.Conditions, c.Head)
	}
	if len(c.Next.GetSlots()) == 0 {
		txn.Deletes = []string{key}
		return txn, nil
	}
	value, err := EncodeRow(c.Next)
	if err != nil {
		return backing.Txn{}, errors.Wrap(ErrInvalid, err.Error())
	}
	txn.Puts = []backing.Put{{Key: key, Value: value}}
	return txn, nil
}

func committedRow(c Change, revision uint64) *replicaspb.Row {
	if len(c.Next.GetSlots()) == 0 {
		return nil
	}
	row := proto.CloneOf(c.Next)
	row.Revision = revision
	return row
}

// readBack determines the outcome of a write whose response was lost, as far as it can be determined now.
func readBack(ctx context.Context, table backing.Table, c Change) (*replicaspb.Row, error) {
	deleted := len(c.Next.GetSlots()) == 0
	stored, err := table.Get(ctx, Key(c.Model))
	if errors.Is(err, backing.ErrNotFound) && deleted {
		return nil, nil
	}
	if err != nil || deleted {
		return nil, ErrOutcomeUnknown
	}
	row, err := DecodeRow(stored)
	if err != nil {
		return nil, err
	}
	if row.OperationId != c.Next.OperationId {
		return nil, ErrOutcomeUnknown
	}
	return row, nil
}

// commitError maps an error of the table to one of this package.
func commitError(err error) error {
	var conflict *backing.ConflictError
	switch {
	case errors.As(err, &conflict):
		return errors.Wrapf(ErrConflict, "%s is at revision %d", conflict.Key, conflict.Revision)
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrRateLimited):
		return errors.Wrap(ErrUnavailable, err.Error())
	case errors.Is(err, backing.ErrInvalid):
		return errors.Wrap(ErrInvalid, err.Error())
	default:
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
}
