package agent

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/clock"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// errWithdrawn is returned when the entry withdrew the request or its stream broke.
var errWithdrawn = errors.New("agent: withdrawn by the entry")

// exchange handles one request stream. serve passes the events of the stream, the queue and the endpoint call to
// atmostonce.Execution, one at a time, and executes the resulting actions.
type exchange struct {
	agent  *Agent
	stream *wire.Stream
	// id is the request's identifier. key is unique to this offer: an entry may offer a request to the same agent again
	// while the earlier offer is still ending.
	id, key string
	offer   *wirepb.Offer
	target  admission.Target
	// deadline is when the response must have started or, if it is not streamed, ended.
	deadline time.Time
	began    time.Time
	body     *bodyReader

	execution   *atmostonce.Execution
	events      chan event
	pending     *pendingRequest
	refusal     *admission.Refusal
	commitTimer clock.Timer
	call        *call
	cold        bool
}

// event is one event of the execution; result is set when the endpoint call has ended.
type event struct {
	kind   atmostonce.ExecutionEvent
	result *callResult
}

// serveRequest runs one request stream from the offer to its final frame.
func (a *Agent) serveRequest(stream *wire.Stream) {
	first := &wirepb.ToAgent{}
	_ = stream.SetReadDeadline(time.Now().Add(a.options.Wire.HeaderTimeout))
	if err := stream.Read(first); err != nil || first.GetOffer() == nil {
		a.logger.Warn("request stream did not start with an offer", "error", err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	x := a.newExchange(stream, first)
	x.serve()
	x.body.fail(errWithdrawn)
}

func (a *Agent) newExchange(stream *wire.Stream, first *wirepb.ToAgent) *exchange {
	offer := first.GetOffer()
	now := a.clock.Now()
	a.recorder.Clock().Observe(first.Clock)
	return &exchange{
		agent:     a,
		stream:    stream,
		id:        first.RequestId,
		key:       first.RequestId + "#" + strconv.FormatUint(a.offerCount.Add(1), 36),
		offer:     offer,
		target:    admission.Target{Model: offer.Model, Adapter: offer.Adapter, Service: offer.Service},
		deadline:  now.Add(micros(offer.TimeLeftMicros)),
		began:     now,
		body:      newBodyReader(offer.Body, offer.BodyDone),
		execution: atmostonce.NewExecution(offer.TwoStep),
		events:    make(chan event),
	}
}

// serve queues the request and handles its events until it ends.
func (x *exchange) serve() {
	a := x.agent
	x.pending = newPendingRequest(admission.Request{
		ID:       x.key,
		Target:   x.target,
		Class:    x.offer.Class,
		Caller:   x.offer.Caller,
		Arrived:  x.began,
		Deadline: x.deadline,
		Stream:   x.offer.Stream,
	})
	if refusal := a.core.offer(x.pending); refusal != nil {
		x.refusal = refusal
		x.sendRefused()
		return
	}
	x.record(timeline.RequestAccepted, "")
	accepted := &wirepb.FromAgent_Accepted{Accepted: a.core.accepted(x.pending)}
	err := x.send(&wirepb.FromAgent{Frame: accepted})
	done := make(chan struct{})
	defer close(done)
	go x.readFrames(done)
	if err != nil {
		x.step(event{kind: atmostonce.EntryLost})
	}
	x.runEvents()
}

// runEvents handles events until the execution has ended.
func (x *exchange) runEvents() {
	decided := x.pending.decided
	var commitTimeout <-chan time.Time
	for !x.execution.Ended() {
		if x.commitTimer != nil {
			commitTimeout = x.commitTimer.C()
		}
		// What the entry has sent comes before the queue's decision: on a slow host both are there by the time they are read, and a
		// withdrawn request must not start.
		select {
		case e := <-x.events:
			x.step(e)
			continue
		default:
		}
		select {
		case d := <-decided:
			decided = nil
			x.handleDecision(d)
		case e := <-x.events:
			x.step(e)
		case <-commitTimeout:
			commitTimeout = nil
			x.step(event{kind: atmostonce.CommitLate})
		}
	}
	if x.commitTimer != nil {
		x.commitTimer.Stop()
	}
	if decided != nil {
		x.releaseLateStart(decided)
	}
}

// readyNoticeDelay is the queueing time from which on the entry is notified of the start of a request that needs no
// commit.
const readyNoticeDelay = 50 * time.Millisecond

// handleDecision handles the queue's decision.
//
// An entry moves a request that waits too long to another endpoint. Without a notification of the start it would count
// the endpoint's processing time as waiting and withdraw a request that has just started.
func (x *exchange) handleDecision(d decision) {
	if d.refusal != nil {
		x.refusal = d.refusal
		x.step(event{kind: atmostonce.QueueRefused})
		return
	}
	x.cold = d.cold
	if !x.offer.TwoStep && x.agent.clock.Now().Sub(x.began) >= readyNoticeDelay {
		x.sendReady()
	}
	x.step(event{kind: atmostonce.Admitted})
}

// releaseLateStart ends a request that was started by the queue while it was being cancelled.
func (x *exchange) releaseLateStart(decided <-chan decision) {
	select {
	case d := <-decided:
		if d.refusal == nil {
			x.step(event{kind: atmostonce.Admitted})
		}
	default:
	}
}

// readFrames turns further frames of the entry into events. When the stream ends, the entry counts as lost; if the call
// has not started by then, the request certainly did not run.
func (x *exchange) readFrames(done <-chan struct{}) {
	for {
		frame := &wirepb.ToAgent{}
		err := x.stream.Read(frame)
		if err != nil || frame.RequestId != x.id {
			x.body.fail(errWithdrawn)
			x.postEvent(done, atmostonce.EntryLost)
			return
		}
		switch f := frame.Frame.(type) {
		case *wirepb.ToAgent_Body:
			x.body.add(f.Body.Data, f.Body.Done)
		case *wirepb.ToAgent_Commit:
			x.agent.recorder.Clock().Observe(frame.Clock)
			x.postEvent(done, atmostonce.GotCommit)
		case *wirepb.ToAgent_Cancel:
			if f.Cancel.UnlessStarted {
				x.postEvent(done, atmostonce.GotWithdrawal)
				continue
			}
			x.body.fail(errWithdrawn)
			x.postEvent(done, atmostonce.GotCancel)
		}
	}
}

func (x *exchange) postEvent(done <-chan struct{}, kind atmostonce.ExecutionEvent) {
	select {
	case x.events <- event{kind: kind}:
	case <-done:
	}
}

// step passes an event to the execution and executes the resulting actions.
func (x *exchange) step(e event) {
	for _, action := range x.execution.Step(e.kind) {
		x.executeAction(action, e)
	}
}

func (x *exchange) executeAction(action atmostonce.ExecutionAction, e event) {
	switch action {
	case atmostonce.SendReady:
		x.sendReady()
		x.commitTimer = x.agent.clock.NewTimer(x.agent.options.CommitTimeout)
	case atmostonce.StartCall:
		x.startCall()
	case atmostonce.StopCall:
		x.call.cancel()
		// The relay may be blocked writing to an entry that no longer reads.
		x.stream.AbortWrites()
	case atmostonce.LeaveQueue:
		x.record(timeline.RequestCancelled, "withdrawn while waiting")
		x.agent.core.cancel(x.key)
	case atmostonce.ReleaseAdmission:
		x.finishRequest(e.result)
	case atmostonce.SendRefused:
		x.sendRefused()
	case atmostonce.SendTrailer:
		x.sendTrailer(e.result)
	case atmostonce.SendFailedNotRun, atmostonce.SendFailedUnknown:
		x.sendFailed(e.result, action == atmostonce.SendFailedUnknown)
	}
}

// finishRequest frees the request's concurrency at the endpoint.
func (x *exchange) finishRequest(r *callResult) {
	var took serviceTime
	if r != nil {
		took = r.took
	}
	x.agent.core.finish(x.key, took)
}

// sendReady asks the entry for the commit, or for the rest of a large body.
func (x *exchange) sendReady() {
	x.record(timeline.RequestReady, "")
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Ready{Ready: &wirepb.Ready{}}})
}

