package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/fleet"
	"balsamsail/internal/inbound"
	"balsamsail/internal/routing"
	"balsamsail/internal/sendonce"
)

var (
	// errStalled ends an attempt whose endpoint sent no data within the timeout while another endpoint could serve the
	// request.
	errStalled = errors.New("gateway: the endpoint sent no data within the timeout")
	// errRestarted ends an attempt whose endpoint has restarted.
	errRestarted = errors.New("gateway: the endpoint has restarted")
	// errInvalidResponse is wrapped by errors about a response that is incomplete or doesn't belong to the request.
	errInvalidResponse = errors.New("gateway: invalid or incomplete response")
)

const (
	// firstByteTimeoutShare is the share of the time left that an endpoint has to send the first byte of a repeatable
	// request while another attempt is allowed. Half leaves the second attempt as long as the first.
	firstByteTimeoutShare = 0.5
	// maxResponseBytes bounds a response that is buffered before it is forwarded, and maxBufferedBytes all of them together.
	maxResponseBytes = 8 << 20
	maxBufferedBytes = 16 << 20
	// maxDrainBytes and maxDrainTime bound the reading of a discarded response's body, so that its connection can be reused.
	maxDrainBytes = 4 << 10
	maxDrainTime  = 20 * time.Millisecond
	// deadlineSlack is how long after the deadline given to the endpoint its response is still awaited.
	deadlineSlack = 30 * time.Millisecond
)

// attempt sends a request to an endpoint and forwards the response to the client.
func (g *Gateway) attempt(parent context.Context, out *response, q *request, choice fleet.Choice) verdict {
	began := time.Now()
	q.attempts++
	q.endpoint, q.endpointVersion, q.progress = choice.ID, choice.Version, answerProgress{}
	q.fleetRequest.Tried = append(q.fleetRequest.Tried, choice.ID)
	g.fleet.Running(q.fleetRequest.Target, 1)
	defer func() {
		g.fleet.Running(q.fleetRequest.Target, -1)
		g.fleet.Done(choice, &q.fleetRequest)
	}()
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	g.fleet.NotifyRestart(choice, func() { cancel(errRestarted) })
	watchdog := g.startWatchdog(q, cancel)
	defer watchdog.Stop()
	result, a, err := g.send(ctx, out, q, choice)
	if err != nil {
		return g.handleFailure(parent, q, choice, result, err)
	}
	defer result.Response.Body.Close()
	if a.isFromAnother(choice) {
		g.fleet.Replaced(choice)
	} else {
		g.fleet.ObserveResponse(time.Now(), choice, time.Since(began))
		g.recordLoad(choice, a)
		g.recordLimit(q, choice, a, began)
	}
	if a.NotRun {
		return g.handleRefusal(q, choice, result, a)
	}
	if err := g.validate(q, result.Response, a); err != nil {
		result.Discard()
		return g.handleFailure(parent, q, choice, result, err)
	}
	q.mayHaveRun = true
	if result.Response.StatusCode >= http.StatusInternalServerError && q.repeatable() && g.canRetry(parent, q, true) {
		g.fleet.Observe(time.Now(), choice, routing.OutcomeUnknown, 0)
		g.drain(result)
		return retry
	}
	if q.route.Streaming && q.inbound.Method != http.MethodHead && result.Response.StatusCode == http.StatusOK {
		return g.forwardStream(parent, out, q, choice, result, watchdog, began)
	}
	return g.forwardBuffered(parent, out, q, choice, result, began)
}

// send sends a request to an endpoint and returns the response once it is known to be the one to this request.
func (g *Gateway) send(ctx context.Context, out *response, q *request, choice fleet.Choice) (result sendonce.Result, a Response, err error) {
	newRequest := func() *http.Request {
		return g.codec.NewRequest(ctx, q.inbound, q.body, Attempt{
			Address:     choice.Address,
			EndpointID:  choice.ID,
			Timeout:     time.Until(q.deadline),
			Priority:    q.route.Priority,
			LastEventID: out.lastEventID,
		})
	}
	result, err = g.client.DoMatched(newRequest, &q.message, func(response *http.Response, c sendonce.Connection) error {
		a = g.codec.ReadResponse(response)
		return q.match(c, a)
	})
	if skipped := result.Connection.Skipped; skipped > 0 {
		g.requestLog.write(time.Now(), true, "endpoint sent responses to other requests first", "event", "responses_skipped", "request", q.call.ID, "endpoint", choice.ID,
			"skipped", skipped, "connection", result.Connection.Number, "carried", result.Connection.Carried)
	}
	return result, a, err
}

// watchdogRecheck is the interval at which an expired watchdog checks again for another endpoint.
const watchdogRecheck = 200 * time.Millisecond

