package admission

import (
	"cmp"
	"math/rand/v2"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// firstReleaseSpacing is the time between two ends of requests that a Limiter believes in before it saw any.
const firstReleaseSpacing = 10 * time.Millisecond

// LimiterOptions are the settings of a Limiter.
type LimiterOptions struct {
	// MaxInFlight bounds all requests in flight, and MaxBatch those of class batch, so that the rest is kept for
	// interactive ones (0: no bound of its own).
	MaxInFlight, MaxBatch int
	// MaxRetryAfter bounds the time to come back (0: 30 s).
	MaxRetryAfter time.Duration
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Limiter bounds the requests that an entry has in flight. It is not safe for concurrent use.
type Limiter struct {
	options      LimiterOptions
	total, batch int
	spacing      moving
	released     time.Time
	returns      returns
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter(options LimiterOptions) *Limiter {
	options.MaxRetryAfter = cmp.Or(options.MaxRetryAfter, defaultMaxRetryAfter)
	options.MaxBatch = cmp.Or(options.MaxBatch, options.MaxInFlight)
	l := &Limiter{options: options}
	l.returns.random = rand.New(rand.NewPCG(options.Seed, 0))
	l.spacing.mean = firstReleaseSpacing
	return l
}

// Acquire takes a place for a request of the class, or refuses it.
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

// refuse tells the time to come back from the pace at which places were given back of late.
func (l *Limiter) refuse(now time.Time) *Refusal {
	return &Refusal{
		Reason:     wirepb.RefusalReason_QUEUE_FULL,
		RetryAfter: l.returns.take(now, l.spacing.mean, l.spacing.mean, l.options.MaxRetryAfter),
		Detail:     "the entry has too many requests in flight",
	}
}

// Release gives back the place of a request that ended at now.
func (l *Limiter) Release(now time.Time, class wirepb.Class) {
	l.learnPace(now)
	l.total--
	if class == wirepb.Class_BATCH {
		l.batch--
	}
}

// learnPace measures the time between two ends while all places are taken; only then is it the limiter's pace.
func (l *Limiter) learnPace(now time.Time) {
	if l.total < l.options.MaxInFlight {
		l.released = time.Time{}
		return
	}
	if !l.released.IsZero() {
		l.spacing.observe(now.Sub(l.released))
	}
	l.released = now
}

// InFlight returns how many requests hold a place.
func (l *Limiter) InFlight() int { return l.total }
