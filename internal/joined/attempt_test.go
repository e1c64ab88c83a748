package joined

import (
	"time"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// phase is how far an entry has come with an attempt.
type phase int

const (
	following phase = iota
	// withdrawing: the agent's word on a request that was withdrawn is awaited for a moment.
	withdrawing
	// ended: the attempt's outcome is known; only its fate may still come.
	ended
)

// fate is whether a request had its effect.
type fate int

const (
	fateUnknown fate = iota
	fateServed
	fateNotRun
)

const (
	withdrawalPatience = 100 * time.Millisecond
	deadlineGrace      = 50 * time.Millisecond
	coldPatience       = 4
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
	lastWord  atmostonce.ExchangeAction
	abandoned bool
	// last is set when there is no other endpoint to move on to.
	last  bool
	timer int
	// settled takes the fate that comes after the end.
	settled func(fate)
}

// begin makes the offer.
func (t *attempt) begin() {
	e := t.entry
	e.sent[t.candidate.Endpoint]++
	l := e.links[t.candidate.Endpoint]
	if l == nil || l.conn == nil {
		t.finish(routing.OutcomeNotSent)
		return
	}
	e.w.offered(e, l.host)
	t.stream = l.conn.openStream(t.got, t.broke)
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
	t.setPatience()
}

func (t *attempt) write(frame *wirepb.ToAgent) error {
	frame.RequestId = t.id
	return t.stream.write(atEntry, frame)
}

// setPatience bounds the wait for the next frame.
func (t *attempt) setPatience() {
	left := t.deadline.Sub(t.entry.now())
	wait := left + deadlineGrace
	switch {
	case t.streamed && (t.firstByte > 0 || t.out.head && t.entry.w.without == guardFirstByte):
		wait = maxAnswer
	case !t.running && !t.last:
		wait = min(left, t.patience(left))
	}
	t.wait(max(wait, time.Millisecond), func() { t.step(atmostonce.Abandoned) })
}

// wait does something after a time unless something else happens first.
func (t *attempt) wait(d time.Duration, run func()) {
	t.timer++
	timer, phase := t.timer, t.phase
	t.entry.later(d, func() {
		if t.timer == timer && t.phase == phase {
			run()
		}
	})
}

func (t *attempt) patience(left time.Duration) time.Duration {
	switch {
	case !t.cold:
		return routing.StageTimeout(t.stage, left, t.expected)
	case t.expected == 0:
		return left
	default:
		return coldPatience * t.expected
	}
}

// got takes a frame.
func (t *attempt) got(message any) {
	frame := message.(*wirepb.FromAgent)
	if frame.RequestId != t.id {
		t.entry.violated("P4", "a frame of %s on the stream of %s", frame.RequestId, t.id)
	}
	switch t.phase {
	case following:
		t.step(t.eventOf(frame))
	case withdrawing:
		t.confirm(frame)
	case ended:
		t.step(fateEvent(frame))
	}
}

// broke takes the end of the stream.
func (t *attempt) broke() {
	if c := t.stream.conn; c.planned && t.phase != withdrawing && (t.running || t.exchange.Committed()) {
		t.entry.violated("P8", "the planned stop of %s cuts %s", c.agent.name, t.id)
	}
	switch t.phase {
	case withdrawing:
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
		t.out.setHead(f.Head, t.streamed)
		return atmostonce.GotHead
	case *wirepb.FromAgent_Body:
		if t.firstByte == 0 {
			t.firstByte = t.entry.now().Sub(t.began)
		}
		t.out.add(t.call, f.Body.Data)
		return atmostonce.GotHead
	case *wirepb.FromAgent_Trailer:
		if !t.out.verify(f.Trailer) {
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

// fateEvent is eventOf without an answer to pass on.
func fateEvent(frame *wirepb.FromAgent) atmostonce.ExchangeEvent {
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

// step gives the exchange an event and carries out its actions.
func (t *attempt) step(e atmostonce.ExchangeEvent) {
	t.abandoned = t.abandoned || e == atmostonce.Abandoned
	for _, action := range t.exchange.Step(e) {
		switch action {
		case atmostonce.SendCommit:
			t.entry.logf("%s commits %s", t.entry.name, t.id)
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
		case atmostonce.SendCancel:
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
		case atmostonce.SettleServed:
			t.know(fateServed)
		case atmostonce.SettleNotRun:
			t.know(fateNotRun)
		case atmostonce.SettleUnknown:
			t.know(fateUnknown)
		default:
			t.followed(action)
			return
		}
	}
	if t.phase == following {
		t.setPatience()
	}
}

// followed takes the exchange's word on the attempt.
func (t *attempt) followed(word atmostonce.ExchangeAction) {
	t.lastWord = word
	if word != atmostonce.EndUnknown || t.running || t.gone || t.exchange.Open() {
		t.close()
		return
	}
	t.phase = withdrawing
	t.wait(withdrawalPatience, t.close)
}

// confirm takes the agent's word on a withdrawn request that was not known to run.
func (t *attempt) confirm(frame *wirepb.FromAgent) {
	if refused := frame.GetRefused(); refused != nil {
		t.refusal, t.lastWord = refused, atmostonce.EndNotRun
		t.close()
	}
	if frame.GetHead() != nil {
		t.close()
	}
}

// close ends the attempt; the stream is kept while the request's fate may still come.
func (t *attempt) close() {
	if !t.exchange.Open() {
		t.phase = ended
		t.stream.close(atEntry)
		t.finish(t.outcome())
		return
	}
	t.phase = ended
	t.wait(maxAnswer, func() { t.step(atmostonce.StreamFailed) })
	t.finish(t.outcome())
}

// know takes the fate of a request whose attempt has ended.
func (t *attempt) know(f fate) {
	t.stream.close(atEntry)
	if t.settled != nil {
		t.settled(f)
	}
}

func (t *attempt) outcome() routing.Outcome {
	switch t.lastWord {
	case atmostonce.EndServed:
		return routing.OutcomeServed
	case atmostonce.EndUnknown:
		return routing.OutcomeUnknown
	case atmostonce.EndTruncated:
		if !t.out.begun {
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

// finish reports the attempt.
func (t *attempt) finish(outcome routing.Outcome) {
	e := t.entry
	e.sent[t.candidate.Endpoint]--
	t.phase = ended
	a := routing.Attempt{
		Endpoint: t.candidate.Endpoint, Outcome: outcome, Reason: t.refusal.GetReason(),
		RetryAfter: time.Duration(t.refusal.GetRetryAfterMillis()) * time.Millisecond, Committed: t.exchange.Committed(),
	}
	e.router.Observe(e.now(), routing.Observation{
		Endpoint: t.candidate.Endpoint, Target: t.target.Model + t.target.Service + "/" + t.target.Adapter, Outcome: outcome,
		Expected: t.candidate.Wait, FirstByte: t.firstByte, Cold: t.cold,
	})
	t.attempted(t, a)
}
