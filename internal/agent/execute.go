package agent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// call is one call to the endpoint.
type call struct {
	// cancel aborts the call because the entry has withdrawn the request.
	cancel func()
	timer  *deadlineTimer
}

// callResult is the outcome of a call.
type callResult struct {
	took serviceTime
	// trailer is set if the whole response was relayed.
	trailer *wirepb.Trailer
	// err is the failure, if any, and reason its class. notExecuted is set when the endpoint certainly did not run the
	// request.
	err         error
	reason      wirepb.FailureReason
	notExecuted bool
}

// event returns the execution event for the result.
func (r *callResult) event() event {
	switch {
	case r.err == nil:
		return event{kind: atmostonce.CallAnswered, result: r}
	case r.notExecuted:
		return event{kind: atmostonce.CallFailedNotRun, result: r}
	default:
		return event{kind: atmostonce.CallFailedUnknown, result: r}
	}
}

// startCall sends the request to the endpoint. The call runs in its own goroutine, which posts the result as an event.
//
// A committed request that may run only once is not cancelled when the entry disconnects: the execution does not ask
// for it, because aborting the call would only make its outcome less certain.
func (x *exchange) startCall() {
	a := x.agent
	if x.offer.TwoStep {
		x.record(timeline.RequestCommitted, "")
	} else if !x.offer.BodyDone {
		x.sendReady()
	}
	x.record(timeline.RequestStarted, "")
	ctx, cancelCause := context.WithCancelCause(a.callsCtx)
	ctx, cancel := context.WithTimeout(ctx, a.options.MaxCallDuration)
	x.call = &call{
		cancel: func() { cancelCause(errWithdrawn) },
		timer:  newDeadlineTimer(a.clock, x.deadline.Sub(a.clock.Now()), cancel),
	}
	go func() {
		defer cancelCause(nil)
		defer cancel()
		defer x.call.timer.stop()
		x.events <- x.execute(ctx).event()
	}()
}

// execute makes the call and relays the response except for its trailer.
func (x *exchange) execute(ctx context.Context) *callResult {
	a := x.agent
	request, err := x.endpointRequest(ctx)
	if err != nil {
		return &callResult{err: err, reason: wirepb.FailureReason_BODY_BROKE, notExecuted: true}
	}
	began := a.clock.Now()
	response, err := a.caller.Call(request)
	if err != nil {
		return &callResult{err: err, reason: failureReason(ctx, err), notExecuted: errors.Is(err, endpoint.ErrUnreachable)}
	}
	defer func() { _ = response.Body.Close() }()
	if x.engineRefused(response) {
		err := errors.Wrap(errEngineBusy, response.Status)
		return &callResult{err: err, reason: wirepb.FailureReason_ENDPOINT_REFUSED, notExecuted: true}
	}
	r := newRelay(x, response, began)
	if err := r.run(); err != nil {
		return &callResult{took: serviceTime{firstByte: r.firstByte}, err: err, reason: failureReason(ctx, err)}
	}
	return &callResult{took: serviceTime{firstByte: r.firstByte, total: a.clock.Now().Sub(began)}, trailer: r.trailer()}
}

// errEngineBusy is returned when the engine is overloaded or has not loaded the requested model.
var errEngineBusy = errors.New("agent: the engine refused")

// engineRefused reports whether an engine refused to run a request, so that another replica may run it. Responses of
// plain services are always relayed, because their status codes may have any meaning.
//
// A restarted engine has lost its models, which the agent detects only with the next read of its state. Until then the
// engine responds with 404 for the model. If that were relayed, a caller would get "not found" for a model that is
// declared and served.
func (x *exchange) engineRefused(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return x.target.Model != ""
	default:
		return false
	}
}

// endpointRequest builds the HTTP request for the endpoint.
func (x *exchange) endpointRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.offer.Method, "/", x.body)
	if err != nil {
		return nil, errors.Wrap(err, "agent: bad method")
	}
	// url.Parse would take a path that begins with two slashes as a host name followed by a path.
	request.URL, err = url.ParseRequestURI(x.offer.Path)
	if err != nil {
		return nil, errors.Wrap(err, "agent: bad path")
	}
	request.ContentLength = x.offer.BodyLength
	if x.offer.BodyLength == 0 {
		request.Body = http.NoBody
	}
	for _, h := range x.offer.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(endpoint.HeaderRequestID, x.id)
	if x.offer.Class == wirepb.Class_INTERACTIVE {
		request.Header.Set(endpoint.HeaderPriority, endpoint.PriorityInteractive)
	} else {
		request.Header.Set(endpoint.HeaderPriority, endpoint.PriorityBatch)
	}
	return request, nil
}

// failureReason classifies the failure of a call.
func failureReason(ctx context.Context, err error) wirepb.FailureReason {
	switch {
	case errors.Is(err, endpoint.ErrWrongAnswer), errors.Is(err, errNoStreamEnd):
		return wirepb.FailureReason_WRONG_ANSWER
	case errors.Is(err, errWithdrawn), errors.Is(context.Cause(ctx), errWithdrawn):
		return wirepb.FailureReason_WITHDRAWN
	case ctx.Err() != nil:
		return wirepb.FailureReason_ENDPOINT_TIMEOUT
	default:
		return wirepb.FailureReason_ENDPOINT_BROKE
	}
}

// probe reports whether a plain service responds at its report path.
func (a *Agent) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, max(a.options.ProbeInterval, time.Second))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.PathReport, http.NoBody)
	if err != nil {
		return false
	}
	response, err := a.caller.Call(request)
	if err != nil {
		return errors.Is(err, endpoint.ErrWrongAnswer)
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}
