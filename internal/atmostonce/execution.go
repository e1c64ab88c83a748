package atmostonce

// ExecutionEvent is an input of an Execution.
type ExecutionEvent int

// The events of an execution: frames from the entry, and what befalls the agent.
const (
	// TurnCame: the queue gave the request its turn.
	TurnCame ExecutionEvent = iota
	// QueueRefused: the queue refused or displaced the request.
	QueueRefused
	// GotCommit and GotCancel are the entry's frames.
	GotCommit
	GotCancel
	// EntryLost: the stream broke.
	EntryLost
	// CommitLate: no commit came in the time that a ready request may hold its turn.
	CommitLate
	// CallAnswered: the endpoint's whole answer was sent on.
	CallAnswered
	// CallFailedClean and CallFailedUnclear: the endpoint call failed; only the first certainly did not run.
	CallFailedClean
	CallFailedUnclear
)

// ExecutionAction is an output of an Execution.
type ExecutionAction int

// The actions of an execution.
const (
	// SendReady asks for the commit.
	SendReady ExecutionAction = iota
	// StartCall sends the request to the endpoint. It comes at most once.
	StartCall
	// StopCall gives up the endpoint call.
	StopCall
	// LeaveQueue takes the request out of the queue.
	LeaveQueue
	// GiveBackTurn frees the turn that a ready or running request held.
	GiveBackTurn
	// SendRefused tells the entry that the request did not run.
	SendRefused
	// SendTrailer ends the answer.
	SendTrailer
	// SendFailedClean and SendFailedUnclear tell the entry that the call failed.
	SendFailedClean
	SendFailedUnclear
)

type executionState int

const (
	executionWaiting executionState = iota
	executionReady
	executionRunning
	executionEnded
)

// Execution is the agent's side of one offer. It is not safe for concurrent use.
type Execution struct {
	twoStep bool
	state   executionState
}

// NewExecution returns the state of an offer that the queue just accepted.
func NewExecution(twoStep bool) *Execution { return &Execution{twoStep: twoStep} }

// Ended reports whether nothing more can follow.
func (x *Execution) Ended() bool { return x.state == executionEnded }

// Running reports whether the endpoint call is under way.
func (x *Execution) Running() bool { return x.state == executionRunning }

// Step takes one event and returns what to do, in order.
func (x *Execution) Step(e ExecutionEvent) []ExecutionAction {
	switch x.state {
	case executionWaiting:
		return x.waiting(e)
	case executionReady:
		return x.ready(e)
	case executionRunning:
		return x.running(e)
	default:
		return x.ended(e)
	}
}

func (x *Execution) waiting(e ExecutionEvent) []ExecutionAction {
	switch e {
	case TurnCame:
		if x.twoStep {
			x.state = executionReady
			return []ExecutionAction{SendReady}
		}
		x.state = executionRunning
		return []ExecutionAction{StartCall}
	case QueueRefused:
		x.state = executionEnded
		return []ExecutionAction{SendRefused}
	case GotCancel:
		x.state = executionEnded
		return []ExecutionAction{LeaveQueue, SendRefused}
	case EntryLost:
		x.state = executionEnded
		return []ExecutionAction{LeaveQueue}
	}
	return nil
}

func (x *Execution) ready(e ExecutionEvent) []ExecutionAction {
	switch e {
	case GotCommit:
		x.state = executionRunning
		return []ExecutionAction{StartCall}
	case GotCancel, CommitLate, QueueRefused:
		x.state = executionEnded
		return []ExecutionAction{GiveBackTurn, SendRefused}
	case EntryLost:
		x.state = executionEnded
		return []ExecutionAction{GiveBackTurn}
	}
	return nil
}

func (x *Execution) running(e ExecutionEvent) []ExecutionAction {
	switch e {
	case CallAnswered:
		return x.endCall(SendTrailer)
	case CallFailedClean:
		return x.endCall(SendFailedClean)
	case CallFailedUnclear:
		return x.endCall(SendFailedUnclear)
	case GotCancel, EntryLost:
		// A call that may run only once goes on to its end, so that its outcome is definite.
		if !x.twoStep {
			return []ExecutionAction{StopCall}
		}
	}
	return nil
}

func (x *Execution) endCall(end ExecutionAction) []ExecutionAction {
	x.state = executionEnded
	return []ExecutionAction{GiveBackTurn, end}
}

// ended gives back a turn that came while the request was being taken out of the queue.
func (x *Execution) ended(e ExecutionEvent) []ExecutionAction {
	if e == TurnCame {
		return []ExecutionAction{GiveBackTurn}
	}
	return nil
}
