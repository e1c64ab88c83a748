package timeline

import (
	"sync"
	"time"
)

const counterBits = 16

// MaxDrift is how far ahead of the wall clock a reading from another process may be. It is far above the skew of hosts
// that keep time at all.
const MaxDrift = time.Minute

// HybridClock is a hybrid logical clock (Kulkarni et al., 2014): it follows the wall clock but never runs behind a
// reading that the process has seen, so that an effect is never stamped before its cause.
type HybridClock struct {
	mu       sync.Mutex
	last     uint64
	rejected uint64
	now      func() time.Time
}

// NewHybridClock returns a clock over the given wall clock.
func NewHybridClock(now func() time.Time) *HybridClock { return &HybridClock{now: now} }

// Now returns a reading above all that were returned or observed before.
func (c *HybridClock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(reading(c.now()), c.last+1)
	return c.last
}

// Observe moves the clock past a reading that came with a message. It reports false, and leaves the clock, when the
// reading is more than MaxDrift ahead.
//
// The bound guards against one host with a wrong clock, or one wrong message, that would drag the clocks of all
// processes into the future, from where they never come back. The price is that this host's events stand too late in
// the merged order.
func (c *HybridClock) Observe(seen uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen > reading(c.now().Add(MaxDrift)) {
		c.rejected++
		return false
	}
	c.last = max(c.last, seen)
	return true
}

// Rejected returns how many readings were too far ahead.
func (c *HybridClock) Rejected() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// WallTime returns the wall-clock part of a reading.
func WallTime(reading uint64) time.Time { return time.UnixMilli(int64(reading >> counterBits)) }

// reading returns the least reading of a wall-clock time.
func reading(t time.Time) uint64 { return uint64(t.UnixMilli()) << counterBits }
