package routing

import (
	"cmp"
	"time"
)

const (
	defaultBudgetShare = 0.2
	defaultBudgetFloor = 1.0
	defaultBudgetBurst = 20.0
)

// BudgetOptions are the settings of a RetryBudget.
type BudgetOptions struct {
	// Share is the number of retries added for each success (0: 0.2).
	Share float64
	// FloorPerSecond is the number of retries added per second without any success, so that an entry with little
	// traffic can retry at all (0: 1).
	FloorPerSecond float64
	// Burst bounds the number of saved-up retries (0: 20).
	Burst float64
}

// RetryBudget is a token bucket that bounds retries to a share of the successes, so that retries cannot multiply an
// overload: when no request succeeds any more, only the floor is left. It is not safe for concurrent use.
type RetryBudget struct {
	options    BudgetOptions
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(options BudgetOptions) *RetryBudget {
	options.Share = cmp.Or(options.Share, defaultBudgetShare)
	options.FloorPerSecond = cmp.Or(options.FloorPerSecond, defaultBudgetFloor)
	options.Burst = cmp.Or(options.Burst, defaultBudgetBurst)
	return &RetryBudget{options: options, tokens: options.Burst}
}

// SetShare changes the number of retries added for each success.
func (b *RetryBudget) SetShare(share float64) { b.options.Share = cmp.Or(share, defaultBudgetShare) }

// Resize changes the burst, for example when the number of processes that share it changes.
func (b *RetryBudget) Resize(burst float64) {
	b.options.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Rate returns the rate, in 1/s, at which the budget grows at a rate of successes.
func (b *RetryBudget) Rate(successes float64) float64 {
	return b.options.FloorPerSecond + b.options.Share*successes
}

// Success adds the share of one successful request.
func (b *RetryBudget) Success() {
	b.tokens = min(b.options.Burst, b.tokens+b.options.Share)
}

// Spend takes one retry out of the budget. It returns false if none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Reserve takes one retry out of the budget and returns how long the caller must wait before it makes the retry. It
// returns false, and takes nothing, if the wait would exceed longest.
func (b *RetryBudget) Reserve(now time.Time, longest time.Duration) (time.Duration, bool) {
	b.refill(now)
	missing := max(0, 1-b.tokens)
	wait := missing / b.options.FloorPerSecond
	if wait > longest.Seconds() {
		return 0, false
	}
	b.tokens--
	return time.Duration(wait * float64(time.Second)), true
}

// refill adds the floor for the time since the last call.
func (b *RetryBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.options.Burst, b.tokens+elapsed.Seconds()*b.options.FloorPerSecond)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
