// Package admission decides which requests wait at an endpoint, in which order they start, and which are refused at
// once because they cannot be served in time.
//
// Queue is the waiting line beside an endpoint, ServiceTimes learns how long requests take there, and Limiter bounds the
// requests that an entry has in flight. All are deterministic and do no I/O: the time is an argument of each call.
package admission

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Target is what a request asks for: a model version with perhaps an adapter, or a plain service.
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
	// Stream is set when the request makes its deadline with the first token; otherwise the whole answer must.
	Stream bool
}

// Refusal says that a request certainly did not run.
type Refusal struct {
	ID         string
	Reason     wirepb.RefusalReason
	RetryAfter time.Duration
	Detail     string
}

// Estimate is what the queue is told of a target when it judges a request.
type Estimate struct {
	// Ready is set when the target can run now; otherwise ReadyIn is the expected time until it can.
	Ready   bool
	ReadyIn time.Duration
	// Service is the usual time of one request, and Concurrency how many run at once, Running of them now.
	Service     time.Duration
	Concurrency int
	Running     int
	// First and Whole are cautious times from the start of a request to its first token and to its end; 0 means Service.
	First, Whole time.Duration
}

// Options are the settings of a Queue.
type Options struct {
	// MaxWaiting bounds the waiting requests over all targets, and MaxPerTarget those of one.
	MaxWaiting, MaxPerTarget int
	// MaxPerCaller bounds one caller's share of the waiting requests (0: no bound).
	MaxPerCaller int
	// BatchEvery is the longest run of interactive starts while a batch request waits (0: 8).
	BatchEvery int
	// MaxRetryAfter bounds the time to come back (0: 30 s).
	MaxRetryAfter time.Duration
	// Seed seeds the jitter of retry times.
	Seed uint64
}
