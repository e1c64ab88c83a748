package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// testClass describes engines with three places and models a to z, each loaded in 6 s from the store.
func testClass() *catalog.EngineClass {
	class := &catalog.EngineClass{Batch: 64, MemoryMB: 230_000, AdapterPlaces: 8, LoadsPerSecond: 2.4, Models: make(map[string]catalog.Model)}
	for r := 'a'; r <= 'z'; r++ {
		name := string(r)
		class.Models[name] = catalog.Model{Name: name, SizeMB: 72_000, LoadTime: 6 * time.Second, DiskTime: 1300 * time.Millisecond, MemoryTime: 600 * time.Millisecond, AdapterMB: 66}
	}
	return class
}

// testEngine is a free engine that holds some models and has copies of others on disk.
func testEngine(id, holds, onDisk string) Engine {
	e := Engine{ID: id, Free: true, Holds: make(map[string]bool), OnDisk: make(map[string]bool)}
	for _, r := range holds {
		e.Holds[string(r)], e.OnDisk[string(r)] = true, true
	}
	for _, r := range onDisk {
		e.OnDisk[string(r)] = true
	}
	return e
}

// allOnDisk names every model of testClass.
const allOnDisk = "abcdefghijklmnopqrstuvwxyz"

// commandsText writes commands as "engine:-unload+load from source".
func commandsText(commands []Command) []string {
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
			"a model that a request waits for comes from the disk that has it",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "g")},
			map[string]Demand{"g": waits}, 2,
			[]string{"2:-[d]+g disk"},
		},
		{
			"the replica of a busy model does not make way",
			[]Engine{testEngine("1", "abc", "g")},
			map[string]Demand{"g": waits, "a": busy, "b": {Rate: 1, Running: 1, Peak: 1}}, 2,
			[]string{"1:-[c]+g disk"},
		},
		{
			"an engine that will soon be free and has a copy is awaited",
			[]Engine{{ID: "1", Loading: "c", Remaining: time.Second, OnDisk: map[string]bool{"g": true}}, testEngine("2", "def", allOnDisk[7:])},
			map[string]Demand{"g": waits}, 2,
			nil,
		},
		{
			"one that stays busy for long is not",
			[]Engine{{ID: "1", Loading: "c", Remaining: 5 * time.Second, OnDisk: map[string]bool{"g": true}}, testEngine("2", "def", allOnDisk[7:])},
			map[string]Demand{"g": waits}, 2,
			[]string{"2:-[d]+g store"},
		},
		{
			"a busy model spreads to engines that have copies, and not by the store at once",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "a"), testEngine("3", "ghi", "")},
			map[string]Demand{"a": {Running: 20, Peak: 20, Rate: 10}}, 4,
			[]string{"2:-[d]+a disk"},
		},
		{
			"by the store when one engine alone would be full",
			[]Engine{testEngine("1", "abc", ""), testEngine("2", "def", "")},
			map[string]Demand{"a": {Running: 50, Peak: 50, Rate: 30}}, 1,
			[]string{"2:-[d]+a store"},
		},
		{
			"more replicas of a busy model than it needs make way first",
			[]Engine{testEngine("1", "abc", "g"), testEngine("2", "ade", ""), testEngine("3", "afh", "")},
			map[string]Demand{"g": waits, "a": {Running: 10, Peak: 10, Rate: 5}}, 0,
			[]string{"1:-[a]+g disk"},
		},
		{
			"an engine that was restarted empty is filled from its own disk",
			[]Engine{testEngine("1", "", "ab"), testEngine("2", "def", "")},
			nil, 0,
			[]string{"1:-[]+a disk"},
		},
		{
			"nothing is loaded from the store while it may not take more",
			[]Engine{testEngine("1", "abc", "")},
			map[string]Demand{"g": waits}, 0,
			nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// A copy of every other model somewhere keeps fetching ahead out of the picture.
			far := Engine{ID: "far", OnDisk: testEngine("", "", allOnDisk).OnDisk, Remaining: time.Hour}
			got := commandsText(Decide(Input{Class: testClass(), Engines: append(c.engines, far), Demand: c.demand, StoreLoads: c.store}))
			if !slices.Equal(got, c.want) {
				t.Errorf("commands %v, want %v", got, c.want)
			}
		})
	}
}

// Pattern: all engines lose power and come back empty, with copies of all models on their disks. One request waits, the
// others are yet to reach a gateway. Most engines must stay free for them: each order blocks its engine for over a second.
func TestEmptySiteKeepsEnginesFree(t *testing.T) {
	var engines []Engine
	for i := range 8 {
		engines = append(engines, testEngine(fmt.Sprint(i), "", allOnDisk))
	}
	commands := Decide(Input{Class: testClass(), Engines: engines, Demand: map[string]Demand{"m": {Waiting: 1, OldestWait: time.Second}}})
	if free := len(engines) - len(commands); free < 4 {
		t.Errorf("%d of 8 engines are left free: %v", free, commandsText(commands))
	}
	if len(commands) == 0 || commands[0].Load != "m" {
		t.Errorf("the model that a request waits for is not loaded first: %v", commandsText(commands))
	}
}

