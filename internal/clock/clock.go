// Package clock provides a time source that tests can replace. The code that does I/O reads it and passes the time to
// the decision logic as an argument.
package clock

import (
	"context"
	"time"
)

// Clock returns the current time and creates timers.
type Clock interface {
	// Now returns the current time, including its monotonic clock reading.
	Now() time.Time
	// NewTimer returns a timer that sends on its channel once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is the subset of time.Timer in use, as an interface.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Real is the system clock. Within testing/synctest it is the bubble's clock.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

type realTimer struct{ *time.Timer }

func (t realTimer) C() <-chan time.Time { return t.Timer.C }

// Pause waits until d has elapsed or ctx is done, using the system clock.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
