package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// attempt is one offer of a request to one endpoint.
type attempt struct {
	entry     *Entry
	rq        *request
	candidate routing.Candidate
	out       *answer
	stream    *wire.Stream
	exchange  *atmostonce.Exchange
	began     time.Time
	firstByte time.Duration
	cold      bool
	expected  time.Duration
	stage     routing.Stage
	running   bool
	refusal   *wirepb.Refused
	lastWord  atmostonce.ExchangeAction
	gone      bool
	bodyUsed  bool
	answered  int
	fate      chan fate
	// last is set when there is no other endpoint to move on to.
	last bool

	writing sync.Mutex
}

// attemptEnd is the report of an attempt.
type attemptEnd struct {
	attempt     routing.Attempt
	observation routing.Observation
	answerBegun bool
	bodyUsed    bool
	callerGone  bool
}

func newAttempt(e *Entry, rq *request, c routing.Candidate, out *answer) *attempt {
	return &attempt{
		entry:     e,
		rq:        rq,
		candidate: c,
		out:       out,
		exchange:  atmostonce.NewExchange(!rq.idempotent),
		began:     e.clock.Now(),
		lastWord:  atmostonce.EndNotRun,
	}
}

func (t *attempt) status() int { return t.answered }

// run makes the offer and follows the exchange to its end.
func (t *attempt) run(ctx context.Context) attemptEnd {
	e := t.entry
	e.sent.add(t.candidate.Endpoint, 1)
	defer e.sent.add(t.candidate.Endpoint, -1)
	e.record(timeline.RequestOffered, t.rq, t.candidate.Endpoint, "")
	stream, err := e.members.Open(t.candidate.Endpoint)
	if err != nil {
		return t.end(routing.OutcomeNotSent)
	}
	t.stream = stream
	wake := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Unix(1, 0)) })
	defer wake()
	if err := t.offer(); err != nil {
		_ = stream.Close()
		return t.end(t.notTaken())
	}
	t.follow(ctx)
	t.confirmWithdrawal()
	if t.exchange.Open() {
		t.fate = make(chan fate, 1)
		go t.awaitFate()
	} else {
		_ = stream.Close()
	}
	return t.end(t.outcome())
}

// withdrawalPatience bounds the wait for the agent's word on a withdrawn request.
const withdrawalPatience = 100 * time.Millisecond

// confirmWithdrawal waits a moment for the agent's word that a withdrawn request, which was not known to run, did not.
// Without it the caller would be told that the outcome is unknown.
func (t *attempt) confirmWithdrawal() {
	if t.lastWord != atmostonce.EndUnknown || t.running || t.gone || t.exchange.Open() {
		return
	}
	_ = t.stream.SetReadDeadline(t.entry.clock.Now().Add(withdrawalPatience))
	for {
		frame := &wirepb.FromAgent{}
		if err := t.stream.Read(frame); err != nil || frame.RequestId != t.rq.id || frame.GetHead() != nil {
			return
		}
		if refused := frame.GetRefused(); refused != nil {
			t.refusal = refused
			t.lastWord = atmostonce.EndNotRun
			return
		}
	}
}

// notTaken is the outcome of an offer that could not be written whole. A two-step request can't have begun without its
// commit; another one might have, if the frame did arrive.
func (t *attempt) notTaken() routing.Outcome {
	if t.rq.idempotent {
		return routing.OutcomeBroken
	}
	return routing.OutcomeNotSent
}

func (t *attempt) offer() error {
	e, rq := t.entry, t.rq
	return t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Offer{Offer: &wirepb.Offer{
		Model:          rq.target.Model,
		Adapter:        rq.target.Adapter,
		Service:        rq.target.Service,
		Class:          rq.class,
		TimeLeftMicros: rq.deadline.Sub(e.clock.Now()).Microseconds(),
		TwoStep:        !rq.idempotent,
		Method:         rq.method,
		Path:           rq.path,
		Headers:        rq.headers,
		BodyLength:     rq.length,
		Body:           rq.body,
		BodyDone:       rq.rest == nil,
		Caller:         rq.caller,
		Stream:         rq.stream,
	}}})
}

// follow reads frames until the attempt has ended.
func (t *attempt) follow(ctx context.Context) {
	for {
		t.setPatience(ctx)
		frame := &wirepb.FromAgent{}
		err := t.stream.Read(frame)
		event := t.eventOf(ctx, frame, err)
		for _, action := range t.exchange.Step(event) {
			if t.act(action) {
				return
			}
		}
	}
}

