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
	aged   time.Time
}

// add counts a gap that ended now.
func (h *histogram) add(gap time.Duration, now time.Time, halfLife time.Duration) {
	h.age(now, halfLife)
	h.counts[bucketOf(gap)]++
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
	h.aged = now
}

// hazards holds for each bucket the probability that a gap which reached the bucket ends in it.
type hazards [bucketCount]float64

// unknown returns the hazards of a gap of which nothing is known: on a logarithmic scale its likelihood falls linearly from
// the shortest to the longest bucket. A flat likelihood gave up too early on models with few long gaps yet.
func unknown() hazards {
	var hz hazards
	for i := range hz {
		hz[i] = min(1, 2/float64(bucketCount-i))
	}
	return hz
}

// hazards estimates the hazards from the counts. In each bucket the prior weighs as much as strength gaps that reached it,
// so that it decides where the model's own gaps say little: its few long ones.
func (h *histogram) hazards(prior hazards, strength float64) hazards {
	var hz hazards
	reached := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		ended := float64(h.counts[i])
		reached += ended
		hz[i] = (ended + strength*prior[i]) / (reached + strength)
	}
	return hz
}

// cheapestKeep returns the keep-alive time of least expected cost: a gap that is longer than the time costs a cold start,
// and the time for which the model is held idle costs idleRate a second.
func (hz hazards) cheapestKeep(coldStartCost, idleRate float64) time.Duration {
	best, bestCost := 0.0, coldStartCost
	reached, heldForEnded := 1.0, 0.0
	for i := range bucketCount {
		ended := reached * hz[i]
		reached -= ended
		heldForEnded += ended * (edges[i] + edges[i+1]) / 2
		keep := edges[i+1]
		cost := idleRate*(heldForEnded+reached*keep) + coldStartCost*reached
		if cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return time.Duration(best * float64(time.Second))
}
