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

// call is one call of the endpoint.
type call struct {
	// stop gives it up because the entry wants it no more.
	stop  func()
	watch *watch
}

// callResult is how a call ended.
type callResult struct {
	took spent
	// trailer is set after a whole answer.
	trailer *wirepb.Trailer
	// err is why there is none, with its reason. clean says that the endpoint certainly did not run the request.
	err    error
	reason wirepb.FailureReason
	clean  bool
}

// event is the execution's event for the result.
func (r *callResult) event() event {
	switch {
	case r.err == nil:
		return event{kind: atmostonce.CallAnswered, result: r}
	case r.clean:
		return event{kind: atmostonce.CallFailedClean, result: r}
	default:
		return event{kind: atmostonce.CallFailedUnclear, result: r}
	}
}

// startCall passes the request to the endpoint. The call runs beside the exchange's events, which learns of its end.
//
// A committed request that may run only once is not cancelled when the entry goes away: the execution does not ask for
// it, because cutting it would only make its outcome less certain.
func (x *exchange) startCall() {
	a := x.agent
	if x.offer.TwoStep {
		x.record(timeline.RequestCommitted, "")
	} else if !x.offer.BodyDone {
		x.sendReady()
	}
	x.record(timeline.RequestStarted, "")
	ctx, withdraw := context.WithCancelCause(a.calls)
	ctx, cancel := context.WithTimeout(ctx, a.options.MaxAnswer)
	x.call = &call{
		stop:  func() { withdraw(errWithdrawn) },
		watch: newWatch(a.clock, x.deadline.Sub(a.clock.Now()), cancel),
	}
	go func() {
		defer withdraw(nil)
		defer cancel()
		defer x.call.watch.stop()
		x.events <- x.execute(ctx).event()
	}()
}

// execute makes the call and passes the answer on, but for its trailer.
func (x *exchange) execute(ctx context.Context) *callResult {
	a := x.agent
	request, err := x.endpointRequest(ctx)
	if err != nil {
		return &callResult{err: err, reason: wirepb.FailureReason_BODY_BROKE, clean: true}
	}
	began := a.clock.Now()
	response, err := a.caller.Call(request)
	if err != nil {
		return &callResult{err: err, reason: failureOf(ctx, err), clean: errors.Is(err, endpoint.ErrUnreachable)}
	}
	defer func() { _ = response.Body.Close() }()
	if x.engineRefused(response) {
		err := errors.Wrap(errEngineBusy, response.Status)
		return &callResult{err: err, reason: wirepb.FailureReason_ENDPOINT_REFUSED, clean: true}
	}
	r := newRelay(x, response, began)
	if err := r.run(); err != nil {
		return &callResult{took: spent{first: r.first}, err: err, reason: failureOf(ctx, err)}
	}
	return &callResult{took: spent{first: r.first, whole: a.clock.Now().Sub(began)}, trailer: r.trailer()}
}

// errEngineBusy says that the engine refused a request because it is too busy, or has not loaded what is asked for.
var errEngineBusy = errors.New("agent: the engine refused")

// engineRefused reports whether an engine refused to run a request. Another replica may take it. What a plain service
// answers is passed on: its status may mean anything.
//
// An engine that has restarted has lost its models, which the agent learns only from the next read of its state. Until
// then it answers that it does not know the model: passed on, a caller would take that for the answer to a request for a
// model that is declared and served.
func (x *exchange) engineRefused(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return x.target.Model != ""
	default:
		return false
	}
}

// endpointRequest is the request as the endpoint gets it.
func (x *exchange) endpointRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.offer.Method, "/", x.body)
	if err != nil {
		return nil, errors.Wrap(err, "agent: bad method")
	}
	// As a URL, a path that begins with two slashes would name a host, and lose its first part.
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

// failureOf names what went wrong at the endpoint.
func failureOf(ctx context.Context, err error) wirepb.FailureReason {
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

// probe checks that a plain service answers at its report path.
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
