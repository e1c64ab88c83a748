package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// largeSite returns a snapshot of a site with rare models: every engine has three models loaded and 19 on disk, a few
// models are busy, and requests wait for one model in twenty.
func largeSite(engines, models int) Input {
	r := rand.New(rand.NewPCG(1, uint64(engines)))
	in := Input{
		Class:      &catalog.EngineClass{Batch: 16, MemoryMB: 230_000, MaxAdapters: 8, LoadsPerSecond: 52, Models: make(map[string]catalog.Model)},
		Demand:     make(map[string]Demand),
		StoreLoads: 1, StoreLimit: 2,
	}
	name := func(m int) string { return fmt.Sprintf("model-%d", m) }
	for m := range models {
		in.Class.Models[name(m)] = catalog.Model{
			Name: name(m), SizeMB: 65_000 + 7_000*r.Float64(), StoreLoadTime: 14 * time.Second, DiskTime: 1700 * time.Millisecond, MemoryTime: 600 * time.Millisecond, AdapterMB: 66,
		}
		in.Demand[name(m)] = Demand{LongRate: 0.06 * r.Float64(), LastArrival: time.Unix(1000+r.Int64N(60), 0), Target: 4 * time.Second}
	}
	for m := range models / 20 {
		in.Demand[name(m*20+10)] = Demand{Waiting: 1, Peak: 1, OldestWait: time.Duration(r.IntN(2000)) * time.Millisecond, Rate: 0.5, LongRate: 0.1, Target: 4 * time.Second}
	}
	for m := range min(9, models) {
		in.Demand[name(m)] = Demand{Running: engines / 4, Peak: engines / 4, Rate: float64(engines) / 4, LongRate: float64(engines) / 4, Target: 600 * time.Millisecond}
	}
	for i := range engines {
		e := Engine{ID: fmt.Sprintf("engine-%d", i), Free: i%3 != 0, Loaded: make(map[string]bool), InMemory: make(map[string]bool), OnDisk: make(map[string]bool)}
		for j := range 3 {
			m := name(r.IntN(models))
			if i%4 == 0 && j == 0 {
				m = name(r.IntN(min(9, models)))
			}
			e.Loaded[m], e.OnDisk[m] = true, true
		}
		for len(e.OnDisk) < min(19, models) {
			e.OnDisk[name(r.IntN(models))] = true
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

// BenchmarkDecide is the time of a decision by the number of engines and models.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{50, 180, 600, 1200} {
		for _, models := range []int{100, 1060, 4000} {
			in := largeSite(engines, models)
			b.Run(fmt.Sprintf("engines=%d/models=%d", engines, models), func(b *testing.B) {
				for b.Loop() {
					Decide(in)
				}
			})
		}
	}
}
