package capacity

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas"
	"balsamsail/internal/selector"
)

// grantsSite is a site whose grants are decided without a table.
type grantsSite struct {
	decider  *replicas.Decider
	snapshot replicas.Snapshot
	now      time.Time
	revision uint64
}

// slotsPerEngine is how many model versions each engine has a slot of, on average.
const slotsPerEngine = 2

// newGrantsSite returns a site of the target's models on that many engines, all slots granted.
func newGrantsSite(tb testing.TB, engines int) *grantsSite {
	tb.Helper()
	s := &grantsSite{decider: replicas.NewDecider(replicas.DefaultPolicy()), now: start, revision: 1}
	s.snapshot = replicas.Snapshot{
		Declared:       replicas.Declared{Revision: 1},
		Rows:           map[string]replicas.RowView{},
		EnginesVersion: 1,
		Hosts:          replicas.HostsView{Version: 1, States: map[string]backing.HostState{}},
		Since:          start.Add(-time.Hour),
	}
	for i := range engines {
		s.snapshot.Hosts.States[hostName(i)] = backing.HostLive
		s.snapshot.Engines = append(s.snapshot.Engines, replicas.EngineView{
			Name:          engineName(i),
			FailureDomain: domainName(i),
			Host:          hostName(i),
			Labels:        engineLabels(i),
			MemoryBytes:   640 * gib,
			Reachable:     true,
			Since:         start.Add(-time.Hour),
		})
	}
	all, err := selector.Parse("accelerator in (large,small)")
	if err != nil {
		tb.Fatal(err)
	}
	slots := max(2, engines*slotsPerEngine/targetModels)
	for i := range targetModels {
		s.snapshot.Declared.Models = append(s.snapshot.Declared.Models, replicas.ModelSpec{
			Model:       versionName(i),
			Selector:    all,
			MemoryBytes: 44 * gib,
			Min:         slots,
			Max:         slots + slots/10 + 1,
		})
	}
	for range 100 {
		changes := s.decide()
		if len(changes) == 0 {
			return s
		}
		s.apply(changes)
		s.now = s.now.Add(time.Second)
	}
	tb.Fatal("the decisions don't settle")
	return nil
}

func (s *grantsSite) decide() []replicas.Change { return s.decider.Decide(s.now, &s.snapshot).Changes }

func (s *grantsSite) apply(changes []replicas.Change) {
	for _, c := range changes {
		s.revision++
		c.Next.Revision = s.revision
		s.snapshot.Rows[c.Model] = replicas.RowView{Row: c.Next, Since: s.now}
	}
}

// takeAway lists the hosts of a failure domain as gone.
func (s *grantsSite) takeAway(domain string) {
	s.snapshot.Hosts.Version++
	for _, e := range s.snapshot.Engines {
		if e.FailureDomain == domain {
			s.snapshot.Hosts.States[e.Host] = backing.HostGone
		}
	}
}

var decisionSizes = []int{1000, 3000, 10000}

// BenchmarkDecision gives the processor time of a decision over all models by the number of engines: when one row has
// changed, when the engines have changed, and when a failure domain has gone.
func BenchmarkDecision(b *testing.B) {
	b.Run("rows", func(b *testing.B) {
		sweep(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantsSite(b, n)
			return cpuPerOp(b, func(int) { s.decide() })
		})
	})
	b.Run("engines", func(b *testing.B) {
		sweep(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantsSite(b, n)
			return cpuPerOp(b, func(int) {
				s.snapshot.EnginesVersion++
				s.decide()
			})
		})
	})
	b.Run("domain gone", func(b *testing.B) {
		sweep(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantsSite(b, n)
			s.takeAway(domainName(0))
			var changes []replicas.Change
			ns := cpuPerOp(b, func(int) {
				s.snapshot.EnginesVersion++
				changes = s.decide()
			})
			b.ReportMetric(float64(len(changes)), "writes")
			return ns
		})
	})
}

// BenchmarkRowBytes gives the bytes of a row of grants by its slots.
func BenchmarkRowBytes(b *testing.B) {
	sweep(b, "wire-bytes", []int{2, 40, 400}, func(b *testing.B, n int) float64 {
		row := rowOf(1, n)
		size := 0
		for b.Loop() {
			value, err := replicas.EncodeRow(row)
			if err != nil {
				b.Fatal(err)
			}
			size = len(value)
		}
		return float64(size)
	})
}

// BenchmarkRowMemory gives the memory of the decoded rows of all models by their slots.
func BenchmarkRowMemory(b *testing.B) {
	sweep(b, "held-bytes", []int{2, 40, 400}, func(b *testing.B, n int) float64 {
		value, err := replicas.EncodeRow(rowOf(1, n))
		if err != nil {
			b.Fatal(err)
		}
		stored := backing.Row{Key: replicas.Key(versionName(1)), Revision: 7, Value: value}
		decode := func() any {
			row, err := replicas.DecodeRow(stored)
			if err != nil {
				b.Fatal(err)
			}
			return row
		}
		held := heldBytes(func() any {
			rows := make([]any, targetModels)
			for i := range rows {
				rows[i] = decode()
			}
			return rows
		})
		for b.Loop() {
			decode()
		}
		return held / targetModels
	})
}
