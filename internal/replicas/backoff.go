package replicas

import (
	"math/rand/v2"
	"time"
)

// backoff says when a kind of call may be tried again after one that failed.
type backoff struct {
	wait  time.Duration
	until time.Time
}

// fail notes that a call failed at a time and reports whether it is the first one in a row. The wait doubles with each and
// is jittered, so that processes which failed together do not come back together.
func (b *backoff) fail(now time.Time, o Options, random *rand.Rand) bool {
	first := b.wait == 0
	b.wait = min(max(2*b.wait, o.MinBackoff), o.MaxBackoff)
	b.until = now.Add(b.wait/2 + time.Duration(random.Int64N(int64(b.wait/2)+1)))
	return first
}

// succeed notes that a call succeeded and reports whether those before it had failed.
func (b *backoff) succeed() bool {
	failed := b.wait > 0
	*b = backoff{}
	return failed
}
