package routing

import (
	"fmt"
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

var start = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

const (
	interactive = wirepb.Class_INTERACTIVE
	absent      = wirepb.ReplicaState_ABSENT
	loading     = wirepb.ReplicaState_LOADING
	loaded      = wirepb.ReplicaState_LOADED
	unloading   = wirepb.ReplicaState_UNLOADING
)

// engine returns a usable candidate.
func engine(name string, slot int, state wirepb.ReplicaState, change func(*Candidate)) Candidate {
	c := Candidate{Endpoint: name, SlotIndex: slot, State: state, HasAdapter: true, ReportedAt: start, Reachable: true}
	if change != nil {
		change(&c)
	}
	return c
}

func TestPickPrefersWhatCanBeginSoonest(t *testing.T) {
	noAdapter := func(c *Candidate) { c.HasAdapter = false }
	leaving := func(c *Candidate) { c.Leaving = true }
	cut := func(c *Candidate) { c.Reachable = false }
	busy := func(c *Candidate) { c.Wait = 5 * time.Second }
	near := func(c *Candidate) { c.FailureDomain = "here" }
	cases := []struct {
		name       string
		candidates []Candidate
		tried      []string
		want       string
	}{
		{"none", nil, nil, ""},
		{"adapter before loaded", []Candidate{engine("a", 0, loaded, noAdapter), engine("b", 1, loaded, nil)}, nil, "b"},
		{"loaded before loading", []Candidate{engine("a", 0, loading, nil), engine("b", 1, loaded, noAdapter)}, nil, "b"},
		{"loading before absent", []Candidate{engine("a", 0, absent, nil), engine("b", 1, loading, nil)}, nil, "b"},
		{"absent before unloading", []Candidate{engine("a", 0, unloading, nil), engine("b", 1, absent, nil)}, nil, "b"},
		{"lowest slot among absent ones", []Candidate{engine("a", 1, absent, nil), engine("b", 0, absent, nil), engine("c", 2, absent, nil)}, nil, "b"},
		{"next slot after a refusal", []Candidate{engine("a", 0, absent, nil), engine("b", 1, absent, nil)}, []string{"a"}, "b"},
		{"leaving is not usable", []Candidate{engine("a", 0, loaded, leaving), engine("b", 1, absent, nil)}, nil, "b"},
		{"unreachable is not usable", []Candidate{engine("a", 0, loaded, cut), engine("b", 1, absent, nil)}, nil, "b"},
		{"all tried", []Candidate{engine("a", 0, loaded, nil)}, []string{"a"}, ""},
		{"shorter wait", []Candidate{engine("a", 0, loaded, busy), engine("b", 1, loaded, nil)}, nil, "b"},
		{"own failure domain breaks a tie", []Candidate{engine("a", 0, loaded, nil), engine("b", 1, loaded, near)}, nil, "b"},
		{"own failure domain does not outweigh a shorter wait",
			[]Candidate{engine("a", 0, loaded, func(c *Candidate) { near(c); busy(c) }), engine("b", 1, loaded, nil)}, nil, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			index := NewIndex()
			for _, candidate := range c.candidates {
				index.Put(candidate)
			}
			for seed := range uint64(20) {
				r := NewRouter(Options{Seed: seed, FailureDomain: "here"})
				got := ""
				if i, ok := r.Pick(start, c.candidates, c.tried, interactive); ok {
					got = c.candidates[i].Endpoint
				}
				indexed, _ := r.PickIndexed(start, index, c.tried, interactive)
				if got != c.want || indexed.Endpoint != c.want {
					t.Fatalf("seed %d: picked %q, by index %q, want %q", seed, got, indexed.Endpoint, c.want)
				}
			}
		})
	}
}

// The first requests for a model that is not loaded reach several entries at once. If each entry chose a slot at
// random, the model would be loaded on several engines; all must choose the first slot, whatever their seeds and views
// of the load.
func TestBurstOfFirstRequestsJoinsOneLoad(t *testing.T) {
	for seed := range uint64(50) {
		slots := []Candidate{engine("a", 2, absent, nil), engine("b", 0, absent, nil), engine("c", 1, absent, nil)}
		slots[int(seed)%3].Sent = 40
		if i, _ := NewRouter(Options{Seed: seed}).Pick(start, slots, nil, interactive); slots[i].Endpoint != "b" {
			t.Fatalf("seed %d: picked %s, want b in the first slot", seed, slots[i].Endpoint)
		}
	}
}

