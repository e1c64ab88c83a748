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

// sizesOr returns the sizes of the flag, or the given ones.
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

// fleetObjects are the target's models and adapters, and engines, with that many slots a model.
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

// entryRun is one entry with many light agents.
type entryRun struct {
	t      *testing.T
	size   int
	site   *site
	agents *lightAgents
	entry  *child
	begun  time.Time
	tick   int
}

// startEntryRun starts them and waits until all agents have the declarations and the grants have come to rest. With held
// set the agents hold the declarations from the start.
func startEntryRun(t *testing.T, n int, held bool) *entryRun {
	t.Helper()
	r := &entryRun{t: t, size: n, site: newSite(t), agents: startLightAgents(t)}
	for _, h := range endpointHosts(n, r.agents.address) {
		r.site.platform.PutHost(h)
	}
	slots := max(2, n*slotsPerEngine/targetModels)
	revision := r.site.declare(t, fleetObjects(n, slots))
	if held {
		r.agents.keep(revision)
		r.start(revision, "hold the declarations")
	} else {
		r.start(revision, "hold nothing")
	}
	r.awaitRest()
	return r
}

// start starts the entry and waits until all agents have a revision.
func (r *entryRun) start(revision uint64, what string) {
	r.t.Helper()
	r.begun = time.Now()
	r.entry = startChild(r.t, "entry", "entry-1", r.site.entrySettings("entry-1", ""))
	r.site.platform.PutHost(backing.Host{
		ID: "entry-1", Role: backing.RoleEntry, State: backing.HostLive,
		FailureDomain: domainName(0), Address: r.entry.addresses["operators"],
	})
	eventually(r.t, 5*time.Minute, "all agents have the declarations", func() bool {
		connected, reached := r.agents.at(revision)
		return reached == r.size && connected == r.size
	})
	now := r.entry.read(r.t)
	r.t.Logf("%6d agents that %s: all connected and told %.2f s after the entry's start, which took %.2f s of processor time, rss %.1f MB",
		r.size, what, time.Since(r.begun).Seconds(), now.cpu, now.rss/1e6)
}

// restart kills the entry and starts it again beside agents that hold the declarations.
func (r *entryRun) restart() {
	r.t.Helper()
	revision := r.site.store.Current().Revision()
	r.agents.keep(revision)
	r.entry.stop()
	eventually(r.t, time.Minute, "the connections end", func() bool {
		connected, _ := r.agents.at(0)
		return connected == 0
	})
	r.start(revision, "hold the declarations")
	time.Sleep(*measureFor / 2)
	r.t.Logf("%6d agents: rss %.1f MB after the restart", r.size, r.entry.read(r.t).rss/1e6)
}

// awaitRest waits until the table was not written for some seconds.
func (r *entryRun) awaitRest() {
	r.t.Helper()
	writes, since := -1, time.Now()
	eventually(r.t, 5*time.Minute, "the grants come to rest", func() bool {
		if now := r.site.platform.Truth().Table.Writes; now != writes {
			writes, since = now, time.Now()
		}
		return time.Since(since) > 5*time.Second
	})
	r.t.Logf("%6d agents: %d writes of the table until the grants had come to rest, %.1f s after the start",
		r.size, writes, time.Since(r.begun).Seconds()-5)
}

// idle measures the entry while nothing happens.
func (r *entryRun) idle() (cpu float64) {
	before, wireBefore, table := r.entry.read(r.t), r.agents.conns.traffic(), r.site.platform.Truth().Table
	time.Sleep(*measureFor)
	after, wireAfter, tableAfter := r.entry.read(r.t), r.agents.conns.traffic(), r.site.platform.Truth().Table
	seconds := after.at.Sub(before.at).Seconds()
	moved := wireAfter.minus(wireBefore)
	connected, _ := r.agents.at(0)
	cpu = share(before, after)
	r.t.Logf("%6d agents: idle %.2f%% of a core, rss %.1f MB, payload down %.0f up %.0f B/s an agent, on the wire %.0f B/s an agent and %.0f B/s the entry, table %.2f reads/s %.2f writes/s, connected %d",
		r.size, 100*cpu, after.rss/1e6, moved.out2(seconds, r.size), moved.in2(seconds, r.size),
		moved.onWire()/seconds/float64(r.size), moved.onWire()/seconds,
		float64(tableAfter.Reads-table.Reads)/seconds, float64(tableAfter.Writes-table.Writes)/seconds, connected)
	return cpu
}

