package joined

import "testing"

// TestSeedsPlayTheSame checks that the simulation is deterministic: two runs with the same seed have the same trace.
func TestSeedsPlayTheSame(t *testing.T) {
	const seeds = 10
	for seed := range uint64(seeds) {
		a, b := runSeed(t, seed, guardNone, true).trace, runSeed(t, seed, guardNone, true).trace
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("seed %d: traces differ in line %d:\n%s\n%s", seed, i, a[i], b[i])
			}
		}
		if len(a) != len(b) {
			t.Fatalf("seed %d: traces of %d and %d lines", seed, len(a), len(b))
		}
	}
}
