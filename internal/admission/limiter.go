package admission

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// LimiterOptions are the settings of a Limiter.
type LimiterOptions struct {
	// MaxInFlight bounds all requests in flight, and MaxBatch those of class batch.
	MaxInFlight, MaxBatch int
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Limiter bounds the requests that an entry has in flight. It is not safe for concurrent use.
type Limiter struct {
	options LimiterOptions
	total   int
	batch   int
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter(options LimiterOptions) *Limiter { return &Limiter{options: options} }

// Acquire takes a place for a request of the class, or refuses it.
func (l *Limiter) Acquire(now time.Time, class wirepb.Class) *Refusal {
	if l.total >= l.options.MaxInFlight || class == wirepb.Class_BATCH && l.batch >= l.options.MaxBatch {
		return &Refusal{Reason: wirepb.RefusalReason_QUEUE_FULL, RetryAfter: time.Second}
	}
	l.total++
	if class == wirepb.Class_BATCH {
		l.batch++
	}
	return nil
}

// Release gives back the place of a request that ended at now.
func (l *Limiter) Release(now time.Time, class wirepb.Class) {
	l.total--
	if class == wirepb.Class_BATCH {
		l.batch--
	}
}

// InFlight returns how many requests hold a place.
func (l *Limiter) InFlight() int { return l.total }