// An engine hangs: each attempt there runs into its timeout. After three consecutive failures the engine must get only
// one request per probe until one succeeds.
func TestFailingEndpointIsEjectedAndProbed(t *testing.T) {
	r := NewRouter(Options{Seed: 1})
	engines := []Candidate{engine("hangs", 0, loaded, nil), engine("works", 1, loaded, nil)}
	timesPicked := func(now time.Time) (n int) {
		for range 100 {
			if i, _ := r.Pick(now, engines, nil, interactive); engines[i].Endpoint == "hangs" {
				n++
			}
		}
		return n
	}
	report := func(now time.Time, outcome Outcome) {
		r.Observe(now, Observation{Endpoint: "hangs", Outcome: outcome})
	}
	for range 2 {
		report(start, OutcomeUnknown)
		report(start, OutcomeRefused)
	}
	if timesPicked(start) == 0 {
		t.Error("ejected before the third failure")
	}
	report(start, OutcomeUnknown)
	if n := timesPicked(start.Add(defaultEjectFor / 2)); n != 0 {
		t.Errorf("picked %d times while ejected, want 0", n)
	}
	later := start.Add(2 * defaultEjectFor)
	if n := timesPicked(later); n != 1 {
		t.Errorf("picked %d times for the first probe, want 1", n)
	}
	report(later, OutcomeUnknown)
	if n := timesPicked(later.Add(defaultEjectFor * 3 / 2)); n != 0 {
		t.Errorf("picked %d times after a failed probe, want 0 during the longer ejection", n)
	}
	later = later.Add(3 * defaultEjectFor)
	if n := timesPicked(later); n != 1 {
		t.Errorf("picked %d times for the second probe, want 1", n)
	}
	report(later, OutcomeServed)
	if timesPicked(later) == 0 {
		t.Error("not picked after it served a request")
	}
}

// All engines of a model fail at once, for example because of a broken switch. If the router then refused all requests,
// it would go on doing so after the fault ends; ejected candidates must still be tried if there are no others.
func TestAllEjectedAreStillTried(t *testing.T) {
	r := NewRouter(Options{})
	engines := []Candidate{engine("a", 0, loaded, nil), engine("b", 1, loaded, nil)}
	index := NewIndex()
	for _, c := range engines {
		index.Put(c)
		for range defaultFailuresToEject {
			r.Observe(start, Observation{Endpoint: c.Endpoint, Outcome: OutcomeNotSent})
		}
	}
	if _, ok := r.Pick(start, engines, nil, interactive); !ok {
		t.Error("no engine picked")
	}
	if _, ok := r.PickIndexed(start, index, nil, interactive); !ok {
		t.Error("no engine picked by index")
	}
}

func TestIndexFollowsChanges(t *testing.T) {
	x := NewIndex()
	for i := range 50 {
		x.Put(engine(fmt.Sprint(i), i, loaded, nil))
	}
	for i := range 50 {
		name := fmt.Sprint(i)
		switch {
		case i%3 == 0:
			x.Remove(name)
		case i%3 == 1:
			x.Put(engine(name, i, absent, nil))
		default:
			x.Put(engine(name, i, loaded, func(c *Candidate) { c.Leaving = i%2 == 0 }))
		}
	}
	for i := range 50 {
		c := x.Get(fmt.Sprint(i))
		removed := i%3 == 0 || i%3 == 2 && i%2 == 0
		if removed != (c == nil) {
			t.Errorf("%d: %+v", i, c)
		}
		if c != nil && (c.Endpoint != fmt.Sprint(i) || TierOf(c) != x.positions[c.Endpoint].tier) {
			t.Errorf("endpoint %d: got %+v in tier %d", i, c, x.positions[c.Endpoint].tier)
		}
	}
	indexed := 0
	for _, tier := range x.tiers {
		indexed += len(tier)
	}
	if x.Len() != 17+8 || indexed != x.Len() {
		t.Errorf("%d candidates by name, %d in tiers", x.Len(), indexed)
	}
}
