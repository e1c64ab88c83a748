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

// errWithdrawn says that the entry withdrew the request or its stream broke.
var errWithdrawn = errors.New("agent: withdrawn by the entry")

// exchange is one request stream at the agent. serve drives atmostonce.Execution with what befalls the stream, the queue
// and the endpoint call, and carries out its actions, one at a time.
type exchange struct {
	agent  *Agent
	stream *wire.Stream
	// id is the request's identifier, and key this offer's: an entry may offer a request to the same agent again while
	// the earlier offer still ends.
	id, key string
	offer   *wirepb.Offer
	target  admission.Target
	// deadline is the time by which the answer must have begun, or be whole where it is not streamed.
	deadline time.Time
	began    time.Time
	body     *bodyReader

	execution *atmostonce.Execution
	events    chan event
	waiting   *waiting
	refusal   *admission.Refusal
	commit    clock.Timer
	call      *call
	cold      bool
}

// event is one event of the execution; result is set when the endpoint call has ended.
type event struct {
	kind   atmostonce.ExecutionEvent
	result *callResult
}

// serveRequest runs one request stream from the offer to its definite end.
func (a *Agent) serveRequest(stream *wire.Stream) {
	first := &wirepb.ToAgent{}
	_ = stream.SetReadDeadline(time.Now().Add(a.options.Wire.HeaderTimeout))
	if err := stream.Read(first); err != nil || first.GetOffer() == nil {
		a.logger.Warn("request stream without an offer", "error", err)
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
		key:       first.RequestId + "#" + strconv.FormatUint(a.offers.Add(1), 36),
		offer:     offer,
		target:    admission.Target{Model: offer.Model, Adapter: offer.Adapter, Service: offer.Service},
		deadline:  now.Add(micros(offer.TimeLeftMicros)),
		began:     now,
		body:      newBodyReader(offer.Body, offer.BodyDone),
		execution: atmostonce.NewExecution(offer.TwoStep),
		events:    make(chan event),
	}
}

// serve queues the request and follows it to its end.
func (x *exchange) serve() {
	a := x.agent
	x.waiting = newWaiting(admission.Request{
		ID:       x.key,
		Target:   x.target,
		Class:    x.offer.Class,
		Caller:   x.offer.Caller,
		Arrived:  x.began,
		Deadline: x.deadline,
		Stream:   x.offer.Stream,
	})
	if refusal := a.core.offer(x.waiting); refusal != nil {
		x.refusal = refusal
		x.sendRefused()
		return
	}
	x.record(timeline.RequestAccepted, "")
	accepted := &wirepb.FromAgent_Accepted{Accepted: a.core.accepted(x.waiting)}
	err := x.send(&wirepb.FromAgent{Frame: accepted})
	done := make(chan struct{})
	defer close(done)
	go x.readFrames(done)
	if err != nil {
		x.step(event{kind: atmostonce.EntryLost})
	}
	x.follow()
}

// follow takes events until nothing more can follow.
func (x *exchange) follow() {
	decided := x.waiting.decided
	var commitLate <-chan time.Time
	for !x.execution.Ended() {
		if x.commit != nil {
			commitLate = x.commit.C()
		}
		select {
		case d := <-decided:
			decided = nil
			x.decide(d)
		case e := <-x.events:
			x.step(e)
		case <-commitLate:
			commitLate = nil
			x.step(event{kind: atmostonce.CommitLate})
		}
	}
	if x.commit != nil {
		x.commit.Stop()
	}
	if decided != nil {
		x.lateDecision(decided)
	}
}

// noticedWait is the wait from which on the entry is told that a request which needs no commit starts now.
const noticedWait = 50 * time.Millisecond

// decide takes the queue's decision.
//
// An entry moves a request that waits too long to another endpoint. Without a word of the start it would count the time
// that the endpoint works as waiting, and withdraw a request that has just begun.
func (x *exchange) decide(d decision) {
	if d.refusal != nil {
		x.refusal = d.refusal
		x.step(event{kind: atmostonce.QueueRefused})
		return
	}
	x.cold = d.cold
	if !x.offer.TwoStep && x.agent.clock.Now().Sub(x.began) >= noticedWait {
		x.sendReady()
	}
	x.step(event{kind: atmostonce.TurnCame})
}

// lateDecision gives back a turn that came while the request was being taken out of the queue.
func (x *exchange) lateDecision(decided <-chan decision) {
	select {
	case d := <-decided:
		if d.refusal == nil {
			x.step(event{kind: atmostonce.TurnCame})
		}
	default:
	}
}

// readFrames turns the entry's further frames into events. When the stream ends the entry counts as lost: before the
// start the request then certainly did not run.
func (x *exchange) readFrames(done <-chan struct{}) {
	for {
		frame := &wirepb.ToAgent{}
		err := x.stream.Read(frame)
		if err != nil || frame.RequestId != x.id {
			x.body.fail(errWithdrawn)
			x.post(done, atmostonce.EntryLost)
			return
		}
		switch f := frame.Frame.(type) {
		case *wirepb.ToAgent_Body:
			x.body.add(f.Body.Data, f.Body.Done)
		case *wirepb.ToAgent_Commit:
			x.agent.recorder.Clock().Observe(frame.Clock)
			x.post(done, atmostonce.GotCommit)
		case *wirepb.ToAgent_Cancel:
			x.body.fail(errWithdrawn)
			x.post(done, atmostonce.GotCancel)
		}
	}
}

func (x *exchange) post(done <-chan struct{}, kind atmostonce.ExecutionEvent) {
	select {
	case x.events <- event{kind: kind}:
	case <-done:
	}
}

// step gives the execution an event and carries out its actions.
func (x *exchange) step(e event) {
	for _, action := range x.execution.Step(e.kind) {
		x.act(action, e)
	}
}

func (x *exchange) act(action atmostonce.ExecutionAction, e event) {
	switch action {
	case atmostonce.SendReady:
		x.sendReady()
		x.commit = x.agent.clock.NewTimer(x.agent.options.CommitTimeout)
	case atmostonce.StartCall:
		x.startCall()
	case atmostonce.StopCall:
		x.call.stop()
		// The answer may wait for an entry that reads no more of it.
		x.stream.StopWriting()
	case atmostonce.LeaveQueue:
		x.record(timeline.RequestCancelled, "withdrawn while waiting")
		x.agent.core.cancel(x.key)
	case atmostonce.GiveBackTurn:
		x.giveBackTurn(e.result)
	case atmostonce.SendRefused:
		x.sendRefused()
	case atmostonce.SendTrailer:
		x.sendTrailer(e.result)
	case atmostonce.SendFailedClean, atmostonce.SendFailedUnclear:
		x.sendFailed(e.result, action == atmostonce.SendFailedUnclear)
	}
}

// giveBackTurn frees the place at the endpoint.
func (x *exchange) giveBackTurn(r *callResult) {
	var took spent
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

// sendRefused ends the exchange as not run.
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

// sendTrailer ends a whole answer.
func (x *exchange) sendTrailer(r *callResult) {
	x.record(timeline.RequestCompleted, "")
	r.trailer.Load = x.agent.core.load(x.target)
	_ = x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Trailer{Trailer: r.trailer}})
}

// sendFailed ends the exchange after the start.
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

// send writes one frame; every frame carries the request's identifier.
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
