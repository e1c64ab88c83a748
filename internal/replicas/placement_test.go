package replicas

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/backing"
	"balsamsail/internal/selector"
)

// slotsByHolder returns the model versions that have a slot, by holder.
func (s *site) slotsByHolder() map[Holder]map[string]bool {
	held := map[Holder]map[string]bool{}
	for model, view := range s.Rows {
		for _, slot := range view.Row.Slots {
			h := Holder{Engine: slot.Engine, Host: slot.Host}
			if held[h] == nil {
				held[h] = map[string]bool{}
			}
			held[h][model] = true
		}
	}
	return held
}

// moved returns the fraction of slots whose holder has changed since before, and the highest number of slots on one
// engine.
func (s *site) moved(before map[Holder]map[string]bool) (share float64, most int) {
	total, moved := 0, 0
	for h, models := range s.slotsByHolder() {
		most = max(most, len(models))
		for model := range models {
			total++
			if !before[h][model] {
				moved++
			}
		}
	}
	return float64(moved) / float64(total), most
}

// modulo is the baseline of the comparison: it assigns each model version to the engine given by its hash modulo the
// number of engines, and returns the fraction that moves.
func modulo(models []ModelSpec, before, after int) (moved float64) {
	for _, m := range models {
		h := xxhash.Sum64String(m.Model)
		if h%uint64(before) != h%uint64(after) {
			moved++
		}
	}
	return moved / float64(len(models))
}

// Engines join and leave every day. Each slot that moves costs two writes and, if the model is loaded, a load. Only the
// slots of an engine that left and those that a new engine takes over should move.
func TestFewSlotsMoveWhenEnginesJoinAndLeave(t *testing.T) {
	cases := []struct{ models, engines int }{{50, 9}, {105, 18}, {500, 100}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d models, %d engines", c.models, c.engines), func(t *testing.T) {
			specs, views := models(c.models), engines(c.engines, "north", "east", "cargo")
			s := newSite(specs, views)
			s.run(t)
			before := s.slotsByHolder()
			_, most := s.moved(before)
			even := 2 * float64(c.models) / float64(c.engines)
			if float64(most) > 1.5*even+1 {
				t.Errorf("%d slots on one engine, %.1f on average", most, even)
			}

			s.listHosts(func(states map[string]backing.HostState) { states["h1"] = backing.HostGone })
			s.Engines = append(engines(1, "north"), s.Engines[2:]...)
			s.run(t)
			left, _ := s.moved(before)
			if limit := 1.5 / float64(c.engines); left > limit {
				t.Errorf("an engine left: share of slots moved %.3f, want at most %.3f", left, limit)
			}

			before = s.slotsByHolder()
			fresh := engines(2, "east")[1]
			fresh.Host = "h-new"
			s.listHosts(func(states map[string]backing.HostState) { states[fresh.Host] = backing.HostLive })
			s.Engines = append(s.Engines[:len(s.Engines):len(s.Engines)], fresh)
			s.run(t)
			joined, mostJoined := s.moved(before)
			if got, want := len(s.slotsByHolder()[Holder{fresh.Name, fresh.Host}]), int(joined*2*float64(c.models)+0.5); got != want {
				t.Errorf("an engine joined: %d slots moved, %d of them to it", want, got)
			}
			if limit := 1.5 / float64(c.engines); joined > limit {
				t.Errorf("an engine joined: share of slots moved %.3f, want at most %.3f", joined, limit)
			}
			t.Logf("most on one engine %d, mean %.1f; moved: one left %.3f, one joined %.3f (most then %d); modulo %.3f",
				most, even, left, joined, mostJoined, modulo(specs, c.engines, c.engines-1))
			if base := modulo(specs, c.engines, c.engines-1); base < 4*left {
				t.Errorf("the modulo baseline moves %.3f, which is not much worse than %.3f", base, left)
			}
		})
	}
}

