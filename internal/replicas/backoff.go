package replicas

import (
	"math/rand/v2"
	"time"
)

// backoff is the retry state of one kind of call.
type backoff struct {
	wait  time.Duration
	until time.Time
}

// fail records a failed call and reports whether it is the first in a row. The delay doubles with each failure and is
// jittered, so that processes that failed at the same time do not retry at the same time.
func (b *backoff) fail(now time.Time, o Options, random *rand.Rand) bool {
	first := b.wait == 0
	b.wait = min(max(2*b.wait, o.MinBackoff), o.MaxBackoff)
	b.until = now.Add(b.wait/2 + time.Duration(random.Int64N(int64(b.wait/2)+1)))
	return first
}

// succeed records a successful call and reports whether the previous one had failed.
func (b *backoff) succeed() bool {
	failed := b.wait > 0
	*b = backoff{}
	return failed
}
