package capacity

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas"
	"balsamsail/internal/selector"
)

// grantBench runs the replica decider on an in-memory snapshot, without a table.
type grantBench struct {
	decider  *replicas.Decider
	snapshot replicas.Snapshot
	now      time.Time
	revision uint64
}

// slotsPerEngine is the average number of model versions for which an engine has a slot.
const slotsPerEngine = 2

// newGrantBench returns a grantBench with the target's models on the given number of engines and all slots granted.
func newGrantBench(tb testing.TB, engines int) *grantBench {
	tb.Helper()
	s := &grantBench{decider: replicas.NewDecider(replicas.DefaultPolicy()), now: start, revision: 1}
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
	tb.Fatal("the decisions did not converge in 100 rounds")
	return nil
}

func (s *grantBench) decide() []replicas.Change { return s.decider.Decide(s.now, &s.snapshot).Changes }

func (s *grantBench) apply(changes []replicas.Change) {
	for _, c := range changes {
		s.revision++
		c.Next.Revision = s.revision
		s.snapshot.Rows[c.Model] = replicas.RowView{Row: c.Next, Since: s.now}
	}
}

// removeDomain marks all hosts of a failure domain as gone.
func (s *grantBench) removeDomain(domain string) {
	s.snapshot.Hosts.Version++
	for _, e := range s.snapshot.Engines {
		if e.FailureDomain == domain {
			s.snapshot.Hosts.States[e.Host] = backing.HostGone
		}
	}
}

var decisionSizes = []int{1000, 3000, 10000}

// BenchmarkDecision measures the CPU time of a decision for all models by the number of engines: after a change of rows,
// after a change of engines, and after the loss of a failure domain.
func BenchmarkDecision(b *testing.B) {
	b.Run("rows", func(b *testing.B) {
		benchmarkSizes(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantBench(b, n)
			return cpuPerOp(b, func(int) { s.decide() })
		})
	})
	b.Run("engines", func(b *testing.B) {
		benchmarkSizes(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantBench(b, n)
			return cpuPerOp(b, func(int) {
				s.snapshot.EnginesVersion++
				s.decide()
			})
		})
	})
	b.Run("domain gone", func(b *testing.B) {
		benchmarkSizes(b, "cpu-ns", decisionSizes, func(b *testing.B, n int) float64 {
			s := newGrantBench(b, n)
			s.removeDomain(domainName(0))
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

// BenchmarkRowBytes measures the encoded size of a row of grants by its number of slots.
func BenchmarkRowBytes(b *testing.B) {
	benchmarkSizes(b, "wire-bytes", []int{2, 40, 400}, func(b *testing.B, n int) float64 {
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

// BenchmarkRowMemory measures the memory of a decoded row by its number of slots, averaged over the rows of all models.
func BenchmarkRowMemory(b *testing.B) {
	benchmarkSizes(b, "held-bytes", []int{2, 40, 400}, func(b *testing.B, n int) float64 {
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
		held := retainedBytes(func() any {
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
