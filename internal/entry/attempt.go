package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// attempt is one try to serve a request at one endpoint.
type attempt struct {
	entry       *Entry
	rq          *request
	candidate   routing.Candidate
	out         *response
	stream      *wire.Stream
	exchange    *atmostonce.Exchange
	startedAt   time.Time
	firstByte   time.Duration
	cold        bool
	expected    time.Duration
	stage       routing.Stage
	running     bool
	refusal     *wirepb.Refused
	endAction   atmostonce.ExchangeAction
	callerGone  bool
	bodyStarted bool
	statusCode  int
	pending     chan execution
	// withdrawn is set once the agent was asked to give the request back unless it has started.
	withdrawn bool
	// awaitsConfirmation is set if the attempt ended before the agent said whether the withdrawn request ran. confirmation is
	// closed once it has, or will not any more, and confirmedNotRun is set before if it says that the request did not run.
	awaitsConfirmation bool
	confirmation       chan struct{}
	confirmedNotRun    atomic.Bool
	// noAlternative is set when no other endpoint can take the request; hasAlternative checks again.
	noAlternative  bool
	hasAlternative func() bool

	writeMu sync.Mutex
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt         routing.Attempt
	observation     routing.Observation
	responseStarted bool
	bodyConsumed    bool
	callerGone      bool
}

func newAttempt(e *Entry, rq *request, c routing.Candidate, out *response) *attempt {
	return &attempt{
		entry:     e,
		rq:        rq,
		candidate: c,
		out:       out,
		exchange:  atmostonce.NewExchange(!rq.idempotent),
		startedAt: e.clock.Now(),
		endAction: atmostonce.EndNotRun,

		confirmation: make(chan struct{}),
	}
}

func (t *attempt) status() int { return t.statusCode }

// run offers the request to the endpoint and follows the exchange to its end.
func (t *attempt) run(ctx context.Context) attemptResult {
	e := t.entry
	e.inFlight.add(t.candidate.Endpoint, 1)
	defer e.inFlight.add(t.candidate.Endpoint, -1)
	e.record(timeline.RequestOffered, t.rq, t.candidate.Endpoint, "")
	stream, err := e.members.Open(t.candidate.Endpoint)
	if err != nil {
		return t.end(routing.OutcomeNotSent)
	}
	t.stream = stream
	stopInterrupt := interruptOnDone(ctx, stream)
	defer stopInterrupt()
	if err := t.offer(); err != nil {
		_ = stream.Close()
		return t.end(t.offerFailedOutcome())
	}
	t.readFrames(ctx)
	stopInterrupt()
	t.confirmCancel()
	switch {
	case t.exchange.Open():
		t.pending = make(chan execution, 1)
		go t.awaitExecution()
	case t.awaitsConfirmation:
		go t.awaitConfirmation()
	default:
		_ = stream.Close()
	}
	return t.end(t.outcome())
}

// interruptOnDone interrupts a blocked read of the stream when ctx ends. Once the returned function has returned, no
// interrupt can occur: a late one would end the wait for the agent's confirmation of a cancel.
func interruptOnDone(ctx context.Context, stream *wire.Stream) func() {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	return sync.OnceFunc(func() {
		if !stop() {
			<-interrupted
		}
	})
}

// cancelConfirmTimeout bounds how long a retry is delayed for the agent's reply to a cancel or a withdrawal.
const cancelConfirmTimeout = 100 * time.Millisecond

// confirmCancel waits briefly for the agent to confirm that a cancelled request, which was not known to be running, did
// not run. Without the confirmation the caller would get "outcome unknown".
func (t *attempt) confirmCancel() {
	if t.endAction != atmostonce.EndUnknown || t.running || t.callerGone || t.exchange.Open() {
		return
	}
	confirmBy := t.entry.clock.Now()
	if !t.withdrawn {
		confirmBy = confirmBy.Add(cancelConfirmTimeout)
	}
	refusal, err := t.readConfirmation(confirmBy)
	switch {
	case refusal != nil:
		t.refusal = refusal
		t.endAction = atmostonce.EndNotRun
	case errors.Is(err, wire.ErrTimeout):
		t.awaitsConfirmation = true
	}
}

// readConfirmation reads frames until the agent has confirmed that it did not run the request. It returns neither a refusal nor
// an error if the agent says otherwise.
func (t *attempt) readConfirmation(until time.Time) (*wirepb.Refused, error) {
	_ = t.stream.SetReadDeadline(until)
	for {
		frame := &wirepb.FromAgent{}
		if err := t.stream.Read(frame); err != nil {
			return nil, err
		}
		if frame.RequestId != t.rq.id || frame.GetHead() != nil || frame.GetFailed() != nil {
			return nil, nil
		}
		if refused := frame.GetRefused(); refused != nil {
			return refused, nil
		}
	}
}

// offerFailedOutcome returns the outcome when the offer could not be written completely. A two-step request cannot have
// started without its commit; any other request may have, if the frame arrived after all.
func (t *attempt) offerFailedOutcome() routing.Outcome {
	if t.rq.idempotent {
		return routing.OutcomeUnknown
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
		BodyDone:       rq.hasFullBody(),
		Caller:         rq.caller,
		Stream:         rq.stream,
	}}})
}

// readFrames reads frames until the attempt has ended.
func (t *attempt) readFrames(ctx context.Context) {
	for {
		t.setReadDeadline(ctx)
		frame := &wirepb.FromAgent{}
		err := t.stream.Read(frame)
		if t.keepsWaiting(ctx, err) {
			continue
		}
		event := t.handleFrame(ctx, frame, err)
		for _, action := range t.exchange.Step(event) {
			if t.act(action) {
				return
			}
		}
	}
}

