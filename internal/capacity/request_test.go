package capacity

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/replicas"
	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

var candidateCounts = []int{10, 100, 1000, 10000}

func loadedCandidates(n int) []routing.Candidate {
	list := make([]routing.Candidate, n)
	for i := range list {
		list[i] = routing.Candidate{
			Endpoint:      engineName(i),
			FailureDomain: domainName(i),
			SlotIndex:     i,
			State:         wirepb.ReplicaState_LOADED,
			HasAdapter:    true,
			Running:       i * 7 % 16,
			ReportedAt:    start,
			Reachable:     true,
		}
	}
	return list
}

// BenchmarkPick measures the CPU time to pick an endpoint, with a scan over all candidates and with random sampling from an
// index.
func BenchmarkPick(b *testing.B) {
	picks := []struct {
		name  string
		build func(r *routing.Router, list []routing.Candidate) func()
	}{
		{"scan", func(r *routing.Router, list []routing.Candidate) func() {
			return func() { r.Pick(start, list, nil, wirepb.Class_INTERACTIVE) }
		}},
		{"index", func(r *routing.Router, list []routing.Candidate) func() {
			x := routing.NewIndex()
			for _, c := range list {
				x.Put(c)
			}
			return func() { r.PickIndexed(start, x, nil, wirepb.Class_INTERACTIVE) }
		}},
	}
	for _, p := range picks {
		b.Run(p.name, func(b *testing.B) {
			benchmarkSizes(b, "cpu-ns", candidateCounts, func(b *testing.B, n int) float64 {
				pick := p.build(routing.NewRouter(routing.Options{Seed: 1}), loadedCandidates(n))
				ns := cpuPerOp(b, func(int) { pick() })
				b.ReportMetric(1e9/ns, "picks/s")
				return ns
			})
		})
	}
}

// BenchmarkSlotsOfRow measures the CPU time to look up every engine's slot in a row, which an entry does for each request.
func BenchmarkSlotsOfRow(b *testing.B) {
	benchmarkSizes(b, "cpu-ns", []int{2, 20, 200, 1000}, func(b *testing.B, n int) float64 {
		row := rowOf(1, n)
		return cpuPerOp(b, func(int) {
			for _, s := range row.Slots {
				if replicas.SlotOf(row, s.Engine, s.Host) != s {
					b.Fatal("SlotOf returned a wrong slot")
				}
			}
		})
	})
}

func waitingRequest(i int) admission.Request {
	return admission.Request{
		ID:       "entry-0001-kq3v9f2t-" + strconv.Itoa(i),
		Target:   admission.Target{Model: versionName(i % 5), Adapter: adapterName(i % 50)},
		Class:    wirepb.Class_INTERACTIVE,
		Caller:   strconv.Itoa(i % 97),
		Arrived:  start,
		Deadline: start.Add(time.Hour + time.Duration(i%60)*time.Second),
		Stream:   true,
	}
}

// BenchmarkQueuedRequest measures the memory of requests in an agent's queue, and the CPU time to add and remove one.
func BenchmarkQueuedRequest(b *testing.B) {
	sizes := []int{100, 1000, 10000}
	estimate := admission.Estimate{Ready: true, MeanServiceTime: time.Microsecond, Concurrency: 16, Running: 16}
	fill := func(n int) *admission.Queue {
		q := admission.NewQueue(admission.Options{MaxWaiting: n + 1})
		for i := range n {
			q.Offer(start, waitingRequest(i), estimate)
		}
		return q
	}
	b.Run("memory", func(b *testing.B) {
		benchmarkSizes(b, "held-bytes", sizes, func(b *testing.B, n int) float64 {
			held := retainedBytes(func() any { return fill(n) })
			for b.Loop() {
				continue
			}
			return held
		})
	})
	b.Run("time", func(b *testing.B) {
		benchmarkSizes(b, "cpu-ns", sizes, func(b *testing.B, n int) float64 {
			q := fill(n)
			return cpuPerOp(b, func(i int) {
				q.Offer(start, waitingRequest(n+i), estimate)
				q.Remove(waitingRequest(i).ID)
			})
		})
	})
}

// BenchmarkOpenStream measures the memory of open request streams between an entry and an agent, for both ends together and
// without the per-request state of either.
func BenchmarkOpenStream(b *testing.B) {
	benchmarkSizes(b, "held-bytes", []int{100, 1000, 5000}, func(b *testing.B, n int) float64 {
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		logger := slog.New(slog.DiscardHandler)
		opened := make(chan struct{}, n)
		serve := func(ctx context.Context, _ *wirepb.StreamHeader, _ *wire.Stream) {
			opened <- struct{}{}
			<-ctx.Done()
		}
		go func() { _ = wire.Serve(ctx, listener, wire.DefaultOptions(), logger, serve) }()
		session, err := wire.Dial(ctx, listener.Addr().String(), wire.DefaultOptions(), logger)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = session.Close() }()
		before := memoryInUse()
		var streams []*wire.Stream
		for range n {
			s, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_REQUEST}, wire.MaxFrameBytes)
			if err != nil {
				b.Fatal(err)
			}
			streams = append(streams, s)
			<-opened
		}
		held := memoryInUse() - before
		for b.Loop() {
			continue
		}
		for _, s := range streams {
			_ = s.Close()
		}
		return held
	})
}

// BenchmarkTimelineEvent measures the memory of the retained events and the CPU time to record one.
func BenchmarkTimelineEvent(b *testing.B) {
	event := func(i int) timeline.Event {
		return timeline.Event{
			Kind:     timeline.RequestOffered,
			Request:  "entry-0001-kq3v9f2t-" + strconv.Itoa(i),
			Model:    versionName(3),
			Endpoint: engineName(17),
		}
	}
	fill := func(n int) *timeline.Recorder {
		r := timeline.NewRecorder("entry-0001", n, timeline.NewHybridClock(time.Now))
		for i := range n {
			r.Record(event(i))
		}
		return r
	}
	sizes := []int{1024, 8192, 65536}
	b.Run("memory", func(b *testing.B) {
		benchmarkSizes(b, "held-bytes", sizes, func(b *testing.B, n int) float64 {
			held := retainedBytes(func() any { return fill(n) })
			for b.Loop() {
				continue
			}
			return held
		})
	})
	b.Run("time", func(b *testing.B) {
		benchmarkSizes(b, "cpu-ns", sizes, func(b *testing.B, n int) float64 {
			r := fill(n)
			return cpuPerOp(b, func(i int) { r.Record(event(i)) })
		})
	})
}

// BenchmarkPermit measures the CPU time to request, grant and end one permit while others wait.
func BenchmarkPermit(b *testing.B) {
	benchmarkSizes(b, "cpu-ns", []int{10, 100, 1000, 10000}, func(b *testing.B, n int) float64 {
		budget := permits.NewBudget(permits.Options{LoadsAtOnce: 4, MaxAdapterLoads: 30})
		ask := func(i int) {
			budget.Request(start, engineName(i%targetEngines), &wirepb.PermitRequest{
				Id:          strconv.Itoa(i),
				Kind:        wirepb.PermitKind_ADAPTER,
				Model:       adapterName(i % targetAdapters),
				SlackMicros: int64(i%60) * 1e6,
			})
		}
		for i := range n + 30 {
			ask(i)
		}
		given := budget.Decide(start)
		return cpuPerOp(b, func(i int) {
			for _, g := range given {
				budget.Done(start, g.Agent, g.Permit.Id)
			}
			ask(n + 30 + i)
			given = budget.Decide(start)
		})
	})
}
