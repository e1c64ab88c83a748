package declarations

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	pb "balsamsail/internal/declarations/declarationspb"
	standinplatform "balsamsail/internal/standin/platform"
)

func newTestStore(table backing.Table, o Options) *Store {
	return NewStore(o, table, clock.Real{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
}

// runStore runs a store until the test ends.
func runStore(t *testing.T, s *Store) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
	})
}

func putEngine(name string) ChangeFunc {
	return PutObjects([]*pb.Object{EngineObject(&pb.Engine{Name: name})}, nil)
}

func mustEdit(t *testing.T, s *Store, request EditRequest) EditResult {
	t.Helper()
	result, err := s.Edit(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// A store that has missed more revisions than the log keeps must read the whole table.
func TestStoreCatchesUpBeyondTheLog(t *testing.T) {
	table := newMemTable()
	writer, reader := newTestStore(table, Options{LogKeep: 4}), newTestStore(table, Options{LogKeep: 4})
	edit := func(from, to int) {
		for i := from; i <= to; i++ {
			mustEdit(t, writer, EditRequest{Change: putEngine(fmt.Sprintf("e%d", i))})
		}
	}
	edit(1, 2)
	if _, err := reader.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	edit(3, 20)
	if kept := len(table.content().log); kept != 4 {
		t.Errorf("the log keeps %d revisions", kept)
	}
	if _, err := reader.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := reader.Current(); got.Revision() != 20 || len(got.Engines()) != 20 {
		t.Errorf("revision %d with %d engines", got.Revision(), len(got.Engines()))
	}
	if _, ok := reader.DeltasSince(16); !ok {
		t.Error("the last four deltas are missing")
	}
	if _, ok := reader.DeltasSince(15); ok {
		t.Error("deltas older than the log are returned")
	}
}

func TestStoreReadsOnlyWhatChanged(t *testing.T) {
	table := newMemTable()
	s := newTestStore(table, Options{})
	mustEdit(t, s, EditRequest{Change: putEngine("e")})
	before := table.lists
	for range 5 {
		if _, err := s.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if table.lists > before+1 {
		t.Errorf("%d listings of an unchanged table", table.lists-before)
	}
}

// An entry that starts during a table outage gets the declarations from a peer. That alone must not make it ready, and
// once the table is back the entry must load the operations from the table's log: otherwise an edit that a client
// retries would be applied twice.
func TestStoreLearnsFromAPeerInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		peer := newTestStore(table, Options{})
		mustEdit(t, peer, EditRequest{OperationID: "first", Change: SetDrain("e", true)})
		mustEdit(t, peer, EditRequest{OperationID: "second", Change: SetDrain("e", false)})
		table.beforeRead = func(context.Context) error { return backing.ErrUnavailable }
		s := newTestStore(table, Options{})
		runStore(t, s)
		time.Sleep(5 * time.Second)
		if err := s.ApplyFromPeer(peer.Current().Snapshot(), nil); err != nil {
			t.Fatal(err)
		}
		if s.Current().Revision() != 2 || s.Ready() || s.OutageSince().IsZero() {
			t.Errorf("revision %d, ready %v, outage since %v", s.Current().Revision(), s.Ready(), s.OutageSince())
		}
		table.mu.Lock()
		table.beforeRead = nil
		table.mu.Unlock()
		result := mustEdit(t, s, EditRequest{OperationID: "first", Change: SetDrain("e", true)})
		if result.Revision != 1 || table.content().head.GetRevision() != 2 || !s.Ready() {
			t.Errorf("result %+v, the table is at %d", result, table.content().head.GetRevision())
		}
	})
}

