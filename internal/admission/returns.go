package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest time to come back.
	minRetryAfter = 100 * time.Millisecond
	// defaultMaxRetryAfter is the longest unless the options say otherwise.
	defaultMaxRetryAfter = 30 * time.Second
	// jitterShare is the part of a return time that is drawn at random, so that refusals by several queues that are in
	// step do not fall on one moment.
	jitterShare = 0.25
)

// returns spreads the times at which refused requests come back.
//
// Refused callers that are all told the same time come back as a herd, overload the queue at that moment and leave it
// idle before and after. So each refusal takes the next place in a schedule that hands out places as fast as the target
// serves requests: the longer the row of those told to come back, the later the place.
type returns struct {
	random *rand.Rand
	// next is the next free place.
	next time.Time
}

// take returns how long a refused request should stay away. Capacity is there after the delay, and places lie a spacing
// apart. Beyond limit the places are drawn from the upper half of it.
func (r *returns) take(now time.Time, delay, spacing, limit time.Duration) time.Duration {
	place := now.Add(max(delay, minRetryAfter))
	if r.next.After(place) {
		place = r.next
	}
	away := place.Sub(now)
	if away < limit {
		r.next = place.Add(spacing)
	}
	away += r.draw(max(time.Duration(float64(away)*jitterShare), spacing))
	if away >= limit {
		return limit/2 + r.draw(limit/2)
	}
	return away
}

func (r *returns) draw(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(d)))
}
