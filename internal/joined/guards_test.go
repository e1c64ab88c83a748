package joined

import (
	"flag"
	"testing"
)

var guardSeeds = flag.Int("joined.guardseeds", 400, "seeds after which a missing guard must have been caught")

// The verdict must be the same each time: two plays of a seed do the same in the same order.
func TestSeedsPlayTheSame(t *testing.T) {
	const seeds = 10
	for seed := range uint64(seeds) {
		a, b := play(t, seed, guardNone, true).trace, play(t, seed, guardNone, true).trace
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("seed %d differs in line %d:\n%s\n%s", seed, i, a[i], b[i])
			}
		}
		if len(a) != len(b) {
			t.Fatalf("seed %d: %d and %d lines", seed, len(a), len(b))
		}
	}
}

// Without any one of the guards in the joining of the machines the runs must fail, or they would prove nothing of it.
func TestJoiningNeedsEachGuard(t *testing.T) {
	for _, g := range []guard{guardNotLoaded, guardAnswerFirst, guardFade, guardUnloads} {
		t.Run(string(g), func(t *testing.T) {
			t.Parallel()
			for i := range *guardSeeds {
				seed := *firstFlag + uint64(i)
				if w := play(t, seed, g, false); w.broken != "" {
					t.Logf("caught by seed %d: %s", seed, w.broken)
					return
				}
			}
			t.Errorf("not caught by %d seeds", *guardSeeds)
		})
	}
}
