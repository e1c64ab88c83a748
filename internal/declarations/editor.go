package declarations

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// EditRequest describes one edit of the declarations.
type EditRequest struct {
	// BasedOn is the revision that the edit is based on: if another edit has been committed since, this one fails with
	// a conflict. 0 means any revision; the change is then recomputed on the newest set until it commits.
	BasedOn uint64
	// Author identifies who makes the edit.
	Author string
	// OperationID identifies the edit uniquely. A caller that retries an edit whose response was lost reuses the
	// identifier, and the edit is applied once. The store generates one if it is empty.
	OperationID string
	// Change computes the edit's change.
	Change ChangeFunc
}

// EditResult is the result of a successful edit.
type EditResult struct {
	Revision    uint64
	OperationID string
	// Changed lists the declarations that the edit modified; it is empty if the edit had no effect and created no
	// revision.
	Changed []*pb.ObjectKey
}

// editor is the state machine of one edit: step takes an event and returns an action, whose result is the next event.
//
// It guards against lost responses: the operator would see an error, retry and get a conflict with their own edit, or
// assume that an edit failed which takes effect later. After a lost response the outcome is therefore unknown. The
// editor looks for the operation's identifier in the log and, if it is not there, commits again on the same revision of
// the head row, because the lost write may still be in flight. The condition lets at most one of the copies commit, and
// none of them once the head row has changed.
type editor struct {
	request  EditRequest
	deadline time.Time
	logKeep  uint64
	random   *rand.Rand

	// delta is the edit as last sent, and headRowRevision is the revision of the head row that it is conditional on.
	delta           *pb.Delta
	headRowRevision uint64
	// inFlight is set while a copy whose response was lost may still commit.
	inFlight bool
	failures int
}

// editEvent is the result of an action: one of the types below.
type editEvent interface{ editEvent() }

type (
	// viewRead holds the table's newest set, the deltas that led to it and the revision of the head row.
	viewRead struct {
		set             *Set
		history         []*pb.Delta
		headRowRevision uint64
	}
	// readFailed reports that the table could not be read.
	readFailed struct{}
	// committed reports that the transaction committed.
	committed struct{}
	// conflicted reports that the transaction's condition did not hold.
	conflicted struct{}
	// notAccepted reports that the table did not execute the transaction.
	notAccepted struct{}
	// responseLost reports that the transaction may have committed or may still commit.
	responseLost struct{}
	// malformed reports that the table rejected the transaction as malformed.
	malformed struct{ err error }
	// waitDone reports that a wait has ended.
	waitDone struct{}
	// canceled reports that the caller's context is done.
	canceled struct{}
)

func (viewRead) editEvent()     {}
func (readFailed) editEvent()   {}
func (committed) editEvent()    {}
func (conflicted) editEvent()   {}
func (notAccepted) editEvent()  {}
func (responseLost) editEvent() {}
func (malformed) editEvent()    {}
func (waitDone) editEvent()     {}
func (canceled) editEvent()     {}

// editAction is the next action: one of the types below.
type editAction interface{ editAction() }

type (
	// readView requests a read of the table; its result is a viewRead or a readFailed.
	readView struct{}
	// commitTxn requests a transaction that writes the delta; its result is the transaction's outcome.
	commitTxn struct {
		txn   backing.Txn
		delta *pb.Delta
	}
	// wait requests a pause; its result is a waitDone, or canceled.
	wait struct{ duration time.Duration }
	// finish ends the edit.
	finish struct {
		result EditResult
		err    error
	}
)

func (readView) editAction()  {}
func (commitTxn) editAction() {}
func (wait) editAction()      {}
func (finish) editAction()    {}

const (
	minEditBackoff = 20 * time.Millisecond
	maxEditBackoff = time.Second
)

// start returns the first action.
func (e *editor) start() editAction { return readView{} }

// step takes the result of the last action and returns the next one.
func (e *editor) step(now time.Time, event editEvent) editAction {
	switch event := event.(type) {
	case viewRead:
		return e.decide(now, event)
	case committed:
		return e.succeed(e.delta)
	case waitDone:
		return readView{}
	case canceled:
		return e.giveUp()
	case responseLost:
		e.inFlight = true
		return e.retryLater(now)
	case malformed:
		return e.fail(errors.Wrap(ErrInvalid, event.err.Error()))
	default:
		return e.retryLater(now)
	}
}

