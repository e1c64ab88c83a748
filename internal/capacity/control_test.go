package capacity

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/membership"
	"balsamsail/internal/wire/wirepb"
)

// start is the fixed time that the deterministic benchmarks use.
var start = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)

// framedBytes is the size of a message with its length prefix.
func framedBytes(m proto.Message) float64 {
	n := proto.Size(m)
	return float64(n + len(strconv.Itoa(n))/2 + 1)
}

// BenchmarkStatusBytes measures the size of a full status report by the number of an engine's model versions.
func BenchmarkStatusBytes(b *testing.B) {
	sizes := []int{2, 10, 51}
	b.Run("full", func(b *testing.B) {
		benchmarkSizes(b, "wire-bytes", sizes, func(b *testing.B, n int) float64 {
			size := 0.0
			for b.Loop() {
				size = framedBytes(&wirepb.ControlUp{Acknowledged: 1000, Clock: 1 << 57, Status: statusOf(1, n)})
			}
			return size
		})
	})
}

// viewOf returns a membership view in which all of the given number of engines have reported.
func viewOf(engines, models int) *membership.View {
	view := membership.NewView()
	view.ApplyHosts(endpointHosts(engines, "10.20.30.40:7100"), 1)
	for i := range engines {
		view.ApplyReport(start, engineName(i), statusOf(i, models))
	}
	return view
}

var engineCounts = []int{100, 1000, 10000}

// BenchmarkViewMemory measures the memory of an entry's view of engines with slots of ten model versions each.
func BenchmarkViewMemory(b *testing.B) {
	benchmarkSizes(b, "held-bytes", engineCounts, func(b *testing.B, n int) float64 {
		held := retainedBytes(func() any { return viewOf(n, 10) })
		for b.Loop() {
			continue
		}
		return held
	})
}

// BenchmarkViewReport measures the CPU time to decode and apply a report by the number of engines in the view.
func BenchmarkViewReport(b *testing.B) {
	for _, full := range []bool{true, false} {
		b.Run("full="+strconv.FormatBool(full), func(b *testing.B) {
			benchmarkSizes(b, "cpu-ns", engineCounts, func(b *testing.B, n int) float64 {
				view := viewOf(n, 10)
				status := statusOf(0, 10)
				if !full {
					status.Full, status.Labels, status.Replicas = false, nil, status.Replicas[:1]
				}
				data := encode(b, &wirepb.ControlUp{Status: status})
				return cpuPerOp(b, func(i int) {
					up := &wirepb.ControlUp{}
					if err := proto.Unmarshal(data, up); err != nil {
						b.Fatal(err)
					}
					view.ApplyReport(start, engineName(i%n), up.Status)
				})
			})
		})
	}
}

// BenchmarkHostList measures the CPU time to apply a changed host list, and the JSON bytes per host.
func BenchmarkHostList(b *testing.B) {
	benchmarkSizes(b, "cpu-ns", engineCounts, func(b *testing.B, n int) float64 {
		view := viewOf(n, 10)
		hosts := endpointHosts(n, "10.20.30.40:7100")
		ns := cpuPerOp(b, func(i int) { view.ApplyHosts(hosts, uint64(i+2)) })
		text, err := json.Marshal(hosts)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(text))/float64(n), "json-bytes/host")
		return ns
	})
}
