package replicas

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
)

// benchSizes are the sizes of a present larger deployment, and of one region and of the whole fleet at the design
// target. The number of slots keeps two model versions on each engine when all are busy. Adapters have no rows of their
// own.
var benchSizes = []struct{ models, engines, slots int }{{105, 18, 2}, {51, 1000, 40}, {51, 10000, 400}}

// settledSite returns a site in which each model version has the given number of slots.
func settledSite(tb testing.TB, modelCount, engineCount, slots int) *site {
	domains := make([]string, 35)
	for i := range domains {
		domains[i] = fmt.Sprint("domain", i)
	}
	specs := models(modelCount)
	for i := range specs {
		specs[i].Min, specs[i].Max = slots, slots+slots/10+1
	}
	s := newSite(specs, engines(engineCount, domains...))
	s.EnginesVersion = 1
	s.run(tb)
	return s
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range benchSizes {
		s := settledSite(b, size.models, size.engines, size.slots)
		name := fmt.Sprintf("models=%d/engines=%d", size.models, size.engines)
		b.Run(name+"/nothing to do", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.decide()
			}
		})
		b.Run(name+"/row changed", func(b *testing.B) {
			now := s.Rows[testModel]
			other := RowView{Row: proto.CloneOf(now.Row), Since: now.Since}
			b.ReportAllocs()
			for b.Loop() {
				now, other = other, now
				s.Rows[testModel] = now
				s.decide()
			}
		})
		b.Run(name+"/engines changed", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.EnginesVersion++
				s.decide()
			}
		})
		b.Run(name+"/engine gone", func(b *testing.B) {
			s.listHosts(func(states map[string]backing.HostState) { states["h0"] = backing.HostGone })
			b.ReportAllocs()
			changes := 0
			for b.Loop() {
				changes = len(s.decide())
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

// BenchmarkFirstDecision measures the placement of all baseline slots for an empty table.
func BenchmarkFirstDecision(b *testing.B) {
	for _, size := range benchSizes {
		s := newSite(models(size.models), engines(size.engines, "north", "east", "cargo"))
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.decide()
			}
		})
	}
}

// BenchmarkIdleRound measures a round of the Manager in which nothing has changed and no read is due.
func BenchmarkIdleRound(b *testing.B) {
	for _, size := range benchSizes {
		s := settledSite(b, size.models, size.engines, size.slots)
		b.Run(fmt.Sprintf("models=%d/engines=%d", size.models, size.engines), func(b *testing.B) {
			options := DefaultOptions()
			options.Interval, options.FullInterval = 1<<62, 1<<62
			m := newTestManager(options, newMemoryTable(), &siteInputs{site: s, self: "entry"})
			m.store.applyListing(s.now, backing.Listing{}, true)
			for _, view := range s.Rows {
				m.store.put(s.now, view.Row)
			}
			m.round(context.Background())
			b.ReportAllocs()
			for b.Loop() {
				m.round(context.Background())
			}
		})
	}
}

// BenchmarkEncodeRow reports the size of a row in the table and on the wire.
func BenchmarkEncodeRow(b *testing.B) {
	for _, slots := range []int{2, 40, 400} {
		s := settledSite(b, 1, max(slots, 18), slots)
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			size := 0
			for b.Loop() {
				value, err := EncodeRow(s.Rows[testModel].Row)
				if err != nil {
					b.Fatal(err)
				}
				size = len(value)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