// retryLater waits with exponential backoff and jitter before the table is read again, or gives up at the deadline.
func (e *editor) retryLater(now time.Time) editAction {
	remaining := e.deadline.Sub(now)
	if remaining <= 0 {
		return e.giveUp()
	}
	backoff := min(minEditBackoff<<min(e.failures, 10), maxEditBackoff)
	e.failures++
	jittered := backoff/2 + time.Duration(e.random.Int64N(int64(backoff/2)))
	return wait{duration: min(jittered, remaining)}
}

func (e *editor) giveUp() editAction {
	if e.inFlight {
		return e.fail(&OutcomeUnknownError{OperationID: e.request.OperationID, BasedOn: e.delta.GetRevision() - 1})
	}
	return e.fail(errors.Wrap(ErrUnavailable, "deadline passed"))
}

func (e *editor) decide(now time.Time, view viewRead) editAction {
	if made := findOperation(view.history, e.request.OperationID); made != nil {
		return e.succeed(made)
	}
	if view.headRowRevision != e.headRowRevision {
		// The copies that were sent are conditional on a head row that has been replaced, so none of them can commit
		// any more. The log shows whether one did, unless it has been trimmed since.
		if e.inFlight && !historyCovers(view, e.delta.GetRevision()) {
			return e.giveUp()
		}
		e.inFlight = false
	}
	if base := e.request.BasedOn; base != 0 && base != view.set.revision {
		return e.failConflict(view)
	}
	if !now.Before(e.deadline) {
		return e.giveUp()
	}
	if !e.inFlight {
		if action := e.prepare(now, view); action != nil {
			return action
		}
	}
	txn, err := editTxn(e.headRowRevision, e.delta, e.logKeep)
	if err != nil {
		return e.fail(err)
	}
	return commitTxn{txn: txn, delta: e.delta}
}

// prepare computes the delta on the set that was read. It returns an action only if there is nothing to commit.
func (e *editor) prepare(now time.Time, view viewRead) editAction {
	change, err := e.request.Change(view.set)
	if err != nil {
		return e.fail(err)
	}
	change = view.set.withoutNoOps(change)
	if change.empty() {
		return finish{result: EditResult{Revision: view.set.revision, OperationID: e.request.OperationID}}
	}
	if err := view.set.check(change.Put, change.Delete); err != nil {
		return e.fail(err)
	}
	e.headRowRevision = view.headRowRevision
	e.delta = &pb.Delta{
		Revision: view.set.revision + 1, OperationId: e.request.OperationID, Author: e.request.Author,
		UnixMillis: now.UnixMilli(), Put: change.Put, Deleted: change.Delete,
	}
	return nil
}

// failConflict ends an edit that is based on a revision other than the newest.
func (e *editor) failConflict(view viewRead) editAction {
	base, newest := e.request.BasedOn, view.set.revision
	if base > newest {
		return e.fail(errors.Wrapf(ErrInvalid, "the edit is based on revision %d, and the newest is %d", base, newest))
	}
	conflict := &ConflictError{BasedOn: base, Revision: newest}
	if winner := findRevision(view.history, base+1); winner != nil {
		conflict.WinningRevision, conflict.Author = winner.GetRevision(), winner.GetAuthor()
	}
	return e.fail(conflict)
}

func (e *editor) succeed(delta *pb.Delta) editAction {
	change := Change{Put: delta.GetPut(), Delete: delta.GetDeleted()}
	return finish{result: EditResult{
		Revision: delta.GetRevision(), OperationID: delta.GetOperationId(), Changed: change.keys(),
	}}
}

func (e *editor) fail(err error) editAction { return finish{err: err} }

// historyCovers reports whether a revision is newer than the view or still in its history.
func historyCovers(view viewRead, revision uint64) bool {
	return revision > view.set.revision || findRevision(view.history, revision) != nil
}

func findOperation(history []*pb.Delta, id string) *pb.Delta {
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].GetOperationId() == id {
			return history[i]
		}
	}
	return nil
}

func findRevision(history []*pb.Delta, revision uint64) *pb.Delta {
	for _, delta := range history {
		if delta.GetRevision() == revision {
			return delta
		}
	}
	return nil
}
