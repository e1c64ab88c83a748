package declarations

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// Edit makes one edit and returns once its outcome is known or its deadline has passed. The error is a *ConflictError
// if another edit was committed first; an inifile.Problems or an error that wraps ErrInvalid or ErrNotDeclared if the
// edit is invalid; or an error that wraps ErrUnavailable if the table could not be reached. In all of these cases the
// edit had no effect. A *OutcomeUnknownError means that the edit may have been committed or may still be.
func (s *Store) Edit(ctx context.Context, request EditRequest) (EditResult, error) {
	start := s.clock.Now()
	result, err := s.edit(ctx, request, start.Add(s.options.EditTimeout))
	s.metrics.editDuration.Observe(s.clock.Now().Sub(start).Seconds())
	s.metrics.edits.WithLabelValues(outcomeOf(result, err)).Inc()
	return result, err
}

func (s *Store) edit(ctx context.Context, request EditRequest, deadline time.Time) (EditResult, error) {
	if request.OperationID == "" {
		request.OperationID = strings.ToLower(crand.Text())
	}
	if err := request.check(); err != nil {
		return EditResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(s.clock.Now()))
	defer cancel()
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := s.editSem.Acquire(ctx, 1); err != nil {
		return EditResult{}, errors.Wrap(ErrUnavailable, "the context ended while waiting for earlier edits")
	}
	defer s.editSem.Release(1)
	e := &editor{request: request, deadline: deadline, logKeep: uint64(s.options.LogKeep), random: s.newRandom()}
	return s.runMachine(ctx, e)
}

// maxIDLength is the maximum length in bytes of an edit's author and operation identifier, which every log row repeats.
const maxIDLength = 256

func (r *EditRequest) check() error {
	switch {
	case r.Change == nil:
		return errors.Wrap(ErrInvalid, "the edit has no change")
	case len(r.Author) > maxIDLength || !utf8.ValidString(r.Author):
		return errors.Wrapf(ErrInvalid, "the author must be valid UTF-8 of at most %d bytes", maxIDLength)
	case len(r.OperationID) > maxIDLength || !utf8.ValidString(r.OperationID):
		return errors.Wrapf(ErrInvalid, "the operation identifier must be valid UTF-8 of at most %d bytes", maxIDLength)
	}
	return nil
}

// newRandom returns a random source for one edit.
func (s *Store) newRandom() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// stateMachine is the state machine that runMachine executes.
type stateMachine interface {
	start() editAction
	step(now time.Time, event editEvent) editAction
}

func (s *Store) runMachine(ctx context.Context, machine stateMachine) (EditResult, error) {
	action := machine.start()
	for {
		var event editEvent
		switch a := action.(type) {
		case finish:
			return a.result, a.err
		case readView:
			event = s.readView(ctx)
		case commitTxn:
			event = s.commit(ctx, a)
		case wait:
			event = s.wait(ctx, a.duration)
		}
		action = machine.step(s.clock.Now(), event)
	}
}

func (s *Store) readView(ctx context.Context) editEvent {
	view, err := s.refresh(ctx)
	if err != nil {
		return readFailed{}
	}
	return view
}

// commit executes a transaction. An error that the platform does not guarantee to be without effect counts as a lost
// response.
func (s *Store) commit(ctx context.Context, action commitTxn) editEvent {
	headRowRevision, err := s.table.Commit(ctx, action.txn)
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		s.applyOwnEdit(headRowRevision, action.delta)
		return committed{}
	case errors.As(err, &conflict):
		return conflicted{}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrRateLimited):
		return notAccepted{}
	case errors.Is(err, backing.ErrInvalid):
		return malformed{err: err}
	default:
		return responseLost{}
	}
}

// applyOwnEdit applies an edit of this process without waiting for the next read. The edit was conditional on the head
// row of the preceding revision, so no other revision lies between them. If the store holds another set by now, the
// next read corrects it.
func (s *Store) applyOwnEdit(headRowRevision uint64, delta *pb.Delta) {
	if s.holder.apply(delta) != nil {
		return
	}
	s.metrics.applied.WithLabelValues(appliedDelta).Inc()
	s.advanceHead(headRowRevision, delta.GetRevision())
}

func (s *Store) wait(ctx context.Context, duration time.Duration) editEvent {
	timer := s.clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return canceled{}
	case <-timer.C():
		return waitDone{}
	}
}

// OperationState is the known state of an edit.
type OperationState string

// The states of an operation.
const (
	// OperationCommitted: the edit was committed.
	OperationCommitted OperationState = "made"
	// OperationNotCommitted: the edit was not committed and never will be.
	OperationNotCommitted OperationState = "never"
	// OperationUnknown: the edit has not been committed so far but still may be.
	OperationUnknown OperationState = "unknown"
)

// Operation looks up an edit by its identifier and returns its state and, if it was committed, its revision. basedOn is
// the revision that the edit was based on, or 0 if unknown; without it, an edit that was never committed cannot be
// distinguished from one that is still in flight. The error wraps ErrUnavailable if the table cannot be read.
func (s *Store) Operation(ctx context.Context, id string, basedOn uint64) (OperationState, uint64, error) {
	view, err := s.refresh(ctx)
	if err != nil {
		return OperationUnknown, 0, err
	}
	if made := findOperation(view.history, id); made != nil {
		return OperationCommitted, made.GetRevision(), nil
	}
	if basedOn != 0 && findRevision(view.history, basedOn+1) != nil {
		return OperationNotCommitted, 0, nil
	}
	return OperationUnknown, 0, nil
}