// keepsWaiting reports whether a waiting request stays at its endpoint after a read timeout: because no other endpoint
// can take it, or until the agent has said whether the request has started.
//
// The alternative that existed when the request was offered may have left since, for example in a rolling restart of
// all agents. A cancelled request would then have nowhere to go, and if the agent's confirmation is late, the caller
// gets "outcome unknown" although there was still time to serve the request. So the request stays until its deadline.
func (t *attempt) keepsWaiting(ctx context.Context, err error) bool {
	if !errors.Is(err, wire.ErrTimeout) || ctx.Err() != nil || t.running || t.noAlternative {
		return false
	}
	if t.hasAlternative() {
		return t.withdraw()
	}
	t.noAlternative = true
	return true
}

// withdraw asks the agent, once, to give the request back unless it has started, and reports whether the reply is awaited. A
// cancelled request that starts at this moment would end without a definite outcome, and the next endpoint may have no room for
// it. A two-step request needs no reply: it cannot start without its commit.
func (t *attempt) withdraw() bool {
	left := t.rq.deadline.Sub(t.entry.clock.Now())
	if t.withdrawn || !t.rq.idempotent || !t.rq.hasFullBody() || left <= cancelConfirmTimeout {
		return false
	}
	t.withdrawn = true
	// Nothing but a cancel follows on this stream, so the write need not wait for an agent that does not read.
	t.stream.AbortWrites()
	return t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{UnlessStarted: true}}}) == nil
}

// setReadDeadline bounds the wait for the next frame.
func (t *attempt) setReadDeadline(ctx context.Context) {
	now := t.entry.clock.Now()
	_ = t.stream.SetReadDeadline(now.Add(max(t.frameTimeout(t.rq.deadline.Sub(now)), time.Millisecond)))
	if ctx.Err() != nil {
		_ = t.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// frameTimeout returns how long to wait for the next frame. Before the request runs, the wait for a silent endpoint is
// short enough to leave time for another one. Once it runs only the deadline counts, and a streamed response whose
// first bytes have arrived is bounded by MaxResponseDuration. A head alone does not count as first bytes: the link may
// break right after it, and the caller would then get nothing until the broken link is detected, long after its
// deadline.
func (t *attempt) frameTimeout(left time.Duration) time.Duration {
	switch {
	case t.firstByte > 0 && t.rq.stream:
		return t.entry.options.MaxResponseDuration
	case t.withdrawn && !t.running && !t.noAlternative:
		return cancelConfirmTimeout
	case !t.running && !t.noAlternative:
		return min(left, t.acceptTimeout(left))
	default:
		return left + deadlineGrace
	}
}

const (
	// deadlineGrace allows time for the agent's own refusal at the deadline to arrive. The refusal shows that the
	// request did not run, which the entry cannot determine by itself.
	deadlineGrace = 50 * time.Millisecond
	// coldLoadFactor is the number of expected load times to wait before another engine is asked to load the model as
	// well. It is large because a slow weight store makes every load slow, and further loads make it slower still.
	coldLoadFactor = 4
)

// acceptTimeout returns how long a waiting request stays with its endpoint while another one could be tried.
//
// When a load is about to finish, the expected wait is close to zero. The minimum that StageTimeout applies prevents
// the request from being cancelled just as it starts, which would give the caller an unknown outcome with seconds left.
func (t *attempt) acceptTimeout(left time.Duration) time.Duration {
	if !t.cold {
		return routing.StageTimeout(t.stage, left, t.expected)
	}
	wait := max(coldLoadFactor*t.expected, routing.StageTimeout(t.stage, left, t.expected))
	if t.expected == 0 || left-wait <= t.expected {
		// Another engine could not load the model in the remaining time.
		return left
	}
	return wait
}

// act performs one action of the exchange and reports whether the attempt has ended.
func (t *attempt) act(action atmostonce.ExchangeAction) bool {
	switch action {
	case atmostonce.SendCommit:
		t.entry.record(timeline.RequestCommitted, t.rq, t.candidate.Endpoint, "")
		_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
		t.startBody()
		return false
	case atmostonce.SendCancel:
		// A write of the body may be blocked on an endpoint that does not read, and would delay the cancel.
		t.stream.AbortWrites()
		_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
		return false
	}
	t.endAction = action
	return true
}

// outcome returns the attempt's outcome for the routing decision.
func (t *attempt) outcome() routing.Outcome {
	switch t.endAction {
	case atmostonce.EndServed:
		return routing.OutcomeServed
	case atmostonce.EndUnknown:
		return routing.OutcomeUnknown
	case atmostonce.EndTruncated:
		if !t.out.headSent {
			return routing.OutcomeUnknown
		}
		return routing.OutcomeTruncated
	}
	if t.refusal != nil {
		return routing.OutcomeRefused
	}
	if t.running {
		return routing.OutcomeFailedNotRun
	}
	return routing.OutcomeNotSent
}

func (t *attempt) end(outcome routing.Outcome) attemptResult {
	if outcome == routing.OutcomeServed {
		if err := t.out.finish(); err != nil {
			t.callerGone = true
		}
	}
	return attemptResult{
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
		responseStarted: t.out.headSent,
		bodyConsumed:    t.bodyStarted && t.rq.rest != nil,
		callerGone:      t.callerGone,
	}
}
