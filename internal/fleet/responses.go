package fleet

import (
	"slices"
	"time"

	"balsamsail/internal/routing"
)

const (
	// minResponseTimeout is the minimum time without a response, while requests are in flight, after which other
	// endpoints are preferred. Answers of plain services take about 60 ms, and 240 ms at an endpoint that is four times
	// slower than the others.
	minResponseTimeout = 400 * time.Millisecond
	// responseTimeoutFactor is that time as a multiple of the service's average answer time, if this is longer.
	responseTimeoutFactor = 4
	// probeInterval is the time after which an unresponsive endpoint gets another repeatable request as a probe: it may
	// have recovered, which nothing else would show.
	probeInterval = time.Second
	// answerTimeWeight is the weight of a new sample in the moving average of a service's answer times.
	answerTimeWeight = 0.05
)

// responseTracker tracks whether an endpoint responds while requests are in flight to it.
//
// It detects an endpoint whose host neither responds nor refuses connections: open connections stay open, and the
// registration expires only after three heartbeats, about 4 s, or later if the store is unavailable. Requests that may
// run only once can't be retried, and a client that disconnects before an answer reveals nothing about the endpoint.
// Without the tracker, a gateway lost 6 or 7 of 50 requests in 10 s to such an endpoint among three; with it, one or
// two.
type responseTracker struct {
	// waitingSince is the time at which the first request after the last response was sent; it is zero if no request
	// waits for a response.
	waitingSince time.Time
	// lastSent is the time of the last request, lastResponse that of the last response.
	lastSent, lastResponse time.Time
}

func (r *responseTracker) sent(now time.Time) {
	r.lastSent = now
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
}

// responded records a response to one of the open requests. The timeout of the others starts again.
func (r *responseTracker) responded(now time.Time, open int) {
	r.lastResponse, r.waitingSince = now, now
	if open <= 1 {
		r.waitingSince = time.Time{}
	}
}

// done records the end of a request, with the number of requests still open. If the last client disconnects without a
// response, the state is kept.
func (r *responseTracker) done(open int) {
	if open == 0 && !r.lastResponse.Before(r.lastSent) {
		r.waitingSince = time.Time{}
	}
}

// overdue reports whether the endpoint has not responded for longer than the timeout.
func (r *responseTracker) overdue(now time.Time, timeout time.Duration) bool {
	return !r.waitingSince.IsZero() && now.Sub(r.waitingSince) > timeout
}

// ObserveResponse records an answer of the chosen endpoint and the time that it took.
func (f *Fleet) ObserveResponse(now time.Time, c Choice, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.chosen(c)
	if e == nil {
		return
	}
	e.responses.responded(now, e.inFlight)
	average, known := f.answerTime[e.Service]
	if !known {
		average = took
	}
	f.answerTime[e.Service] = average + time.Duration(answerTimeWeight*float64(took-average))
}

// dropUnresponsive removes the endpoints of a plain service whose response is overdue, unless no untried one would
// remain: then the service is slow, or this gateway is cut off. It does not apply to engines, which may take long until
// the first event; their agents report whether they respond.
func (f *Fleet) dropUnresponsive(now time.Time, candidates []routing.Candidate, req *Request) []routing.Candidate {
	if req.Model != "" {
		return candidates
	}
	timeout := max(minResponseTimeout, responseTimeoutFactor*f.answerTime[req.Service])
	responsive := slices.DeleteFunc(slices.Clone(candidates), func(c routing.Candidate) bool {
		r := &f.endpoints[c.Endpoint].responses
		probe := req.Repeatable && now.Sub(r.lastSent) > probeInterval
		return r.overdue(now, timeout) && !probe
	})
	untried := func(c routing.Candidate) bool { return !slices.Contains(req.Tried, c.Endpoint) }
	if !slices.ContainsFunc(responsive, untried) {
		return candidates
	}
	return responsive
}
