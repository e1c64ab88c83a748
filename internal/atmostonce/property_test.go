package atmostonce

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	propertySeed = 20260105
	propertyRuns = 10000
)

// forAllSeeds runs check with a fixed sequence of random seeds.
func forAllSeeds(t *testing.T, check func(seed uint64) error) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("holds", prop.ForAll(func(seed uint64) (bool, error) {
		err := check(seed)
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// checkInvariants compares the outcomes reported to the callers with the runs at the endpoints.
func (sim *simulation) checkInvariants() error {
	runsOfKey := map[string]int{}
	runsOfRequest := map[string]int{}
	for _, c := range sim.clients {
		for _, st := range c.streams {
			if st.runs > 1 {
				return fmt.Errorf("one offer of request %s ran %d times, want at most 1", c.id, st.runs)
			}
			runsOfKey[c.key] += st.runs
			runsOfRequest[c.id] += st.runs
		}
	}
	for key, runs := range runsOfKey {
		if runs > 1 {
			return fmt.Errorf("%s ran %d times, want at most 1", key, runs)
		}
	}
	for _, c := range sim.clients {
		if err := sim.checkReleased(c); err != nil {
			return err
		}
		switch {
		case c.callerOutcome == "not run" && runsOfRequest[c.id] > 0:
			return fmt.Errorf("request %s was reported as not run, but ran", c.id)
		case c.callerOutcome == "served" && runsOfRequest[c.id] != 1:
			return fmt.Errorf("request %s was reported as served, but ran %d times", c.id, runsOfRequest[c.id])
		case c.callerOutcome == "answered" && runsOfKey[c.key] != 1:
			return fmt.Errorf("request %s got a recorded response, but %s ran %d times", c.id, c.key, runsOfKey[c.key])
		}
	}
	return nil
}

// checkReleased checks that a freed key is not held again by the same owner when a delayed write of its claim takes
// effect, because nothing would free it again.
func (sim *simulation) checkReleased(c *client) error {
	if c.settleAttempt == nil || c.settleAttempt.state != ClaimFree || !c.settleAttempt.done {
		return nil
	}
	var claim Claim
	_ = json.Unmarshal(sim.table.rows[c.key].Value, &claim)
	if claim.Owner == c.id && claim.State != ClaimFree {
		return fmt.Errorf("request %s freed its key but holds it again", c.id)
	}
	return nil
}

// Several entries send the same request under one idempotency key. Table responses are lost, table writes are delayed,
// streams break at any frame, and entries and agents crash at any step. The request must run at most once, and must not
// have run if the caller was told so.
func TestNothingRunsTwiceAndNotRunIsTrue(t *testing.T) {
	outcomes := map[string]int{}
	var lost, failed, breaks, crashes int
	forAllSeeds(t, func(seed uint64) error {
		sim := newSimulation(seed)
		for range simSteps {
			sim.step()
		}
		sim.finish()
		for _, c := range sim.clients {
			outcomes[c.callerOutcome]++
		}
		lost, failed = lost+sim.table.lost, failed+sim.table.failed
		breaks, crashes = breaks+sim.breaks, crashes+sim.crashes
		if err := sim.checkInvariants(); err != nil {
			return err
		}
		if !porcupine.CheckOperations(claimsModel, sim.history) {
			return fmt.Errorf("the history of claims is not linearizable: %+v", sim.history)
		}
		return nil
	})
	t.Logf("%d seeds of %d steps: %d lost responses, %d failed calls, %d broken streams, %d crashed processes; outcomes reported to callers: %v",
		propertyRuns, simSteps, lost, failed, breaks, crashes, outcomes)
	for _, outcome := range []string{"not run", "served", "unknown", "in progress", "answered"} {
		if outcomes[outcome] < propertyRuns/20 {
			t.Errorf("only %d callers got the outcome %q: coverage is too low", outcomes[outcome], outcome)
		}
	}
}

// keyState is the state of one key in the sequential model.
type keyState struct {
	state ClaimState
	owner string
}

// claimsModel is the sequential specification of Claims for the linearizability check.
var claimsModel = (&porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyState{state: ClaimFree}} },
	Step: func(state, input, output any) []any {
		return stepModel(state.(keyState), input.(operation), output.(result))
	},
}).ToModel()

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(operation).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for part := range maps.Values(byKey) {
		parts = append(parts, part)
	}
	return parts
}

func stepModel(now keyState, o operation, r result) []any {
	after := keyState{state: o.state, owner: o.owner}
	if o.state != ClaimHeld {
		return settleModel(now, after, r)
	}
	wants := map[ClaimOutcome]ClaimState{ClaimInProgress: ClaimHeld, ClaimCompleted: ClaimDone, ClaimOutcomeUnknown: ClaimUnknown}
	switch {
	case !r.definite && now.state == ClaimFree:
		return []any{now, after}
	case !r.definite || r.outcome == 0:
		return []any{now}
	case r.outcome == ClaimGranted && now.state == ClaimFree:
		return []any{after}
	case r.outcome != ClaimGranted && now.state == wants[r.outcome]:
		return []any{now}
	default:
		return nil
	}
}

// settleModel applies the settlement of a claim that the owner holds. Releasing a key that the owner does not hold
// changes nothing.
func settleModel(now, after keyState, r result) []any {
	holds := now.state == ClaimHeld && now.owner == after.owner
	switch {
	case holds && !r.definite:
		return []any{now, after}
	case holds:
		return []any{after}
	case !r.definite || after.state == ClaimFree:
		return []any{now}
	default:
		return nil
	}
}
