package capacity

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/operator"
)

// fleet is a set of real entries and agents. Their stand-in engines run in the test process.
type fleet struct {
	t       *testing.T
	site    *testPlatform
	agents  []*child
	entries []*child
	relays  []*relay
}

// startFleet starts the processes and waits until the declarations are in force in all of them and no more grants are
// written.
func startFleet(t *testing.T, entries, agents int) *fleet {
	t.Helper()
	f := &fleet{t: t, site: newTestPlatform(t)}
	f.startAgents(agents)
	revision := f.site.declare(t, fleetObjects(agents, max(2, agents*slotsPerEngine/targetModels)))
	begin := time.Now()
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i+1)
		e := startChild(t, "entry", id, f.site.entrySettings(id, ""))
		f.entries = append(f.entries, e)
		f.site.server.PutHost(backing.Host{
			ID: id, Role: backing.RoleEntry, State: backing.HostLive,
			FailureDomain: domainName(0), Address: e.addresses["operators"],
		})
	}
	f.awaitInForce(revision, 2*time.Minute)
	t.Logf("%4d agents, %d entries: in force everywhere %.2f s after the entries' start", agents, entries, time.Since(begin).Seconds())
	f.awaitQuiescence()
	return f
}

// startAgents starts n agents, four at a time, each behind a relay that counts its traffic.
func (f *fleet) startAgents(n int) {
	f.t.Helper()
	f.agents = make([]*child, n)
	f.relays = make([]*relay, n)
	const parallel = 4
	var starting sync.WaitGroup
	for first := range parallel {
		starting.Go(func() {
			for i := first; i < n; i += parallel {
				f.agents[i] = startChild(f.t, "agent", engineName(i), f.site.agentSettings(i, startEngine(f.t, engineName(i))))
			}
		})
	}
	starting.Wait()
	for i, a := range f.agents {
		f.relays[i] = startRelay(f.t, a.addresses["entries"])
		host := endpointHosts(i+1, f.relays[i].address)[i]
		f.site.server.PutHost(host)
	}
}

func (f *fleet) awaitQuiescence() {
	f.t.Helper()
	lastWrites, since := -1, time.Now()
	eventually(f.t, 3*time.Minute, "no more grants are written", func() bool {
		if now := f.site.server.Truth().Table.Writes; now != lastWrites {
			lastWrites, since = now, time.Now()
		}
		return time.Since(since) > 5*time.Second
	})
}

// awaitInForce waits until each entry reports that a revision is in force in all processes.
func (f *fleet) awaitInForce(revision uint64, timeout time.Duration) {
	f.t.Helper()
	for _, e := range f.entries {
		client := operator.NewClient([]string{"http://" + e.addresses["operators"]}, http.DefaultClient)
		eventually(f.t, timeout, "the revision is in force", func() bool {
			in, err := client.InForce(context.Background(), revision)
			return err == nil && f.inForceEverywhere(in, revision)
		})
	}
}

// inForceEverywhere reports whether all processes have a revision.
func (f *fleet) inForceEverywhere(in operator.InForce, revision uint64) bool {
	reached := 0
	for _, p := range in.Processes {
		if !p.Unreachable && p.Revision >= revision {
			reached++
		}
	}
	return reached == len(f.agents)+len(f.entries)
}

// edits measures the time from an operator's edit at the first entry until it is in force in all processes.
func (f *fleet) edits() {
	const count = 20
	client := operator.NewClient([]string{"http://" + f.entries[0].addresses["operators"]}, http.DefaultClient)
	var accepted, inForce []float64
	for i := range count {
		begin := time.Now()
		answer, err := client.Label(context.Background(), operator.LabelRequest{
			ObjectKey: operator.ObjectKey{Kind: "engine", Name: engineName(i)},
			Set:       map[string]string{"edit": strconv.Itoa(i)},
		})
		if err != nil {
			f.t.Fatal(err)
		}
		accepted = append(accepted, time.Since(begin).Seconds())
		f.awaitInForce(answer.Revision, time.Minute)
		inForce = append(inForce, time.Since(begin).Seconds())
	}
	slices.Sort(accepted)
	slices.Sort(inForce)
	f.t.Logf("%4d agents, %d entries: edit accepted p50 %.0f ms, max %.0f ms; in force in all processes p50 %.0f ms, max of %d %.0f ms",
		len(f.agents), len(f.entries), 1000*accepted[count/2], 1000*accepted[count-1], 1000*inForce[count/2], count, 1000*inForce[count-1])
}

// usage is the median and maximum of a resource's usage over several processes.
type usage struct{ median, max float64 }

func summarize(values []float64) usage {
	slices.Sort(values)
	return usage{median: values[len(values)/2], max: values[len(values)-1]}
}

// processUsage returns the CPU usage since the samples before, in percent of a core, and the resident memory in MB.
func (f *fleet) processUsage(children []*child, before []sample) (cpu, rss usage) {
	var shares, sizes []float64
	for i, c := range children {
		after := c.read(f.t)
		shares = append(shares, 100*cpuShare(before[i], after))
		sizes = append(sizes, after.rss/1e6)
	}
	return summarize(shares), summarize(sizes)
}

func (f *fleet) read(children []*child) []sample {
	var list []sample
	for _, c := range children {
		list = append(list, c.read(f.t))
	}
	return list
}

func (f *fleet) traffic() (sum traffic) {
	for _, r := range f.relays {
		t := r.conns.traffic()
		sum.in += t.in
		sum.out += t.out
		sum.segments += t.segments
	}
	return sum
}

// idle measures all processes while there is no load.
func (f *fleet) idle() {
	agents, entries, wire, table := f.read(f.agents), f.read(f.entries), f.traffic(), f.site.server.Truth().Table
	time.Sleep(*measureFor)
	agentCPU, agentRSS := f.processUsage(f.agents, agents)
	entryCPU, entryRSS := f.processUsage(f.entries, entries)
	transferred, after := f.traffic().minus(wire), f.site.server.Truth().Table
	seconds := measureFor.Seconds()
	perAgent := transferred.onWire() / seconds / float64(len(f.agents))
	f.t.Logf("%4d agents, %d entries: agent %.2f%% of a core (max %.2f%%), %.1f MB (max %.1f), %.0f B/s on the wire; "+
		"entry %.2f%% of a core (max %.2f%%), %.1f MB (max %.1f), %.0f B/s on the wire; table %.1f reads/s, %.2f writes/s",
		len(f.agents), len(f.entries), agentCPU.median, agentCPU.max, agentRSS.median, agentRSS.max, perAgent,
		entryCPU.median, entryCPU.max, entryRSS.median, entryRSS.max, perAgent*float64(len(f.agents))/float64(len(f.entries)),
		float64(after.Reads-table.Reads)/seconds, float64(after.Writes-table.Writes)/seconds)
}

// TestFleet measures real entries and agents together.
func TestFleet(t *testing.T) {
	skipUnlessRun(t)
	for _, entries := range []int{1, 3} {
		for _, agents := range sizesOr(t, 50, 100, 200) {
			t.Run(fmt.Sprintf("entries=%d,agents=%d", entries, agents), func(t *testing.T) {
				f := startFleet(t, entries, agents)
				f.idle()
				f.edits()
			})
		}
	}
}
