package placement

import (
	"math"
	"time"
)

const (
	// rateWindow and longRateWindow are the time constants of the two rates of a model's requests: the short one sees a
	// rising model within a second or two, the long one tells models apart that are asked for a few times a minute.
	rateWindow     = 2 * time.Second
	longRateWindow = 30 * time.Second
	// peakWindow is for how long the most requests at once count. Demand moves from one model to the next over some five
	// seconds and swings over some ten.
	peakWindow = 6 * time.Second
)

// rates follows the requests for one model over all gateways.
type rates struct {
	arrived     map[string]int64
	short, long float64
	at          time.Time
	lastArrival time.Time
	// peak falls by one part in e over peakWindow.
	peak float64
}

// observe takes in how many requests run or wait now.
func (r *rates) observe(now time.Time, requests int) {
	r.peak = max(float64(requests), decay(r.peak, now.Sub(r.at), peakWindow))
}

// update takes in how many requests each gateway has counted since its start.
func (r *rates) update(now time.Time, counts map[string]int64) {
	arrivals := int64(0)
	for gateway, count := range counts {
		before, known := r.arrived[gateway]
		if known && count >= before {
			arrivals += count - before
		} else if !known && !r.at.IsZero() || count < before {
			// A gateway that was just met, or restarted: its count so far came at an unknown time.
			arrivals += min(count, 1)
		}
	}
	r.arrived = counts
	if arrivals > 0 {
		r.lastArrival = now
	}
	if !r.at.IsZero() {
		passed := now.Sub(r.at)
		r.short = decay(r.short, passed, rateWindow) + float64(arrivals)/rateWindow.Seconds()
		r.long = decay(r.long, passed, longRateWindow) + float64(arrivals)/longRateWindow.Seconds()
	}
	r.at = now
}

func decay(rate float64, passed, window time.Duration) float64 {
	return rate * math.Exp(-passed.Seconds()/window.Seconds())
}
