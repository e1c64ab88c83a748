package atmostonce

// ExchangeEvent is an input of an Exchange.
type ExchangeEvent int

// The events of an exchange: frames from the agent, and what befalls the entry.
const (
	// GotAccepted and GotReady are the agent's frames before the request runs.
	GotAccepted ExchangeEvent = iota
	GotReady
	// GotRefused says that the agent did not and will not run the request.
	GotRefused
	// GotHead is the first answer frame and GotTrailer, with a matching checksum, the last.
	GotHead
	GotTrailer
	// GotFailedClean and GotFailedUnclear are Failed frames; only the first says that the endpoint did not run it.
	GotFailedClean
	GotFailedUnclear
	// GaveUp: the caller went away, the patience or the deadline ended.
	GaveUp
	// StreamBroke: the stream ended or carried a wrong frame.
	StreamBroke
)

// ExchangeAction is an output of an Exchange.
type ExchangeAction int

// The actions of an exchange.
const (
	// SendCommit sends the commit; the request may run from now on.
	SendCommit ExchangeAction = iota
	// SendCancel withdraws the offer or stops the work.
	SendCancel
	// EndNotRun ends the attempt: it certainly did not run and will not.
	EndNotRun
	// EndServed ends the attempt: the whole answer is here.
	EndServed
	// EndUnknown ends the attempt without a definite end before the answer began.
	EndUnknown
	// EndCut ends the attempt after the answer began.
	EndCut
	// SettleServed, SettleNotRun and SettleUnknown tell the fate of a committed request whose attempt ended with
	// EndUnknown or EndCut while the stream stayed open for it.
	SettleServed
	SettleNotRun
	SettleUnknown
)

// Exchange is the entry's side of one offer. It is not safe for concurrent use.
//
// A two-step request is offered, and sent a commit once the agent is ready. Until the commit is handed to the stream the
// agent cannot start it, so that whatever ends the exchange before means "not run"; from then on only the agent's word
// does. A one-step request may start as soon as it was offered, so that only the agent's word ever means "not run".
type Exchange struct {
	twoStep bool
	// committed is set when the commit was handed to the stream.
	committed bool
	// begun is set when the answer began, ended when the attempt did, and settled when nothing more can follow.
	begun   bool
	ended   bool
	settled bool
}

// NewExchange returns the state of an offer that is sent now.
func NewExchange(twoStep bool) *Exchange { return &Exchange{twoStep: twoStep} }

// Committed reports whether a two-step request's commit was handed to the stream.
func (x *Exchange) Committed() bool { return x.committed }

// Open reports whether the stream must be kept: the attempt has not ended, or its fate may still come.
func (x *Exchange) Open() bool { return !x.settled }

// Step takes one event and returns what to do, in order.
func (x *Exchange) Step(e ExchangeEvent) []ExchangeAction {
	if x.settled {
		return nil
	}
	if x.withheld() && e.saysStarted() {
		// The agent started a request that was not committed; it broke the protocol, and "not run" is no longer true.
		x.committed = true
	}
	switch e {
	case GotReady:
		return x.ready()
	case GotHead:
		x.begun = true
	case GotTrailer:
		return x.finish(EndServed, SettleServed)
	case GotRefused, GotFailedClean:
		return x.refused()
	case GotFailedUnclear, StreamBroke:
		return x.broke()
	case GaveUp:
		return x.giveUp()
	}
	return nil
}

// withheld reports whether the request cannot have started because its commit was not sent.
func (x *Exchange) withheld() bool { return x.twoStep && !x.committed }

// saysStarted reports whether only a request that was started can bring the event.
func (e ExchangeEvent) saysStarted() bool {
	return e == GotHead || e == GotTrailer || e == GotFailedUnclear
}

func (x *Exchange) ready() []ExchangeAction {
	if !x.withheld() {
		return nil
	}
	x.committed = true
	return []ExchangeAction{SendCommit}
}

// refused ends the attempt by the agent's word; after the answer began that word is wrong.
func (x *Exchange) refused() []ExchangeAction {
	if x.begun {
		return x.broke()
	}
	return x.finish(EndNotRun, SettleNotRun)
}

func (x *Exchange) broke() []ExchangeAction {
	if x.withheld() {
		return x.finish(EndNotRun, SettleNotRun)
	}
	return x.finish(x.indefinite(), SettleUnknown)
}

// giveUp ends the attempt for the caller. A committed request that may run only once is not cancelled: its stream is kept
// until its fate is known, so that its claim can say so.
func (x *Exchange) giveUp() []ExchangeAction {
	switch {
	case x.ended:
		return x.finish(EndUnknown, SettleUnknown)
	case x.withheld():
		return append([]ExchangeAction{SendCancel}, x.finish(EndNotRun, SettleNotRun)...)
	case x.twoStep:
		x.ended = true
		return []ExchangeAction{x.indefinite()}
	default:
		return append([]ExchangeAction{SendCancel}, x.finish(x.indefinite(), SettleUnknown)...)
	}
}

// finish ends the attempt, or tells its fate when it ended before.
func (x *Exchange) finish(end, settle ExchangeAction) []ExchangeAction {
	x.settled = true
	if x.ended {
		return []ExchangeAction{settle}
	}
	x.ended = true
	return []ExchangeAction{end}
}

func (x *Exchange) indefinite() ExchangeAction {
	if x.begun {
		return EndCut
	}
	return EndUnknown
}
