package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the minimum retry delay.
	minRetryAfter = 100 * time.Millisecond
	// defaultMaxRetryAfter is the maximum retry delay unless the options set another.
	defaultMaxRetryAfter = 30 * time.Second
	// jitterFraction is the fraction of a retry delay that is random. It keeps the refusals of several queues in step
	// from being retried at the same moment.
	jitterFraction = 0.25
)

// retrySchedule spreads the retries of refused requests.
//
// With equal retry delays, all refused callers would return at once (thundering herd), overload the queue at that
// moment and leave it idle before and after. So each refusal reserves the next slot in a schedule whose slots are as
// far apart as the target's starts: the more retries are already scheduled, the later the slot.
type retrySchedule struct {
	random *rand.Rand
	// next is the time of the next free slot.
	next time.Time
}

// reserve returns the retry delay of a refused request. Capacity is expected to be available after minDelay, and slots
// are spacing apart. If the schedule is full up to maxDelay, the delay is drawn from the upper half of maxDelay.
func (r *retrySchedule) reserve(now time.Time, minDelay, spacing, maxDelay time.Duration) time.Duration {
	at := now.Add(max(minDelay, minRetryAfter))
	if r.next.After(at) {
		at = r.next
	}
	retryAfter := at.Sub(now)
	if retryAfter < maxDelay {
		r.next = at.Add(spacing)
	}
	retryAfter += r.randomBelow(max(time.Duration(float64(retryAfter)*jitterFraction), spacing))
	if retryAfter >= maxDelay {
		return maxDelay/2 + r.randomBelow(maxDelay/2)
	}
	return retryAfter
}

func (r *retrySchedule) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(d)))
}
