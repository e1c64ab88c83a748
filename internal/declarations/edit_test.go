package declarations

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

func TestEditIsInForceInAnotherStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		writer, reader := newTestStore(table, Options{}), newTestStore(table, Options{Seed: 2})
		runStore(t, writer)
		runStore(t, reader)
		synctest.Wait()
		changed := reader.Changed()
		result := mustEdit(t, writer, EditRequest{Author: "a", OperationID: "op", Change: putEngine("e")})
		if result.Revision != 1 || len(result.Changed) != 1 || result.Changed[0].GetName() != "e" {
			t.Errorf("result is %+v", result)
		}
		start := time.Now()
		<-changed
		if took := time.Since(start); took > time.Second {
			t.Errorf("in force after %v", took)
		}
		if _, ok := reader.Current().Engine("e"); !ok || !reader.Ready() || !reader.OutageSince().IsZero() {
			t.Error("the reader lacks the edit or is not ready")
		}
		deltas, ok := reader.DeltasSince(0)
		if !ok || len(deltas) != 1 || deltas[0].GetOperationId() != "op" {
			t.Errorf("deltas are %v, %v", deltas, ok)
		}
	})
}

func TestEditWithoutEffectMakesNoRevision(t *testing.T) {
	table := newMemTable()
	s := newTestStore(table, Options{})
	mustEdit(t, s, EditRequest{Change: putEngine("e")})
	result := mustEdit(t, s, EditRequest{Change: putEngine("e")})
	if result.Revision != 1 || len(result.Changed) != 0 || result.OperationID == "" || table.commits != 1 {
		t.Errorf("result is %+v after %d commits", result, table.commits)
	}
}

func TestEditRefusesWhatIsWrong(t *testing.T) {
	cases := []struct {
		name    string
		request EditRequest
		want    error
	}{
		{"no change", EditRequest{}, ErrInvalid},
		{"long author", EditRequest{Author: strings.Repeat("a", 257), Change: putEngine("f")}, ErrInvalid},
		{"identifier that is not UTF-8", EditRequest{OperationID: "\xff", Change: putEngine("f")}, ErrInvalid},
		{"invalid object", EditRequest{Change: putEngine("not a name")}, ErrInvalid},
		{"base newer than the newest revision", EditRequest{BasedOn: 9, Change: putEngine("f")}, ErrInvalid},
		{"label of an undeclared model", EditRequest{Change: SetLabels(&pb.ObjectKey{Kind: KindModel, Name: "m"}, nil, nil)}, ErrNotDeclared},
		{"invalid label", EditRequest{Change: SetLabels(&pb.ObjectKey{Kind: KindEngine, Name: "e"}, map[string]string{"a b": "c"}, nil)}, ErrInvalid},
		{"label of undeclared limits", EditRequest{Change: SetLabels(&pb.ObjectKey{Kind: KindLimits, Name: LimitsName}, map[string]string{"a": "c"}, nil)}, ErrNotDeclared},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newMemTable()
			s := newTestStore(table, Options{})
			mustEdit(t, s, EditRequest{Change: putEngine("e")})
			if _, err := s.Edit(t.Context(), c.request); !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
			if table.content().head.GetRevision() != 1 {
				t.Error("the rejected edit took effect")
			}
		})
	}
}

func TestEditsOfLabelsAndDrain(t *testing.T) {
	s := newTestStore(newMemTable(), Options{})
	key := &pb.ObjectKey{Kind: KindEngine, Name: "e"}
	mustEdit(t, s, EditRequest{Change: SetLabels(key, map[string]string{"gpu": "h100", "pool": "day"}, nil)})
	before, _ := s.Current().Engine("e")
	mustEdit(t, s, EditRequest{Change: SetLabels(key, map[string]string{"pool": "night"}, []string{"gpu"})})
	mustEdit(t, s, EditRequest{Change: SetDrain("e", true)})
	engine, _ := s.Current().Engine("e")
	if len(engine.Labels) != 1 || engine.Labels["pool"] != "night" || !engine.Drain {
		t.Errorf("engine is %v", engine)
	}
	if before.Labels["pool"] != "day" || before.Drain {
		t.Errorf("an edit changed an earlier set: %v", before)
	}
}

