package capacity

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
)

// objectKinds lists the kinds of declarations whose number grows with the system.
var objectKinds = []struct {
	name     string
	sizes    []int
	snapshot func(n int) *pb.Snapshot
}{
	{"models", []int{51, 200, 1000}, func(n int) *pb.Snapshot { return snapshotOf(n, 0, 0) }},
	{"adapters", []int{270, 2700, 27000}, func(n int) *pb.Snapshot { return snapshotOf(51, n, 0) }},
	{"engines", []int{100, 1000, 10000}, func(n int) *pb.Snapshot { return snapshotOf(51, 0, n) }},
}

func encode(tb testing.TB, m proto.Message) []byte {
	tb.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func decodedSet(tb testing.TB, data []byte) *declarations.Set {
	tb.Helper()
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		tb.Fatal(err)
	}
	set, err := declarations.NewSet(snapshot)
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

// BenchmarkSnapshotWireBytes measures the encoded size of a snapshot for each kind of declaration.
func BenchmarkSnapshotWireBytes(b *testing.B) {
	for _, kind := range objectKinds {
		b.Run(kind.name, func(b *testing.B) {
			benchmarkSizes(b, "wire-bytes", kind.sizes, func(b *testing.B, n int) float64 {
				size := 0
				snapshot := kind.snapshot(n)
				for b.Loop() {
					size = proto.Size(snapshot)
				}
				return float64(size)
			})
		})
	}
}

// BenchmarkSnapshotMemory measures the memory of a decoded snapshot for each kind of declaration.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, kind := range objectKinds {
		b.Run(kind.name, func(b *testing.B) {
			benchmarkSizes(b, "held-bytes", kind.sizes, func(b *testing.B, n int) float64 {
				data := encode(b, kind.snapshot(n))
				held := retainedBytes(func() any { return decodedSet(b, data) })
				for b.Loop() {
					decodedSet(b, data)
				}
				return held
			})
		})
	}
}

// BenchmarkSnapshotTaken measures the CPU time to decode a snapshot and build the set of declarations.
func BenchmarkSnapshotTaken(b *testing.B) {
	for _, kind := range objectKinds {
		b.Run(kind.name, func(b *testing.B) {
			benchmarkSizes(b, "cpu-ns", kind.sizes, func(b *testing.B, n int) float64 {
				data := encode(b, kind.snapshot(n))
				return cpuPerOp(b, func(int) { decodedSet(b, data) })
			})
		})
	}
}

// BenchmarkDeltaApplied measures the CPU time to apply a one-adapter delta by the number of adapters.
func BenchmarkDeltaApplied(b *testing.B) {
	benchmarkSizes(b, "cpu-ns", []int{270, 2700, 27000}, func(b *testing.B, n int) float64 {
		set := decodedSet(b, encode(b, snapshotOf(targetModels, n, 0)))
		data := encode(b, deltaOf(2))
		ns := cpuPerOp(b, func(int) {
			delta := &pb.Delta{}
			if err := proto.Unmarshal(data, delta); err != nil {
				b.Fatal(err)
			}
			if _, err := set.Apply(delta); err != nil {
				b.Fatal(err)
			}
		})
		b.ReportMetric(float64(len(data)), "wire-bytes")
		return ns
	})
}
