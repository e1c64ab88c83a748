package idle

import (
	"math"
	"time"
)

const (
	// bucketCount and bucketRatio define buckets from 1 second to 33 hours, each 1.4 times as long as the one before.
	bucketCount = 36
	bucketRatio = 1.4
	// agingSteps is the number of times per half-life that the counts are aged.
	agingSteps = 16
)

// edges are the bucket bounds in seconds: bucket i holds the gaps from edges[i] to edges[i+1].
var edges = bucketEdges()

func bucketEdges() [bucketCount + 1]float64 {
	var e [bucketCount + 1]float64
	for i := range bucketCount {
		e[i+1] = math.Pow(bucketRatio, float64(i))
	}
	return e
}

// bucketOf returns the bucket of a gap; the last one also takes all longer gaps.
func bucketOf(gap time.Duration) int {
	seconds := gap.Seconds()
	if seconds < 1 {
		return 0
	}
	return min(1+int(math.Log(seconds)/math.Log(bucketRatio)), bucketCount-1)
}

// histogram counts gaps, with weights that decay exponentially with age.
type histogram struct {
	counts   [bucketCount]float32
	lastAged time.Time
}

// add counts a gap that ended at now.
func (h *histogram) add(gap time.Duration, now time.Time, halfLife time.Duration) {
	h.age(now, halfLife)
	h.counts[bucketOf(gap)]++
}

// age decays the counts with the given half-life.
func (h *histogram) age(now time.Time, halfLife time.Duration) {
	if h.lastAged.IsZero() {
		h.lastAged = now
	}
	passed := now.Sub(h.lastAged)
	if passed < halfLife/agingSteps {
		return
	}
	factor := float32(math.Exp2(-float64(passed) / float64(halfLife)))
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.lastAged = now
}

// hazards holds for each bucket the probability that a gap which reached the bucket ends in it.
type hazards [bucketCount]float64

// defaultHazards returns the prior used without any observations: on a logarithmic scale the likelihood falls linearly
// from the shortest to the longest bucket. With a flat likelihood, models with few long gaps so far were unloaded too
// early.
func defaultHazards() hazards {
	var hz hazards
	for i := range hz {
		hz[i] = min(1, 2/float64(bucketCount-i))
	}
	return hz
}

// hazards estimates the hazards from the counts. In each bucket the prior weighs as much as strength gaps that reached
// it, so that it dominates where the model has few gaps of its own: the long ones.
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

// cheapestKeep returns the keep-alive time of least expected cost: a gap longer than that time costs a cold start, and
// holding the model idle costs idleRate per second.
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
