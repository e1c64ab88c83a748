package idle

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of the settings.
const (
	DefaultMargin      = 10 * time.Minute
	DefaultMarginLoads = 6
)

// The part of the slack for which a batch request is held; models differ in it, so that the end of a night doesn't wake
// all of them together.
const (
	leastHeldShare = 0.5
	mostHeldShare  = 0.9
)

// HoldOptions are the settings of a hold. Zero values mean the defaults.
type HoldOptions struct {
	// Margin is the least time that is left before the deadline for the load, the work and a retry elsewhere.
	Margin time.Duration
	// MarginLoads is the same as a multiple of the expected load, as a store at its limit of loads takes longer.
	MarginLoads int
	// Longest bounds a hold; 0 means that only the deadline does.
	Longest time.Duration
}

// HoldUntil returns until when a batch request for a cold model version may wait for others before it wakes the model,
// so that one load serves many. It returns now if the deadline leaves no room. Whoever holds several requests wakes the
// model at the earliest of their times, or joins a load that a waiting caller caused.
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
	if opts.Longest > 0 {
		held = min(held, opts.Longest)
	}
	return now.Add(held)
}

// heldShare spreads the models over the range of shares.
func heldShare(model string) float64 {
	const steps = 1 << 16
	place := float64(xxhash.Sum64String(model)%steps) / steps
	return leastHeldShare + place*(mostHeldShare-leastHeldShare)
}