// sendRefused ends the exchange with a refusal, which means that the request was not run.
func (x *exchange) sendRefused() {
	r := x.refusal
	if r == nil {
		r = &admission.Refusal{Reason: wirepb.RefusalReason_CANCELLED, Detail: "withdrawn, or not committed in time"}
	}
	x.agent.metrics.refused.WithLabelValues(r.Reason.String()).Inc()
	x.record(timeline.RequestRefused, r.Reason.String())
	refused := &wirepb.Refused{
		Reason:           r.Reason,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Detail:           r.Detail,
		Load:             x.agent.core.load(x.target),
	}
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Refused{Refused: refused}})
}

// sendTrailer ends the exchange after a complete response.
func (x *exchange) sendTrailer(r *callResult) {
	x.record(timeline.RequestCompleted, "")
	r.trailer.Load = x.agent.core.load(x.target)
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Trailer{Trailer: r.trailer}})
}

// sendFailed ends the exchange with a failure of the endpoint call.
func (x *exchange) sendFailed(r *callResult, mayHaveRun bool) {
	x.agent.metrics.failed.WithLabelValues(r.reason.String()).Inc()
	level := slog.LevelWarn
	if r.reason == wirepb.FailureReason_WITHDRAWN {
		level = slog.LevelDebug
	}
	x.agent.logger.Log(context.Background(), level, "request failed at the endpoint", "request", x.id, "reason", r.reason, "error", r.err)
	x.record(timeline.RequestFailed, r.reason.String())
	failed := &wirepb.Failed{
		Reason:     r.reason,
		MayHaveRun: mayHaveRun,
		Detail:     r.err.Error(),
		Load:       x.agent.core.load(x.target),
	}
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: failed}})
}

// send writes one frame with the request's identifier.
func (x *exchange) send(frame *wirepb.FromAgent) error {
	frame.RequestId = x.id
	if frame.GetBody() == nil {
		frame.Clock = x.agent.recorder.Clock().Now()
	}
	return x.stream.Write(frame)
}

func (x *exchange) record(kind timeline.Kind, detail string) {
	x.agent.recorder.Record(timeline.Event{
		Kind:     kind,
		Request:  x.id,
		Model:    x.target.Model,
		Endpoint: x.agent.options.Endpoint,
		Detail:   detail,
	})
}
