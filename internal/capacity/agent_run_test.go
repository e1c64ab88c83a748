package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/standin/engine"
	"balsamsail/internal/wire/wirepb"
)

// startEngine starts a stand-in engine in the test process and returns its URL.
func startEngine(t *testing.T, name string) string {
	t.Helper()
	server := engine.New(engine.Options{
		Name:           name,
		MemoryBytes:    640 * gib,
		LoadFromStore:  50 * time.Millisecond,
		LoadAdapter:    10 * time.Millisecond,
		FirstToken:     5 * time.Millisecond,
		BetweenTokens:  5 * time.Millisecond,
		DefaultTokens:  20,
		MaxBatch:       64,
		MaxRunning:     64,
		LoadFromMemory: 50 * time.Millisecond,
		LoadFromDisk:   50 * time.Millisecond,
	})
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return web.URL
}

// agentBench is a real agent with many stub entries.
type agentBench struct {
	t       *testing.T
	entries []*stubEntry
	relay   *relay
	agent   *child
	models  int
	rows    []*replicaspb.Row
}

// writeGrants writes the table rows that grant slots to the agent's engine.
func (r *agentBench) writeGrants(s *testPlatform) {
	r.t.Helper()
	table := backing.NewHTTPTable(backing.Options{TableURL: s.url, Timeout: 10 * time.Second}, nil)
	for i := range r.models {
		row := rowOf(i, 4)
		row.Slots[0].Engine, row.Slots[0].Host = engineName(0), hostName(0)
		value, err := replicas.EncodeRow(row)
		if err != nil {
			r.t.Fatal(err)
		}
		put := backing.Put{Key: replicas.Key(row.Model), Value: value}
		if row.Revision, err = table.Commit(context.Background(), backing.Txn{Puts: []backing.Put{put}}); err != nil {
			r.t.Fatal(err)
		}
		r.rows = append(r.rows, row)
	}
}

func startAgentBench(t *testing.T, entries, models, engines int) *agentBench {
	t.Helper()
	r := &agentBench{t: t, models: models}
	s := newTestPlatform(t)
	r.writeGrants(s)
	r.agent = startChild(t, "agent", engineName(0), s.agentSettings(0, startEngine(t, engineName(0))))
	r.relay = startRelay(t, r.agent.addresses["entries"])
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range entries {
		first := &wirepb.ControlDown{Rows: r.rows, HostState: wirepb.HostState_LIVE}
		if i == 0 {
			// Only the first entry sends a snapshot; a real entry sends none to an agent that has the declarations.
			first.Snapshot = snapshotOf(targetModels, targetAdapters, engines)
		}
		e, err := dialStubEntry(ctx, r.relay.address, fmt.Sprintf("entry-%04d", i), first)
		if err != nil {
			t.Fatal(err)
		}
		r.entries = append(r.entries, e)
	}
	eventually(t, time.Minute, "the agent is ready and has the declarations", func() bool {
		s := r.entries[len(r.entries)-1].status.Load()
		return s.GetReady() && s.GetDeclarationsRevision() > 0
	})
	return r
}

func (r *agentBench) batches() int64 {
	sum := int64(0)
	for _, e := range r.entries {
		sum += e.batches.Load()
	}
	return sum
}

// measure logs the agent's CPU, memory and network usage over an interval and returns its CPU usage in cores.
func (r *agentBench) measure(label string, interval time.Duration) (cpu float64) {
	before, wireBefore, batches := r.agent.read(r.t), r.relay.conns.traffic(), r.batches()
	time.Sleep(interval)
	after, transferred, batchesAfter := r.agent.read(r.t), r.relay.conns.traffic().minus(wireBefore), r.batches()
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(len(r.entries))
	cpu = cpuShare(before, after)
	r.t.Logf("%5d entries, %d slots, %s: %.2f%% of a core, rss %.1f MB, payload received %.0f and sent %.0f B/s per entry, on the wire %.0f B/s per entry and %.0f B/s in total, %.1f batches/s per entry",
		len(r.entries), r.models, label, 100*cpu, after.rss/1e6, transferred.out/seconds/n, transferred.in/seconds/n,
		transferred.onWire()/seconds/n, transferred.onWire()/seconds, float64(batchesAfter-batches)/seconds/n)
	return cpu
}

// startLoad sends requests to the agent at a rate, over the first stub entry, until the returned function is called. The
// gaps are exponentially distributed: with equal gaps the agent would sample the same load each time.
func (r *agentBench) startLoad(perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	var sent, failed atomic.Int64
	random := rand.New(rand.NewPCG(1, 1))
	gap := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond) }
	body := []byte(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Is it closed?"}]}`, versionName(0)))
	// The first request loads the model.
	if err := r.entries[0].request("light-first", versionName(0), body); err != nil {
		r.t.Fatal(err)
	}
	begin := time.Now()
	requests.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(gap()):
			}
			requests.Go(func() {
				sent.Add(1)
				if err := r.entries[0].request("light-"+strconv.Itoa(i), versionName(0), body); err != nil {
					failed.Add(1)
				}
			})
		}
	})
	return func() {
		cancel()
		requests.Wait()
		r.t.Logf("%5d entries: %d requests in %.1f s, %d failed", len(r.entries), sent.Load(), time.Since(begin).Seconds(), failed.Load())
		if failed.Load() > 0 {
			r.t.Errorf("%d requests failed", failed.Load())
		}
	}
}

// requestsPerEngine is the request rate of one engine at the target size's peak.
const requestsPerEngine = targetRequests / targetEngines

// TestAgentPeers measures the cost of each connected entry to a real agent, idle and at the target request rate. The
// entries are stubs.
func TestAgentPeers(t *testing.T) {
	skipUnlessRun(t)
	for _, n := range sizesOr(t, 1, 3, 10, 100, 400, 1200) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := startAgentBench(t, n, 2, 1000)
			time.Sleep(3 * time.Second)
			r.measure("idle", *measureFor)
			stop := r.startLoad(requestsPerEngine)
			time.Sleep(time.Second)
			r.measure(fmt.Sprintf("%.0f requests/s", requestsPerEngine), *measureFor/3)
			stop()
		})
	}
}

// TestAgentSlots measures a real agent for different numbers of its slots and of declared engines.
func TestAgentSlots(t *testing.T) {
	skipUnlessRun(t)
	cases := []struct{ models, engines int }{{0, 0}, {2, 0}, {10, 0}, {51, 0}, {2, 1000}, {2, 10000}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("slots=%d,engines=%d", c.models, c.engines), func(t *testing.T) {
			r := startAgentBench(t, 3, c.models, c.engines)
			time.Sleep(3 * time.Second)
			r.measure(fmt.Sprintf("%d engines declared, idle", c.engines), *measureFor)
		})
	}
}
