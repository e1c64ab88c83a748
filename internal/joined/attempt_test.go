package joined

import (
	"time"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// phase is the phase of an attempt at the entry.
type phase int

const (
	phaseActive phase = iota
	// phaseWithdrawing: the request was withdrawn, and the entry waits briefly for the agent's confirmation.
	phaseWithdrawing
	// phaseEnded: the attempt's outcome is known; only its settlement may still arrive.
	phaseEnded
)

// settlement is whether a request ran.
type settlement int

const (
	settledUnknown settlement = iota
	settledServed
	settledNotRun
)

const (
	withdrawalTimeout = 100 * time.Millisecond
	deadlineGrace     = 50 * time.Millisecond
	coldLoadFactor    = 4
)

// attempt is one offer of a request to one endpoint.
type attempt struct {
	*request
	candidate routing.Candidate
	exchange  *atmostonce.Exchange
	stream    *stream
	phase     phase
	began     time.Time
	firstByte time.Duration
	cold      bool
	expected  time.Duration
	stage     routing.Stage
	running   bool
	refusal   *wirepb.Refused
	endAction atmostonce.ExchangeAction
	gaveUp    bool
	// noAlternative is set if there is no other endpoint to try.
	noAlternative bool
	timer         int
	// onSettled is called with a settlement that arrives after the end of the attempt.
	onSettled func(settlement)
}

// begin sends the offer.
func (t *attempt) begin() {
	e := t.entry
	e.inFlight[t.candidate.Endpoint]++
	l := e.links[t.candidate.Endpoint]
	if l == nil || l.conn == nil {
		t.finish(routing.OutcomeNotSent)
		return
	}
	e.w.checkOffer(e, l.host)
	t.stream = l.conn.openStream(t.receive, t.streamClosed)
	offer := &wirepb.Offer{
		Model: t.target.Model, Adapter: t.target.Adapter, Service: t.target.Service, Class: t.class,
		TimeLeftMicros: t.deadline.Sub(e.now()).Microseconds(), TwoStep: !t.idempotent, Caller: t.call.caller, Stream: t.streamed,
	}
	if t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Offer{Offer: offer}}) != nil {
		if t.idempotent {
			t.finish(routing.OutcomeUnknown)
			return
		}
		t.finish(routing.OutcomeNotSent)
		return
	}
	e.logf("%s offers %s to %s", e.name, t.id, t.candidate.Endpoint)
	t.setTimeout()
}

func (t *attempt) write(frame *wirepb.ToAgent) error {
	frame.RequestId = t.id
	return t.stream.write(atEntry, frame)
}

// setTimeout sets the timeout for the next frame.
func (t *attempt) setTimeout() {
	left := t.deadline.Sub(t.entry.now())
	wait := left + deadlineGrace
	switch {
	case t.streamed && (t.firstByte > 0 || t.response.head && t.entry.w.disabledGuard == guardFirstByte):
		wait = maxAnswer
	case !t.running && !t.noAlternative:
		wait = min(left, t.responseTimeout(left))
	}
	t.wait(max(wait, time.Millisecond), func() { t.step(atmostonce.Abandoned) })
}

// wait runs a function after a delay, unless the phase changes or wait is called again before.
func (t *attempt) wait(d time.Duration, run func()) {
	t.timer++
	timer, phase := t.timer, t.phase
	t.entry.later(d, func() {
		if t.timer == timer && t.phase == phase {
			run()
		}
	})
}

func (t *attempt) responseTimeout(left time.Duration) time.Duration {
	switch {
	case !t.cold:
		return routing.StageTimeout(t.stage, left, t.expected)
	case t.expected == 0:
		return left
	default:
		return coldLoadFactor * t.expected
	}
}

// receive handles a frame.
func (t *attempt) receive(message any) {
	frame := message.(*wirepb.FromAgent)
	if frame.RequestId != t.id {
		t.entry.violated("P4", "received a frame of %s on the stream of %s", frame.RequestId, t.id)
	}
	switch t.phase {
	case phaseActive:
		t.step(t.eventOf(frame))
	case phaseWithdrawing:
		t.confirmWithdrawal(frame)
	case phaseEnded:
		t.step(settlementEvent(frame))
	}
}

// streamClosed handles the end of the stream.
func (t *attempt) streamClosed() {
	if c := t.stream.conn; c.planned && t.phase != phaseWithdrawing && (t.running || t.exchange.Committed()) {
		t.entry.violated("P8", "the planned stop of %s aborts %s", c.agent.name, t.id)
	}
	switch t.phase {
	case phaseWithdrawing:
		t.close()
	default:
		t.step(atmostonce.StreamFailed)
	}
}

