package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// initialReleaseSpacing is the assumed time between two releases until one has been measured.
const initialReleaseSpacing = 10 * time.Millisecond

// LimiterOptions are the settings of a Limiter.
type LimiterOptions struct {
	// MaxInFlight bounds all requests in flight. MaxBatch bounds those of class batch and so reserves the remainder for
	// interactive requests (0: no separate bound).
	MaxInFlight, MaxBatch int
	// MaxRetryAfter bounds Refusal.RetryAfter (0: 30 s).
	MaxRetryAfter time.Duration
	// Seed seeds the jitter of the retry delays.
	Seed uint64
}

// Limiter bounds the requests that an entry has in flight. It is not safe for concurrent use.
type Limiter struct {
	options        LimiterOptions
	total, batch   int
	releaseSpacing movingAverage
	lastRelease    time.Time
	retries        retrySchedule
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter(options LimiterOptions) *Limiter {
	options.MaxRetryAfter = cmp.Or(options.MaxRetryAfter, defaultMaxRetryAfter)
	options.MaxBatch = cmp.Or(options.MaxBatch, options.MaxInFlight)
	l := &Limiter{options: options}
	l.retries.random = rand.New(rand.NewPCG(options.Seed, 0))
	l.releaseSpacing.mean = initialReleaseSpacing
	return l
}

// Acquire counts a request of the class as in flight, or refuses it if the limit is reached.
func (l *Limiter) Acquire(now time.Time, class wirepb.Class) *Refusal {
	full := l.total >= l.options.MaxInFlight
	if class == wirepb.Class_BATCH {
		full = full || l.batch >= l.options.MaxBatch
	}
	if full {
		return l.refuse(now)
	}
	l.total++
	if class == wirepb.Class_BATCH {
		l.batch++
	}
	return nil
}

// refuse derives the retry delay from the recent rate of releases.
func (l *Limiter) refuse(now time.Time) *Refusal {
	return &Refusal{
		Reason:     wirepb.RefusalReason_QUEUE_FULL,
		RetryAfter: l.retries.reserve(now, l.releaseSpacing.mean, l.releaseSpacing.mean, l.options.MaxRetryAfter),
		Detail:     "the entry has too many requests in flight",
	}
}

// Release records that a request in flight ended at now.
func (l *Limiter) Release(now time.Time, class wirepb.Class) {
	l.observeRelease(now)
	l.total--
	if class == wirepb.Class_BATCH {
		l.batch--
	}
}

// observeRelease measures the time between two releases. It counts only while the limit is reached; otherwise it
// reflects the arrival rate instead of the capacity.
func (l *Limiter) observeRelease(now time.Time) {
	if l.total < l.options.MaxInFlight {
		l.lastRelease = time.Time{}
		return
	}
	if !l.lastRelease.IsZero() {
		l.releaseSpacing.observe(now.Sub(l.lastRelease))
	}
	l.lastRelease = now
}

// InFlight returns how many requests are in flight.
func (l *Limiter) InFlight() int { return l.total }
