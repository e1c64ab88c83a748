package admission

import (
	"cmp"
	"time"
)

// readyDelay returns the expected time until the target can run requests.
func (e Estimate) readyDelay() time.Duration {
	if e.Ready {
		return 0
	}
	return e.ReadyIn
}

// spacing returns the mean time between two starts under full load.
func (e Estimate) spacing() time.Duration {
	return e.MeanServiceTime / time.Duration(max(1, e.Concurrency))
}

// defaultSpacing is the time between two retries while the service time is unknown. Without it, all refused requests of
// a burst at a new endpoint would be retried at the same moment.
const defaultSpacing = 50 * time.Millisecond

// retrySpacing returns the time between the scheduled retries of two refused requests.
func (e Estimate) retrySpacing() time.Duration {
	return cmp.Or(e.spacing(), defaultSpacing)
}

// freeCapacity returns how many more requests could start now.
func (e Estimate) freeCapacity() int {
	return max(0, max(1, e.Concurrency)-e.Running)
}

// startDelay returns the expected time until a request starts that has the given number of requests ahead of it.
func (e Estimate) startDelay(ahead int) time.Duration {
	waitFor := max(0, ahead-e.freeCapacity()+1)
	return e.readyDelay() + time.Duration(waitFor)*e.spacing()
}

// requiredTime returns a conservative estimate of the time from the start of a request to its first token if it
// streams, or to its end.
func (e Estimate) requiredTime(stream bool) time.Duration {
	if stream {
		return cmp.Or(e.TimeToFirstToken, e.MeanServiceTime)
	}
	return cmp.Or(e.TotalTime, e.MeanServiceTime)
}

// meetsDeadline reports whether a request that starts after delay can meet its deadline.
func (e Estimate) meetsDeadline(now time.Time, r Request, delay time.Duration) bool {
	return !now.Add(delay + e.requiredTime(r.Stream)).After(r.Deadline)
}

// waitMargin is the safety factor on the expected queueing time of an offered request. Without it the queue accepts
// requests that would only just meet their deadline, and half of those are refused after they have waited.
const waitMargin = 1.25

// canAccept reports whether a request with the given number of requests ahead of it is expected to meet its deadline.
func (e Estimate) canAccept(now time.Time, r Request, ahead int) bool {
	queueDelay := e.startDelay(ahead) - e.readyDelay()
	return e.meetsDeadline(now, r, e.readyDelay()+time.Duration(float64(queueDelay)*waitMargin))
}
