package joined

import "testing"

// The verdict must be the same each time: two plays of a seed do the same in the same order.
func TestSeedsPlayTheSame(t *testing.T) {
	const seeds = 10
	for seed := range uint64(seeds) {
		a, b := runSeed(t, seed, guardNone, true).trace, runSeed(t, seed, guardNone, true).trace
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