// in2 and out2 are the payload a second of one of n connections, as the entry receives and sends it.
func (t traffic) in2(seconds float64, n int) float64  { return t.out / seconds / float64(n) }
func (t traffic) out2(seconds float64, n int) float64 { return t.in / seconds / float64(n) }

// edits measures how long a revision takes to reach all agents, and what it costs the entry.
func (r *entryRun) edits(idle float64) {
	const count = 20
	var took []float64
	before, wireBefore := r.entry.read(r.t), r.agents.conns.traffic()
	for range count {
		begin := time.Now()
		r.tick++
		object := adapterObject(r.tick, targetModels)
		object.GetAdapter().Labels["edit"] = strconv.Itoa(r.tick)
		revision := r.site.declare(r.t, []*pb.Object{object})
		eventually(r.t, time.Minute, "the revision reaches all agents", func() bool {
			_, reached := r.agents.at(revision)
			return reached >= r.size
		})
		took = append(took, time.Since(begin).Seconds())
	}
	after := r.entry.read(r.t)
	moved := r.agents.conns.traffic().minus(wireBefore)
	spent := after.cpu - before.cpu - idle*after.at.Sub(before.at).Seconds()
	slices.Sort(took)
	r.t.Logf("%6d agents: revision at all agents p50 %.0f ms, worst of %d %.0f ms, %.2f ms of processor time an edit, %.0f payload bytes up an agent in all",
		r.size, 1000*took[count/2], count, 1000*took[count-1], 1000*spent/count, moved.in/float64(r.size))
}

// reports measures the cost of reports of load.
func (r *entryRun) reports(every time.Duration, idle float64) {
	r.agents.reports.Store(int64(every))
	defer r.agents.reports.Store(0)
	time.Sleep(2 * time.Second)
	before, sent := r.entry.read(r.t), r.agents.sent.Load()
	time.Sleep(*measureFor / 3)
	after, sentAfter := r.entry.read(r.t), r.agents.sent.Load()
	seconds := after.at.Sub(before.at).Seconds()
	rate := float64(sentAfter-sent) / seconds
	cpu := share(before, after)
	extra := rate - float64(r.size)/heartbeatInterval.Seconds()
	r.t.Logf("%6d agents: %.0f reports/s take %.2f%% of a core, %.1f µs a report more than idle", r.size, rate, 100*cpu, 1e6*(cpu-idle)/extra)
}

// requests measures the cost of callers' requests to a model with many slots.
func (r *entryRun) requests(idle float64) {
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
	spent := after.cpu - before.cpu - idle*seconds
	slots := max(2, r.size*slotsPerEngine/targetModels)
	r.t.Logf("%6d agents: %.0f µs of the entry's processor time a request to a model with %d slots (%.0f requests/s)",
		r.size, 1e6*spent/count, slots, count/seconds)
}

// TestEntryPeers measures a real entry against light agents: what each connected agent costs it.
func TestEntryPeers(t *testing.T) {
	skipUnlessRun(t)
	for _, n := range sizesOr(t, 100, 400, 1600) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := startEntryRun(t, n, false)
			idle := r.idle()
			r.edits(idle)
			r.reports(200*time.Millisecond, idle)
			r.requests(idle)
			end := r.entry.read(t)
			t.Logf("%6d agents: rss at the end %.1f MB; declarations: %d", n, end.rss/1e6, len(r.site.store.Current().Objects()))
			r.restart()
		})
	}
}

// TestEntryManyPeers measures a real entry against more light agents, which hold the declarations already.
func TestEntryManyPeers(t *testing.T) {
	skipUnlessRun(t)
	for _, n := range sizesOr(t, 1600, 4000) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := startEntryRun(t, n, true)
			idle := r.idle()
			r.requests(idle)
			r.edits(idle)
			t.Logf("%6d agents: rss at the end %.1f MB", n, r.entry.read(t).rss/1e6)
		})
	}
}
