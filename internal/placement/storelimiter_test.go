package placement

import (
	"math"
	"testing"
	"time"
)

// Guards against a rate of loads too large for an integer, which would allow none.
func TestLargeRateOfLoadsAllowsLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, perSecond := range []float64{1000, 9e18, 1e300, math.MaxFloat64} {
		s := newStoreLimiter()
		for range initialLimit {
			if s.available(now, perSecond) <= 0 {
				t.Fatalf("no load may start at %g a second", perSecond)
			}
			s.acquire(now, "e", "m", time.Second)
			s.release(now, "e", true)
		}
	}
}