// setPatience bounds the wait for the next frame.
func (t *attempt) setPatience(ctx context.Context) {
	now := t.entry.clock.Now()
	_ = t.stream.SetReadDeadline(now.Add(max(t.frameWait(t.rq.deadline.Sub(now)), time.Millisecond)))
	if ctx.Err() != nil {
		_ = t.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// frameWait is how long to wait for the next frame. Before the request runs a silent endpoint is given up early, in time
// to try another one; once it runs only the deadline counts, and a streamed answer whose first bytes came is bounded by
// MaxAnswer. Its head alone is no such answer: the link may break before the first bytes, and the caller would hear
// nothing until that is noticed, long after its deadline.
func (t *attempt) frameWait(left time.Duration) time.Duration {
	switch {
	case t.firstByte > 0 && t.rq.stream:
		return t.entry.options.MaxAnswer
	case !t.running && !t.last:
		return min(left, t.patience(left))
	default:
		return left + deadlineGrace
	}
}

const (
	// deadlineGrace leaves the agent's own refusal at the deadline time to arrive: it says that the request did not run,
	// which the entry cannot know by itself.
	deadlineGrace = 50 * time.Millisecond
	// coldPatience is how many times the expected load is waited for before another engine is asked to load as well. It
	// is large, because a slow store makes every load slow and further loads make it slower.
	coldPatience = 4
)

// patience is how long a waiting request stays with its endpoint while another one could be tried.
//
// A load that is about to end leaves next to nothing to expect. The floor of PatienceFor keeps such a request from being
// withdrawn in the moment in which it starts, which its caller would see as an unknown outcome with seconds to spare.
func (t *attempt) patience(left time.Duration) time.Duration {
	if !t.cold {
		return routing.PatienceFor(t.stage, left, t.expected)
	}
	wait := max(coldPatience*t.expected, routing.PatienceFor(t.stage, left, t.expected))
	if t.expected == 0 || left-wait <= t.expected {
		// Another engine could not load in what would be left.
		return left
	}
	return wait
}

// eventOf turns a read into an event of the exchange.
func (t *attempt) eventOf(ctx context.Context, frame *wirepb.FromAgent, err error) atmostonce.ExchangeEvent {
	if errors.Is(err, wire.ErrTimeout) {
		t.gone = ctx.Err() != nil
		return atmostonce.GaveUp
	}
	if err != nil || frame.RequestId != t.rq.id {
		return atmostonce.StreamBroke
	}
	if frame.Clock != 0 {
		t.entry.recorder.Clock().Observe(frame.Clock)
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Accepted:
		t.accepted(f.Accepted)
		return atmostonce.GotAccepted
	case *wirepb.FromAgent_Ready:
		return t.ready()
	case *wirepb.FromAgent_Refused:
		t.refusal = f.Refused
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Head:
		return t.headCame(f.Head)
	case *wirepb.FromAgent_Body:
		return t.bodyCame(f.Body.Data)
	case *wirepb.FromAgent_Trailer:
		return t.trailerCame(f.Trailer)
	case *wirepb.FromAgent_Failed:
		return t.failedCame(f.Failed)
	default:
		return atmostonce.StreamBroke
	}
}

func (t *attempt) accepted(a *wirepb.Accepted) {
	t.stage = routing.StageAccepted
	t.cold = a.Cold
	t.expected = time.Duration(a.Load.GetWaitMicros()) * time.Microsecond
	t.entry.record(timeline.RequestAccepted, t.rq, t.candidate.Endpoint, "")
}

// ready begins the sending of the rest of a large body. For a two-step request the commit goes first.
func (t *attempt) ready() atmostonce.ExchangeEvent {
	t.running = true
	if t.rq.idempotent {
		t.startBody()
	}
	return atmostonce.GotReady
}

// startBody sends the rest of a large body from its own goroutine, so that a refusal is seen meanwhile.
func (t *attempt) startBody() {
	if t.rq.rest == nil || t.bodyUsed {
		return
	}
	t.bodyUsed = true
	go t.sendBody()
}

// sendBody passes on the rest of the body.
func (t *attempt) sendBody() {
	buffer := make([]byte, wire.ChunkBytes)
	for {
		n, err := io.ReadFull(t.rq.rest, buffer)
		last := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !last {
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{Reason: "the caller's body broke"}}})
			return
		}
		chunk := &wirepb.BodyChunk{Data: buffer[:n], Done: last}
		if t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Body{Body: chunk}}) != nil || last {
			return
		}
	}
}

// write sends one frame; the body's sender and the exchange share the stream.
func (t *attempt) write(frame *wirepb.ToAgent) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	frame.RequestId = t.rq.id
	if frame.GetBody() == nil {
		frame.Clock = t.entry.recorder.Clock().Now()
	}
	return t.stream.Write(frame)
}

func (t *attempt) headCame(head *wirepb.Head) atmostonce.ExchangeEvent {
	t.running = true
	t.cold = t.cold || head.Cold
	t.out.setHead(head)
	t.answered = int(head.Status)
	return atmostonce.GotHead
}

