package joined

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/wire/wirepb"
)

// exchange is the agent's end of a request stream.
type exchange struct {
	*agent
	stream    *stream
	id, key   string
	offer     *wirepb.Offer
	target    admission.Target
	deadline  time.Time
	execution *atmostonce.Execution
	waiting   *queuedRequest
	refusal   *admission.Refusal
	cold      bool
	run       *run
	began     time.Time
	durations durations
	length    uint64
	checksum  *xxhash.Digest
	tail      string
	status    int
	// deadlineArmed is set while the call is to be cancelled at the deadline.
	deadlineArmed bool
	closed        bool
}

func newExchange(a *agent, s *stream, first *wirepb.ToAgent) *exchange {
	offer := first.GetOffer()
	a.offers++
	return &exchange{
		agent: a, stream: s, id: first.RequestId, key: first.RequestId + "#" + strconv.Itoa(a.offers), offer: offer,
		target:    admission.Target{Model: offer.Model, Adapter: offer.Adapter, Service: offer.Service},
		deadline:  a.now().Add(micros(offer.TimeLeftMicros)),
		execution: atmostonce.NewExecution(offer.TwoStep),
		checksum:  xxhash.New(),
	}
}

// serve queues the request or refuses it.
func (x *exchange) serve() {
	x.waiting = &queuedRequest{
		request: admission.Request{
			ID: x.key, Target: x.target, Class: x.offer.Class, Caller: x.offer.Caller, Arrived: x.now(), Deadline: x.deadline,
			Stream: x.offer.Stream,
		},
		decide: func(d decision) { x.soon(func() { x.decide(d) }) },
	}
	if refusal := x.core.offer(x.waiting); refusal != nil {
		x.refusal = refusal
		x.sendRefused()
		x.closeStream()
		return
	}
	x.w.checkAccepted(x)
	load := x.core.load(x.target)
	load.WaitMicros = max(load.WaitMicros, x.core.readyIn(x.waiting).Microseconds())
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Accepted{Accepted: &wirepb.Accepted{Load: load, Cold: x.waiting.cold}}})
	end := &x.stream.ends[atAgent]
	end.onMessage = x.handleFrame
	end.onClose = func() { x.step(atmostonce.EntryLost) }
	if end.closed {
		x.step(atmostonce.EntryLost)
	}
}

// handleFrame handles a further frame from the entry.
func (x *exchange) handleFrame(message any) {
	switch message.(*wirepb.ToAgent).Frame.(type) {
	case *wirepb.ToAgent_Commit:
		x.step(atmostonce.GotCommit)
	case *wirepb.ToAgent_Cancel:
		x.step(atmostonce.GotCancel)
	}
}

// readyNoticeDelay is the minimum wait in the queue after which the entry is notified that a request without a commit
// starts.
const readyNoticeDelay = 50 * time.Millisecond

// decide handles the queue's decision.
func (x *exchange) decide(d decision) {
	if d.refusal != nil {
		x.refusal = d.refusal
		x.step(atmostonce.QueueRefused)
		return
	}
	x.cold = x.waiting.cold
	if !x.offer.TwoStep && x.now().Sub(x.waiting.request.Arrived) >= readyNoticeDelay {
		x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Ready{Ready: &wirepb.Ready{}}})
	}
	x.step(atmostonce.Admitted)
}

func (x *exchange) step(e atmostonce.ExecutionEvent) {
	for _, action := range x.execution.Step(e) {
		x.execute(action)
	}
	if x.execution.Ended() {
		x.closeStream()
	}
}

// closeStream closes the stream and ends the exchange.
func (x *exchange) closeStream() {
	if x.closed {
		return
	}
	x.closed = true
	x.inflight--
	x.stream.close(atAgent)
}

func (x *exchange) execute(action atmostonce.ExecutionAction) {
	switch action {
	case atmostonce.SendReady:
		x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Ready{Ready: &wirepb.Ready{}}})
		x.later(commitTimeout, func() {
			if !x.execution.Ended() && !x.execution.Running() {
				x.step(atmostonce.CommitLate)
			}
		})
	case atmostonce.StartCall:
		x.startCall()
	case atmostonce.StopCall:
		x.soon(func() { x.stopCall(errCallCancelled) })
	case atmostonce.LeaveQueue:
		x.core.cancel(x.key)
	case atmostonce.ReleaseAdmission:
		x.core.finish(x.key, x.durations)
	case atmostonce.SendRefused:
		x.sendRefused()
	case atmostonce.SendTrailer:
		trailer := &wirepb.Trailer{Length: x.length, Checksum: x.checksum.Sum64(), Load: x.core.load(x.target)}
		x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Trailer{Trailer: trailer}})
	case atmostonce.SendFailedNotRun, atmostonce.SendFailedUnknown:
		failed := &wirepb.Failed{MayHaveRun: action == atmostonce.SendFailedUnknown, Load: x.core.load(x.target)}
		if x.status != 0 {
			failed.Reason = wirepb.FailureReason_ENDPOINT_REFUSED
		}
		x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: failed}})
	}
}

