package placement

import (
	"math"
	"time"
)

const (
	// rateWindow and longRateWindow are the time constants of a model's two request rates. The short one detects a rise
	// within a second or two; the long one distinguishes models with a few requests per minute.
	rateWindow     = 2 * time.Second
	longRateWindow = 30 * time.Second
	// peakWindow is the time constant of the decaying peak. Demand moves between models over about 5 s and oscillates
	// with a period of about 10 s.
	peakWindow = 6 * time.Second
)

// rates tracks the requests for one model over all gateways.
type rates struct {
	arrived     int64
	short, long float64
	updatedAt   time.Time
	lastArrival time.Time
	// peak decays by a factor of e per peakWindow.
	peak float64
}

// observe updates the peak with the current number of running and waiting requests.
func (r *rates) observe(now time.Time, requests int) {
	r.peak = max(float64(requests), decay(r.peak, now.Sub(r.updatedAt), peakWindow))
}

// update updates the rates from the number of requests that have arrived so far. When the requests that were counted
// before the first update arrived is not known.
func (r *rates) update(now time.Time, arrived int64) {
	arrivals := int64(0)
	if !r.updatedAt.IsZero() {
		arrivals = max(0, arrived-r.arrived)
	}
	r.arrived = arrived
	if arrivals > 0 {
		r.lastArrival = now
	}
	if !r.updatedAt.IsZero() {
		elapsed := now.Sub(r.updatedAt)
		r.short = decay(r.short, elapsed, rateWindow) + float64(arrivals)/rateWindow.Seconds()
		r.long = decay(r.long, elapsed, longRateWindow) + float64(arrivals)/longRateWindow.Seconds()
	}
	r.updatedAt = now
}

func decay(rate float64, elapsed, window time.Duration) float64 {
	return rate * math.Exp(-elapsed.Seconds()/window.Seconds())
}
