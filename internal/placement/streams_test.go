package placement

import (
	"reflect"
	"testing"
	"time"
)

// versioned sets the software versions of engines, in order.
func versioned(engines []Engine, versions ...string) []Engine {
	for i, v := range versions {
		engines[i].Version = v
	}
	return engines
}

// Guards against streams that are refused for good because their model serves at other software versions only, and against loads
// for them that no engine of their version can use.
func TestModelsForStreamsOfOneVersion(t *testing.T) {
	waits := Demand{Waiting: 3, Peak: 3, OldestWait: time.Second, WaitingAt: map[string]int{"v1": 3}}
	for _, c := range []struct {
		name    string
		engines []Engine
		store   int
		want    []string
	}{
		{"the model serves at another version", versioned([]Engine{testEngine("1", "ab", "c"), testEngine("2", "c", "")}, "v1", "v2"), 0,
			[]string{"1:-[]+c disk"}},
		{"the model serves at the version", versioned([]Engine{testEngine("1", "c", ""), testEngine("2", "", "c")}, "v1", "v1"), 0, nil},
		{"the model is nowhere", versioned([]Engine{testEngine("1", "", "c"), testEngine("2", "ab", "c")}, "v2", "v1"), 0,
			[]string{"2:-[]+c disk"}},
		{"no engine has the version", versioned([]Engine{testEngine("1", "c", ""), testEngine("2", "", "c")}, "v2", "v2"), 0, nil},
		{"the model would come from the store, and serves elsewhere", versioned([]Engine{testEngine("1", "ab", ""), testEngine("2", "c", "")}, "v1", "v2"), 2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := Input{Class: testClass(), Engines: c.engines, Demand: map[string]Demand{"c": waits}, StoreLoads: c.store, StoreLimit: 1}
			var got []Command
			for _, command := range Decide(in) {
				if command.Load == "c" {
					got = append(got, command)
				}
			}
			if list := formatCommands(got); !reflect.DeepEqual(list, c.want) {
				t.Errorf("got %v, want %v", list, c.want)
			}
		})
	}
}

// Guards against streams of one version that are refused as long as any request runs of the models in their engines' memory, and
// against evicting a model for them that more requests use.
func TestStreamsOfOneVersionDisplaceModelsInLessUse(t *testing.T) {
	running := func(n int) Demand { return Demand{Running: n, Peak: n, LastArrival: time.Unix(int64(n), 0)} }
	for _, c := range []struct {
		name    string
		a, b, d int
		want    []string
	}{
		{"fewer requests run of one model", 5, 1, 5, []string{"1:-[b]+c disk"}},
		{"as many run of each", 3, 3, 3, nil},
		{"more run of each", 5, 4, 5, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := Input{Class: testClass(), Engines: versioned([]Engine{testEngine("1", "abd", "c"), testEngine("2", "c", "")}, "v1", "v2"), Demand: map[string]Demand{
				"a": running(c.a), "b": running(c.b), "d": running(c.d),
				"c": {Waiting: 3, Peak: 3, OldestWait: time.Second, WaitingAt: map[string]int{"v1": 3}},
			}}
			if got := formatCommands(Decide(in)); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a second replica at another software version, which is of no use to the streams of the first when it ends.
func TestSecondReplicaHasTheSameVersion(t *testing.T) {
	engines := versioned([]Engine{testEngine("1", "c", ""), testEngine("2", "", "c"), testEngine("3", "", "c")}, "v1", "v2", "v1")
	busy := Demand{Running: 4, Peak: 4, Rate: 2, LongRate: 2}
	in := Input{Class: testClass(), Engines: engines, Demand: map[string]Demand{"c": busy}}
	for _, c := range Decide(in) {
		if c.Load == "c" && c.Engine != "3" {
			t.Errorf("the second replica is loaded at engine %s", c.Engine)
		}
	}
}
