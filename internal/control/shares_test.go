package control

import (
	"testing"
	"time"
)

// Guards against shares that add up to more than the limit, or leave a hub without any.
func TestSharesAddUpToOne(t *testing.T) {
	for _, rates := range [][]float64{{0, 0, 0}, {1, 1, 1}, {0, 0, 90}, {5, 0, 1}} {
		all, sum := 0.0, 0.0
		for _, r := range rates {
			all += r
		}
		for _, r := range rates {
			share := shareOf(r, all, len(rates))
			if share < evenShare/float64(len(rates)) {
				t.Errorf("%v: a share of %.3f", rates, share)
			}
			sum += share
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("%v: the shares add up to %.3f", rates, sum)
		}
	}
}

// Guards against a hub that uses a larger share while another still uses what it is about to give up.
func TestShareGrowsAfterTheOthersHaveFallen(t *testing.T) {
	now := time.Unix(1000, 0)
	var s limitShare
	for _, step := range []struct {
		after        time.Duration
		wanted, used float64
	}{
		{0, 0.25, 0.25},
		{100 * time.Millisecond, 0.85, 0.25},
		{shareRaiseDelay - time.Millisecond, 0.8, 0.25},
		{time.Millisecond, 0.8, 0.8},
		{time.Millisecond, 0.1, 0.1},
		{time.Millisecond, 0.3, 0.1},
		{time.Millisecond, 0.1, 0.1},
		{shareRaiseDelay, 0.3, 0.1},
	} {
		now = now.Add(step.after)
		if got := s.next(now, step.wanted); got != step.used {
			t.Errorf("%v after the last step: a share of %.2f, want %.2f", step.after, got, step.used)
		}
	}
}