func (t *attempt) eventOf(frame *wirepb.FromAgent) atmostonce.ExchangeEvent {
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Accepted:
		t.stage, t.cold = routing.StageAccepted, f.Accepted.Cold
		t.expected = micros(f.Accepted.Load.GetWaitMicros())
		return atmostonce.GotAccepted
	case *wirepb.FromAgent_Ready:
		t.running = true
		return atmostonce.GotReady
	case *wirepb.FromAgent_Refused:
		t.refusal = f.Refused
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Head:
		t.running, t.cold = true, t.cold || f.Head.Cold
		t.response.setHead(f.Head, t.streamed)
		return atmostonce.GotHead
	case *wirepb.FromAgent_Body:
		if t.firstByte == 0 {
			t.firstByte = t.entry.now().Sub(t.began)
		}
		t.response.add(t.call, f.Body.Data)
		return atmostonce.GotHead
	case *wirepb.FromAgent_Trailer:
		if !t.response.verify(f.Trailer) {
			return atmostonce.StreamFailed
		}
		return atmostonce.GotTrailer
	case *wirepb.FromAgent_Failed:
		if f.Failed.Reason == wirepb.FailureReason_ENDPOINT_REFUSED {
			t.refusal = &wirepb.Refused{Reason: wirepb.RefusalReason_QUEUE_FULL}
		}
		return failedEvent(f.Failed)
	default:
		return atmostonce.StreamFailed
	}
}

func failedEvent(f *wirepb.Failed) atmostonce.ExchangeEvent {
	if f.MayHaveRun {
		return atmostonce.GotFailedUnknown
	}
	return atmostonce.GotFailedNotRun
}

// settlementEvent maps a frame to an event like eventOf, but ignores the answer.
func settlementEvent(frame *wirepb.FromAgent) atmostonce.ExchangeEvent {
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Refused:
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Trailer:
		return atmostonce.GotTrailer
	case *wirepb.FromAgent_Failed:
		return failedEvent(f.Failed)
	default:
		return atmostonce.GotAccepted
	}
}

// step passes an event to the exchange and executes its actions.
func (t *attempt) step(e atmostonce.ExchangeEvent) {
	t.gaveUp = t.gaveUp || e == atmostonce.Abandoned
	for _, action := range t.exchange.Step(e) {
		switch action {
		case atmostonce.SendCommit:
			t.entry.logf("%s commits %s", t.entry.name, t.id)
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
		case atmostonce.SendCancel:
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
		case atmostonce.SettleServed:
			t.reportSettlement(settledServed)
		case atmostonce.SettleNotRun:
			t.reportSettlement(settledNotRun)
		case atmostonce.SettleUnknown:
			t.reportSettlement(settledUnknown)
		default:
			t.handleEnd(action)
			return
		}
	}
	if t.phase == phaseActive {
		t.setTimeout()
	}
}

// handleEnd handles the exchange's final action for the attempt.
func (t *attempt) handleEnd(action atmostonce.ExchangeAction) {
	t.endAction = action
	if action != atmostonce.EndUnknown || t.running || t.callerGone || t.exchange.Open() {
		t.close()
		return
	}
	t.phase = phaseWithdrawing
	t.wait(withdrawalTimeout, t.close)
}

// confirmWithdrawal handles a frame of a withdrawn request that is not known to have run.
func (t *attempt) confirmWithdrawal(frame *wirepb.FromAgent) {
	if refused := frame.GetRefused(); refused != nil {
		t.refusal, t.endAction = refused, atmostonce.EndNotRun
		t.close()
	}
	if frame.GetHead() != nil {
		t.close()
	}
}

// close ends the attempt. The stream stays open while the settlement of the request may still arrive.
func (t *attempt) close() {
	if !t.exchange.Open() {
		t.phase = phaseEnded
		t.stream.close(atEntry)
		t.finish(t.outcome())
		return
	}
	t.phase = phaseEnded
	t.wait(maxAnswer, func() { t.step(atmostonce.StreamFailed) })
	t.finish(t.outcome())
}

// reportSettlement handles the settlement of a request and closes the stream.
func (t *attempt) reportSettlement(f settlement) {
	t.stream.close(atEntry)
	if t.onSettled != nil {
		t.onSettled(f)
	}
}

func (t *attempt) outcome() routing.Outcome {
	switch t.endAction {
	case atmostonce.EndServed:
		return routing.OutcomeServed
	case atmostonce.EndUnknown:
		return routing.OutcomeUnknown
	case atmostonce.EndTruncated:
		if !t.response.begun {
			return routing.OutcomeUnknown
		}
		return routing.OutcomeTruncated
	}
	switch {
	case t.refusal != nil:
		return routing.OutcomeRefused
	case t.running:
		return routing.OutcomeFailedNotRun
	default:
		return routing.OutcomeNotSent
	}
}

// finish reports the attempt's outcome to the router and the request.
func (t *attempt) finish(outcome routing.Outcome) {
	e := t.entry
	e.inFlight[t.candidate.Endpoint]--
	t.phase = phaseEnded
	a := routing.Attempt{
		Endpoint: t.candidate.Endpoint, Outcome: outcome, Reason: t.refusal.GetReason(),
		RetryAfter: time.Duration(t.refusal.GetRetryAfterMillis()) * time.Millisecond, Committed: t.exchange.Committed(),
	}
	e.router.Observe(e.now(), routing.Observation{
		Endpoint: t.candidate.Endpoint, Target: t.target.Model + t.target.Service + "/" + t.target.Adapter, Outcome: outcome,
		Expected: t.candidate.Wait, FirstByte: t.firstByte, Cold: t.cold,
	})
	t.handleAttemptEnd(t, a)
}
