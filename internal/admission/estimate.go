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
