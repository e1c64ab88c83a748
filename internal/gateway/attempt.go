package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/fleet"
	"balsamsail/internal/routing"
	"balsamsail/internal/sendonce"
)

var (
	// errSilent ends an attempt whose endpoint says nothing for too long while another may serve the request.
	errSilent = errors.New("gateway: the endpoint is silent")
	// errBroken says that an answer did not come whole, or is not the request's.
	errBroken = errors.New("gateway: the answer is broken")
)

const (
	// silenceShare is the part of the time left that a repeatable request gives one endpoint for the first byte while
	// another attempt is allowed. Half leaves the second as long as the first.
	silenceShare = 0.5
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes bounds what is read of a refusal's body so that its connection can be kept.
	maxRefusalBytes = 4 << 10
	// deadlineSlack is how long after the deadline that the endpoint was given its own answer is still awaited.
	deadlineSlack = 30 * time.Millisecond
)

// attempt sends a request to an endpoint and hands its answer to the client.
func (g *Gateway) attempt(parent context.Context, out *response, q *request, choice fleet.Choice) verdict {
	began := time.Now()
	q.attempts++
	q.endpoint = choice.ID
	q.want.Tried = append(q.want.Tried, choice.ID)
	g.fleet.Running(q.want.Target, 1)
	defer func() {
		g.fleet.Running(q.want.Target, -1)
		g.fleet.Done(choice, &q.want)
	}()
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := g.watchSilence(q, cancel)
	defer watchdog.Stop()
	result, err := g.client.Do(g.codec.NewRequest(ctx, q.inbound, q.body, Attempt{
		Address:     choice.Address,
		EndpointID:  choice.ID,
		Left:        time.Until(q.until),
		Urgency:     q.route.Urgency,
		LastEventID: out.lastEventID,
	}))
	if err != nil {
		return g.unanswered(parent, q, choice, result.MaybeSent, err)
	}
	defer result.Response.Body.Close()
	a := g.codec.ReadAnswer(result.Response)
	g.fleet.Heard(time.Now(), choice.ID, time.Since(began))
	g.note(q, choice, a)
	if a.NotRun {
		return g.refusedBy(q, choice, result, a)
	}
	if err := g.check(q, result.Response, a); err != nil {
		result.Discard()
		return g.unanswered(parent, q, choice, true, err)
	}
	q.mayHaveRun = true
	if result.Response.StatusCode >= http.StatusInternalServerError && q.repeatable() && g.mayGoOn(parent, q, true) {
		g.observe(q, choice, routing.OutcomeBroken, 0)
		g.drop(result)
		return again
	}
	if q.route.Streaming && result.Response.StatusCode == http.StatusOK {
		return g.passStream(parent, out, q, choice, result, watchdog, began)
	}
	return g.passWhole(parent, out, q, choice, result, began)
}

// stillSilent is the time between two looks for another endpoint while the one that has the request is silent.
const stillSilent = 200 * time.Millisecond

// watchSilence ends an attempt whose endpoint says nothing for too long, once another one can take the request.
//
// Without another one the silence is waited out: an engine that puts a stream back for more urgent ones is silent for seconds
// and then goes on with it, and a client that was cut off in the meantime had nothing.
func (g *Gateway) watchSilence(q *request, cancel context.CancelCauseFunc) *time.Timer {
	want := q.want
	started := make(chan *time.Timer, 1)
	watchdog := time.AfterFunc(g.patience(q), func() {
		timer := <-started
		started <- timer
		if time.Now().Before(q.until) && !g.fleet.HasOther(time.Now(), &want) {
			timer.Reset(stillSilent)
			return
		}
		cancel(errSilent)
	})
	started <- watchdog
	return watchdog
}

// patience is how long the endpoint may stay silent before its first byte.
func (g *Gateway) patience(q *request) time.Duration {
	left := time.Until(q.until)
	if q.repeatable() && q.attempts < q.route.MaxAttempts {
		return time.Duration(float64(left) * silenceShare)
	}
	return left + deadlineSlack
}

// note takes in what an answer says of its endpoint.
func (g *Gateway) note(q *request, choice fleet.Choice, a Answer) {
	if a.HasLoad {
		g.fleet.Load(time.Now(), choice.ID, a.Running, a.Queued)
	}
}

