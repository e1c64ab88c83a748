package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/admission"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// errWithdrawn says that the entry withdrew the request or its stream broke.
var errWithdrawn = errors.New("agent: withdrawn by the entry")

// exchange is one request stream at the agent.
type exchange struct {
	agent  *Agent
	stream *wire.Stream
	id     string
	offer  *wirepb.Offer
	target admission.Target
	// deadline is the time by which the answer must have begun.
	deadline time.Time
	began    time.Time
	body     *bodyReader
	commit   chan struct{}
}

// serveRequest runs one request stream from the offer to its definite end.
func (a *Agent) serveRequest(ctx context.Context, stream *wire.Stream) {
	first := &wirepb.ToAgent{}
	_ = stream.SetReadDeadline(time.Now().Add(a.options.Wire.HeaderTimeout))
	if err := stream.Read(first); err != nil || first.GetOffer() == nil {
		a.logger.Warn("request stream without an offer", "error", err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	x := a.newExchange(stream, first)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go x.readFrames(cancel)
	x.serve(ctx)
}

func (a *Agent) newExchange(stream *wire.Stream, first *wirepb.ToAgent) *exchange {
	offer := first.GetOffer()
	now := a.clock.Now()
	a.recorder.Clock().Observe(offer.Clock)
	return &exchange{
		agent:    a,
		stream:   stream,
		id:       first.RequestId,
		offer:    offer,
		target:   admission.Target{Model: offer.Model, Adapter: offer.Adapter, Service: offer.Service},
		deadline: now.Add(micros(offer.TimeLeftMicros)),
		began:    now,
		body:     newBodyReader(offer.Body, offer.BodyDone),
		commit:   make(chan struct{}),
	}
}

// readFrames takes the entry's further frames. When the stream ends the request is cancelled: before the start it then
// certainly did not run.
func (x *exchange) readFrames(cancel context.CancelCauseFunc) {
	committed := false
	for {
		frame := &wirepb.ToAgent{}
		err := x.stream.Read(frame)
		if err != nil || frame.RequestId != x.id {
			x.body.fail(errWithdrawn)
			cancel(errWithdrawn)
			return
		}
		switch f := frame.Frame.(type) {
		case *wirepb.ToAgent_Body:
			x.body.add(f.Body.Data, f.Body.Done)
		case *wirepb.ToAgent_Commit:
			if !committed {
				committed = true
				close(x.commit)
			}
		case *wirepb.ToAgent_Cancel:
			x.body.fail(errWithdrawn)
			cancel(errWithdrawn)
			return
		}
	}
}

// serve queues the request, waits for its start and runs it.
func (x *exchange) serve(ctx context.Context) {
	a := x.agent
	w := newWaiting(admission.Request{
		ID:       x.id,
		Target:   x.target,
		Class:    x.offer.Class,
		Caller:   x.offer.Caller,
		Arrived:  x.began,
		Deadline: x.deadline,
		Stream:   x.offer.Stream,
	})
	if refusal := a.core.offer(w); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.record(timeline.RequestAccepted, "")
	accepted := &wirepb.FromAgent_Accepted{Accepted: a.core.accepted(w)}
	if err := x.send(&wirepb.FromAgent{Frame: accepted}); err != nil {
		x.abandon(w)
		return
	}
	select {
	case d := <-w.decided:
		x.decided(ctx, d)
	case <-ctx.Done():
		x.abandon(w)
	}
}

// abandon ends a request that was withdrawn while it waited. A start that was decided in the same moment is undone. The
// entry, if it is still there, learns that the request did not run.
func (x *exchange) abandon(w *waiting) {
	a := x.agent
	if !a.core.cancel(x.id) {
		if d := <-w.decided; d.refusal == nil {
			a.core.finish(x.id, spent{})
		}
	}
	x.record(timeline.RequestCancelled, "withdrawn while waiting")
	x.refuse(&admission.Refusal{ID: x.id, Reason: wirepb.RefusalReason_CANCELLED, Detail: "withdrawn while waiting"})
}

// decided acts on the end of the wait.
func (x *exchange) decided(ctx context.Context, d decision) {
	if d.refusal != nil {
		x.refuse(d.refusal)
		return
	}
	var took spent
	defer func() { x.agent.core.finish(x.id, took) }()
	if err := x.handshake(ctx); err != nil {
		x.record(timeline.RequestCancelled, "not committed")
		x.refuse(&admission.Refusal{
			ID:     x.id,
			Reason: wirepb.RefusalReason_CANCELLED,
			Detail: "the request was withdrawn or not committed in time",
		})
		return
	}
	x.record(timeline.RequestStarted, "")
	took = x.execute(ctx, d.cold)
}

// handshake asks for the rest of the body and, for a request that may run only once, for the commit.
//
// A request that may run only once is not passed to the endpoint before the commit has arrived. So until the entry has
// sent the commit it can say "not run" and be right, whatever becomes of the stream or of this process.
func (x *exchange) handshake(ctx context.Context) error {
	if x.offer.BodyDone && !x.offer.TwoStep {
		return nil
	}
	x.record(timeline.RequestReady, "")
	if err := x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Ready{Ready: &wirepb.Ready{}}}); err != nil {
		return err
	}
	if !x.offer.TwoStep {
		return nil
	}
	timer := x.agent.clock.NewTimer(x.agent.options.CommitTimeout)
	defer timer.Stop()
	select {
	case <-x.commit:
		x.record(timeline.RequestCommitted, "")
		return nil
	case <-ctx.Done():
		return errWithdrawn
	case <-timer.C():
		return errWithdrawn
	}
}

// refuse ends the exchange as not run.
func (x *exchange) refuse(r *admission.Refusal) {
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

// send writes one frame; every frame carries the request's identifier.
func (x *exchange) send(frame *wirepb.FromAgent) error {
	frame.RequestId = x.id
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
