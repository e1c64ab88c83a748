package idle

import (
	"math"
	"time"
)

const (
	// bucketCount and bucketRatio give buckets from a second to 33 hours, each 1.4 times as long as the one before.
	bucketCount = 36
	bucketRatio = 1.4
	// agingSteps is how often within a half-life the counts are aged.
	agingSteps = 16
)

// edges are the bounds of the buckets in seconds: bucket i holds the gaps from edges[i] to edges[i+1].
var edges = bucketEdges()

func bucketEdges() [bucketCount + 1]float64 {
	var e [bucketCount + 1]float64
	for i := range bucketCount {
		e[i+1] = math.Pow(bucketRatio, float64(i))
	}
	return e
}

// bucketOf returns the bucket of a gap; the last one takes all that are longer.
func bucketOf(gap time.Duration) int {
	seconds := gap.Seconds()
	if seconds < 1 {
		return 0
	}
	return min(1+int(math.Log(seconds)/math.Log(bucketRatio)), bucketCount-1)
}

// histogram counts gaps, older ones for less.
type histogram struct {
	counts [bucketCount]float32
	total  float32
	aged   time.Time
}

// uniform returns a histogram that stands for one gap of unknown length.
func uniform() histogram {
	var h histogram
	for i := range h.counts {
		h.counts[i] = 1.0 / bucketCount
	}
	h.total = 1
	return h
}

// add counts a gap that ended now.
func (h *histogram) add(gap time.Duration, now time.Time, halfLife time.Duration) {
	h.age(now, halfLife)
	h.counts[bucketOf(gap)]++
	h.total++
}

// age halves the counts once in a half-life.
func (h *histogram) age(now time.Time, halfLife time.Duration) {
	if h.aged.IsZero() {
		h.aged = now
	}
	passed := now.Sub(h.aged)
	if passed < halfLife/agingSteps {
		return
	}
	factor := float32(math.Exp2(-float64(passed) / float64(halfLife)))
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
	h.aged = now
}

// mixedWith returns the counts with those of another histogram, which are scaled to a total of strength.
func (h *histogram) mixedWith(other *histogram, strength float32) histogram {
	mixed := *h
	scale := strength / other.total
	for i := range mixed.counts {
		mixed.counts[i] += other.counts[i] * scale
	}
	mixed.total += strength
	return mixed
}

// cheapestKeep returns the keep-alive time of least expected cost: a gap that is longer than the time costs a cold start,
// and the time for which the model is held idle costs idleRate a second.
func (h *histogram) cheapestKeep(coldStartCost, idleRate float64) time.Duration {
	best, bestCost := 0.0, coldStartCost
	ended, heldForEnded := 0.0, 0.0
	for i := range bucketCount {
		share := float64(h.counts[i] / h.total)
		ended += share
		heldForEnded += share * (edges[i] + edges[i+1]) / 2
		keep := edges[i+1]
		cost := idleRate*(heldForEnded+(1-ended)*keep) + coldStartCost*(1-ended)
		if cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return time.Duration(best * float64(time.Second))
}