// check reports why an answer can't be the one to this request.
//
// An endpoint may send a second answer to an earlier request on a kept connection, where the next answer is awaited; it
// shows by the identifier. Bytes of something else that listens at the address show by the missing signature.
func (g *Gateway) check(q *request, resp *http.Response, a Answer) error {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case a.ID != "" && a.ID != q.call.ID:
		return errors.Wrap(errBroken, "it belongs to another request")
	case success && a.ID != q.call.ID:
		return errors.Wrap(errBroken, "it names no request")
	case success && !a.Signed:
		return errors.Wrap(errBroken, "it is not signed")
	case a.Encoded:
		return errors.Wrap(errBroken, "it is encoded")
	case a.PromisesNotRun:
		return errors.Wrap(errBroken, "its status says that the request did not run, and nothing else does")
	case resp.StatusCode < 200 || resp.StatusCode >= 300 && resp.StatusCode < 400:
		return errors.Wrap(errBroken, "its status is none of an application")
	}
	return nil
}

// unanswered decides what follows an attempt without a usable answer.
func (g *Gateway) unanswered(parent context.Context, q *request, choice fleet.Choice, maybeSent bool, err error) verdict {
	g.metrics.attempted("unanswered")
	if parent.Err() != nil && q.inbound.Context().Err() != nil {
		q.mayHaveRun = q.mayHaveRun || maybeSent
		return failed
	}
	g.lines.line(time.Now(), true, "attempt failed", "event", "attempt_failed", "request", q.call.ID, "endpoint", choice.ID, "sending", q.attempts,
		"maybe_sent", maybeSent, "error", err, "left", time.Until(q.until))
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.fleet.Refused(time.Now(), choice.ID)
	}
	if !maybeSent {
		g.observe(q, choice, routing.OutcomeNotSent, 0)
		return orFailed(g.mayGoOn(parent, q, false))
	}
	g.observe(q, choice, routing.OutcomeBroken, 0)
	q.mayHaveRun = true
	return orFailed(q.repeatable() && g.mayGoOn(parent, q, true))
}

// refusedBy decides what follows an endpoint's word that it did not run the request.
func (g *Gateway) refusedBy(q *request, choice fleet.Choice, result sendonce.Result, a Answer) verdict {
	status := result.Response.StatusCode
	g.metrics.attempted("refused")
	g.observe(q, choice, routing.OutcomeRefused, 0)
	switch {
	case a.Absent && a.Incarnation != "" && a.Incarnation != choice.ID:
		g.fleet.Replaced(choice.ID)
		q.strangers++
	case a.Absent:
		g.fleet.Absent(time.Now(), choice.ID, &q.want)
	}
	g.drop(result)
	g.lines.line(time.Now(), true, "endpoint refused", "event", "endpoint_refused", "request", q.call.ID, "endpoint", choice.ID, "status", status,
		"model", q.want.Model, "adapter", q.want.Adapter, "sending", q.attempts)
	// What has not run can wait until the budget allows another sending.
	q.owes = true
	return orFailed(g.mayGoOn(q.inbound.Context(), q, false))
}

func orFailed(goOn bool) verdict {
	if goOn {
		return again
	}
	return failed
}

// mayGoOn reports whether the request may be sent once more. A sending that reached an endpoint costs the budget one.
func (g *Gateway) mayGoOn(ctx context.Context, q *request, reached bool) bool {
	now := time.Now()
	if ctx.Err() != nil || q.until.Sub(now) < leastTimeLeft || q.usedUp() {
		return false
	}
	if q.mayHaveRun && q.attempts >= q.route.MaxAttempts {
		return false
	}
	return !reached || g.mayRepeat(q.want.Service, now)
}

// drop reads a short rest of an answer, so that its connection can be kept, and closes it.
func (g *Gateway) drop(result sendonce.Result) {
	if _, err := io.CopyN(io.Discard, result.Response.Body, maxRefusalBytes); err != io.EOF {
		result.Discard()
	}
}

func (g *Gateway) observe(q *request, choice fleet.Choice, outcome routing.Outcome, first time.Duration) {
	g.fleet.Observe(time.Now(), routing.Observation{Endpoint: choice.ID, Target: q.want.Service, Outcome: outcome, FirstByte: first})
}

// passWhole hands an answer to the client once it is whole, so that a broken one can still be repeated or told.
func (g *Gateway) passWhole(parent context.Context, out *response, q *request, choice fleet.Choice, result sendonce.Result, began time.Time) verdict {
	resp := result.Response
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Wrap(errBroken, "it is too long")
	}
	if err != nil {
		result.Discard()
		return g.unanswered(parent, q, choice, true, err)
	}
	if out.begun {
		// A stream that was to go on got an answer without events.
		return failed
	}
	first := time.Since(began)
	outcome := routing.OutcomeServed
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = routing.OutcomeBroken
	}
	g.observe(q, choice, outcome, first)
	out.whole(resp, body)
	g.metrics.attempted("answered")
	g.metrics.answered(resp.StatusCode, q)
	g.logEnd(q, "answered", resp.StatusCode)
	return finished
}
