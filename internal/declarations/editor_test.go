package declarations

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	pb "balsamsail/internal/declarations/declarationspb"
)

// viewAt returns a view at revision n whose log starts at the revision oldest.
func viewAt(t *testing.T, n, oldest uint64) viewRead {
	deltas, snapshots := chain(int(n))
	return viewRead{set: mustSet(t, n, snapshots[n].Objects), history: deltas[oldest-1:], headRowRevision: 100 + n}
}

func newTestEditor(basedOn uint64, start time.Time) *editor {
	return &editor{
		request: EditRequest{
			BasedOn: basedOn, Author: "a", OperationID: "op",
			Change: PutObjects([]*pb.Object{EngineObject(&pb.Engine{Name: "mine"})}, nil),
		},
		deadline: start.Add(time.Second), logKeep: 16, random: rand.New(rand.NewPCG(1, 1)),
	}
}

// The response to a commit is lost, and before the log is read again so many other edits commit that the log no longer
// shows what became of this one. Its outcome must then be reported as unknown.
func TestEditorDoesNotGuessBeyondTheLog(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name    string
		basedOn uint64
		second  viewRead
		want    error
	}{
		{"log shows another edit, any base", 0, viewAt(t, 6, 1), nil},
		{"log shows another edit, one base", 3, viewAt(t, 6, 1), &ConflictError{}},
		{"log is trimmed, any base", 0, viewAt(t, 6, 5), ErrOutcomeUnknown},
		{"log is trimmed, one base", 3, viewAt(t, 6, 5), ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEditor(c.basedOn, start)
			e.start()
			if _, ok := e.step(start, viewAt(t, 3, 1)).(commitTxn); !ok {
				t.Fatal("the first view did not lead to a commit")
			}
			if _, ok := e.step(start, responseLost{}).(wait); !ok {
				t.Fatal("the lost response did not lead to a wait")
			}
			e.step(start, waitDone{})
			action := e.step(start, c.second)
			if again, ok := action.(commitTxn); ok && c.want == nil {
				if again.delta.Revision != 7 || again.txn.Conditions[0].Revision != 106 {
					t.Errorf("commits %v on %v", again.delta, again.txn.Conditions)
				}
				return
			}
			end, ok := action.(finish)
			var conflict *ConflictError
			wantsConflict := errors.As(c.want, &conflict)
			if !ok || wantsConflict != errors.As(end.err, &conflict) || !wantsConflict && !errors.Is(end.err, c.want) {
				t.Errorf("action %T %+v, want %v", action, action, c.want)
			}
		})
	}
}

// An edit whose response was lost may commit at any later time. Each retry must be conditional on the same revision of
// the head row, so that at most one of the copies commits.
func TestEditorRepeatsOnTheSameRow(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newTestEditor(0, now)
	e.start()
	first := e.step(now, viewAt(t, 3, 1)).(commitTxn)
	for range 5 {
		e.step(now, responseLost{})
		e.step(now, waitDone{})
		again, ok := e.step(now, viewAt(t, 3, 1)).(commitTxn)
		if !ok || again.txn.Conditions[0] != first.txn.Conditions[0] || again.delta != first.delta {
			t.Fatalf("commits %+v after %+v", again, first)
		}
	}
}

func TestEditorEndsAtItsDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name   string
		before []editEvent
		last   editEvent
		want   error
	}{
		{"never read", nil, readFailed{}, ErrUnavailable},
		{"refused", []editEvent{viewAt(t, 3, 1)}, notAccepted{}, ErrUnavailable},
		{"conflicted", []editEvent{viewAt(t, 3, 1)}, conflicted{}, ErrUnavailable},
		{"lost", []editEvent{viewAt(t, 3, 1)}, responseLost{}, ErrOutcomeUnknown},
		{"lost, then refused", []editEvent{viewAt(t, 3, 1), responseLost{}, waitDone{}, viewAt(t, 3, 1)}, notAccepted{}, ErrOutcomeUnknown},
		{"lost, then superseded", []editEvent{viewAt(t, 3, 1), responseLost{}, waitDone{}}, viewAt(t, 4, 1), ErrUnavailable},
		{"lost, then not found", []editEvent{viewAt(t, 3, 1), responseLost{}, waitDone{}}, viewAt(t, 3, 1), ErrOutcomeUnknown},
		{"canceled by its caller", []editEvent{viewAt(t, 3, 1), notAccepted{}}, canceled{}, ErrUnavailable},
		{"committed at the deadline", []editEvent{viewAt(t, 3, 1)}, committed{}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEditor(0, start)
			e.start()
			for _, event := range c.before {
				e.step(start, event)
			}
			end, ok := e.step(start.Add(time.Second), c.last).(finish)
			if !ok || !errors.Is(end.err, c.want) || (end.err == nil) != (c.want == nil) {
				t.Errorf("ends with %+v, want %v", end, c.want)
			}
		})
	}
}
