package capacity

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// sizesOr returns the sizes in the -capacity.sizes flag, or the given ones if the flag is not set.
func sizesOr(t *testing.T, sizes ...int) []int {
	t.Helper()
	if *sizeList == "" {
		return sizes
	}
	sizes = nil
	for _, text := range strings.Split(*sizeList, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, n)
	}
	return sizes
}

// fleetObjects returns declarations of the target's models and adapters and the given number of engines. The models'
// replica limits are set for the given number of slots per model.
func fleetObjects(engines, slots int) []*pb.Object {
	objects := snapshotOf(targetModels, targetAdapters, engines).Objects
	for _, o := range objects {
		if m := o.GetModel(); m != nil {
			m.EngineSelector = "accelerator in (large,small)"
			m.MinReplicas, m.MaxReplicas = int32(slots), int32(slots+slots/10+1)
		}
	}
	return objects
}

// entryBench is a real entry with many stub agents.
type entryBench struct {
	t         *testing.T
	size      int
	site      *testPlatform
	agents    *stubAgents
	entry     *child
	started   time.Time
	editCount int
}

// startEntryBench starts the entry and n agents. It waits until all agents have the declarations and no more grants are
// written. With preloaded set, the agents have the declarations from the start.
func startEntryBench(t *testing.T, n int, preloaded bool) *entryBench {
	t.Helper()
	r := &entryBench{t: t, size: n, site: newTestPlatform(t), agents: startStubAgents(t)}
	for _, h := range endpointHosts(n, r.agents.address) {
		r.site.server.PutHost(h)
	}
	slots := max(2, n*slotsPerEngine/targetModels)
	revision := r.site.declare(t, fleetObjects(n, slots))
	if preloaded {
		r.agents.setInitialRevision(revision)
		r.start(revision, "with the declarations")
	} else {
		r.start(revision, "without the declarations")
	}
	r.awaitQuiescence()
	return r
}

// start starts the entry and waits until all agents have a revision. The state of the agents goes into the log.
func (r *entryBench) start(revision uint64, state string) {
	r.t.Helper()
	r.started = time.Now()
	r.entry = startChild(r.t, "entry", "entry-1", r.site.entrySettings("entry-1", ""))
	r.site.server.PutHost(backing.Host{
		ID: "entry-1", Role: backing.RoleEntry, State: backing.HostLive,
		FailureDomain: domainName(0), Address: r.entry.addresses["operators"],
	})
	eventually(r.t, 5*time.Minute, "all agents have the declarations", func() bool {
		connected, reached := r.agents.countAt(revision)
		return reached == r.size && connected == r.size
	})
	now := r.entry.read(r.t)
	r.t.Logf("%6d agents %s: all connected and up to date %.2f s after the entry's start, entry CPU time %.2f s, rss %.1f MB",
		r.size, state, time.Since(r.started).Seconds(), now.cpu, now.rss/1e6)
}

// restart kills the entry and starts it again; the agents then have the declarations already.
func (r *entryBench) restart() {
	r.t.Helper()
	revision := r.site.store.Current().Revision()
	r.agents.setInitialRevision(revision)
	r.entry.stop()
	eventually(r.t, time.Minute, "all connections are closed", func() bool {
		connected, _ := r.agents.countAt(0)
		return connected == 0
	})
	r.start(revision, "with the declarations")
	time.Sleep(*measureFor / 2)
	r.t.Logf("%6d agents: rss %.1f MB after the restart", r.size, r.entry.read(r.t).rss/1e6)
}

// awaitQuiescence waits until there have been no writes to the table for 5 seconds.
func (r *entryBench) awaitQuiescence() {
	r.t.Helper()
	lastWrites, since := -1, time.Now()
	eventually(r.t, 5*time.Minute, "no more grants are written", func() bool {
		if now := r.site.server.Truth().Table.Writes; now != lastWrites {
			lastWrites, since = now, time.Now()
		}
		return time.Since(since) > 5*time.Second
	})
	r.t.Logf("%6d agents: %d table writes until the last grant, %.1f s after the start",
		r.size, lastWrites, time.Since(r.started).Seconds()-5)
}

// idle logs the idle entry's resource usage and returns its CPU usage in cores.
func (r *entryBench) idle() (cpu float64) {
	before, wireBefore, table := r.entry.read(r.t), r.agents.conns.traffic(), r.site.server.Truth().Table
	time.Sleep(*measureFor)
	after, wireAfter, tableAfter := r.entry.read(r.t), r.agents.conns.traffic(), r.site.server.Truth().Table
	seconds := after.at.Sub(before.at).Seconds()
	transferred := wireAfter.minus(wireBefore)
	connected, _ := r.agents.countAt(0)
	cpu = cpuShare(before, after)
	r.t.Logf("%6d agents: idle %.2f%% of a core, rss %.1f MB, payload sent %.0f and received %.0f B/s per agent, on the wire %.0f B/s per agent and %.0f B/s in total, table %.2f reads/s %.2f writes/s, connected %d",
		r.size, 100*cpu, after.rss/1e6, transferred.sentPerConn(seconds, r.size), transferred.receivedPerConn(seconds, r.size),
		transferred.onWire()/seconds/float64(r.size), transferred.onWire()/seconds,
		float64(tableAfter.Reads-table.Reads)/seconds, float64(tableAfter.Writes-table.Writes)/seconds, connected)
	return cpu
}

