// Package waiting decides whether a request that no endpoint can take now is held or refused at once, and with which
// Retry-After. It does no I/O and reads no clock: the caller passes what it observes and asks again whenever that changes.
package waiting

import "time"

// Request is what a waiting request needs.
type Request struct {
	// OnTime is when its service has to begin for the answer to be on time, and Latest when it has to begin for the
	// client to get an answer at all.
	OnTime, Latest time.Time
}

// Queue describes the requests that wait for a place at the replicas of one model.
type Queue struct {
	// AheadOnTime is the number of requests that go first among those that can still be served on time, and Ahead that of
	// all requests that go first.
	AheadOnTime, Ahead int
	// FullFor is how long the replicas have been full without interruption. Served is the rate, in 1/s, at which requests
	// have got a place in that time, and Arriving the rate at which they have lately arrived.
	FullFor          time.Duration
	Served, Arriving float64
	// NextReplica is the time until a further replica is ready; 0 if none is being loaded.
	NextReplica time.Duration
}

// Decision is what to do with a waiting request.
type Decision struct {
	Refuse bool
	// Expected is the expected time until the request is served, or could be if it is refused.
	Expected time.Duration
}

// never is an expected time that no request can wait for.
const never = time.Hour

// ForPlace decides about a request whose model is loaded, but only at engines whose batches are full.
//
// Requests that can still be on time go first. One that is late gets a place only from what the arriving ones leave: if
// at least as many arrive as are served, it would be held until its client leaves. It is refused then, so that its client
// can return when a further replica is ready. Until the replicas have been full for minEvidence it is held: right after a
// load, all requests that waited for the model ask for a place, and nearly all get one in time.
func ForPlace(now time.Time, r Request, q Queue) Decision {
	if q.FullFor < minEvidence {
		return Decision{Refuse: now.After(r.Latest)}
	}
	expected := q.expectedWait(now, r)
	if !now.Add(expected).After(r.Latest) {
		return Decision{Expected: expected}
	}
	if q.NextReplica > 0 {
		expected = min(expected, q.NextReplica)
	}
	return Decision{Refuse: now.Add(expected).After(r.Latest), Expected: min(expected, maxRetryAfter)}
}

// minEvidence is how long the replicas must have been full for their rate of service to be known.
const minEvidence = time.Second

// maxRetryAfter bounds the time after which a client is asked to return where no time is known.
const maxRetryAfter = 2 * time.Second

// minServedRate is the rate, in 1/s, that is assumed where no request has got a place lately.
const minServedRate = 0.5

func (q Queue) expectedWait(now time.Time, r Request) time.Duration {
	served := max(q.Served, minServedRate)
	onTime := seconds(float64(q.AheadOnTime+1) / served)
	if !now.Add(onTime).After(r.OnTime) {
		return onTime
	}
	left := served - q.Arriving
	if left <= 0 {
		return never
	}
	return seconds(float64(q.Ahead+1) / left)
}

// ForModel decides about a request whose model is expected to be loaded after ready. A wrong refusal makes its answer late
// for certain, so it is held while the estimate is within slack of the latest time.
func ForModel(now time.Time, r Request, ready, slack time.Duration) Decision {
	return Decision{Refuse: now.Add(ready).After(r.Latest.Add(slack)), Expected: ready}
}

// ForBudget decides about a request that waits for the retry budget, which grows by rate retries per second.
func ForBudget(now time.Time, r Request, rate float64) Decision {
	expected := never
	if rate > 0 {
		expected = min(seconds(1/rate), never)
	}
	return Decision{Refuse: now.Add(expected).After(r.Latest), Expected: min(expected, maxRetryAfter)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
