package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// testClass returns a class of engines with memory for three models, and models a to z that each load in 6 s from the
// store.
func testClass() *catalog.EngineClass {
	class := &catalog.EngineClass{Batch: 64, MemoryMB: 230_000, MaxAdapters: 8, LoadsPerSecond: 2.4, Models: make(map[string]catalog.Model)}
	for r := 'a'; r <= 'z'; r++ {
		name := string(r)
		class.Models[name] = catalog.Model{Name: name, SizeMB: 72_000, StoreLoadTime: 6 * time.Second, DiskTime: 1300 * time.Millisecond, MemoryTime: 600 * time.Millisecond, AdapterMB: 66}
	}
	return class
}

// testEngine returns a free engine that has some models loaded and copies of others on disk.
func testEngine(id, loaded, onDisk string) Engine {
	e := Engine{ID: id, Free: true, Loaded: make(map[string]bool), OnDisk: make(map[string]bool)}
	for _, r := range loaded {
		e.Loaded[string(r)], e.OnDisk[string(r)] = true, true
	}
	for _, r := range onDisk {
		e.OnDisk[string(r)] = true
	}
	return e
}

// allOnDisk lists every model of testClass.
const allOnDisk = "abcdefghijklmnopqrstuvwxyz"

// formatCommands formats each command as "engine:-unload+load source".
func formatCommands(commands []Command) []string {
	var list []string
	for _, c := range commands {
		list = append(list, fmt.Sprintf("%s:-%v+%s %s", c.Engine, c.Unload, c.Load, c.Source))
	}
	slices.Sort(list)
	return list
}

