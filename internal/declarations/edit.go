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

// Edit makes one edit and returns once it is known to be made, or to be lost. The error is a *ConflictError when another
// edit came first, an inifile.Problems or one that wraps ErrInvalid or ErrNotDeclared when the edit is wrong, one that
// wraps ErrUnavailable when the table could not be reached, each of which had no effect; or a *UnknownError.
func (s *Store) Edit(ctx context.Context, request EditRequest) (EditResult, error) {
	start := s.clock.Now()
	result, err := s.edit(ctx, request, start.Add(s.options.EditTimeout))
	s.metrics.editTime.Observe(s.clock.Now().Sub(start).Seconds())
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
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := s.editing.Acquire(ctx, 1); err != nil {
		return EditResult{}, errors.Wrap(ErrUnavailable, "earlier edits wait for the table")
	}
	defer s.editing.Release(1)
	e := &editor{request: request, deadline: deadline, keep: uint64(s.options.LogKeep), random: s.fork()}
	return s.drive(ctx, e)
}

// maxIdentityLength bounds an edit's author and operation identifier, which each row of the log repeats.
const maxIdentityLength = 256

func (r *EditRequest) check() error {
	switch {
	case r.Change == nil:
		return errors.Wrap(ErrInvalid, "the edit has no change")
	case len(r.Author) > maxIdentityLength || !utf8.ValidString(r.Author):
		return errors.Wrapf(ErrInvalid, "the author is not UTF-8 of at most %d bytes", maxIdentityLength)
	case len(r.OperationID) > maxIdentityLength || !utf8.ValidString(r.OperationID):
		return errors.Wrapf(ErrInvalid, "the operation's identifier is not UTF-8 of at most %d bytes", maxIdentityLength)
	}
	return nil
}

// fork returns a source of randomness for one edit.
func (s *Store) fork() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// stepper is the machine that drive carries out.
type stepper interface {
	start() editAction
	step(now time.Time, event editEvent) editAction
}

func (s *Store) drive(ctx context.Context, machine stepper) (EditResult, error) {
	action := machine.start()
	for {
		var event editEvent
		switch a := action.(type) {
		case finish:
			return a.result, a.err
		case readView:
			event = s.readForEdit(ctx)
		case commitTxn:
			event = s.commit(ctx, a)
		case wait:
			event = s.wait(ctx, a.duration)
		}
		action = machine.step(s.clock.Now(), event)
	}
}

func (s *Store) readForEdit(ctx context.Context) editEvent {
	view, err := s.refresh(ctx)
	if err != nil {
		return readFailed{}
	}
	return view
}

// commit runs a transaction. What the platform doesn't name as without effect counts as lost.
func (s *Store) commit(ctx context.Context, action commitTxn) editEvent {
	row, err := s.table.Commit(ctx, action.txn)
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		s.adoptOwn(row, action.delta)
		return committed{}
	case errors.As(err, &conflict):
		return conflicted{}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrRateLimited):
		return refused{}
	case errors.Is(err, backing.ErrInvalid):
		return rejected{err: err}
	default:
		return answerLost{}
	}
}

// adoptOwn puts an own edit in force here without waiting for the next read. The edit was conditioned on the head's row
// of the revision before it, so that no other revision lies between. Should the store hold another set by now, the next
// read sorts it out.
func (s *Store) adoptOwn(row uint64, delta *pb.Delta) {
	if s.holder.apply(delta) != nil {
		return
	}
	s.metrics.applied.WithLabelValues(appliedDelta).Inc()
	s.noteHead(row, delta.GetRevision())
}

func (s *Store) wait(ctx context.Context, duration time.Duration) editEvent {
	timer := s.clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return expired{}
	case <-timer.C():
		return waited{}
	}
}

// OperationState is what is known of an edit.
type OperationState string

// The states of an operation.
const (
	// OperationMade: the edit is stored.
	OperationMade OperationState = "made"
	// OperationNever: the edit did not and will not take effect.
	OperationNever OperationState = "never"
	// OperationUnknown: the edit is not stored now and may still take effect.
	OperationUnknown OperationState = "unknown"
)

// Operation looks an edit up by its identifier and, for one that was made, returns its revision. BasedOn is the revision
// that the edit was made on, 0 if not known; without it an edit that is not stored can't be told from one on its way.
// The error wraps ErrUnavailable when the table can't be read.
func (s *Store) Operation(ctx context.Context, id string, basedOn uint64) (OperationState, uint64, error) {
	view, err := s.refresh(ctx)
	if err != nil {
		return OperationUnknown, 0, err
	}
	if made := findOperation(view.history, id); made != nil {
		return OperationMade, made.GetRevision(), nil
	}
	if basedOn != 0 && findRevision(view.history, basedOn+1) != nil {
		return OperationNever, 0, nil
	}
	return OperationUnknown, 0, nil
}
