package replicas

import (
	"fmt"
	"strings"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// Action is what a step does with a slot.
type Action string

// The actions of a step.
const (
	Grant        Action = "grant"
	StartRelease Action = "release"
	Remove       Action = "remove"
)

// Reason is why a step is taken.
type Reason string

// The reasons of steps.
const (
	// ReasonHome: the model version has fewer usable slots than it must have while idle.
	ReasonHome Reason = "home"
	// ReasonDemand: engines want another slot for their demand.
	ReasonDemand Reason = "demand"
	// ReasonReplace: a slot's engine cannot be used, and another one takes its place.
	ReasonReplace Reason = "replace"
	// ReasonSilent: a slot's engine has not answered for long.
	ReasonSilent Reason = "silent"
	// ReasonUndeclared: the model version is not declared any more.
	ReasonUndeclared Reason = "undeclared"
	// ReasonLeaving: the engine leaves or is drained.
	ReasonLeaving Reason = "leaving"
	// ReasonMismatch: the engine's labels do not match the selector any more.
	ReasonMismatch Reason = "mismatch"
	// ReasonNoFit: the engine's memory is too small.
	ReasonNoFit Reason = "no_fit"
	// ReasonFailing: the engine could not serve the model version for long, and there is no room for another slot.
	ReasonFailing Reason = "failing"
	// ReasonOverMaximum: there are more slots than the declared maximum.
	ReasonOverMaximum Reason = "over_maximum"
	// ReasonUnneeded: the demand that the slot was granted for has been gone for long.
	ReasonUnneeded Reason = "unneeded"
	// ReasonBalance: the engine holds much more than its share of slots.
	ReasonBalance Reason = "balance"
	// ReasonSpread: two slots share a failure domain and another domain has room.
	ReasonSpread Reason = "spread"
	// ReasonConfirmed: the engine has confirmed the release.
	ReasonConfirmed Reason = "confirmed"
	// ReasonHostGone: the engine's host is known to be gone.
	ReasonHostGone Reason = "host_gone"
)

// Step is one slot's part of a change.
type Step struct {
	Action Action
	Engine string
	Reason Reason
}

func (s Step) String() string { return fmt.Sprintf("%s %s (%s)", s.Action, s.Engine, s.Reason) }

// Change replaces one row.
type Change struct {
	Model string
	// Next is the row to write; without slots the row is deleted. Its operation id is set by whoever proposes it.
	Next *replicaspb.Row
	// Expected is the revision of the row that the decision was made from; 0 when there was none.
	Expected uint64
	// Head is a further condition of the write when its key is not empty; see Declared.
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
	// Changes are in the order of the model versions' names, at most one for each.
	Changes []Change
	// Again is when the decision may differ although no input has changed; zero when it will not.
	Again time.Time
}
