package timeline

import (
	"sync"
	"time"
)

const counterBits = 16

// MaxDrift bounds how far ahead of the local wall clock a reading from another process may be. It is far above the skew
// between hosts with synchronized clocks.
const MaxDrift = time.Minute

// HybridClock is a hybrid logical clock (Kulkarni et al., 2014). It follows the wall clock but always exceeds every
// reading that the process has observed, so that an effect never has an earlier timestamp than its cause.
type HybridClock struct {
	mu       sync.Mutex
	last     uint64
	rejected uint64
	now      func() time.Time
}

// NewHybridClock returns a clock based on the given wall clock.
func NewHybridClock(now func() time.Time) *HybridClock { return &HybridClock{now: now} }

// Now returns a reading greater than all readings returned or observed before.
func (c *HybridClock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(readingAt(c.now()), c.last+1)
	return c.last
}

// Observe advances the clock past a reading received with a message. If the reading is more than MaxDrift ahead, it
// leaves the clock unchanged and returns false.
//
// Without this bound a single host with a wrong clock, or a single corrupt message, would permanently move the clocks of
// all processes into the future. The cost is that the events of such a host appear too late in the merged order.
func (c *HybridClock) Observe(observed uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if observed > readingAt(c.now().Add(MaxDrift)) {
		c.rejected++
		return false
	}
	c.last = max(c.last, observed)
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

// readingAt returns the smallest reading for a wall-clock time.
func readingAt(t time.Time) uint64 { return uint64(t.UnixMilli()) << counterBits }
