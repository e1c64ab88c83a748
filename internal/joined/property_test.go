package joined

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedsFlag = flag.Int("joined.seeds", 3000, "number of seeds to simulate")
	firstFlag = flag.Uint64("joined.first", 1, "first seed to simulate")
	traceFlag = flag.Int("joined.trace", 150, "number of trace lines printed for a failed run")
)

const (
	faultTime = 35 * time.Second
	// calmTime and finalCallsTime are the time limits for reaching the declared state after the faults, and for serving the
	// final calls.
	calmTime       = 60 * time.Second
	finalCallsTime = 60 * time.Second
)

// topologyOf returns the topology of a seed's world.
func topologyOf(seed uint64) topology {
	shapes := []topology{
		{entries: 2, engines: 3, services: 1, fencing: []fencing{fencingIgnored}, severity: 1},
		{entries: 2, engines: 3, services: 2, fencing: []fencing{fencingDurable}, severity: 2},
		{entries: 3, engines: 4, services: 2, fencing: []fencing{fencingIgnored, fencingDurable, fencingVolatile}, severity: 2},
		{entries: 2, engines: 3, services: 1, fencing: []fencing{fencingVolatile}, severity: 3},
		{entries: 3, engines: 3, services: 2, fencing: []fencing{fencingIgnored}, severity: 3},
	}
	return shapes[seed%uint64(len(shapes))]
}

// runSeed simulates one seed: a period with faults, one without, and then a final call for each target.
func runSeed(t *testing.T, seed uint64, disabled guard, tracing bool) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = newWorld(seed, topologyOf(seed))
		w.disabledGuard, w.tracing = disabled, tracing
		w.startAll()
		w.apply(w.entries[w.entryNames[0]], w.firstDeclarations())
		w.scheduleChecks()
		w.after(2*time.Second, w.injectFaults)
		w.after(time.Second, w.scheduleCalls)
		w.after(3*time.Second, w.scheduleEdits)
		w.runUntil(faultTime, w.check)
		w.endFaults()
		for _, name := range modelNames {
			w.apply(w.liveEntries()[0], w.randomModel(name))
		}
		w.runFor(calmTime, w.unsettled)
		w.makeFinalCalls()
		w.runFor(finalCallsTime, w.unserved)
	})
	return w
}

// runFor runs the simulation until missing returns "". It is a violation if that takes longer than d.
func (w *world) runFor(d time.Duration, missing func() string) {
	const step = 2 * time.Second
	end := w.elapsed + d
	for w.violation == "" && missing() != "" {
		if w.elapsed >= end {
			w.violated("settled", "%s", missing())
		}
		w.runUntil(w.elapsed+step, w.check)
	}
}

// TestNinePropertiesHoldJoined simulates the whole system under random load, edits and faults: processes crash, freeze and
// stop, links break, the table fails and hosts are replaced. It checks that the invariants P1 to P9 hold after each step,
// and that the system reaches the declared state and serves calls after the faults have ended.
func TestNinePropertiesHoldJoined(t *testing.T) {
	total := newTally()
	runSeeds(t, func(t *testing.T, seed uint64) {
		w := runSeed(t, seed, guardNone, false)
		total.add(w)
		if w.violation != "" {
			reportFailure(t, seed, w)
		}
	})
	t.Cleanup(func() { total.print(t) })
}

// runSeeds runs the seeds in parallel.
func runSeeds(t *testing.T, run func(*testing.T, uint64)) {
	workers := runtime.GOMAXPROCS(0)
	for worker := range workers {
		t.Run(fmt.Sprint("part", worker), func(t *testing.T) {
			t.Parallel()
			for i := worker; i < *seedsFlag && !t.Failed(); i += workers {
				run(t, *firstFlag+uint64(i))
			}
		})
	}
}

// reportFailure runs a seed again with tracing and logs the end of the trace.
func reportFailure(t *testing.T, seed uint64, w *world) {
	t.Errorf("seed %d: %s", seed, w.violation)
	trace := runSeed(t, seed, w.disabledGuard, true).trace
	t.Log(strings.Join(trace[max(0, len(trace)-*traceFlag):], "\n"))
}

// tally sums up the counts of all runs.
type tally struct {
	mu     sync.Mutex
	seeds  int
	steps  int
	counts map[string]int
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (y *tally) add(w *world) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.seeds++
	y.steps += w.steps
	for name, n := range w.counts {
		y.counts[name] += n
	}
}

func (y *tally) print(t *testing.T) {
	names := slices.SortedFunc(maps.Keys(y.counts), cmp.Compare[string])
	lines := []string{fmt.Sprintf("%d seeds, %d steps", y.seeds, y.steps)}
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("%8d %s", y.counts[name], name))
	}
	t.Log(strings.Join(lines, "\n"))
}
