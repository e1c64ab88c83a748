package declarations

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// EditRequest asks for one edit of the declarations.
type EditRequest struct {
	// BasedOn is the revision that the edit was made on: when another edit has come since, this one loses. 0 means any;
	// the change is then worked out anew on the newest set until it gets through.
	BasedOn uint64
	// Author says who makes the edit.
	Author string
	// OperationID is unique to the edit; a caller that repeats an edit whose answer it lost repeats the identifier, and
	// the edit is made once. The store chooses one when it is empty.
	OperationID string
	// Change works out what the edit does.
	Change ChangeFunc
}

// EditResult says which revision an edit made.
type EditResult struct {
	Revision    uint64
	OperationID string
	// Changed lists the declarations that the edit altered; none when it left the set as it was and made no revision.
	Changed []*pb.ObjectKey
}

// editor is the state machine of one edit: an event comes in by step, and the one action that it returns is to be
// carried out and answered by the next event.
//
// A lost answer is the failure that it guards against: the operator would see an error, try again and find a conflict
// with an own edit, or believe that an edit was not made which takes effect later. After a lost answer it therefore
// claims nothing. It reads the log back for the operation's identifier, and where that shows nothing it commits again on
// the same revision of the head's row, for the lost write may still be on its way. The condition lets at most one of all
// the copies through, and once the head's row has moved on none of them can.
type editor struct {
	request  EditRequest
	deadline time.Time
	keep     uint64
	random   *rand.Rand

	// delta is the edit as it was last sent, with the head's row on which it is conditioned.
	delta   *pb.Delta
	headRow uint64
	// inFlight says that a copy whose answer was lost may still commit.
	inFlight bool
	failures int
}

// editEvent is what happened: one of the types below.
type editEvent interface{ editEvent() }

type (
	// viewRead brings the table's newest set, the deltas that led to it and the revision of the head's row.
	viewRead struct {
		set     *Set
		history []*pb.Delta
		headRow uint64
	}
	// readFailed says that the table could not be read.
	readFailed struct{}
	// committed says that the transaction did commit.
	committed struct{}
	// conflicted says that the transaction's condition did not hold.
	conflicted struct{}
	// refused says that the table did not take the transaction.
	refused struct{}
	// answerLost says that the transaction may have committed or may still do so.
	answerLost struct{}
	// rejected says that the table found the transaction malformed.
	rejected struct{ err error }
	// waited says that the time of a wait is over.
	waited struct{}
	// expired says that the caller no longer waits.
	expired struct{}
)

func (viewRead) editEvent()   {}
func (readFailed) editEvent() {}
func (committed) editEvent()  {}
func (conflicted) editEvent() {}
func (refused) editEvent()    {}
func (answerLost) editEvent() {}
func (rejected) editEvent()   {}
func (waited) editEvent()     {}
func (expired) editEvent()    {}

// editAction is what to do next: one of the types below.
type editAction interface{ editAction() }

type (
	// readView asks for a viewRead or a readFailed.
	readView struct{}
	// commitTxn asks for a transaction, which is answered by what became of it. It writes the delta.
	commitTxn struct {
		txn   backing.Txn
		delta *pb.Delta
	}
	// wait asks for a waited after a time.
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
	firstEditRetry = 20 * time.Millisecond
	lastEditRetry  = time.Second
)

// start returns the first action.
func (e *editor) start() editAction { return readView{} }

// step takes in what became of the last action and returns the next one.
func (e *editor) step(now time.Time, event editEvent) editAction {
	switch event := event.(type) {
	case viewRead:
		return e.decide(now, event)
	case committed:
		return e.succeed(e.delta)
	case waited:
		return readView{}
	case expired:
		return e.giveUp()
	case answerLost:
		e.inFlight = true
		return e.retryLater(now)
	case rejected:
		return e.fail(errors.Wrap(ErrInvalid, event.err.Error()))
	default:
		return e.retryLater(now)
	}
}

// retryLater waits before the table is asked again, the longer the more often it failed, or gives up at the deadline.
func (e *editor) retryLater(now time.Time) editAction {
	left := e.deadline.Sub(now)
	if left <= 0 {
		return e.giveUp()
	}
	longest := min(firstEditRetry<<min(e.failures, 10), lastEditRetry)
	e.failures++
	jittered := longest/2 + time.Duration(e.random.Int64N(int64(longest/2)))
	return wait{duration: min(jittered, left)}
}

func (e *editor) giveUp() editAction {
	if e.inFlight {
		return e.fail(&UnknownError{OperationID: e.request.OperationID, BasedOn: e.delta.GetRevision() - 1})
	}
	return e.fail(errors.Wrap(ErrUnavailable, "deadline passed"))
}

func (e *editor) decide(now time.Time, view viewRead) editAction {
	if made := findOperation(view.history, e.request.OperationID); made != nil {
		return e.succeed(made)
	}
	if view.headRow != e.headRow {
		// The copies that were sent are conditioned on a row that is gone, so none of them can commit any more. The log
		// would show one that did, unless it was trimmed since.
		if e.inFlight && !reaches(view, e.delta.GetRevision()) {
			return e.giveUp()
		}
		e.inFlight = false
	}
	if base := e.request.BasedOn; base != 0 && base != view.set.revision {
		return e.lose(view)
	}
	if !now.Before(e.deadline) {
		return e.giveUp()
	}
	if !e.inFlight {
		if action := e.prepare(now, view); action != nil {
			return action
		}
	}
	txn, err := transaction(e.headRow, e.delta, e.keep)
	if err != nil {
		return e.fail(err)
	}
	return commitTxn{txn: txn, delta: e.delta}
}

// prepare works out the delta on the set that was read. It returns an action only when there is nothing to commit.
func (e *editor) prepare(now time.Time, view viewRead) editAction {
	change, err := e.request.Change(view.set)
	if err != nil {
		return e.fail(err)
	}
	change = view.set.effective(change)
	if change.empty() {
		return finish{result: EditResult{Revision: view.set.revision, OperationID: e.request.OperationID}}
	}
	if err := view.set.check(change.Put, change.Delete); err != nil {
		return e.fail(err)
	}
	e.headRow = view.headRow
	e.delta = &pb.Delta{
		Revision: view.set.revision + 1, OperationId: e.request.OperationID, Author: e.request.Author,
		UnixMillis: now.UnixMilli(), Put: change.Put, Deleted: change.Delete,
	}
	return nil
}

// lose ends an edit that was made on another revision than the newest.
func (e *editor) lose(view viewRead) editAction {
	base, newest := e.request.BasedOn, view.set.revision
	if base > newest {
		return e.fail(errors.Wrapf(ErrInvalid, "the edit is based on revision %d, and the newest is %d", base, newest))
	}
	conflict := &ConflictError{BasedOn: base, Revision: newest}
	if winner := findRevision(view.history, base+1); winner != nil {
		conflict.Winner, conflict.Author = winner.GetRevision(), winner.GetAuthor()
	}
	return e.fail(conflict)
}

func (e *editor) succeed(made *pb.Delta) editAction {
	change := Change{Put: made.GetPut(), Delete: made.GetDeleted()}
	return finish{result: EditResult{
		Revision: made.GetRevision(), OperationID: made.GetOperationId(), Changed: change.keys(),
	}}
}

func (e *editor) fail(err error) editAction { return finish{err: err} }

// reaches reports whether the view's history tells what became of a revision.
func reaches(view viewRead, revision uint64) bool {
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