// receivedPerConn and sentPerConn return the payload bytes per second that the entry receives and sends on one of n
// connections. The traffic is counted at the agents' end.
func (t traffic) receivedPerConn(seconds float64, n int) float64 { return t.out / seconds / float64(n) }
func (t traffic) sentPerConn(seconds float64, n int) float64     { return t.in / seconds / float64(n) }

// edits measures the time until an edit reaches all agents, and its CPU time at the entry.
func (r *entryBench) edits(idleCPU float64) {
	const count = 20
	var latencies []float64
	before, wireBefore := r.entry.read(r.t), r.agents.conns.traffic()
	for range count {
		begin := time.Now()
		r.editCount++
		object := adapterObject(r.editCount, targetModels)
		object.GetAdapter().Labels["edit"] = strconv.Itoa(r.editCount)
		revision := r.site.declare(r.t, []*pb.Object{object})
		eventually(r.t, time.Minute, "the revision reaches all agents", func() bool {
			_, reached := r.agents.countAt(revision)
			return reached >= r.size
		})
		latencies = append(latencies, time.Since(begin).Seconds())
	}
	after := r.entry.read(r.t)
	transferred := r.agents.conns.traffic().minus(wireBefore)
	cpu := after.cpu - before.cpu - idleCPU*after.at.Sub(before.at).Seconds()
	slices.Sort(latencies)
	r.t.Logf("%6d agents: time until an edit reaches all agents p50 %.0f ms, max of %d %.0f ms, %.2f ms of CPU time per edit, %.0f payload bytes received per agent in total",
		r.size, 1000*latencies[count/2], count, 1000*latencies[count-1], 1000*cpu/count, transferred.in/float64(r.size))
}

// reports measures the CPU time of load reports at the entry.
func (r *entryBench) reports(interval time.Duration, idleCPU float64) {
	r.agents.reportInterval.Store(int64(interval))
	defer r.agents.reportInterval.Store(0)
	time.Sleep(2 * time.Second)
	before, sent := r.entry.read(r.t), r.agents.reportsSent.Load()
	time.Sleep(*measureFor / 3)
	after, sentAfter := r.entry.read(r.t), r.agents.reportsSent.Load()
	seconds := after.at.Sub(before.at).Seconds()
	rate := float64(sentAfter-sent) / seconds
	cpu := cpuShare(before, after)
	addedRate := rate - float64(r.size)/heartbeatInterval.Seconds()
	r.t.Logf("%6d agents: %.0f reports/s take %.2f%% of a core, %.1f µs per report above idle", r.size, rate, 100*cpu, 1e6*(cpu-idleCPU)/addedRate)
}

// requests measures the entry's CPU time for callers' requests to a model with many slots.
func (r *entryBench) requests(idleCPU float64) {
	const count, parallel = 2000, 8
	body := []byte(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Is the layer closed?"}]}`, modelName(3)))
	url := "http://" + r.entry.addresses["callers"] + "/v1/chat/completions"
	before := r.entry.read(r.t)
	var failed sync.Map
	var callers sync.WaitGroup
	for range parallel {
		callers.Go(func() {
			for range count / parallel {
				response, err := http.Post(url, "application/json", bytes.NewReader(body))
				if err != nil {
					failed.Store(err.Error(), true)
					return
				}
				text, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					failed.Store(string(text), true)
				}
			}
		})
	}
	callers.Wait()
	after := r.entry.read(r.t)
	failed.Range(func(text, _ any) bool {
		r.t.Errorf("request failed: %v", text)
		return true
	})
	seconds := after.at.Sub(before.at).Seconds()
	cpu := after.cpu - before.cpu - idleCPU*seconds
	slots := max(2, r.size*slotsPerEngine/targetModels)
	r.t.Logf("%6d agents: %.0f µs of entry CPU time per request to a model with %d slots (%.0f requests/s)",
		r.size, 1e6*cpu/count, slots, count/seconds)
}

// TestEntryPeers measures the cost of each connected agent to a real entry. The agents are stubs.
func TestEntryPeers(t *testing.T) {
	skipUnlessRun(t)
	for _, n := range sizesOr(t, 100, 400, 1600) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := startEntryBench(t, n, false)
			idleCPU := r.idle()
			r.edits(idleCPU)
			r.reports(200*time.Millisecond, idleCPU)
			r.requests(idleCPU)
			end := r.entry.read(t)
			t.Logf("%6d agents: rss at the end %.1f MB; declarations: %d", n, end.rss/1e6, len(r.site.store.Current().Objects()))
			r.restart()
		})
	}
}

// TestEntryManyPeers measures a real entry with more stub agents, which have the declarations from the start.
func TestEntryManyPeers(t *testing.T) {
	skipUnlessRun(t)
	for _, n := range sizesOr(t, 1600, 4000) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := startEntryBench(t, n, true)
			idleCPU := r.idle()
			r.requests(idleCPU)
			r.edits(idleCPU)
			t.Logf("%6d agents: rss at the end %.1f MB", n, r.entry.read(t).rss/1e6)
		})
	}
}