// A peer's snapshot that was sent before the newest change arrives after it. The current set must not revert.
func TestStoreNeverLearnsAnOldRevision(t *testing.T) {
	deltas, snapshots := chain(5)
	s := newTestStore(newMemTable(), Options{})
	steps := []struct {
		name     string
		snapshot *pb.Snapshot
		deltas   []*pb.Delta
		want     uint64
		err      error
	}{
		{"snapshot", snapshots[3], nil, 3, nil},
		{"older snapshot", snapshots[2], nil, 3, nil},
		{"next deltas, some already applied", nil, deltas[1:4], 4, nil},
		{"gap", nil, []*pb.Delta{{Revision: 9}}, 4, ErrGap},
		{"snapshot and delta", snapshots[4], deltas[4:], 5, nil},
		{"old snapshot and deltas", snapshots[1], deltas, 5, nil},
	}
	for _, step := range steps {
		err := s.ApplyFromPeer(step.snapshot, step.deltas)
		if !errors.Is(err, step.err) || (err == nil) != (step.err == nil) {
			t.Errorf("%s: error %v, want %v", step.name, err, step.err)
		}
		if got := s.Current(); got.Revision() != step.want || labelOf(got) != fmt.Sprintf("r%d", step.want) {
			t.Errorf("%s: revision %d holds %s, want %d", step.name, got.Revision(), labelOf(got), step.want)
		}
	}
}

// The table loses rows. The store must keep its current set, return an error, and not apply the older state.
func TestStoreRefusesATableThatWentBack(t *testing.T) {
	table := newMemTable()
	s := newTestStore(table, Options{EditTimeout: time.Second})
	mustEdit(t, s, EditRequest{Change: putEngine("e")})
	mustEdit(t, s, EditRequest{Change: putEngine("f")})
	if _, err := s.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	table.rows = map[string]backing.Row{}
	if _, err := s.refresh(t.Context()); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error is %v", err)
	}
	if s.Current().Revision() != 2 {
		t.Errorf("revision is %d", s.Current().Revision())
	}
}

// While the table is unavailable, the store must back off; once it is back, the store must recover quickly.
func TestRunBacksOffAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemTable()
		table.beforeRead = func(context.Context) error { return backing.ErrUnavailable }
		s := newTestStore(table, Options{})
		runStore(t, s)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		if table.reads > 600 {
			t.Errorf("%d reads in ten minutes of outage", table.reads)
		}
		if seconds := s.outageSeconds(); seconds < 590 {
			t.Errorf("outage of %v s", seconds)
		}
		table.mu.Lock()
		table.beforeRead = nil
		table.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if !s.Ready() || !s.OutageSince().IsZero() || s.outageSeconds() != 0 {
			t.Errorf("ready %v, outage since %v", s.Ready(), s.OutageSince())
		}
	})
}

// Edits over HTTP against the platform's stand-in: each way in which the table loses a response, and an outage.
func TestStoreOverHTTP(t *testing.T) {
	standin := standinplatform.New(standinplatform.Options{Seed: 1})
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	table := backing.NewHTTPTable(backing.Options{TableURL: server.URL, Timeout: 2 * time.Second}, server.Client())
	s := newTestStore(table, Options{})
	fault := func(change func(*standinplatform.StoreFaults)) {
		standin.Faults().Update(func(f *standinplatform.Faults) { change(&f.Table) })
	}
	cases := []struct {
		name  string
		fault func(*standinplatform.StoreFaults)
	}{
		{"no fault", func(*standinplatform.StoreFaults) {}},
		{"lost before", func(f *standinplatform.StoreFaults) { f.LoseBefore.Next = 2 }},
		{"lost after", func(f *standinplatform.StoreFaults) { f.LoseAfter.Next = 2 }},
		{"delayed", func(f *standinplatform.StoreFaults) { f.Delay.Next, f.DelaySeconds = 2, 0.05 }},
	}
	for i, c := range cases {
		fault(c.fault)
		result := mustEdit(t, s, EditRequest{BasedOn: uint64(i), Change: putEngine("org/e:" + strconv.Itoa(i))})
		if result.Revision != uint64(i)+1 {
			t.Errorf("%s: revision %d", c.name, result.Revision)
		}
	}
	fault(func(f *standinplatform.StoreFaults) { f.Outage = true })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := s.Edit(ctx, EditRequest{Change: putEngine("f")}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("in the outage: %v", err)
	}
	fault(func(f *standinplatform.StoreFaults) { f.Outage = false })
	reader := newTestStore(table, Options{})
	if _, err := reader.refresh(t.Context()); err != nil || len(reader.Current().Engines()) != len(cases) {
		t.Errorf("another store reads %v, %v", reader.Current().Engines(), err)
	}
}
