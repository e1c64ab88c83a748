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
	// Share is how many retries each success allows (0: 0.2).
	Share float64
	// FloorPerSecond retries are allowed without any success, so that an entry with little traffic can retry at all
	// (0: 1).
	FloorPerSecond float64
	// Burst bounds the saved-up retries (0: 20).
	Burst float64
}

// RetryBudget bounds retries to a share of the successes, so that retries cannot multiply an overload: when nothing
// succeeds any more, the retries stop but for the floor. It is not safe for concurrent use.
type RetryBudget struct {
	options BudgetOptions
	tokens  float64
	filled  time.Time
}

// NewRetryBudget returns a budget that is full.
func NewRetryBudget(options BudgetOptions) *RetryBudget {
	options.Share = cmp.Or(options.Share, defaultBudgetShare)
	options.FloorPerSecond = cmp.Or(options.FloorPerSecond, defaultBudgetFloor)
	options.Burst = cmp.Or(options.Burst, defaultBudgetBurst)
	return &RetryBudget{options: options, tokens: options.Burst}
}

// SetShare changes how many retries each success allows from now on.
func (b *RetryBudget) SetShare(share float64) { b.options.Share = cmp.Or(share, defaultBudgetShare) }

// Resize changes how many retries can be saved up, for a budget that several processes share by their number.
func (b *RetryBudget) Resize(burst float64) {
	b.options.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Success notes a request that was served.
func (b *RetryBudget) Success() {
	b.tokens = min(b.options.Burst, b.tokens+b.options.Share)
}

// Spend takes one retry out of the budget, or reports that none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the floor for the time that passed.
func (b *RetryBudget) fill(now time.Time) {
	if passed := now.Sub(b.filled); !b.filled.IsZero() && passed > 0 {
		b.tokens = min(b.options.Burst, b.tokens+passed.Seconds()*b.options.FloorPerSecond)
	}
	if now.After(b.filled) {
		b.filled = now
	}
}
