package replicas

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// siteInputs provides a site as the inputs of a Manager.
type siteInputs struct {
	mu   sync.Mutex
	site *site
	self string
	live []string
}

func (f *siteInputs) Declared() (Declared, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.site.Declared, true
}

func (f *siteInputs) Engines() ([]EngineView, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.site.Engines, f.site.EnginesVersion
}

func (f *siteInputs) Hosts() HostsView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.site.Hosts
}

func (f *siteInputs) Self() string                 { return f.self }
func (f *siteInputs) Live() []string               { return f.live }
func (f *siteInputs) Usage(string) (int, []string) { return 0, nil }

func newTestManager(o Options, table backing.Table, in *siteInputs) *Manager {
	return NewManager(o, table, Inputs{in, in, in, in}, clock.Real{}, slog.New(slog.DiscardHandler),
		prometheus.NewRegistry(), nil)
}

// cluster is a set of Managers that share one table, in a testing/synctest bubble.
type cluster struct {
	table    *memoryTable
	site     *site
	inputs   []*siteInputs
	managers []*Manager
}

// runCluster starts entries a, b and c. The first inactive ones are listed as live but not started.
func runCluster(t *testing.T, s *site, inactive int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		s.EnginesVersion = 1
		c := &cluster{table: newMemoryTable(), site: s}
		live := []string{"a", "b", "c"}
		for i, name := range live[inactive:] {
			in := &siteInputs{site: s, self: name, live: live}
			options := DefaultOptions()
			options.Seed = uint64(i)
			// Different settle times keep two entries from acting at the same instant, in an undefined order.
			options.BatchDelay += time.Duration(i) * time.Millisecond
			m := newTestManager(options, c.table, in)
			c.inputs, c.managers = append(c.inputs, in), append(c.managers, m)
			running.Go(func() {
				// The delay keeps the entry from running before the test's first wait.
				time.Sleep(time.Duration(10*i+1) * time.Millisecond)
				_ = m.Run(ctx)
			})
		}
		test(c)
		cancel()
		running.Wait()
	})
}

// change edits the site under every Manager's lock and notifies the Managers.
func (c *cluster) change(edit func(s *site)) {
	for _, in := range c.inputs {
		in.mu.Lock()
	}
	edit(c.site)
	c.site.EnginesVersion++
	for _, in := range c.inputs {
		in.mu.Unlock()
	}
	for _, m := range c.managers {
		m.Notify()
	}
}

// confirm makes every engine confirm the releases in the table.
func (c *cluster) confirm(t *testing.T) {
	for _, spec := range c.site.Declared.Models {
		row := c.table.row(t, spec.Model)
		for _, s := range row.GetSlots() {
			if s.State != replicaspb.SlotState_RELEASING {
				continue
			}
			for _, m := range c.managers {
				m.ConfirmRelease(Release{Model: row.Model, Engine: s.Engine, Host: s.Host, Revision: row.Revision})
			}
		}
	}
}

// callsIn returns the number of commits and reads that the table receives during d.
func (c *cluster) callsIn(d time.Duration) (commits, reads int) {
	c.table.mu.Lock()
	commits, reads = c.table.commits, c.table.lists+c.table.gets
	c.table.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.commits - commits, c.table.lists + c.table.gets - reads
}

// The table accepts a few hundred writes and two thousand reads a second in total. The test bounds the calls per event
// for three entries, 105 model versions and 18 engines.
func TestTableCallsPerEvent(t *testing.T) {
	const settle = 20 * time.Second
	idle := int(3 * settle / time.Second)
	s := newSite(models(105), engines(18, "north", "east", "cargo"))
	runCluster(t, s, 0, func(c *cluster) {
		slotsOf := func(engine string) int { return len(c.managers[0].RowsOf(engine)) }
		all := []struct {
			event string
			do    func()
			// commits returns the number of writes that the event must cause, including writes that fail because of a
			// conflict.
			commits func() int
		}{
			{"start with an empty table", func() {}, func() int { return 105 }},
			{"no change", func() {}, func() int { return 0 }},
			{"engine drained", func() { c.change(func(s *site) { drain("e1")(s) }) },
				func() int { return slotsOf("e1") }},
			{"releases confirmed", func() { c.confirm(t) }, func() int { return slotsOf("e1") }},
			{"engine unreachable, each of its slots replaced", func() {
				c.change(func(s *site) { s.edit("e2", func(e *EngineView) { e.Reachable, e.Since = false, time.Now() }) })
			}, func() int { return slotsOf("e2") }},
			{"its host gone", func() { c.change(setHostState("h2", backing.HostGone)) }, func() int { return slotsOf("e2") }},
			{"slot requested", func() {
				for _, m := range c.managers {
					m.RequestSlot("e0", "m0@1", wirepb.RefusalReason_QUEUE_FULL, 1)
				}
			}, func() int { return 1 }},
		}
		for _, e := range all {
			want := e.commits()
			e.do()
			commits, reads := c.callsIn(settle)
			t.Logf("%-46s %3d writes, %d reads in %v", e.event, commits, reads, settle)
			if commits != want {
				t.Errorf("%s: %d writes, want %d", e.event, commits, want)
			}
			if reads > idle+10 {
				t.Errorf("%s: %d reads, want about %d", e.event, reads, idle)
			}
		}
	})
}