func (t *attempt) bodyCame(data []byte) atmostonce.ExchangeEvent {
	if t.firstByte == 0 {
		t.firstByte = t.entry.clock.Now().Sub(t.began)
		t.entry.noteFirstByte(t.rq, t.cold)
	}
	err := t.out.add(data)
	if errors.Is(err, errCallerGone) {
		t.gone = true
		return atmostonce.GaveUp
	}
	if err != nil {
		return atmostonce.StreamBroke
	}
	return atmostonce.GotHead
}

func (t *attempt) trailerCame(trailer *wirepb.Trailer) atmostonce.ExchangeEvent {
	if err := t.out.verify(trailer); err != nil {
		t.entry.metrics.mismatches.Inc()
		return atmostonce.StreamBroke
	}
	return atmostonce.GotTrailer
}

func (t *attempt) failedCame(f *wirepb.Failed) atmostonce.ExchangeEvent {
	t.entry.record(timeline.RequestFailed, t.rq, t.candidate.Endpoint, f.Reason.String())
	if f.Reason == wirepb.FailureReason_ENDPOINT_REFUSED {
		t.refusal = &wirepb.Refused{Reason: wirepb.RefusalReason_QUEUE_FULL, Load: f.Load}
	}
	if f.MayHaveRun {
		return atmostonce.GotFailedUnclear
	}
	return atmostonce.GotFailedClean
}

// act carries out one action of the exchange and reports whether the attempt has ended.
func (t *attempt) act(action atmostonce.ExchangeAction) bool {
	switch action {
	case atmostonce.SendCommit:
		t.entry.record(timeline.RequestCommitted, t.rq, t.candidate.Endpoint, "")
		_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
		t.startBody()
		return false
	case atmostonce.SendCancel:
		_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
		return false
	}
	t.lastWord = action
	return true
}

// outcome is the attempt's outcome for routing.
func (t *attempt) outcome() routing.Outcome {
	switch t.lastWord {
	case atmostonce.EndServed:
		return routing.OutcomeServed
	case atmostonce.EndUnknown:
		return routing.OutcomeBroken
	case atmostonce.EndCut:
		if !t.out.begun {
			return routing.OutcomeBroken
		}
		return routing.OutcomeCut
	}
	if t.refusal != nil {
		return routing.OutcomeRefused
	}
	if t.running {
		return routing.OutcomeFailedClean
	}
	return routing.OutcomeNotSent
}

func (t *attempt) end(outcome routing.Outcome) attemptEnd {
	if outcome == routing.OutcomeServed {
		if err := t.out.finish(); err != nil {
			t.gone = true
		}
	}
	return attemptEnd{
		attempt: routing.Attempt{
			Endpoint:   t.candidate.Endpoint,
			Outcome:    outcome,
			Reason:     t.refusal.GetReason(),
			RetryAfter: time.Duration(t.refusal.GetRetryAfterMillis()) * time.Millisecond,
			Committed:  t.exchange.Committed(),
		},
		observation: routing.Observation{
			Endpoint:  t.candidate.Endpoint,
			Target:    t.rq.target.Model + t.rq.target.Service + "/" + t.rq.target.Adapter,
			Outcome:   outcome,
			Expected:  t.candidate.Wait,
			FirstByte: t.firstByte,
			Cold:      t.cold,
		},
		answerBegun: t.out.begun,
		bodyUsed:    t.bodyUsed,
		callerGone:  t.gone,
	}
}

// awaitFate follows a committed request whose caller was told nothing definite, so that its claim can be settled.
func (t *attempt) awaitFate() {
	defer func() { _ = t.stream.Close() }()
	_ = t.stream.SetReadDeadline(t.entry.clock.Now().Add(t.entry.options.MaxAnswer))
	for {
		frame := &wirepb.FromAgent{}
		err := t.stream.Read(frame)
		event := fateEvent(frame, err, t.rq.id)
		for _, action := range t.exchange.Step(event) {
			switch action {
			case atmostonce.SettleServed:
				t.fate <- fateServed
				return
			case atmostonce.SettleNotRun:
				t.fate <- fateNotRun
				return
			case atmostonce.SettleUnknown, atmostonce.EndUnknown, atmostonce.EndCut:
				t.fate <- fateUnknown
				return
			}
		}
	}
}

// fateEvent is eventOf without an answer to pass on.
func fateEvent(frame *wirepb.FromAgent, err error, id string) atmostonce.ExchangeEvent {
	if err != nil || frame.RequestId != id {
		return atmostonce.StreamBroke
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Refused:
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Trailer:
		return atmostonce.GotTrailer
	case *wirepb.FromAgent_Failed:
		if f.Failed.MayHaveRun {
			return atmostonce.GotFailedUnclear
		}
		return atmostonce.GotFailedClean
	default:
		return atmostonce.GotAccepted
	}
}
