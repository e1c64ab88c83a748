package agent

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// execute passes the request to the endpoint and the answer back. It returns how long the endpoint took.
func (x *exchange) execute(ctx context.Context, cold bool) spent {
	a := x.agent
	ctx, cancel := x.executionContext(ctx)
	defer cancel()
	request, err := x.endpointRequest(ctx)
	if err != nil {
		x.fail(wirepb.FailureReason_BODY_BROKE, false, err)
		return spent{}
	}
	began := a.clock.Now()
	watch := newWatch(a.clock, x.deadline.Sub(began), cancel)
	defer watch.stop()
	response, err := a.caller.Call(request)
	if err != nil {
		x.fail(failureOf(ctx, err), !errors.Is(err, endpoint.ErrUnreachable), err)
		return spent{}
	}
	defer func() { _ = response.Body.Close() }()
	r := &relay{exchange: x, response: response, began: began, cold: cold, watch: watch}
	if err := r.run(); err != nil {
		x.fail(failureOf(ctx, err), true, err)
		return spent{first: r.first}
	}
	return spent{first: r.first, whole: a.clock.Now().Sub(began)}
}

// executionContext bounds the execution. A committed request that may run only once is not cancelled when the entry goes
// away: it has begun, and cutting it would only make its outcome less certain.
func (x *exchange) executionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.offer.TwoStep {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, x.agent.options.MaxAnswer)
}

// endpointRequest is the request as the endpoint gets it.
func (x *exchange) endpointRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.offer.Method, x.offer.Path, x.body)
	if err != nil {
		return nil, errors.Wrap(err, "agent: bad request line")
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
	case errors.Is(err, errWithdrawn):
		return wirepb.FailureReason_BODY_BROKE
	case ctx.Err() != nil:
		return wirepb.FailureReason_ENDPOINT_TIMEOUT
	default:
		return wirepb.FailureReason_ENDPOINT_BROKE
	}
}

// fail ends the exchange after the start.
func (x *exchange) fail(reason wirepb.FailureReason, mayHaveRun bool, err error) {
	x.agent.metrics.failed.WithLabelValues(reason.String()).Inc()
	x.agent.logger.Warn("request failed at the endpoint", "request", x.id, "reason", reason, "error", err)
	x.record(timeline.RequestFailed, reason.String())
	failed := &wirepb.Failed{
		Reason:     reason,
		MayHaveRun: mayHaveRun,
		Detail:     err.Error(),
		Load:       x.agent.core.load(x.target),
	}
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: failed}})
}

// probe checks that a plain service answers at its report path.
func (a *Agent) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, a.options.ProbeInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.PathReport, http.NoBody)
	if err != nil {
		return false
	}
	response, err := a.caller.Call(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}
