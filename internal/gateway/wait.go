package gateway

import (
	"cmp"
	"math/rand/v2"
	"time"

	"balsamsail/internal/fleet"
	"balsamsail/internal/waiting"
)

// waitReasons are the refusal reasons of requests that would wait too long.
var waitReasons = map[fleet.NoEndpointReason]refusalReason{
	fleet.ModelNotLoaded: reasonModelTooLate,
	fleet.OtherVersions:  reasonOtherVersions,
	fleet.EnginesFull:    reasonPlaceTooLate,
}

// waitNames name in the log what requests wait for.
var waitNames = map[refusalReason]string{
	reasonModelTooLate:  "model",
	reasonOtherVersions: "model",
	reasonPlaceTooLate:  "place",
	reasonRetryBudget:   "budget",
}

// wait is the wait of a request for an endpoint.
type wait struct {
	gateway *Gateway
	request *request
	began   time.Time
	// model is set while the request counts as waiting for its model.
	model *fleet.Waiter
	// place is set while the request counts as waiting for a place.
	place bool
	// expectedAt is when the request was first expected to get an endpoint; zero if there was no estimate.
	expectedAt time.Time
}

// register counts the request among those that wait for its model or for a place.
func (w *wait) register(now time.Time, reason fleet.NoEndpointReason) {
	q := w.request
	switch {
	case (reason == fleet.ModelNotLoaded || reason == fleet.OtherVersions) && w.model == nil:
		w.model = w.gateway.fleet.Wait(q.fleetRequest.WaitTarget(), now)
		q.cold = q.attempts == 0
	case reason == fleet.EnginesFull && !w.place:
		w.place = true
		w.gateway.fleet.WaitForPlace(&q.fleetRequest, q.arrived)
	}
}

// refused reports whether the request can't be served in time and is to be refused now. It is asked again at each change
// of what the decision depends on.
func (w *wait) refused(now time.Time, reason refusalReason) bool {
	g, q := w.gateway, w.request
	request := waiting.Request{OnTime: q.fleetRequest.OnTime, Latest: q.latestStart()}
	q.waitedFor = cmp.Or(waitNames[reason], "endpoint")
	var d waiting.Decision
	switch reason {
	case reasonModelTooLate, reasonOtherVersions:
		d = waiting.ForModel(now, request, g.fleet.ReadyIn(now, q.fleetRequest.WaitTarget()), estimateSlack)
	case reasonPlaceTooLate:
		d = waiting.ForPlace(now, request, g.fleet.Queue(now, &q.fleetRequest))
	case reasonRetryBudget:
		d = waiting.ForBudget(now, request, g.retryRate(q.fleetRequest.Service, now))
	default:
		return false
	}
	if w.expectedAt.IsZero() {
		w.expectedAt = now.Add(d.Expected)
	}
	if !d.Refuse {
		return false
	}
	q.servableIn, q.refusedFor = d.Expected, reason
	if reason == reasonModelTooLate || reason == reasonOtherVersions {
		w.holdDemand(now, d.Expected+returnSpread)
	}
	return true
}

// holdDemand keeps a refused request counted as waiting for its model until its client returns: models are loaded only for
// waiting requests.
func (w *wait) holdDemand(now time.Time, d time.Duration) {
	target := w.request.fleetRequest.WaitTarget()
	waiter := w.gateway.fleet.Wait(target, now)
	time.AfterFunc(d, func() { w.gateway.fleet.StopWaiting(target, waiter) })
}

// served records the end of a wait and how far off its estimate was.
func (w *wait) served(now time.Time) {
	if !w.expectedAt.IsZero() {
		w.gateway.metrics.estimateError.Observe(now.Sub(w.expectedAt).Abs().Seconds())
	}
}

// end ends the wait.
func (w *wait) end() {
	q := w.request
	q.waited += time.Since(w.began)
	if w.model != nil {
		w.gateway.fleet.StopWaiting(q.fleetRequest.WaitTarget(), w.model)
	}
	if w.place {
		w.gateway.fleet.StopWaitingForPlace(&q.fleetRequest)
	}
}

// randomRetryAfter returns a Retry-After that spreads the retries of refused clients over the time in which endpoints
// return.
func randomRetryAfter() time.Duration { return retryAfterBase + rand.N(retryAfterSpread) }