// The entry that ranks first is frozen or cut off from the table. Its model versions must not wait until the host list
// reports that.
func TestOthersStepIn(t *testing.T) {
	runCluster(t, newSite(models(30), engines(6, "north", "east")), 2, func(c *cluster) {
		commits, _ := c.callsIn(5 * time.Second)
		if commits != 30 {
			t.Errorf("%d rows written by the last of three entries, want 30", commits)
		}
	})
}

// The table is down for ten minutes. The rows as last read must stay, the table must not be flooded, and pending
// changes must be made soon after the outage.
func TestTableOutage(t *testing.T) {
	runCluster(t, newSite(models(30), engines(6, "north", "east")), 0, func(c *cluster) {
		c.callsIn(5 * time.Second)
		rows := len(c.managers[0].RowsOf("e0"))
		c.table.mu.Lock()
		c.table.down = true
		c.table.mu.Unlock()
		c.change(func(s *site) { drain("e0")(s) })
		commits, reads := c.callsIn(10 * time.Minute)
		if len(c.managers[0].RowsOf("e0")) != rows || commits+reads > 3*10*60/2 {
			t.Errorf("%d rows of %d kept, %d calls in ten minutes", len(c.managers[0].RowsOf("e0")), rows, commits+reads)
		}
		c.table.mu.Lock()
		c.table.down = false
		c.table.mu.Unlock()
		before := c.table.revision
		commits, _ = c.callsIn(10 * time.Second)
		if made := int(c.table.revision - before); made != rows || commits > 2*rows {
			t.Errorf("%d writes after the outage, of them %d committed, want %d", commits, made, rows)
		}
	})
}

// The table rejects all writes with a rate limit error and answers reads. Hundreds of pending changes must not add to
// the load.
func TestWritesRefused(t *testing.T) {
	runCluster(t, newSite(models(200), engines(18, "north", "east")), 0, func(c *cluster) {
		c.table.fault = func(backing.Txn) (error, bool) { return backing.ErrRateLimited, false }
		if commits, _ := c.callsIn(time.Minute); commits > 150 {
			t.Errorf("%d writes in a minute by three entries", commits)
		}
		c.table.mu.Lock()
		c.table.fault = nil
		c.table.mu.Unlock()
		// Entries resume at different times, and one may write what another is about to write.
		commits, _ := c.callsIn(20 * time.Second)
		t.Logf("%d writes for 200 rows after the table accepts writes again", commits)
		if len(c.table.rows) != 200 || commits > 260 {
			t.Errorf("%d writes and %d rows, want 200 rows with few failed writes", commits, len(c.table.rows))
		}
	})
}

// Responses are lost after the write took effect. No grant may be made twice, and the Managers' rows must match the
// table.
func TestLostAnswers(t *testing.T) {
	runCluster(t, newSite(models(30), engines(6, "north", "east")), 0, func(c *cluster) {
		c.table.mu.Lock()
		c.table.fault = func(backing.Txn) (error, bool) { return backing.ErrOutcomeUnknown, true }
		c.table.mu.Unlock()
		commits, _ := c.callsIn(30 * time.Second)
		if commits != 30 {
			t.Errorf("%d writes, want 30", commits)
		}
		for _, spec := range c.site.Declared.Models {
			for _, m := range c.managers {
				if !proto.Equal(m.Row(spec.Model), c.table.row(t, spec.Model)) {
					t.Errorf("%s: %s in the Manager, %s in the table", spec.Model, short(m.Row(spec.Model)), short(c.table.row(t, spec.Model)))
				}
			}
		}
	})
}

// A row is deleted by another entry. Reads of changed rows do not show deletions; the full read must.
func TestDeletionIsSeen(t *testing.T) {
	runCluster(t, newSite(models(2), engines(2, "north", "east")), 0, func(c *cluster) {
		c.callsIn(5 * time.Second)
		c.change(func(s *site) { s.Declared = Declared{Revision: 2, Models: s.Declared.Models[:1]} })
		c.callsIn(5 * time.Second)
		row := c.table.row(t, "m1@1")
		for _, s := range row.Slots {
			c.managers[0].ConfirmRelease(Release{Model: row.Model, Engine: s.Engine, Host: s.Host, Revision: row.Revision})
		}
		c.callsIn(DefaultOptions().FullInterval + 5*time.Second)
		for i, m := range c.managers {
			if m.Row("m1@1") != nil || c.table.row(t, "m1@1") != nil {
				t.Errorf("entry %d still has %s, table %s", i, short(m.Row("m1@1")), short(c.table.row(t, "m1@1")))
			}
		}
	})
}

// An entry's declarations lag behind an accepted edit, so that each of its writes fails. It must not retry without
// delay.
func TestLaggingDeclarationsDoNotFloodTheTable(t *testing.T) {
	s := newSite(models(1), engines(2, "north", "east"))
	s.Declared.Head = backing.Condition{Key: headKey, Revision: 7}
	runCluster(t, s, 0, func(c *cluster) {
		const seconds = 20
		if commits, _ := c.callsIn(seconds * time.Second); commits > 3*2*seconds {
			t.Errorf("%d writes in %d seconds by three entries", commits, seconds)
		}
		if row := c.table.row(t, testModel); row != nil {
			t.Errorf("granted %s under declarations that are not in force", short(row))
		}
	})
}
