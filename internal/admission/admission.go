// Package admission decides which requests an endpoint queues, in which order they start, and which are refused
// immediately because they cannot meet their deadline.
//
// Queue holds the requests waiting at one endpoint, ServiceTimes estimates how long requests take there, and Limiter
// bounds the requests that an entry has in flight. All three are deterministic and do no I/O: the current time is an
// argument of each call.
package admission

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Target is what a request is addressed to: a model version with an optional adapter, or a plain service.
type Target struct {
	// Model is "name@version".
	Model, Adapter string
	Service        string
}

// Request is one waiting request.
type Request struct {
	ID       string
	Target   Target
	Class    wirepb.Class
	Caller   string
	Arrived  time.Time
	Deadline time.Time
	// Stream is set when the first token must arrive by the deadline; otherwise the whole answer must.
	Stream bool
}

// Refusal is the rejection of a request. A refused request has not been executed.
type Refusal struct {
	ID         string
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
	Detail     string
}

// Estimate describes the current state of a target; the queue's decisions are based on it.
type Estimate struct {
	// Ready is set when the target can run now; otherwise ReadyIn is the expected time until it can.
	Ready   bool
	ReadyIn time.Duration
	// MeanServiceTime is the mean time from the start of a request to its end, Concurrency is how many requests run at
	// once, and Running is how many run now.
	MeanServiceTime time.Duration
	Concurrency     int
	Running         int
	// TimeToFirstToken and TotalTime are conservative estimates of the time from the start of a request to its first
	// token and to its end; 0 means MeanServiceTime.
	TimeToFirstToken, TotalTime time.Duration
}

// Options are the settings of a Queue.
type Options struct {
	// MaxWaiting bounds the waiting requests of all targets together, and MaxPerTarget those of each target.
	MaxWaiting, MaxPerTarget int
	// MaxPerCaller bounds the waiting requests of each caller (0: no bound).
	MaxPerCaller int
	// BatchEvery is the maximum number of consecutive interactive starts while a batch request waits (0: 8).
	BatchEvery int
	// MaxRetryAfter bounds Refusal.RetryAfter (0: 30 s).
	MaxRetryAfter time.Duration
	// Seed seeds the jitter of the retry delays.
	Seed uint64
}