// Pattern: a burst for rare models comes while one engine carries all requests of a busy model, more than its batch holds. Each
// engine that became free was given to a rare model with a request or two, for eight seconds, and some 220 requests of the busy
// model were late.
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
		t.Errorf("loads %v, want one of the overloaded model and others for the waiting ones", loads)
	}
}

// Pattern: a rare model is asked for while two engines have a copy. At one the surplus replica of a busy model would make way, whose
// streams have to end first, which took 2.2 s; at the other a model that nobody uses.
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
		t.Errorf("commands %v, want r loaded in the place of a model that nobody uses", commandsText(got))
	}
}

// Pattern: a model becomes busy while the engines with copies of it carry out short orders. A load from the weight store takes
// an engine from all others for 6 s, and the copies are free in one.
func TestBusyModelWaitsForTheEngineThatHasACopy(t *testing.T) {
	soon := testEngine("1", "abc", "m")
	soon.Free, soon.Loading, soon.Remaining = false, "d", time.Second
	in := Input{
		Class: testClass(), Engines: []Engine{soon, testEngine("2", "efg", ""), testEngine("3", "mhi", "")}, StoreLoads: 2, StoreLimit: 2,
		Demand: map[string]Demand{"m": {Running: 60, Peak: 60, Rate: 20, LongRate: 10}},
	}
	for _, c := range Decide(in) {
		if c.Load == "m" {
			t.Errorf("%v", commandsText([]Command{c}))
		}
	}
}

// Pattern: rare models are asked for about evenly, a few times a day each, and most are on no host when processes start. The
// store's loads must go on as long as a model is nowhere, without taking a busy model's place.
func TestFetchAheadFillsTheStore(t *testing.T) {
	engines := []Engine{testEngine("1", "abc", ""), testEngine("2", "ade", ""), testEngine("3", "fgh", "")}
	got := Decide(Input{Class: testClass(), Engines: engines, Demand: map[string]Demand{"a": {Running: 25, Peak: 25, Rate: 15}}, StoreLoads: 2})
	if len(got) != 2 {
		t.Fatalf("%d commands %v, want the two that the store has room for", len(got), commandsText(got))
	}
	for _, c := range got {
		if c.Source != FromStore || slices.Contains(c.Unload, "a") {
			t.Errorf("command %v, want a load from the store in place of a rare model", c)
		}
	}
}

// Pattern: demand moves from one busy model to the next over some five seconds, and both swing. The replicas of a model whose
// requests pause for two seconds must not be given away: each costs a load when it comes back.
func TestReplicasOutlastAPause(t *testing.T) {
	r := &rates{}
	now := time.Unix(0, 0)
	r.update(now, nil)
	r.observe(now, 40)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		r.observe(now, 5)
		r.update(now, nil)
	}
	p := plan{Input: Input{Class: testClass(), Engines: make([]Engine, 9), Demand: map[string]Demand{"a": {Running: 5, Peak: int(r.peak + 0.5)}}}}
	if n := p.wanted("a", batchShare); n < 2 {
		t.Errorf("%d replicas wanted 2 s after 40 requests ran, want some of the four that they needed", n)
	}
}

// Story: the store runs one load at once at full speed, and four are begun. Each takes four times as long, and whoever waits
// for one waits four times as long. The limit must fall to what the store does, and rise again where loads are on time.
// Pattern: a site wakes up with half of its models in no host's copies, and the weight store runs four loads at once. The
// store must be used fully from the second round of loads on: each further round costs models that requests wait for in vain.
func TestPipeIsFullAfterOneRoundOfLoads(t *testing.T) {
	const nominal, atOnce = 6 * time.Second, 4
	p := newPipe()
	now := time.Unix(0, 0)
	for _, e := range []string{"a", "b"} {
		p.begin(now, e, "m", nominal)
	}
	now = now.Add(nominal)
	for _, e := range []string{"a", "b"} {
		p.end(now, e, true)
	}
	if room := p.room(now, 100); room != atOnce {
		t.Errorf("%d loads begin in the second round, want %d", room, atOnce)
	}
}

func TestPipeLearnsItsLimit(t *testing.T) {
	const nominal = 6 * time.Second
	for _, atOnce := range []int{1, 4, 8} {
		p := newPipe()
		now := time.Unix(0, 0)
		for range 12 {
			var engines []string
			for i := range max(0, p.room(now, 100)) {
				engine := fmt.Sprint(i)
				p.begin(now, engine, "m", nominal)
				engines = append(engines, engine)
			}
			now = now.Add(max(nominal, nominal*time.Duration(len(engines))/time.Duration(atOnce)))
			for _, e := range engines {
				p.end(now, e, true)
			}
		}
		if p.limit < atOnce || p.limit > atOnce+atOnce/2+1 {
			t.Errorf("limit %d for a store that runs %d at full speed", p.limit, atOnce)
		}
	}
}