// startWatchdog returns a timer that cancels an attempt whose endpoint sends nothing within the timeout, once another
// endpoint can take the request.
//
// While there is no other endpoint, the attempt goes on: an engine that preempts a stream in favor of more urgent
// requests sends nothing for seconds and then resumes it. Cancelling the attempt would only cut the client off.
func (g *Gateway) startWatchdog(q *request, cancel context.CancelCauseFunc) *time.Timer {
	fleetRequest := q.fleetRequest
	started := make(chan *time.Timer, 1)
	watchdog := time.AfterFunc(g.firstByteTimeout(q), func() {
		timer := <-started
		started <- timer
		if version := q.begunBy.Load(); version != nil {
			fleetRequest.OneVersion, fleetRequest.OnlyVersion = true, *version
		}
		if time.Now().Before(q.deadline) && !g.fleet.HasOther(time.Now(), &fleetRequest) {
			timer.Reset(watchdogRecheck)
			return
		}
		cancel(errStalled)
	})
	started <- watchdog
	return watchdog
}

// firstByteTimeout returns how long the endpoint may take to send its first byte.
func (g *Gateway) firstByteTimeout(q *request) time.Duration {
	left := time.Until(q.deadline)
	if q.repeatable() && q.attempts < q.route.MaxAttempts {
		return time.Duration(float64(left) * firstByteTimeoutShare)
	}
	return left + deadlineSlack
}

// recordLoad passes the load that a response reports on to the fleet.
func (g *Gateway) recordLoad(choice fleet.Choice, a Response) {
	if a.HasLoad {
		g.fleet.Load(time.Now(), choice, a.Running, a.Queued)
	}
}

// recordLimit passes on what an answer of the chosen endpoint, to an attempt that began at sentAt, says of its limit.
func (g *Gateway) recordLimit(q *request, choice fleet.Choice, a Response, sentAt time.Time) {
	if a.LimitInvalid {
		return
	}
	if g.fleet.ObserveLimit(time.Now(), sentAt, choice, a.Limit) {
		g.logger.Info("endpoint has changed the limit that it names", "event", "limit", "endpoint", choice.ID, "service", q.fleetRequest.Service,
			"named", a.Limit.Named, "per_second", a.Limit.PerSecond, "request", q.call.ID)
	}
}

// match returns an error unless a response is known to be the one to this request. Nothing else that it says is believed before.
//
// An endpoint may send a response to an earlier request once more, where the next one on the connection is due; the request ID tells
// them apart, because no connection carries the same request twice. A response without an ID is the one to this request only if its
// connection has carried no other.
func (q *request) match(c sendonce.Connection, a Response) error {
	switch {
	case a.ID == "" && c.Carried > 0:
		return errors.Wrap(errInvalidResponse, "it has no request ID, and its connection has carried other requests")
	case a.namesOther(q.call.ID):
		return errors.Wrapf(errInvalidResponse, "it has the ID of another request, %.40q", a.ID)
	}
	return nil
}

// validate returns an error if a response to this request can't be forwarded. Bytes from another process that listens at the address
// are detected by the missing signature.
func (g *Gateway) validate(q *request, resp *http.Response, a Response) error {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case success && a.ID != q.call.ID:
		return errors.Wrap(errInvalidResponse, "it has no request ID")
	case success && !a.Signed:
		return errors.Wrap(errInvalidResponse, "it is not signed")
	case a.Encoded:
		return errors.Wrap(errInvalidResponse, "it has an unexpected content encoding")
	case a.StatusMeansNotRun:
		return errors.Wrap(errInvalidResponse, "its status claims that the request did not run, but no header confirms it")
	case resp.StatusCode < 200 || resp.StatusCode >= 300 && resp.StatusCode < 400:
		return errors.Wrap(errInvalidResponse, "unexpected status code")
	}
	return nil
}

// handleFailure decides what follows an attempt that got no valid response.
func (g *Gateway) handleFailure(parent context.Context, q *request, choice fleet.Choice, result sendonce.Result, err error) verdict {
	maybeSent := result.MaybeSent
	g.metrics.countAttempt("unanswered")
	switch {
	case !maybeSent:
	case parent.Err() == nil || !g.fleet.IsResponsive(time.Now(), choice):
		g.recordEnd(q, choice)
	default:
		g.recordLaterEnd(q, choice)
	}
	if parent.Err() != nil && q.inbound.Context().Err() != nil {
		q.mayHaveRun = q.mayHaveRun || maybeSent
		return failed
	}
	g.requestLog.write(time.Now(), true, "attempt failed", "event", "attempt_failed", "request", q.call.ID, "content", q.contentText(), "parts", q.call.SharedParts,
		"answering", q.progress.lasted(), "endpoint", choice.ID, "endpoint_started", choice.Started, "sending", q.attempts, "maybe_sent", maybeSent, "connection", result.Connection.Number,
		"carried", result.Connection.Carried, "error", err, "left", time.Until(q.deadline))
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.fleet.Refused(time.Now(), choice)
	}
	if !maybeSent {
		g.fleet.Observe(time.Now(), choice, routing.OutcomeNotSent, 0)
		return retryOrFail(g.canRetry(parent, q, false))
	}
	g.fleet.Observe(time.Now(), choice, routing.OutcomeUnknown, 0)
	q.mayHaveRun = true
	// There is no answer to deliver, so the request waits until the retry budget allows another attempt.
	q.needsBudget = true
	return retryOrFail(q.repeatable() && g.canRetry(parent, q, false))
}