// Two operators edit the same revision. The second one must get a conflict that names the winning edit, and must change
// nothing.
func TestLoserOfARaceLearnsTheWinner(t *testing.T) {
	table := newMemTable()
	a, b := newTestStore(table, Options{}), newTestStore(table, Options{})
	mustEdit(t, a, EditRequest{Author: "setup", Change: putEngine("e")})
	mustEdit(t, a, EditRequest{BasedOn: 1, Author: "winner", Change: putEngine("f")})
	mustEdit(t, a, EditRequest{Author: "third", Change: putEngine("g")})
	_, err := b.Edit(t.Context(), EditRequest{BasedOn: 1, Author: "loser", Change: putEngine("h")})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || *conflict != (ConflictError{BasedOn: 1, Revision: 3, WinningRevision: 2, Author: "winner"}) {
		t.Errorf("error is %+v", err)
	}
	if !strings.Contains(err.Error(), `lost to revision 2 by "winner"`) {
		t.Errorf("message is %q", err)
	}
}

// The response to a commit is lost before or after the write, or the write takes effect only after its sender gave up
// waiting. The edit must be reported as made once it is, and never as failed.
func TestEditSurvivesALostAnswer(t *testing.T) {
	cases := []struct {
		name   string
		commit func(t *memTable, txn backing.Txn)
	}{
		{"lost before the write", func(*memTable, backing.Txn) {}},
		{"lost after the write", func(table *memTable, txn backing.Txn) { table.apply(txn) }},
		{"write takes effect late", func(table *memTable, txn backing.Txn) {
			time.AfterFunc(3*time.Second, func() { table.apply(txn) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newMemTable()
				s := newTestStore(table, Options{})
				lost := 0
				table.beforeCommit = func(_ context.Context, txn backing.Txn) (bool, error) {
					lost++
					if lost > 3 {
						return false, nil
					}
					c.commit(table, txn)
					return true, errors.Wrap(backing.ErrOutcomeUnknown, "response lost")
				}
				result := mustEdit(t, s, EditRequest{BasedOn: 0, OperationID: "op", Change: putEngine("e")})
				time.Sleep(10 * time.Second)
				if content := table.content(); result.Revision != 1 || content.head.GetRevision() != 1 || len(content.log) != 1 {
					t.Errorf("result %+v, table holds revision %d", result, content.head.GetRevision())
				}
			})
		})
	}
}

// Every response is lost until the edit's deadline. The last write may still be in flight, so the error must say that
// the outcome is unknown and give the identifier to look it up by.
func TestEditSaysWhenTheOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		s := newTestStore(table, Options{EditTimeout: 5 * time.Second})
		var late backing.Txn
		table.beforeCommit = func(ctx context.Context, txn backing.Txn) (bool, error) {
			late = txn
			<-ctx.Done()
			return true, ctx.Err()
		}
		start := time.Now()
		_, err := s.Edit(t.Context(), EditRequest{OperationID: "op", Change: putEngine("e")})
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.OperationID != "op" || !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("error is %v", err)
		}
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("took %v", took)
		}
		if state, _, err := s.Operation(t.Context(), "op", 0); state != OperationUnknown || err != nil {
			t.Errorf("operation is %v, %v", state, err)
		}
		table.apply(late)
		if state, revision, err := s.Operation(t.Context(), "op", 0); state != OperationCommitted || revision != 1 || err != nil {
			t.Errorf("operation is %v at %d, %v", state, revision, err)
		}
		if state, _, _ := s.Operation(t.Context(), "other", 0); state != OperationUnknown {
			t.Errorf("another operation is %v", state)
		}
	})
}

func TestOperationOnAPassedRevisionIsNever(t *testing.T) {
	s := newTestStore(newMemTable(), Options{})
	mustEdit(t, s, EditRequest{OperationID: "first", Change: putEngine("e")})
	mustEdit(t, s, EditRequest{OperationID: "second", Change: putEngine("f")})
	if state, _, _ := s.Operation(t.Context(), "lost", 1); state != OperationNotCommitted {
		t.Errorf("an operation on revision 1 is %v", state)
	}
	if state, _, _ := s.Operation(t.Context(), "lost", 2); state != OperationUnknown {
		t.Errorf("an operation on revision 2 is %v", state)
	}
}

// The table is unavailable for longer than the edit timeout. The edit has no effect; it must end in time with an error
// that says so.
func TestEditInAnOutageIsNotMade(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*memTable)
	}{
		{"reads fail", func(t *memTable) {
			t.beforeRead = func(context.Context) error { return backing.ErrUnavailable }
		}},
		{"reads hang", func(t *memTable) {
			t.beforeRead = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		}},
		{"writes are refused", func(t *memTable) {
			t.beforeCommit = func(context.Context, backing.Txn) (bool, error) { return true, backing.ErrRateLimited }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newMemTable()
				c.fault(table)
				s := newTestStore(table, Options{EditTimeout: 3 * time.Second})
				start := time.Now()
				_, err := s.Edit(t.Context(), EditRequest{Change: putEngine("e")})
				if took := time.Since(start); !errors.Is(err, ErrUnavailable) || took > 4*time.Second {
					t.Errorf("error %v after %v", err, took)
				}
				if calls := table.reads + table.commits; calls > 40 {
					t.Errorf("%d calls in the outage", calls)
				}
			})
		})
	}
}