// An operator adds engines because the others are full. The new ones must receive slots without any slot request.
func TestNewEnginesTakeTheirPart(t *testing.T) {
	s := newSite(models(60), engines(4, "north", "east"))
	s.run(t)
	s.Engines = engines(8, "north", "east")
	s.listHosts(func(states map[string]backing.HostState) {
		for _, e := range s.Engines {
			states[e.Host] = backing.HostLive
		}
	})
	s.run(t)
	for h, models := range s.slotsByHolder() {
		t.Logf("%s: %d", h.Engine, len(models))
	}
	if n := len(s.slotsByHolder()); n != 8 {
		t.Errorf("%d engines hold slots, want 8", n)
	}
}

// Two warm models do not fit on one engine together, but the engine with the fewest slots would be chosen for both. One
// of them could then never load. They must be kept apart also when both are declared at once.
func TestWarmModelsThatFillAnEngineAreKeptApart(t *testing.T) {
	specs := models(10)
	for i := range specs {
		specs[i].MemoryBytes, specs[i].Max, specs[i].Selector = 50*gibibyte, 1, selector.MustParse("pool = b")
	}
	views := engines(2, "north")
	views[1].Labels = map[string]string{"pool": "b"}
	s := newSite(specs[:5], views)
	s.run(t)
	for i := range specs[5:] {
		specs[5+i].Selector = selector.MustParse("pool = a")
	}
	for i := range specs[5:7] {
		specs[5+i].Warm, specs[5+i].Selector = 1, selector.MustParse("pool")
	}
	s.Declared = Declared{Revision: 2, Models: specs}
	s.apply(s.decide())
	if a, b := s.slots("m5@1"), s.slots("m6@1"); a == b || a == "" || b == "" {
		t.Errorf("slots %q and %q, want different engines", a, b)
	}
}

// Weighted rendezvous hashing must rank each engine first in proportion to its memory.
func TestRendezvousScoreFollowsWeights(t *testing.T) {
	weights := []float64{1, 1, 2, 4}
	first := make([]int, len(weights))
	const models = 80000
	for m := range models {
		best, bestScore := 0, 0.0
		for e, w := range weights {
			if s := rendezvousScore(xxhash.Sum64String(fmt.Sprint("m", m)), xxhash.Sum64String(fmt.Sprint("e", e)), w); s > bestScore {
				best, bestScore = e, s
			}
		}
		first[best]++
	}
	for e, w := range weights {
		got, want := float64(first[e])/models, w/8
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("engine of weight %v is first for %.3f, want %.3f", w, got, want)
		}
	}
}

// randomSite returns a site with random engines and model versions.
func randomSite(random *rand.Rand) *site {
	views := engines(2+random.IntN(12), "north", "east", "cargo")
	for i := range views {
		views[i].MemoryBytes = int64(20+random.IntN(100)) * gibibyte
		views[i].Labels = map[string]string{"pool": []string{"a", "b", "c"}[random.IntN(3)]}
	}
	specs := models(1 + random.IntN(40))
	selectors := []string{"pool = a", "pool != a", "pool in (a, b)", "pool"}
	for i := range specs {
		specs[i].Selector = selector.MustParse(selectors[random.IntN(len(selectors))])
		specs[i].MemoryBytes = int64(1+random.IntN(60)) * gibibyte
		specs[i].Max = 1 + random.IntN(4)
		specs[i].Min = random.IntN(specs[i].Max + 1)
		specs[i].Warm = random.IntN(specs[i].Max + 1)
	}
	return newSite(specs, views)
}

// If two placement rules contradict each other, slots move between engines without end, and each move costs writes and
// loads.
func TestDecisionsComeToAnEnd(t *testing.T) {
	const seeds = 300
	changes := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := randomSite(random)
		changes += s.run(t)
		for range 5 {
			e := &s.Engines[random.IntN(len(s.Engines))]
			s.edit(e.Name, func(e *EngineView) {
				e.Drain = !e.Drain
				e.Labels = map[string]string{"pool": []string{"a", "b", "c"}[random.IntN(3)]}
			})
			changes += s.run(t)
		}
		for _, spec := range s.Declared.Models {
			if n := len(s.Rows[spec.Model].Row.GetSlots()); n > spec.Max {
				t.Errorf("seed %d: %s has %d slots, maximum %d", seed, spec.Model, n, spec.Max)
			}
		}
	}
	t.Logf("%d changes in %d sites", changes, seeds)
}
