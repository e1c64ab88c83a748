package atmostonce

// ExchangeEvent is an input of an Exchange.
type ExchangeEvent int

// The events of an exchange: frames from the agent and local events at the entry.
const (
	// GotAccepted and GotReady are the agent's frames before the request runs.
	GotAccepted ExchangeEvent = iota
	GotReady
	// GotRefused: the agent did not run the request and will not.
	GotRefused
	// GotHead is the first frame of the response, and GotTrailer the last, with a matching checksum.
	GotHead
	GotTrailer
	// GotFailedNotRun and GotFailedUnknown are Failed frames. Only the first guarantees that the endpoint did not run
	// the request.
	GotFailedNotRun
	GotFailedUnknown
	// Abandoned: the caller disconnected, or the wait limit or the deadline passed.
	Abandoned
	// StreamFailed: the stream ended or carried an invalid frame.
	StreamFailed
)

// ExchangeAction is an output of an Exchange.
type ExchangeAction int

// The actions of an exchange.
const (
	// SendCommit sends the commit; the request may run from then on.
	SendCommit ExchangeAction = iota
	// SendCancel withdraws the offer or cancels the running request.
	SendCancel
	// EndNotRun ends the attempt: the request certainly did not run and will not.
	EndNotRun
	// EndServed ends the attempt: the whole response was received.
	EndServed
	// EndUnknown ends the attempt with an unknown outcome, before the response began.
	EndUnknown
	// EndTruncated ends the attempt with an unknown outcome, after the response began.
	EndTruncated
	// SettleServed, SettleNotRun and SettleUnknown report the outcome of a committed request whose attempt had ended
	// with EndUnknown or EndTruncated while its stream was kept open.
	SettleServed
	SettleNotRun
	SettleUnknown
)

// Exchange is the entry's state machine of one offer. It is not safe for concurrent use.
//
// A two-step request is offered first and committed once the agent is ready. Until the commit is passed to the stream
// the agent cannot start the request, so any earlier end of the exchange means that it did not run. After that, only a
// message from the agent proves that it did not run. A one-step request may start as soon as it is offered, so there
// only a message from the agent ever proves it.
type Exchange struct {
	twoStep bool
	// committed is set when the commit was passed to the stream.
	committed bool
	// responseStarted is set when the response began, ended when the attempt ended, and settled when no action can
	// follow.
	responseStarted bool
	ended           bool
	settled         bool
}

// NewExchange returns the state of an offer that is being sent.
func NewExchange(twoStep bool) *Exchange { return &Exchange{twoStep: twoStep} }

// Committed reports whether the commit of a two-step request was passed to the stream.
func (x *Exchange) Committed() bool { return x.committed }

// Open reports whether the stream must be kept open: the attempt has not ended, or its outcome may still arrive.
func (x *Exchange) Open() bool { return !x.settled }

// Step processes one event and returns the actions to take, in order.
func (x *Exchange) Step(e ExchangeEvent) []ExchangeAction {
	if x.settled {
		return nil
	}
	if x.uncommitted() && e.impliesStarted() {
		// The agent violated the protocol by starting an uncommitted request, so a broken stream no longer proves that
		// it did not run.
		x.committed = true
	}
	switch e {
	case GotReady:
		return x.ready()
	case GotHead:
		x.responseStarted = true
	case GotTrailer:
		return x.finish(EndServed, SettleServed)
	case GotRefused, GotFailedNotRun:
		return x.refused()
	case GotFailedUnknown, StreamFailed:
		return x.failed()
	case Abandoned:
		return x.giveUp()
	}
	return nil
}

// uncommitted reports whether the request cannot have started because its commit was not sent.
func (x *Exchange) uncommitted() bool { return x.twoStep && !x.committed }

// impliesStarted reports whether the event can occur only for a request that was started.
func (e ExchangeEvent) impliesStarted() bool {
	return e == GotHead || e == GotTrailer || e == GotFailedUnknown
}

func (x *Exchange) ready() []ExchangeAction {
	if !x.uncommitted() {
		return nil
	}
	x.committed = true
	return []ExchangeAction{SendCommit}
}

// refused ends the attempt as not run. A refusal after the response began cannot be true and is treated as a failure.
func (x *Exchange) refused() []ExchangeAction {
	if x.responseStarted {
		return x.failed()
	}
	return x.finish(EndNotRun, SettleNotRun)
}

func (x *Exchange) failed() []ExchangeAction {
	if x.uncommitted() {
		return x.finish(EndNotRun, SettleNotRun)
	}
	return x.finish(x.unknownEnd(), SettleUnknown)
}

// giveUp ends the attempt for the caller. A committed two-step request is not cancelled: its stream is kept open until
// its outcome is known, so that the outcome can be recorded in the claim.
func (x *Exchange) giveUp() []ExchangeAction {
	switch {
	case x.ended:
		return x.finish(EndUnknown, SettleUnknown)
	case x.uncommitted():
		return append([]ExchangeAction{SendCancel}, x.finish(EndNotRun, SettleNotRun)...)
	case x.twoStep:
		x.ended = true
		return []ExchangeAction{x.unknownEnd()}
	default:
		return append([]ExchangeAction{SendCancel}, x.finish(x.unknownEnd(), SettleUnknown)...)
	}
}

// finish ends the attempt, or reports its outcome if it had already ended.
func (x *Exchange) finish(end, settle ExchangeAction) []ExchangeAction {
	x.settled = true
	if x.ended {
		return []ExchangeAction{settle}
	}
	x.ended = true
	return []ExchangeAction{end}
}

func (x *Exchange) unknownEnd() ExchangeAction {
	if x.responseStarted {
		return EndTruncated
	}
	return EndUnknown
}
