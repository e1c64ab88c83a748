package replicas

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/selector"
)

const gibibyte = int64(1) << 30

// start is the initial time of the tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// memoryTable is a transactional table in memory.
type memoryTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]backing.Row
	// gets, lists and commits are call counts.
	gets, lists, commits int
	// fault, if set, is called before each commit; its error is returned by Commit. If takeEffect is true the commit
	// takes effect nevertheless.
	fault func(backing.Txn) (err error, takeEffect bool)
	// down makes all calls fail.
	down bool
	// observe, if set, is called for each row that a commit changes.
	observe func(before, after backing.Row)
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]backing.Row{}} }

func (t *memoryTable) Get(_ context.Context, key string) (backing.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gets++
	if t.down {
		return backing.Row{}, backing.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

func (t *memoryTable) List(_ context.Context, prefix string, after uint64) (backing.Listing, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists++
	if t.down {
		return backing.Listing{}, backing.ErrUnavailable
	}
	listing := backing.Listing{Revision: t.revision}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			listing.Rows = append(listing.Rows, row)
		}
	}
	slices.SortFunc(listing.Rows, func(a, b backing.Row) int { return cmp.Compare(a.Key, b.Key) })
	return listing, nil
}

func (t *memoryTable) Commit(_ context.Context, txn backing.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	if t.down {
		return 0, backing.ErrUnavailable
	}
	if t.fault == nil {
		return t.commit(txn)
	}
	err, takeEffect := t.fault(txn)
	if err == nil || takeEffect {
		revision, commitErr := t.commit(txn)
		if err == nil {
			return revision, commitErr
		}
	}
	return 0, err
}

func (t *memoryTable) commit(txn backing.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if at := t.rows[c.Key].Revision; at != c.Revision {
			return 0, &backing.ConflictError{Key: c.Key, Revision: at}
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.replace(p.Key, backing.Row{Key: p.Key, Revision: t.revision, Value: p.Value})
	}
	for _, key := range txn.Deletes {
		t.replace(key, backing.Row{})
	}
	return t.revision, nil
}

func (t *memoryTable) replace(key string, after backing.Row) {
	before := t.rows[key]
	t.rows[key] = after
	if after.Key == "" {
		delete(t.rows, key)
	}
	if t.observe != nil {
		t.observe(before, after)
	}
}

// row returns a model version's row, or nil.
func (t *memoryTable) row(tb testing.TB, model string) *replicaspb.Row {
	tb.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	stored, ok := t.rows[Key(model)]
	if !ok {
		return nil
	}
	row, err := DecodeRow(stored)
	if err != nil {
		tb.Fatal(err)
	}
	return row
}

// site is a snapshot with helpers to change it.
type site struct {
	Snapshot
	now      time.Time
	revision uint64
	decider  *Decider
}

func newSite(models []ModelSpec, engines []EngineView) *site {
	s := &site{now: start, decider: NewDecider(DefaultPolicy())}
	s.Since = start
	s.Declared = Declared{Revision: 1, Models: models}
	s.Engines = engines
	s.Hosts = HostsView{Version: 1, States: map[string]backing.HostState{}}
	for _, e := range engines {
		s.Hosts.States[e.Host] = backing.HostLive
	}
	s.Rows = map[string]RowView{}
	s.Demand = map[string]Demand{}
	s.Releases = map[string]map[Holder]uint64{}
	return s
}

// engines returns n reachable engines e0, e1, ... spread over the failure domains.
func engines(n int, domains ...string) []EngineView {
	views := make([]EngineView, n)
	for i := range views {
		views[i] = EngineView{
			Name:          fmt.Sprintf("e%d", i),
			Host:          fmt.Sprintf("h%d", i),
			FailureDomain: domains[i%len(domains)],
			Labels:        map[string]string{"pool": "a"},
			MemoryBytes:   80 * gibibyte,
			Reachable:     true,
			Since:         start,
		}
	}
	return views
}

// models returns n declared model versions m0@1, m1@1, ...
func models(n int) []ModelSpec {
	specs := make([]ModelSpec, n)
	for i := range specs {
		specs[i] = ModelSpec{
			Model:       fmt.Sprintf("m%d@1", i),
			Selector:    selector.MustParse("pool in (a, b)"),
			MemoryBytes: 16 * gibibyte,
			Max:         4,
			Concurrency: 8,
		}
	}
	return specs
}

// decide runs one decision.
func (s *site) decide() []Change { return s.decider.Decide(s.now, &s.Snapshot).Changes }

// apply applies changes as the table would.
func (s *site) apply(changes []Change) {
	for _, c := range changes {
		s.revision++
		if len(c.Next.Slots) == 0 {
			delete(s.Rows, c.Model)
			continue
		}
		row := proto.CloneOf(c.Next)
		row.Revision = s.revision
		s.Rows[c.Model] = RowView{Row: row, Since: s.now}
	}
}

// confirmReleases makes every engine confirm the release of its RELEASING slots.
func (s *site) confirmReleases() {
	for model, view := range s.Rows {
		for _, slot := range view.Row.Slots {
			if slot.State == replicaspb.SlotState_RELEASING {
				s.confirmRelease(model, slot.Engine, slot.Host, view.Row.Revision)
			}
		}
	}
}

func (s *site) confirmRelease(model, engine, host string, revision uint64) {
	if s.Releases[model] == nil {
		s.Releases[model] = map[Holder]uint64{}
	}
	s.Releases[model][Holder{Engine: engine, Host: host}] = revision
}

// run decides, applies and confirms until no change is left, and returns the number of changes. It fails the test if
// the decisions do not converge.
func (s *site) run(tb testing.TB) int {
	tb.Helper()
	const limit = 1000
	total := 0
	for range limit {
		changes := s.decide()
		if len(changes) == 0 {
			return total
		}
		total += len(changes)
		s.apply(changes)
		s.confirmReleases()
		s.now = s.now.Add(100 * time.Millisecond)
	}
	tb.Fatalf("still changing after %d rounds: %v", limit, s.decide())
	return total
}

// edit changes one engine in a copy of the engines.
func (s *site) edit(name string, change func(*EngineView)) {
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		if s.Engines[i].Name == name {
			change(&s.Engines[i])
		}
	}
}

// advance advances the clock by d.
func (s *site) advance(d time.Duration) { s.now = s.now.Add(d) }

// makeUnreachable makes an engine unreachable from now on.
func (s *site) makeUnreachable(name string) {
	s.edit(name, func(e *EngineView) { e.Reachable, e.Since = false, s.now })
}

// listHosts creates a new version of the host list.
func (s *site) listHosts(change func(states map[string]backing.HostState)) {
	s.Hosts = HostsView{Version: s.Hosts.Version + 1, States: maps.Clone(s.Hosts.States)}
	change(s.Hosts.States)
}

// slots formats a row's slots: "e0 e3" for granted, "e0-" for releasing ones.
func (s *site) slots(model string) string { return short(s.Rows[model].Row) }

func short(row *replicaspb.Row) string {
	var names []string
	for _, slot := range row.GetSlots() {
		name := slot.Engine
		if slot.State == replicaspb.SlotState_RELEASING {
			name += "-"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}
