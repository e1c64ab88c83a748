package entry

import (
	"context"
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
	bodyBegun bool
	answered  int
	fate      chan fate
	// last is set when there is no other endpoint to move on to; hasOther looks for one again.
	last     bool
	hasOther func() bool

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
	stopWaking := wakeAtEnd(ctx, stream)
	defer stopWaking()
	if err := t.offer(); err != nil {
		_ = stream.Close()
		return t.end(t.notTaken())
	}
	t.follow(ctx)
	stopWaking()
	t.confirmWithdrawal()
	if t.exchange.Open() {
		t.fate = make(chan fate, 1)
		go t.awaitFate()
	} else {
		_ = stream.Close()
	}
	return t.end(t.outcome())
}

// wakeAtEnd wakes the stream's reader when ctx ends. After the function that it returns no wake comes any more: a late one
// would end the wait for the agent's last word.
func wakeAtEnd(ctx context.Context, stream *wire.Stream) func() {
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		close(woken)
	})
	return sync.OnceFunc(func() {
		if !stop() {
			<-woken
		}
	})
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
		BodyDone:       rq.isWhole(),
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
		if t.staysForWantOfOther(ctx, err) {
			continue
		}
		event := t.eventOf(ctx, frame, err)
		for _, action := range t.exchange.Step(event) {
			if t.act(action) {
				return
			}
		}
	}
}

// staysForWantOfOther reports whether the patience with a waiting request has ended while no other endpoint can take it.
//
// The other endpoint that was there when the request was offered may have left since, as in a restart of all agents in
// turn. A request withdrawn then has nowhere to go, and where the agent's word on the withdrawal is late, its caller is
// told that the outcome is unknown although there was time to be served. So the request stays until its deadline.
func (t *attempt) staysForWantOfOther(ctx context.Context, err error) bool {
	if !errors.Is(err, wire.ErrTimeout) || ctx.Err() != nil || t.running || t.last || t.hasOther() {
		return false
	}
	t.last = true
	return true
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

// act carries out one action of the exchange and reports whether the attempt has ended.
func (t *attempt) act(action atmostonce.ExchangeAction) bool {
	switch action {
	case atmostonce.SendCommit:
		t.entry.record(timeline.RequestCommitted, t.rq, t.candidate.Endpoint, "")
		_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
		t.startBody()
		return false
	case atmostonce.SendCancel:
		// A part of the body may wait for an endpoint that takes none, and would hold the withdrawal up.
		t.stream.StopWriting()
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
		bodyUsed:    t.bodyBegun && t.rq.rest != nil,
		callerGone:  t.gone,
	}
}