// handleRefusal decides what follows a response by which the endpoint confirms that it did not run the request.
func (g *Gateway) handleRefusal(q *request, choice fleet.Choice, result sendonce.Result, a Response) verdict {
	status := result.Response.StatusCode
	g.metrics.countAttempt("refused")
	g.fleet.Observe(time.Now(), choice, routing.OutcomeRefused, 0)
	switch {
	case a.isFromAnother(choice):
		q.mismatches++
	case a.Absent:
		g.fleet.Absent(time.Now(), choice, &q.fleetRequest)
	}
	g.drain(result)
	g.requestLog.write(time.Now(), true, "endpoint refused", "event", "endpoint_refused", "request", q.call.ID, "endpoint", choice.ID, "status", status,
		"model", q.fleetRequest.Model, "adapter", q.fleetRequest.Adapter, "sending", q.attempts, "answer_id", a.ID, "connection", result.Connection.Number, "carried", result.Connection.Carried)
	// The request has not run, so it can wait until the retry budget allows another attempt.
	q.needsBudget = true
	return retryOrFail(g.canRetry(q.inbound.Context(), q, false))
}

func retryOrFail(canRetry bool) verdict {
	if canRetry {
		return retry
	}
	return failed
}

// canRetry reports whether the request may be sent again. If spendBudget is set and all other conditions hold, it takes
// one retry out of the retry budget.
func (g *Gateway) canRetry(ctx context.Context, q *request, spendBudget bool) bool {
	now := time.Now()
	if ctx.Err() != nil || q.deadline.Sub(now) < minTimeLeft || q.exhausted() {
		return false
	}
	if q.mayHaveRun && q.attempts >= q.route.MaxAttempts {
		return false
	}
	return !spendBudget || g.spendRetry(q.fleetRequest.Service, now)
}

// drain reads a short rest of a response's body, so that its connection can be reused; if the rest is longer or late, it closes
// the connection: the rest of a refusal may never come, and the request waits meanwhile.
func (g *Gateway) drain(result sendonce.Result) {
	late := time.AfterFunc(maxDrainTime, result.Discard)
	defer late.Stop()
	if _, err := io.CopyN(io.Discard, result.Response.Body, maxDrainBytes); err != io.EOF {
		result.Discard()
	}
}

// forwardBuffered forwards a response after reading all of it, so that after an incomplete one the request can still be
// retried or refused.
func (g *Gateway) forwardBuffered(parent context.Context, out *response, q *request, choice fleet.Choice, result sendonce.Result, began time.Time) verdict {
	resp := result.Response
	body, err := g.buffers.readAll(resp.Body, func(by int64) error { return inbound.Hold(q.inbound, by) })
	// While it is written, the response counts as held by its client only: one that does not read must not keep others from theirs.
	g.buffers.release(body)
	if errors.Is(err, inbound.ErrNoRoom) || errors.Is(err, inbound.ErrYielded) {
		// The endpoint is sound, and another one's response would find no more room.
		result.Discard()
		q.mayHaveRun = true
		g.metrics.countAttempt("unanswered")
		g.requestLog.write(time.Now(), true, "response dropped", "event", "response_dropped", "request", q.call.ID, "endpoint", choice.ID, "error", err)
		return failed
	}
	if err != nil {
		result.Discard()
		return g.handleFailure(parent, q, choice, result, err)
	}
	if out.started {
		// The attempt to resume a stream got a response that isn't a stream.
		return failed
	}
	firstByte := time.Since(began)
	outcome := routing.OutcomeServed
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = routing.OutcomeUnknown
	}
	g.fleet.Observe(time.Now(), choice, outcome, firstByte)
	if resp.StatusCode == http.StatusOK {
		g.options.Parts.Answered(time.Now(), q.parts)
	}
	out.writeBody(resp, body)
	g.metrics.countAttempt("answered")
	g.metrics.countAnswer(resp.StatusCode, q)
	g.logEnd(q, "answered", resp.StatusCode)
	return done
}
