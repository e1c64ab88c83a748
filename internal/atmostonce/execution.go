package atmostonce

// ExecutionEvent is an input of an Execution.
type ExecutionEvent int

// The events of an execution: frames from the entry and local events at the agent.
const (
	// Admitted: the queue admitted the request, which may now run.
	Admitted ExecutionEvent = iota
	// QueueRefused: the queue rejected or evicted the request.
	QueueRefused
	// GotCommit and GotCancel are frames from the entry.
	GotCommit
	GotCancel
	// GotWithdrawal: the entry cancels the request unless it has started.
	GotWithdrawal
	// EntryLost: the stream to the entry broke.
	EntryLost
	// CommitLate: no commit arrived within the time that a ready request may stay admitted.
	CommitLate
	// CallAnswered: the endpoint's whole response was forwarded.
	CallAnswered
	// CallFailedNotRun and CallFailedUnknown: the endpoint call failed. Only the first guarantees that the request did
	// not run.
	CallFailedNotRun
	CallFailedUnknown
)

// ExecutionAction is an output of an Execution.
type ExecutionAction int

// The actions of an execution.
const (
	// SendReady notifies the entry that the agent is ready and waits for the commit.
	SendReady ExecutionAction = iota
	// StartCall sends the request to the endpoint. It is returned at most once.
	StartCall
	// StopCall cancels the endpoint call.
	StopCall
	// LeaveQueue removes the request from the queue.
	LeaveQueue
	// ReleaseAdmission releases the admission of a ready or running request.
	ReleaseAdmission
	// SendRefused reports to the entry that the request did not run.
	SendRefused
	// SendTrailer ends the response.
	SendTrailer
	// SendFailedNotRun and SendFailedUnknown report to the entry that the endpoint call failed.
	SendFailedNotRun
	SendFailedUnknown
)

type executionState int

const (
	executionWaiting executionState = iota
	executionReady
	executionRunning
	executionEnded
)

// Execution is the agent's state machine of one offer. It is not safe for concurrent use.
type Execution struct {
	twoStep bool
	state   executionState
}

// NewExecution returns the state of an offer that the queue has just accepted.
func NewExecution(twoStep bool) *Execution { return &Execution{twoStep: twoStep} }

// Ended reports whether the execution has ended.
func (x *Execution) Ended() bool { return x.state == executionEnded }

// Running reports whether the endpoint call is in progress.
func (x *Execution) Running() bool { return x.state == executionRunning }

// Step processes one event and returns the actions to take, in order.
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
	case Admitted:
		if x.twoStep {
			x.state = executionReady
			return []ExecutionAction{SendReady}
		}
		x.state = executionRunning
		return []ExecutionAction{StartCall}
	case QueueRefused:
		x.state = executionEnded
		return []ExecutionAction{SendRefused}
	case GotCancel, GotWithdrawal:
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
	case GotCancel, GotWithdrawal, CommitLate, QueueRefused:
		x.state = executionEnded
		return []ExecutionAction{ReleaseAdmission, SendRefused}
	case EntryLost:
		x.state = executionEnded
		return []ExecutionAction{ReleaseAdmission}
	}
	return nil
}

func (x *Execution) running(e ExecutionEvent) []ExecutionAction {
	switch e {
	case CallAnswered:
		return x.endCall(SendTrailer)
	case CallFailedNotRun:
		return x.endCall(SendFailedNotRun)
	case CallFailedUnknown:
		return x.endCall(SendFailedUnknown)
	case GotCancel, EntryLost:
		// A call that must run at most once is not cancelled, so that its outcome becomes known.
		if !x.twoStep {
			return []ExecutionAction{StopCall}
		}
	}
	return nil
}

func (x *Execution) endCall(end ExecutionAction) []ExecutionAction {
	x.state = executionEnded
	return []ExecutionAction{ReleaseAdmission, end}
}

// ended releases an admission that was granted while the request was being removed from the queue.
func (x *Execution) ended(e ExecutionEvent) []ExecutionAction {
	if e == Admitted {
		return []ExecutionAction{ReleaseAdmission}
	}
	return nil
}
