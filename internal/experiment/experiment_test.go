package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/settings"
)

func load(t *testing.T, sets ...string) *settings.Experiment {
	t.Helper()
	x, err := settings.LoadExperiment("../../examples/experiment/trenches.ini", sets...)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// The policies play the same days. One that knows the requests to come must reach more than the product's own, and this more
// than loading on demand and than leaving all as it is: otherwise either the model is wrong, or the policy got worse.
func TestOrderOfPolicies(t *testing.T) {
	t.Parallel()
	c, err := Compare(load(t, "run.seeds=6"), 4)
	if err != nil {
		t.Fatal(err)
	}
	worth := func(policy string) float64 {
		return mean(c.Outcomes[policy], func(o Outcome) float64 { return o.Worth })
	}
	const margin = 0.03
	for _, pair := range [][2]string{{"foresight", "current"}, {"current", "pipe"}, {"current", "demand"}, {"current", "none"}} {
		if worth(pair[0]) < worth(pair[1])+margin {
			t.Errorf("%s reaches %.3f, %s %.3f", pair[0], worth(pair[0]), pair[1], worth(pair[1]))
		}
	}
}

// A seed gives the same day and the same outcome each time, so that a difference between two policies is theirs.
func TestDaysRepeat(t *testing.T) {
	t.Parallel()
	x := load(t, "run.length=10s", "weights.first_copies=6")
	for name, policy := range policies {
		first, err := playDay(x, 3, policy)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := playDay(x, 3, policy); err != nil || !reflect.DeepEqual(first, again) {
			t.Errorf("%s: seed 3 gave %+v and %+v (%v)", name, first, again, err)
		}
		if other, err := playDay(x, 4, policy); err != nil || reflect.DeepEqual(first, other) {
			t.Errorf("%s: two seeds gave the same outcome (%v)", name, err)
		}
	}
}

// The figures of the model are those of its parameters where they can be worked out by hand: one engine that holds the only
// model serves all in time, and is idle for the rest.
func TestOneEngineOneModel(t *testing.T) {
	t.Parallel()
	x := load(t)
	x.Engines.Count, x.Engines.Models, x.Engines.Places = 1, 1, 1
	x.Requests = x.Requests[:1]
	x.Requests[0].Models, x.Requests[0].Active, x.Requests[0].PerSecond = 1, 0, 0.2
	outcome, err := playDay(x, 1, policies["current"])
	if err != nil {
		t.Fatal(err)
	}
	if outcome.Worth != 1 || outcome.OnTime != 1 || len(outcome.Loads) != 0 || outcome.ColdStart != 0 {
		t.Errorf("%+v, want everything on time without a load", outcome)
	}
	if outcome.IdleHours < 0.5 || outcome.IdleHours > 1.3 {
		t.Errorf("idle for %.2f of the time, with an answer of a second each five", outcome.IdleHours)
	}
}

// A cold start from the weight store takes as long as the parameters say, more when the store is shared by too many.
func TestColdStart(t *testing.T) {
	t.Parallel()
	x := load(t)
	x.Run.Lead = 0
	x.Requests = x.Requests[1:]
	x.Requests[0].PerSecond = 0.2
	outcome, err := playDay(x, 2, policies["demand"])
	if err != nil {
		t.Fatal(err)
	}
	if outcome.ColdStart < x.Weights.StoreTime || outcome.ColdStart > x.Weights.StoreTime+2*time.Second {
		t.Errorf("the slowest cold start took %v, a load %v", outcome.ColdStart, x.Weights.StoreTime)
	}
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	x := load(t)
	x.Run.Policies = []string{"current", "guess"}
	if _, err := Compare(x, 1); !errors.Is(err, ErrPolicy) || !strings.Contains(err.Error(), "guess") {
		t.Errorf("got %v, want an error that names the policy", err)
	}
}

// The report holds a line for each policy and a plot that names them.
func TestReport(t *testing.T) {
	t.Parallel()
	c, err := Compare(load(t, "run.seeds=2", "run.length=5s", "run.policies=current, none"), 2)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := c.Write(&out, []string{"live", "case"}); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"POLICY", "COLD P99", "IDLE H/H", "\ncurrent", "\nnone", "worth by day", "case"} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("%q is missing:\n%s", text, out.String())
		}
	}
}