// An edit must return promptly when its context is canceled, so that it does not block the edits behind it.
func TestEditEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		table.beforeRead = func(context.Context) error { return backing.ErrUnavailable }
		s := newTestStore(table, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		if _, err := s.Edit(ctx, EditRequest{Change: putEngine("e")}); !errors.Is(err, ErrUnavailable) {
			t.Errorf("error is %v", err)
		}
		if took := time.Since(start); took > 1100*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

func TestEditOutcomesAreCounted(t *testing.T) {
	table := newMemTable()
	s := newTestStore(table, Options{EditTimeout: 200 * time.Millisecond})
	mustEdit(t, s, EditRequest{Change: putEngine("e")})
	mustEdit(t, s, EditRequest{Change: putEngine("e")})
	mustEdit(t, s, EditRequest{Change: putEngine("f")})
	s.Edit(t.Context(), EditRequest{BasedOn: 1, Change: putEngine("g")})
	s.Edit(t.Context(), EditRequest{Change: putEngine("?")})
	table.beforeRead = func(context.Context) error { return backing.ErrUnavailable }
	s.Edit(t.Context(), EditRequest{Change: putEngine("g")})
	want := map[string]float64{
		outcomeMade: 2, outcomeUnchanged: 1, outcomeConflict: 1, outcomeInvalid: 1, outcomeUnavailable: 1, outcomeUnknown: 0,
	}
	for outcome, count := range want {
		if got := testutil.ToFloat64(s.metrics.edits.WithLabelValues(outcome)); got != count {
			t.Errorf("%s: %v edits, want %v", outcome, got, count)
		}
	}
}

// Eight operators edit concurrently through two entries while the table is slow and loses responses. Each edit must be
// applied exactly once, none may fail, and both entries must converge to the same set.
func TestConcurrentEditsAreAllMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(5, 5))
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		table.beforeRead = func(context.Context) error {
			time.Sleep(time.Duration(draw(5)) * time.Millisecond)
			return nil
		}
		table.beforeCommit = func(_ context.Context, txn backing.Txn) (bool, error) {
			time.Sleep(time.Duration(draw(5)) * time.Millisecond)
			if draw(4) > 0 {
				return false, nil
			}
			table.apply(txn)
			return true, backing.ErrOutcomeUnknown
		}
		stores := []*Store{newTestStore(table, Options{EditTimeout: time.Minute}), newTestStore(table, Options{EditTimeout: time.Minute, Seed: 1})}
		runStore(t, stores[0])
		runStore(t, stores[1])
		var operators sync.WaitGroup
		for i := range 8 {
			operators.Go(func() {
				for j := range 10 {
					label := map[string]string{fmt.Sprintf("o%d-%d", i, j): "x"}
					mustEdit(t, stores[i%2], EditRequest{Change: SetLabels(&pb.ObjectKey{Kind: KindEngine, Name: "e"}, label, nil)})
				}
			})
		}
		operators.Wait()
		time.Sleep(3 * time.Second)
		for i, s := range stores {
			engine, _ := s.Current().Engine("e")
			if s.Current().Revision() != 80 || len(engine.GetLabels()) != 80 {
				t.Errorf("store %d is at revision %d with %d labels", i, s.Current().Revision(), len(engine.GetLabels()))
			}
		}
	})
}

// BenchmarkEdit measures the cost of one edit with many adapters declared: this process's time and the calls to the
// table.
func BenchmarkEdit(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, objects []*pb.Object) func() error {
		table := newMemTable()
		s := newTestStore(table, Options{})
		s.Edit(b.Context(), EditRequest{Change: PutObjects(objects, nil)})
		reads, commits, edits := table.reads+table.lists, table.commits, 0
		b.Cleanup(func() {
			b.ReportMetric(float64(table.reads+table.lists-reads)/float64(edits), "reads/edit")
			b.ReportMetric(float64(table.commits-commits)/float64(edits), "writes/edit")
		})
		return func() error {
			edits++
			_, err := s.Edit(b.Context(), EditRequest{Change: SetDrain("e", edits%2 == 0)})
			return err
		}
	})
}
