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

// fleet is real entries and real agents beside stand-in engines that share this process.
type fleet struct {
	t       *testing.T
	site    *site
	agents  []*child
	entries []*child
	relays  []*relay
}

// startFleet starts the processes and waits until the declarations are in force in all of them and the grants rest.
func startFleet(t *testing.T, entries, agents int) *fleet {
	t.Helper()
	f := &fleet{t: t, site: newSite(t)}
	f.startAgents(agents)
	revision := f.site.declare(t, fleetObjects(agents, max(2, agents*slotsPerEngine/targetModels)))
	begin := time.Now()
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i+1)
		e := startChild(t, "entry", id, f.site.entrySettings(id, ""))
		f.entries = append(f.entries, e)
		f.site.platform.PutHost(backing.Host{
			ID: id, Role: backing.RoleEntry, State: backing.HostLive,
			FailureDomain: domainName(0), Address: e.addresses["operators"],
		})
	}
	f.awaitInForce(revision, 2*time.Minute)
	t.Logf("%4d agents, %d entries: in force everywhere %.2f s after the entries' start", agents, entries, time.Since(begin).Seconds())
	f.awaitRest()
	return f
}

// startAgents starts some agents at a time, each behind a relay that counts its traffic.
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
		f.site.platform.PutHost(host)
	}
}

func (f *fleet) awaitRest() {
	f.t.Helper()
	writes, since := -1, time.Now()
	eventually(f.t, 3*time.Minute, "the grants come to rest", func() bool {
		if now := f.site.platform.Truth().Table.Writes; now != writes {
			writes, since = now, time.Now()
		}
		return time.Since(since) > 5*time.Second
	})
}

// awaitInForce waits until each entry says that a revision is in force in all processes.
func (f *fleet) awaitInForce(revision uint64, patience time.Duration) {
	f.t.Helper()
	for _, e := range f.entries {
		client := operator.NewClient([]string{"http://" + e.addresses["operators"]}, http.DefaultClient)
		eventually(f.t, patience, "the revision is in force", func() bool {
			in, err := client.InForce(context.Background(), revision)
			return err == nil && f.complete(in, revision)
		})
	}
}

// complete reports whether all processes have a revision.
func (f *fleet) complete(in operator.InForce, revision uint64) bool {
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
	f.t.Logf("%4d agents, %d entries: edit accepted p50 %.0f ms, worst %.0f ms; in force in all p50 %.0f ms, worst of %d %.0f ms",
		len(f.agents), len(f.entries), 1000*accepted[count/2], 1000*accepted[count-1], 1000*inForce[count/2], count, 1000*inForce[count-1])
}

// use is what one kind of process used: the median and the greatest of several.
type use struct{ median, most float64 }

func useOf(values []float64) use {
	slices.Sort(values)
	return use{median: values[len(values)/2], most: values[len(values)-1]}
}

// processUse reads the processor share and the resident memory of processes over a while.
func (f *fleet) processUse(children []*child, before []reading) (cpu, rss use) {
	var shares, sizes []float64
	for i, c := range children {
		after := c.read(f.t)
		shares = append(shares, 100*share(before[i], after))
		sizes = append(sizes, after.rss/1e6)
	}
	return useOf(shares), useOf(sizes)
}

func (f *fleet) read(children []*child) []reading {
	var list []reading
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

// idle measures all processes while nothing happens.
func (f *fleet) idle() {
	agents, entries, wire, table := f.read(f.agents), f.read(f.entries), f.traffic(), f.site.platform.Truth().Table
	time.Sleep(*measureFor)
	agentCPU, agentRSS := f.processUse(f.agents, agents)
	entryCPU, entryRSS := f.processUse(f.entries, entries)
	moved, after := f.traffic().minus(wire), f.site.platform.Truth().Table
	seconds := measureFor.Seconds()
	perAgent := moved.onWire() / seconds / float64(len(f.agents))
	f.t.Logf("%4d agents, %d entries: agent %.2f%% of a core (most %.2f%%), %.1f MB (most %.1f), %.0f B/s on the wire; "+
		"entry %.2f%% of a core (most %.2f%%), %.1f MB (most %.1f), %.0f B/s on the wire; table %.1f reads/s, %.2f writes/s",
		len(f.agents), len(f.entries), agentCPU.median, agentCPU.most, agentRSS.median, agentRSS.most, perAgent,
		entryCPU.median, entryCPU.most, entryRSS.median, entryRSS.most, perAgent*float64(len(f.agents))/float64(len(f.entries)),
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
