// Package clock is the source of time that shells hand to the deciding code, so that tests inject their own.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and makes timers.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// NewTimer returns a timer whose channel receives once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is the part of time.Timer that shells use.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Real is the machine's clock. Under testing/synctest it is the bubble's clock.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

type realTimer struct{ *time.Timer }

func (t realTimer) C() <-chan time.Time { return t.Timer.C }

// Pause waits for d or the end of ctx, on the machine's clock.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
