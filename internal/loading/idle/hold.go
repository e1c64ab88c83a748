package idle

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of HoldOptions.
const (
	DefaultMargin      = 10 * time.Minute
	DefaultMarginLoads = 6
)

// The fraction of the slack for which a batch request is held. It varies by model, so that requests with a common
// deadline do not cause loads of all models at once.
const (
	minHeldShare = 0.5
	maxHeldShare = 0.9
)

// HoldOptions are the settings of HoldUntil. Zero values mean the defaults.
type HoldOptions struct {
	// Margin is the minimum time to leave before the deadline for the load, the work and a retry on another engine.
	Margin time.Duration
	// MarginLoads is the same margin as a multiple of the expected load, because loads slow down when the store is
	// saturated.
	MarginLoads int
	// MaxHold bounds the hold; 0 means no bound other than the deadline.
	MaxHold time.Duration
}

// HoldUntil returns until when a batch request for a cold model version may wait for others before it triggers a load,
// so that one load serves many. It returns now if the deadline leaves no time. A caller that holds several requests
// should trigger the load at the earliest of their times, or share a load triggered by an interactive request.
func HoldUntil(model string, now, deadline time.Time, expectedLoad time.Duration, opts HoldOptions) time.Time {
	if opts.Margin <= 0 {
		opts.Margin = DefaultMargin
	}
	if opts.MarginLoads <= 0 {
		opts.MarginLoads = DefaultMarginLoads
	}
	margin := max(opts.Margin, time.Duration(opts.MarginLoads)*expectedLoad)
	slack := deadline.Sub(now) - margin
	if slack <= 0 {
		return now
	}
	held := time.Duration(heldShare(model) * float64(slack))
	if opts.MaxHold > 0 {
		held = min(held, opts.MaxHold)
	}
	return now.Add(held)
}

// heldShare returns the fraction of the slack for a model, spread over the allowed range by a hash of its name.
func heldShare(model string) float64 {
	const steps = 1 << 16
	place := float64(xxhash.Sum64String(model)%steps) / steps
	return minHeldShare + place*(maxHeldShare-minHeldShare)
}
