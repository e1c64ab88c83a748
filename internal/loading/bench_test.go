package loading

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
)

const (
	benchAdapters = 2700
	benchLoaded   = 8
)

// benchMachine returns a machine with slots for all of the models, some of which are loaded with up to 20 adapters
// each.
func benchMachine(models int) (*Machine, time.Time) {
	now := time.Unix(1_000_000, 0)
	m := NewMachine(Options{Engine: "e", MemoryBytes: 100 * benchLoaded, StateInterval: time.Hour}, fixedPolicy(time.Hour))
	specs := SpecsChanged{}
	read := RowsRead{Revision: 9}
	state := endpoint.EngineState{Incarnation: "1", MemoryBytes: 1000}
	for i := range models {
		name := fmt.Sprintf("model-%d@1", i)
		specs.Models = append(specs.Models, ModelSpec{Model: name, MemoryBytes: 100})
		read.Rows = append(read.Rows, &replicaspb.Row{Model: name, Revision: 5, Slots: []*replicaspb.Slot{
			{Engine: "e", State: replicaspb.SlotState_GRANTED}, {Engine: "f", State: replicaspb.SlotState_GRANTED},
		}})
		if i < benchLoaded {
			state.Models = append(state.Models, endpoint.LoadedModel{Model: name, State: endpoint.EngineLoaded, MemoryBytes: 100})
		}
	}
	for i := range benchAdapters {
		spec := AdapterSpec{Adapter: fmt.Sprint("adapter-", i), Model: specs.Models[i%models].Model}
		specs.Adapters = append(specs.Adapters, spec)
		if at := i % models; at < len(state.Models) && len(state.Models[at].Adapters) < 20 {
			state.Models[at].Adapters = append(state.Models[at].Adapters, spec.Adapter)
		}
	}
	for _, e := range []Event{Tick{}, specs, read, EngineRead{State: state}} {
		m.Step(now, e)
	}
	return m, now
}

func benchSizes(b *testing.B, run func(b *testing.B, m *Machine, now time.Time)) {
	for _, models := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			m, now := benchMachine(models)
			b.ReportAllocs()
			run(b, m, now)
		})
	}
}

// BenchmarkWarmRequest measures a request to a loaded model: three steps.
func BenchmarkWarmRequest(b *testing.B) {
	benchSizes(b, func(b *testing.B, m *Machine, now time.Time) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			m.Step(now, RequestWaiting{Request: "r", Model: "model-1@1", Deadline: now.Add(time.Minute)})
			m.Step(now, Started{Request: "r", Model: "model-1@1"})
			m.Step(now, Finished{Request: "r"})
		}
	})
}

// BenchmarkWake measures a request to an unloaded model that evicts another: six steps.
func BenchmarkWake(b *testing.B) {
	benchSizes(b, func(b *testing.B, m *Machine, now time.Time) {
		done := func(actions []Action) []Action {
			for _, a := range actions {
				if o, ok := a.(SendOrder); ok {
					return m.Step(now, OrderDone{ID: o.Order.ID})
				}
			}
			return nil
		}
		i := 0
		for b.Loop() {
			now = now.Add(time.Second)
			i++
			model := fmt.Sprintf("model-%d@1", i%10)
			actions := m.Step(now, RequestWaiting{Request: "r", Model: model, Deadline: now.Add(time.Minute)})
			for range 2 {
				actions = done(actions)
			}
			m.Step(now, Started{Request: "r", Model: model})
			m.Step(now, Finished{Request: "r"})
		}
	})
}

// BenchmarkTick measures a step without any change.
func BenchmarkTick(b *testing.B) {
	benchSizes(b, func(b *testing.B, m *Machine, now time.Time) {
		for b.Loop() {
			m.Step(now, Tick{})
		}
	})
}

// BenchmarkRead measures a read of the engine's state.
func BenchmarkRead(b *testing.B) {
	benchSizes(b, func(b *testing.B, m *Machine, now time.Time) {
		state := endpoint.EngineState{Incarnation: "1", MemoryBytes: 1000}
		for i := range benchLoaded {
			name := fmt.Sprintf("model-%d@1", i)
			state.Models = append(state.Models, endpoint.LoadedModel{Model: name, State: endpoint.EngineLoaded, MemoryBytes: 100})
		}
		for b.Loop() {
			m.scheduleRead()
			m.Step(now, Tick{})
			m.Step(now, EngineRead{State: state})
		}
	})
}

// BenchmarkStatus measures the status report to the entries.
func BenchmarkStatus(b *testing.B) {
	benchSizes(b, func(b *testing.B, m *Machine, now time.Time) {
		for b.Loop() {
			m.Status(now)
		}
	})
}

// BenchmarkHeld reports the memory that a machine uses.
func BenchmarkHeld(b *testing.B) {
	for _, models := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				m, _ := benchMachine(models)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-bytes")
		})
	}
}
