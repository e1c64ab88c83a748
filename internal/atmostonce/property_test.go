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

// forAllSeeds runs check with fixed seeds.
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

// judge compares what the callers were told with what the endpoints ran.
func (w *world) judge() error {
	runsOfKey := map[string]int{}
	runsOf := map[string]int{}
	for _, c := range w.clients {
		for _, l := range c.links {
			if l.runs > 1 {
				return fmt.Errorf("one offer of request %s ran %d times", c.id, l.runs)
			}
			runsOfKey[c.key] += l.runs
			runsOf[c.id] += l.runs
		}
	}
	for key, runs := range runsOfKey {
		if runs > 1 {
			return fmt.Errorf("%s ran %d times", key, runs)
		}
	}
	for _, c := range w.clients {
		if err := w.released(c); err != nil {
			return err
		}
		switch {
		case c.told == "not run" && runsOf[c.id] > 0:
			return fmt.Errorf("request %s was told not run, and ran", c.id)
		case c.told == "served" && runsOf[c.id] != 1:
			return fmt.Errorf("request %s was told served, and ran %d times", c.id, runsOf[c.id])
		case c.told == "answered" && runsOfKey[c.key] != 1:
			return fmt.Errorf("request %s got a recorded answer, and %s ran %d times", c.id, c.key, runsOfKey[c.key])
		}
	}
	return nil
}

// released checks that a key that was freed is not held by the same owner later on, when a delayed write of its claim
// takes effect: nobody would ever free it again.
func (w *world) released(c *client) error {
	if c.settling == nil || c.settling.state != ClaimFree || !c.settling.done {
		return nil
	}
	var claim Claim
	_ = json.Unmarshal(w.table.rows[c.key].Value, &claim)
	if claim.Owner == c.id && claim.State != ClaimFree {
		return fmt.Errorf("request %s freed its key and holds it again", c.id)
	}
	return nil
}

// A penalty notice is sent by several entries at once under one idempotency key. Answers of the table are lost, its
// writes come late, streams break at any frame, entries and agents die at any step. Whatever the order, the notice goes
// out at most once, and who was told "not run" can rely on it.
func TestNothingRunsTwiceAndNotRunIsTrue(t *testing.T) {
	told := map[string]int{}
	var lost, failed, breaks, crashes int
	forAllSeeds(t, func(seed uint64) error {
		w := newWorld(seed)
		for range worldSteps {
			w.step()
		}
		w.finish()
		for _, c := range w.clients {
			told[c.told]++
		}
		lost, failed = lost+w.table.lost, failed+w.table.failed
		breaks, crashes = breaks+w.breaks, crashes+w.crashes
		if err := w.judge(); err != nil {
			return err
		}
		if !porcupine.CheckOperations(claimsModel, w.history) {
			return fmt.Errorf("the history of claims is not linearizable: %+v", w.history)
		}
		return nil
	})
	t.Logf("%d seeds of %d steps: %d lost answers, %d failed calls, %d broken streams, %d dead processes; callers were told %v",
		propertyRuns, worldSteps, lost, failed, breaks, crashes, told)
	for _, word := range []string{"not run", "served", "unknown", "in progress", "answered"} {
		if told[word] < propertyRuns/20 {
			t.Errorf("only %d callers were told %q: the runs show too little", told[word], word)
		}
	}
}

// holder is the state of one key in the sequential model.
type holder struct {
	state ClaimState
	owner string
}

// claimsModel is what claims look like to one who sees them one after the other.
var claimsModel = (&porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{holder{state: ClaimFree}} },
	Step: func(state, input, output any) []any {
		return stepModel(state.(holder), input.(operation), output.(result))
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

func stepModel(now holder, o operation, r result) []any {
	after := holder{state: o.state, owner: o.owner}
	if o.state != ClaimHeld {
		return settleModel(now, after, r)
	}
	wants := map[ClaimOutcome]ClaimState{ClaimInProgress: ClaimHeld, ClaimAnswered: ClaimDone, ClaimLost: ClaimUnknown}
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

// settleModel ends a claim that the owner holds; a release of a key that it does not hold changes nothing.
func settleModel(now, after holder, r result) []any {
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
