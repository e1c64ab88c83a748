package replicas

import (
	"fmt"
	"strings"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// Action is the operation that a step applies to a slot.
type Action string

// The actions of a step.
const (
	Grant        Action = "grant"
	StartRelease Action = "release"
	Remove       Action = "remove"
)

// Reason is the cause of a step.
type Reason string

// The reasons of steps.
const (
	// ReasonBaseline: the model version has fewer usable slots than its baseline.
	ReasonBaseline Reason = "home"
	// ReasonDemand: engines requested another slot to meet demand.
	ReasonDemand Reason = "demand"
	// ReasonReplace: the slot replaces one that is released or has to be.
	ReasonReplace Reason = "replace"
	// ReasonUnreachable: the slot replaces one whose engine has been unreachable for at least UnreachableAfter.
	ReasonUnreachable Reason = "silent"
	// ReasonUndeclared: the model version is no longer declared.
	ReasonUndeclared Reason = "undeclared"
	// ReasonLeaving: the engine is shutting down or drained.
	ReasonLeaving Reason = "leaving"
	// ReasonMismatch: the engine's labels no longer match the selector.
	ReasonMismatch Reason = "mismatch"
	// ReasonNoFit: the engine's memory is too small.
	ReasonNoFit Reason = "no_fit"
	// ReasonFailing: the engine has failed to serve the model version for at least FailingAfter, and the maximum leaves
	// no room for another slot.
	ReasonFailing Reason = "failing"
	// ReasonOverMaximum: there are more slots than the declared maximum.
	ReasonOverMaximum Reason = "over_maximum"
	// ReasonUnneeded: the demand for the slot ended at least ExtraHold ago.
	ReasonUnneeded Reason = "unneeded"
	// ReasonBalance: the engine's load is far above its fair share.
	ReasonBalance Reason = "balance"
	// ReasonSpread: the slot's failure domain holds at least two slots more than another domain that can take it.
	ReasonSpread Reason = "spread"
	// ReasonConfirmed: the engine has confirmed the release.
	ReasonConfirmed Reason = "confirmed"
	// ReasonHostGone: the engine's host is known to be gone.
	ReasonHostGone Reason = "host_gone"
)

// Step is the change of one slot within a row change.
type Step struct {
	Action Action
	Engine string
	Reason Reason
}

func (s Step) String() string { return fmt.Sprintf("%s %s (%s)", s.Action, s.Engine, s.Reason) }

// Change replaces one row.
type Change struct {
	Model string
	// Next is the row to write; a row without slots is deleted. The proposer sets its operation ID.
	Next *replicaspb.Row
	// Expected is the revision of the row that the decision was made from; 0 if there was none.
	Expected uint64
	// Head is an additional condition of the write if its key is not empty; see Declared.
	Head  backing.Condition
	Steps []Step
}

func (c Change) String() string {
	steps := make([]string, len(c.Steps))
	for i, s := range c.Steps {
		steps[i] = s.String()
	}
	return fmt.Sprintf("%s at %d: %s", c.Model, c.Expected, strings.Join(steps, ", "))
}

// Decision is the result of one run of the Decider.
type Decision struct {
	// Changes are ordered by model version, at most one for each.
	Changes []Change
	// RecheckAt is when the decision may differ although no input has changed; zero if it will not.
	RecheckAt time.Time
}
