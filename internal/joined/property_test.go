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
	seedsFlag = flag.Int("joined.seeds", 3000, "number of seeds of the joined runs")
	firstFlag = flag.Uint64("joined.first", 1, "first seed of the joined runs")
	traceFlag = flag.Int("joined.trace", 150, "lines of the trace of a failed run that are printed")
)

const (
	faultTime = 35 * time.Second
	// calmTime and lastTime bound the times until the system has settled, and until the last calls are served.
	calmTime       = 60 * time.Second
	finalCallsTime = 60 * time.Second
)

// shapeOf is the shape of a seed's world.
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

// play runs one seed: faults for a while, then none, then a last call for each target.
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

// runFor goes on until nothing is missing any more, for a time at most.
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

// A joined run of the whole system under faults: callers, operators, entries, agents, engines and services, while
// processes crash, freeze and stop, links break, the table fails and hosts are replaced. Whatever the order of events, the
// nine properties hold after each step; and when the faults are over the system does all that is asked of it.
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

// runSeeds runs the seeds side by side.
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

// report plays a seed again and prints the end of its trace.
func reportFailure(t *testing.T, seed uint64, w *world) {
	t.Errorf("seed %d: %s", seed, w.violation)
	trace := runSeed(t, seed, w.disabledGuard, true).trace
	t.Log(strings.Join(trace[max(0, len(trace)-*traceFlag):], "\n"))
}

// tally adds up what the runs did.
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