func (x *exchange) sendRefused() {
	r := x.refusal
	if r == nil {
		r = &admission.Refusal{Reason: wirepb.RefusalReason_CANCELLED}
	}
	refused := &wirepb.Refused{Reason: r.Reason, RetryAfterMillis: r.RetryAfter.Milliseconds(), Load: x.core.load(x.target)}
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Refused{Refused: refused}})
}

// send writes a frame. Write errors are ignored, because the reading side detects a broken stream.
func (x *exchange) send(frame *wirepb.FromAgent) {
	frame.RequestId = x.id
	_ = x.stream.write(atAgent, frame)
}

// errCallCancelled reports that the agent cancelled the call.
var errCallCancelled = errors.New("joined: call cancelled")

// startCall sends the request to the endpoint.
func (x *exchange) startCall() {
	x.began = x.now()
	x.w.runs++
	x.run = &run{
		world: x.w, number: x.w.runs, agent: x.agent, call: x.w.callOf[x.id], request: x.id, model: x.target.Model,
		adapter: x.target.Adapter, streamed: x.offer.Stream, head: x.head, chunk: x.chunk, end: x.callEnded,
	}
	x.deadlineArmed = true
	x.later(max(0, x.deadline.Sub(x.now())), func() {
		if x.deadlineArmed {
			x.stopCall(errCallCancelled)
		}
	})
	x.later(maxAnswer, func() { x.stopCall(errCallCancelled) })
	run := x.run
	x.soon(func() {
		switch {
		case run.cancelled:
		case x.host.kind == kindEngine:
			x.host.engine.serve(run)
		default:
			x.host.service.serve(run)
		}
	})
}

// stopCall cancels the call. A request that was already sent may still run.
func (x *exchange) stopCall(err error) {
	if x.run != nil && !x.run.cancelled {
		x.callEnded(err)
	}
}

func (x *exchange) head(status int) {
	busy := status == http.StatusServiceUnavailable || status == http.StatusNotFound && x.w.disabledGuard != guardNotLoaded
	if busy && x.target.Model != "" {
		x.status = status
		x.callEnded(errEngineRefused)
		return
	}
	kind := "application/json"
	if x.offer.Stream {
		kind = "text/event-stream"
	}
	head := &wirepb.Head{Status: int32(status), Cold: x.cold, Headers: []*wirepb.Header{{Name: "Content-Type", Value: kind}}}
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Head{Head: head}})
}

// errEngineRefused reports that the engine did not run the request, because it is too busy or has not loaded the model.
var errEngineRefused = errors.New("joined: the engine refused")

func (x *exchange) chunk(data []byte) {
	if x.durations.firstByte == 0 {
		x.durations.firstByte = x.now().Sub(x.began)
		x.deadlineArmed = x.deadlineArmed && !x.offer.Stream
	}
	x.length += uint64(len(data))
	_, _ = x.checksum.Write(data)
	x.tail += string(data)
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Body{Body: &wirepb.BodyChunk{Data: data}}})
}

// callEnded handles the end of the call. A stream that ends without its last event is truncated, even if the engine closed
// it without an error.
func (x *exchange) callEnded(err error) {
	x.run.cancelled, x.deadlineArmed = true, false
	if err == nil && x.offer.Stream && !strings.HasSuffix(x.tail, lastEvent) {
		err = errAnswerTruncated
	}
	x.soon(func() {
		switch {
		case err == nil:
			x.durations.whole = x.now().Sub(x.began)
			x.step(atmostonce.CallAnswered)
		case errors.Is(err, endpoint.ErrUnreachable), errors.Is(err, errEngineRefused):
			x.step(atmostonce.CallFailedNotRun)
		default:
			x.step(atmostonce.CallFailedUnknown)
		}
	})
}