func TestDecide(t *testing.T) {
	busy := Demand{Running: 40, Peak: 40, Rate: 20, LongRate: 5}
	waits := Demand{Waiting: 1, Peak: 1, OldestWait: time.Second}
	cases := []struct {
		name    string
		engines []Engine
		demand  map[string]Demand
		store   int
		want    []string
	}{
		{
			"a model with waiting requests is loaded from a local disk copy",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "g")},
			map[string]Demand{"g": waits}, 2,
			[]string{"2:-[d]+g disk"},
		},
		{
			"the replica of a busy model is not evicted",
			[]Engine{testEngine("1", "abc", "g")},
			map[string]Demand{"g": waits, "a": busy, "b": {Rate: 1, Running: 1, Peak: 1}}, 2,
			[]string{"1:-[c]+g disk"},
		},
		{
			"a busy engine with a copy is preferred if it is free soon",
			[]Engine{{ID: "1", Loading: "c", Remaining: time.Second, OnDisk: map[string]bool{"g": true}}, testEngine("2", "def", allOnDisk[7:])},
			map[string]Demand{"g": waits}, 2,
			nil,
		},
		{
			"a busy engine with a copy is not waited for if it stays busy for long",
			[]Engine{{ID: "1", Loading: "c", Remaining: 5 * time.Second, OnDisk: map[string]bool{"g": true}}, testEngine("2", "def", allOnDisk[7:])},
			map[string]Demand{"g": waits}, 2,
			[]string{"2:-[d]+g store"},
		},
		{
			"a busy model scales out to engines with copies before loading from the store",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "a"), testEngine("3", "ghi", "")},
			map[string]Demand{"a": {Running: 20, Peak: 20, Rate: 10}}, 4,
			[]string{"2:-[d]+a disk"},
		},
		{
			"a busy model scales out from the store if a single engine would be full",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "")},
			map[string]Demand{"a": {Running: 50, Peak: 50, Rate: 30}}, 1,
			[]string{"2:-[d]+a store"},
		},
		{
			"surplus replicas of a busy model are evicted first",
			[]Engine{testEngine("1", "abc", "g"), testEngine("2", "ade", ""), testEngine("3", "afh", "")},
			map[string]Demand{"g": waits, "a": {Running: 10, Peak: 10, Rate: 5}}, 0,
			[]string{"1:-[a]+g disk"},
		},
		{
			"an engine that restarted empty loads from its own disk",
			[]Engine{testEngine("1", "", "ab"), testEngine("2", "def", "")},
			nil, 0,
			[]string{"1:-[]+a disk"},
		},
		{
			"nothing is loaded from the store without free store loads",
			[]Engine{testEngine("1", "abc", "")},
			map[string]Demand{"g": waits}, 0,
			nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// A busy engine with a copy of every model prevents prefetching.
			far := Engine{ID: "far", OnDisk: testEngine("", "", allOnDisk).OnDisk, Remaining: time.Hour}
			got := formatCommands(Decide(Input{Class: testClass(), Engines: append(c.engines, far), Demand: c.demand, StoreLoads: c.store}))
			if !slices.Equal(got, c.want) {
				t.Errorf("commands %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against occupying all engines after a power failure, when they restart empty with copies of all models on
// disk. One request waits and others have yet to reach a gateway. Most engines must stay free for these, since each
// command blocks its engine for over a second.
func TestEmptySiteKeepsEnginesFree(t *testing.T) {
	var engines []Engine
	for i := range 8 {
		engines = append(engines, testEngine(fmt.Sprint(i), "", allOnDisk))
	}
	commands := Decide(Input{Class: testClass(), Engines: engines, Demand: map[string]Demand{"m": {Waiting: 1, OldestWait: time.Second}}})
	if free := len(engines) - len(commands); free < 4 {
		t.Errorf("%d of 8 engines are free, want at least 4: %v", free, formatCommands(commands))
	}
	if len(commands) == 0 || commands[0].Load != "m" {
		t.Errorf("commands %v, want the model with the waiting request loaded first", formatCommands(commands))
	}
}

// Guards against serving rare models first while one engine carries more requests of a busy model than its batch holds.
// Each engine that became free used to load a rare model for one or two requests, which took eight seconds, and about
// 220 requests of the busy model were late.
func TestOverloadedModelGetsAnEngineBeforeRareOnes(t *testing.T) {
	overloaded := testEngine("1", "mab", allOnDisk)
	overloaded.Running = 80
	in := Input{
		Class: testClass(), Engines: []Engine{overloaded, testEngine("2", "cde", allOnDisk), testEngine("3", "fgh", allOnDisk)},
		Demand: map[string]Demand{
			"m": {Running: 80, Peak: 80, Rate: 20, LongRate: 18, Target: 500 * time.Millisecond},
			"r": {Waiting: 1, OldestWait: 2 * time.Second}, "s": {Waiting: 2, OldestWait: time.Second}, "t": {Waiting: 1, OldestWait: time.Second},
		},
	}
	loads := make(map[string]int)
	for _, c := range Decide(in) {
		loads[c.Load]++
	}
	if loads["m"] != 1 || len(loads) < 2 {
		t.Errorf("loads %v, want one load of the overloaded model and others for models with waiting requests", loads)
	}
}

// Guards against evicting a surplus replica of a busy model, whose streams have to end first (2.2 s), when another
// engine with a copy of the requested model holds an idle one.
func TestIdleModelMakesWayBeforeABusyReplica(t *testing.T) {
	in := Input{
		Class:   testClass(),
		Engines: []Engine{testEngine("1", "bcd", "r"), testEngine("2", "bef", "r"), testEngine("3", "bgh", "")},
		Demand: map[string]Demand{
			"r": {Waiting: 1, OldestWait: time.Second},
			"b": {Running: 9, Peak: 9, Rate: 1, LongRate: 1}, "c": {LongRate: 0.3}, "d": {LongRate: 0.3}, "e": {LongRate: 0.1}, "f": {LongRate: 0.3},
		},
	}
	in.Engines[0].Running, in.Engines[1].Running, in.Engines[2].Running = 3, 3, 3
	got := Decide(in)
	if len(got) != 1 || got[0].Load != "r" || slices.Contains(got[0].Unload, "b") {
		t.Errorf("commands %v, want r loaded in place of an idle model", formatCommands(got))
	}
}

// Guards against loading a busy model from the weight store, which blocks an engine for 6 s, when an engine with a copy
// on disk finishes its current command in one second.
func TestBusyModelWaitsForTheEngineThatHasACopy(t *testing.T) {
	soon := testEngine("1", "abc", "m")
	soon.Free, soon.Loading, soon.Remaining = false, "d", time.Second
	in := Input{
		Class: testClass(), Engines: []Engine{soon, testEngine("2", "efg", ""), testEngine("3", "mhi", "")}, StoreLoads: 2, StoreLimit: 2,
		Demand: map[string]Demand{"m": {Running: 60, Peak: 60, Rate: 20, LongRate: 10}},
	}
	for _, c := range Decide(in) {
		if c.Load == "m" {
			t.Errorf("busy model loaded without waiting for the engine with a copy: %v", formatCommands([]Command{c}))
		}
	}
}

// Guards against unused store capacity. Rare models get a few requests per day each, and at start most have no copy on
// any host. Prefetching must continue until every model has a copy, without evicting busy models.
func TestFetchAheadFillsTheStore(t *testing.T) {
	engines := []Engine{testEngine("1", "abc", ""), testEngine("2", "ade", ""), testEngine("3", "fgh", "")}
	got := Decide(Input{Class: testClass(), Engines: engines, Demand: map[string]Demand{"a": {Running: 25, Peak: 25, Rate: 15}}, StoreLoads: 2})
	if len(got) != 2 {
		t.Fatalf("%d commands %v, want the two loads that the store allows", len(got), formatCommands(got))
	}
	for _, c := range got {
		if c.Source != FromStore || slices.Contains(c.Unload, "a") {
			t.Errorf("command %v, want a load from the store in place of a rare model", c)
		}
	}
}

// Guards against evicting the replicas of a model whose requests pause for 2 s. Demand moves between busy models over
// about 5 s and oscillates, and each evicted replica costs another load.
func TestReplicasOutlastAPause(t *testing.T) {
	r := &rates{}
	now := time.Unix(0, 0)
	r.update(now, 0)
	r.observe(now, 40)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		r.observe(now, 5)
		r.update(now, 0)
	}
	p := plan{Input: Input{Class: testClass(), Engines: make([]Engine, 9), Demand: map[string]Demand{"a": {Running: 5, Peak: int(r.peak + 0.5)}}}}
	if n := p.targetReplicas("a", scaleOutShare); n < 2 {
		t.Errorf("%d replicas wanted 2 s after a peak of 40 requests, want at least 2", n)
	}
}

// Guards against a slow increase of the limit. Half of a site's models have no copy on any host, and the weight store
// serves four loads at once. The store must be fully used from the second round of loads on, since each further round
// makes requests wait longer than their clients do.
func TestStoreLimiterIsFullAfterOneRoundOfLoads(t *testing.T) {
	const nominal, concurrency = 6 * time.Second, 4
	l := newStoreLimiter()
	now := time.Unix(0, 0)
	for _, e := range []string{"a", "b"} {
		l.acquire(now, e, "m", nominal)
	}
	now = now.Add(nominal)
	for _, e := range []string{"a", "b"} {
		l.release(now, e, true)
	}
	if available := l.available(now, 100); available != concurrency {
		t.Errorf("%d loads start in the second round, want %d", available, concurrency)
	}
}

// The limit must fall if the store slows down: if it serves one load at full speed and four are started, each takes
// four times as long. It must rise again when loads take their nominal time.
func TestStoreLimiterFindsTheLimit(t *testing.T) {
	const nominal = 6 * time.Second
	for _, concurrency := range []int{1, 4, 8} {
		l := newStoreLimiter()
		now := time.Unix(0, 0)
		for range 12 {
			var engines []string
			for i := range max(0, l.available(now, 100)) {
				engine := fmt.Sprint(i)
				l.acquire(now, engine, "m", nominal)
				engines = append(engines, engine)
			}
			now = now.Add(max(nominal, nominal*time.Duration(len(engines))/time.Duration(concurrency)))
			for _, e := range engines {
				l.release(now, e, true)
			}
		}
		if l.limit < concurrency || l.limit > concurrency+concurrency/2+1 {
			t.Errorf("limit %d for a store that serves %d loads at full speed", l.limit, concurrency)
		}
	}
}

// limitedEngine returns an engine of testEngine that takes the given number of requests per second.
func limitedEngine(id, loaded, onDisk string, perSecond float64) Engine {
	e := testEngine(id, loaded, onDisk)
	e.Limited, e.RateLimit = true, perSecond
	return e
}

// Load pattern: an engine names a limit while it holds the only replica of a model. Guards against a model whose requests
// can only wait for their turn there, and against further work for the engine in need.
func TestLimitedEngines(t *testing.T) {
	waits := Demand{Waiting: 1, Peak: 1, OldestWait: time.Second}
	cases := []struct {
		name    string
		engines []Engine
		demand  map[string]Demand
		store   int
		want    []string
	}{
		{
			"a model that is asked for more often than its engine takes gets another replica",
			[]Engine{limitedEngine("1", "abc", "", 0.5), testEngine("2", "def", "a")},
			map[string]Demand{"a": {Rate: 1, LongRate: 1, Running: 2, Peak: 2}}, 0,
			[]string{"2:-[d]+a disk"},
		},
		{
			"one that is asked for less often does not",
			[]Engine{limitedEngine("1", "abc", "", 1.5), testEngine("2", "def", "a")},
			map[string]Demand{"a": {Rate: 1, LongRate: 1, Running: 2, Peak: 2}}, 0,
			nil,
		},
		{
			"a busy model gets its further replica at an engine without a limit",
			[]Engine{testEngine("1", "abc", ""), limitedEngine("2", "def", "a", 4), testEngine("3", "ghi", "a")},
			map[string]Demand{"a": {Rate: 3, LongRate: 3, Running: 4, Peak: 4}}, 0,
			[]string{"3:-[g]+a disk"},
		},
		{
			"a waiting request's model is loaded elsewhere if that is as fast",
			[]Engine{limitedEngine("1", "abc", "g", 2), testEngine("2", "def", "g")},
			map[string]Demand{"g": waits}, 0,
			[]string{"2:-[d]+g disk"},
		},
		{
			"and at the engine in need if nobody else has a copy",
			[]Engine{limitedEngine("1", "abc", "g", 2), testEngine("2", "def", "")},
			map[string]Demand{"g": waits}, 0,
			[]string{"1:-[a]+g disk"},
		},
		{
			"but not if that takes no requests",
			[]Engine{limitedEngine("1", "abc", "g", 0), testEngine("2", "def", "")},
			map[string]Demand{"g": waits}, 1,
			[]string{"2:-[d]+g store"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := formatCommands(Decide(Input{Class: testClass(), Engines: c.engines, Demand: c.demand, StoreLoads: c.store, StoreLimit: 4}))
			if !slices.Equal(got, c.want) {
				t.Errorf("commands %v, want %v", got, c.want)
			}
		})
	}
}
