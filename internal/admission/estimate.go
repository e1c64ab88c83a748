package admission

import (
	"cmp"
	"time"
)

// ready returns the expected time until the target can run.
func (e Estimate) ready() time.Duration {
	if e.Ready {
		return 0
	}
	return e.ReadyIn
}

// spacing returns the usual time between two starts under full load.
func (e Estimate) spacing() time.Duration {
	return e.Service / time.Duration(max(1, e.Concurrency))
}

// unknownSpacing is the time between the places to come back while nothing is known of the service time: without it all
// that a burst brings to a fresh endpoint would come back at one moment.
const unknownSpacing = 50 * time.Millisecond

// returnSpacing returns the time between the places to come back.
func (e Estimate) returnSpacing() time.Duration {
	return cmp.Or(e.spacing(), unknownSpacing)
}

// free returns how many more requests could start now.
func (e Estimate) free() int {
	return max(0, max(1, e.Concurrency)-e.Running)
}

// delay returns the expected time until a request starts that has the given number of requests before it.
func (e Estimate) delay(ahead int) time.Duration {
	behind := max(0, ahead-e.free()+1)
	return e.ready() + time.Duration(behind)*e.spacing()
}

// need returns the cautious time from the start of a request until it makes its deadline.
func (e Estimate) need(stream bool) time.Duration {
	if stream {
		return cmp.Or(e.First, e.Service)
	}
	return cmp.Or(e.Whole, e.Service)
}

// makes reports whether a request that starts after delay makes its deadline.
func (e Estimate) makes(now time.Time, r Request, delay time.Duration) bool {
	return !now.Add(delay + e.need(r.Stream)).After(r.Deadline)
}

// waitCaution is the factor on the expected wait of an offered request. Without it requests are accepted up to the edge
// of what can be served in time, and half of those at the edge are refused after they waited.
const waitCaution = 1.25

// promises reports whether a request with the given number of others before it can be accepted.
func (e Estimate) promises(now time.Time, r Request, ahead int) bool {
	queued := e.delay(ahead) - e.ready()
	return e.makes(now, r, e.ready()+time.Duration(float64(queued)*waitCaution))
}
