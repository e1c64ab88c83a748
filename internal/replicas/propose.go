package replicas

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// Propose writes a change and returns the row as it then is in the table; nil when the row was deleted.
//
// The write commits only if the row is still the one that the decision was made from. On ErrConflict the caller reads
// the row again and decides anew. When the answer is lost, Propose reads the row back: if it carries the change's
// operation id the write took effect, which is reported as success. Otherwise ErrOutcomeUnknown is returned, because
// the write may still be on its way. Then, too, the caller decides anew from the row as it stands: the lost write has
// the old revision as its condition, so it commits only if nothing else has been written in between, and any later
// decision is made and conditioned on the state in which it did.
func Propose(ctx context.Context, table backing.Table, c Change) (*replicaspb.Row, error) {
	txn, err := transaction(c)
	if err != nil {
		return nil, err
	}
	revision, err := table.Commit(ctx, txn)
	if err == nil {
		return committed(c, revision), nil
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

func committed(c Change, revision uint64) *replicaspb.Row {
	if len(c.Next.GetSlots()) == 0 {
		return nil
	}
	row := proto.CloneOf(c.Next)
	row.Revision = revision
	return row
}

// readBack finds out what became of a write whose answer was lost, as far as that can be known now.
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

// commitError turns an error of the table into one of this package.
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
