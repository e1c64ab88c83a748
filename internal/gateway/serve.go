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
	// recheck bounds the wait of a request between two looks for an endpoint: what its last look found may end without a
	// change that is announced, as the memory of a refusal does.
	recheck = 100 * time.Millisecond
	// leastTimeLeft is the time below which a request is not sent any more: a first answer byte takes some 30 ms at an idle
	// endpoint.
	leastTimeLeft = 60 * time.Millisecond
	// maxSendings bounds the sendings of one request, those included that endpoints refused. Those that met another incarnation
	// than the listed one come on top: each stale entry of the list shows once.
	maxSendings = 6
	// comeBackLater is the time to come back after a refusal for want of room.
	comeBackLater = 400 * time.Millisecond
	// estimateSlack is by how much an estimate must miss a client's patience to count: a request that is refused in error is
	// late for certain.
	estimateSlack = 500 * time.Millisecond
	// comeBackSpread is the time over which the clients come back that were told when a model will be ready.
	comeBackSpread = 300 * time.Millisecond
)

// verdict says what follows an attempt.
type verdict int

const (
	// finished: the client has its answer, or is gone.
	finished verdict = iota
	// again: the request may be sent to another endpoint.
	again
	// failed: the request can't be sent again; whether it has run stands in the request.
	failed
)

// serve sees a request through to its answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, q *request) {
	g.countRequest(q.want.Service)
	g.fleet.Arrived(q.want.Target, q.route.Target)
	ctx, cancel := context.WithDeadline(r.Context(), q.until.Add(deadlineSlack))
	defer cancel()
	defer context.AfterFunc(g.cut, cancel)()
	out := &response{writer: w, codec: g.codec, lastEventID: q.call.LastEventID}
	for {
		choice, ok := g.choose(ctx, q)
		if !ok {
			g.giveUp(out, r, q)
			return
		}
		switch g.attempt(ctx, out, q, choice) {
		case finished:
			return
		case failed:
			g.giveUp(out, r, q)
			return
		}
	}
}

// choose waits until an endpoint can take the request. It returns false when none will in time.
func (g *Gateway) choose(ctx context.Context, q *request) (fleet.Choice, bool) {
	if q.usedUp() {
		return fleet.Choice{}, false
	}
	var waiter *fleet.Waiter
	began := time.Now()
	defer func() {
		q.waited += time.Since(began)
		if waiter != nil {
			g.fleet.StopWaiting(q.want.Target, waiter)
		}
	}()
	for {
		changed := g.fleet.Changed()
		now := time.Now()
		if q.owes && !g.mayRepeat(q.want.Service, now) {
			if !g.worthWaiting(q, fleet.NotHeld, now) || !sleep(ctx, nil, recheck) {
				return fleet.Choice{}, false
			}
			continue
		}
		q.owes = false
		q.want.Paced = q.pacedUntil(now)
		choice, prospect, ok := g.fleet.Choose(now, &q.want)
		if ok {
			return choice, true
		}
		if !g.worthWaiting(q, prospect, now) || prospect == fleet.NotHeld && g.comesTooLate(q, now) {
			return fleet.Choice{}, false
		}
		if waiter == nil && prospect == fleet.NotHeld {
			waiter = g.fleet.Wait(q.want.Target, now)
			q.cold = q.attempts == 0
		}
		if !sleep(ctx, changed, recheck) {
			return fleet.Choice{}, false
		}
	}
}

// worthWaiting reports whether a request without an endpoint may get one in time.
func (g *Gateway) worthWaiting(q *request, prospect fleet.Prospect, now time.Time) bool {
	if q.until.Sub(now) < leastTimeLeft || g.stopsWaiting(now) {
		return false
	}
	switch prospect {
	case fleet.NoEndpoints:
		return false
	case fleet.AllTried:
		if q.want.Model == "" || q.mayHaveRun && !q.repeatable() {
			return false
		}
		// Every engine that holds the model has refused the request as not run, or broke off its answer: most models have one
		// engine, and one that reset a connection serves on. They are asked again after a pause.
		q.want.Tried = nil
		return true
	}
	return true
}

// comesTooLate reports whether a request's client will be gone when its model is there. Refused at once with the time at which
// the model will be ready, the client comes back and is served; held, it waits in vain.
func (g *Gateway) comesTooLate(q *request, now time.Time) bool {
	ready := g.fleet.ReadyIn(now, q.want.Target)
	leaves := q.until
	if q.route.Streaming {
		leaves = minTime(leaves, q.arrived.Add(streamPatience(q.route)))
	}
	if now.Add(ready).Before(leaves.Add(estimateSlack)) {
		return false
	}
	q.readyIn = ready
	// The client comes back for the model: nobody would load it if only those counted that wait here.
	waiter := g.fleet.Wait(q.want.Target, now)
	time.AfterFunc(ready+comeBackSpread, func() { g.fleet.StopWaiting(q.want.Target, waiter) })
	return true
}

// streamPatience is after how long without an event clients leave a stream, as the platform documents.
func streamPatience(r *catalog.Route) time.Duration {
	return max(2*time.Second, 4*r.Target, 8*r.GapTarget)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sleep waits for a change, at most d, and reports whether the request goes on.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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

// giveUp gives a request its final answer: a refusal that says that it has not run, where that is certain.
func (g *Gateway) giveUp(out *response, r *http.Request, q *request) {
	if r.Context().Err() != nil {
		g.logEnd(q, "client_gone", 0)
		return
	}
	if out.begun {
		g.logEnd(q, "cut", 0)
		// The client must see that the answer is not complete.
		panic(http.ErrAbortHandler)
	}
	f := refusal{id: q.call.ID, version: q.version}
	late := time.Until(q.until) < leastTimeLeft
	switch {
	case q.mayHaveRun && late:
		f.status, f.reason = http.StatusGatewayTimeout, unknownLate
	case q.mayHaveRun:
		f.status, f.reason = http.StatusBadGateway, unknownOutcome
	case q.readyIn > 0:
		f.status, f.reason, f.after = http.StatusServiceUnavailable, modelTooLate, q.readyIn+rand.N(comeBackSpread)
	case late:
		f.status, f.reason = http.StatusServiceUnavailable, noneInTime
	default:
		f.status, f.reason, f.after = http.StatusServiceUnavailable, noneNow, comeBack()
	}
	g.refuse(out.writer, r, f)
	g.logEnd(q, "refused", f.status)
}

// comeBack spreads the return of refused clients over the time in which endpoints come back.
func comeBack() time.Duration { return comeBackLater + rand.N(comeBackEmpty) }

func (g *Gateway) logEnd(q *request, outcome string, status int) {
	if outcome == "client_gone" {
		g.metrics.left.Inc()
	}
	trouble := outcome != "answered" || status >= http.StatusBadRequest || q.attempts > 1
	g.lines.line(time.Now(), trouble, "request ended", "event", "ended", "request", q.call.ID, "route", q.route.Name, "service", q.want.Service,
		"model", q.want.Model, "adapter", q.want.Adapter, "outcome", outcome, "status", status, "endpoint", q.endpoint,
		"sendings", q.attempts, "first_event", q.firstEvent, "longest_gap", q.longestGap, "waited", q.waited, "took", time.Since(q.arrived), "config", q.version)
}
