package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/fleet"
)

const (
	// recheckInterval bounds the wait between two attempts to choose an endpoint: some conditions expire without a
	// change notification, such as the time for which a refusal is remembered.
	recheckInterval = 100 * time.Millisecond
	// minTimeLeft is the least time left to the deadline with which a request is still sent: the first byte of a
	// response takes some 30 ms at an idle endpoint.
	minTimeLeft = 60 * time.Millisecond
	// maxTotalAttempts bounds the attempts of one request, including those that endpoints refused. Attempts that
	// reached another incarnation than the listed one don't count: each stale list entry fails only once.
	maxTotalAttempts = 6
	// retryAfterBase is the fixed part of Retry-After when no endpoint takes the request.
	retryAfterBase = 400 * time.Millisecond
	// estimateSlack is by how much the estimated load time must exceed the client's timeout before the request is
	// refused: a request that is refused in error is certain to be late.
	estimateSlack = 500 * time.Millisecond
	// returnSpread is the time over which the retries of clients that wait for the same model or places are spread.
	returnSpread = 300 * time.Millisecond
)

// verdict is what follows an attempt.
type verdict int

const (
	// done: the client has its response.
	done verdict = iota
	// retry: the request may be sent to another endpoint.
	retry
	// failed: the request can't be sent again; request.mayHaveRun is set if it may have run.
	failed
)

// serve sends a request to endpoints until the client has an answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, q *request) {
	g.creditRetryBudget(q.fleetRequest.Service)
	g.options.Parts.Arrived(q.parts)
	g.fleet.Arrived(q.arrived, q.fleetRequest.Target, q.route.Target)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline.Add(deadlineSlack))
	defer cancel()
	defer context.AfterFunc(g.abortCtx, cancel)()
	out := &response{writer: w, codec: g.codec, lastEventID: q.call.LastEventID}
	if !g.bindVersion(ctx, q) {
		g.giveUp(out, r, q)
		return
	}
	for {
		choice, ok := g.choose(ctx, q)
		if !ok {
			g.giveUp(out, r, q)
			return
		}
		verdict := g.attempt(ctx, out, q, choice)
		if out.started {
			q.fleetRequest.Resuming, q.silentSince = true, time.Now()
		}
		switch verdict {
		case done:
			return
		case failed:
			g.giveUp(out, r, q)
			return
		}
	}
}

// choose waits until an endpoint can take the request. It returns false if none can in time.
func (g *Gateway) choose(ctx context.Context, q *request) (fleet.Choice, bool) {
	if q.exhausted() {
		return fleet.Choice{}, false
	}
	w := &wait{gateway: g, request: q, began: time.Now()}
	defer w.end()
	for {
		changed := g.fleet.Changed()
		now := time.Now()
		if g.mustNotBeSent(now, q) {
			return fleet.Choice{}, false
		}
		if q.needsBudget && !g.spendRetry(q.fleetRequest.Service, now) {
			if w.refused(now, reasonRetryBudget) || !waitForChange(ctx, nil, recheckInterval) {
				return fleet.Choice{}, false
			}
			continue
		}
		q.needsBudget = false
		q.fleetRequest.PacedUntil = q.pacedUntil(now)
		choice, reason, ok := g.fleet.Choose(now, &q.fleetRequest)
		if ok {
			w.served(now)
			return choice, true
		}
		if !g.worthWaiting(q, reason, now) || w.refused(now, waitReasons[reason]) {
			return fleet.Choice{}, false
		}
		w.register(now, reason)
		if !waitForChange(ctx, changed, recheckInterval) {
			return fleet.Choice{}, false
		}
	}
}

// worthWaiting reports whether a request for which no endpoint was chosen may wait at all.
func (g *Gateway) worthWaiting(q *request, reason fleet.NoEndpointReason, now time.Time) bool {
	if q.deadline.Sub(now) < minTimeLeft || g.waitDeadlinePassed(now) {
		return false
	}
	switch reason {
	case fleet.NoEndpoints:
		return false
	case fleet.AllTried:
		if q.fleetRequest.Model == "" || q.mayHaveRun && !q.repeatable() {
			return false
		}
		// Every engine that has the model loaded has refused the request as not run, or its response was incomplete.
		// Most models are loaded on one engine only, and an engine that reset a connection usually keeps serving, so
		// they are tried again after a pause.
		q.fleetRequest.Tried = nil
		return true
	}
	return true
}

// streamTimeout is the time without an event after which clients abandon a stream, as the platform documents.
func streamTimeout(r *catalog.Route) time.Duration {
	return max(2*time.Second, 4*r.Target, 8*r.GapTarget)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitForChange waits for a change, at most for d. It returns false if the context is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// giveUp ends a request that no endpoint has answered. The refusal states that the request did not run if that is
// certain.
func (g *Gateway) giveUp(out *response, r *http.Request, q *request) {
	if r.Context().Err() != nil {
		g.logEnd(q, "client_gone", 0)
		// A client that has closed only its side of the connection still reads.
		panic(http.ErrAbortHandler)
	}
	if out.started {
		g.logEnd(q, "cut", 0)
		// Abort the connection, so that the client sees that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	f := refusal{id: q.call.ID, version: q.version}
	late := time.Until(q.deadline) < minTimeLeft
	switch {
	case q.mayHaveRun && late:
		f.status, f.reason = http.StatusGatewayTimeout, reasonUnknownTimeout
	case q.mayHaveRun:
		f.status, f.reason = http.StatusBadGateway, reasonUnknownOutcome
	case q.refusedFor != "":
		f.status, f.reason, f.retryAfter = http.StatusServiceUnavailable, q.refusedFor, q.servableIn+rand.N(returnSpread)
	case late:
		f.status, f.reason = http.StatusServiceUnavailable, reasonDeadline
	default:
		f.status, f.reason, f.retryAfter = http.StatusServiceUnavailable, reasonNoEndpoint, randomRetryAfter()
	}
	g.refuse(out.writer, f)
	g.logEnd(q, "refused", f.status)
}

func (g *Gateway) logEnd(q *request, outcome string, status int) {
	if outcome == "client_gone" {
		g.metrics.clientsLeft.Inc()
	}
	problem := outcome != "answered" || status >= http.StatusBadRequest || q.attempts > 1 || q.call.LastEventID != ""
	g.requestLog.write(time.Now(), problem, "request ended", "event", "ended", "request", q.call.ID, "route", q.route.Name, "service", q.fleetRequest.Service,
		"model", q.fleetRequest.Model, "adapter", q.fleetRequest.Adapter, "outcome", outcome, "status", status, "endpoint", q.endpoint, "endpoint_version", q.endpointVersion,
		"last_event", q.call.LastEventID, "resumes", q.call.Resumes,
		"sendings", q.attempts, "late", q.late(), "waited_for", q.waitedFor, "first_event", q.firstEvent, "longest_gap", q.longestGap, "waited", q.waited, "took", time.Since(q.arrived), "config", q.version)
}
