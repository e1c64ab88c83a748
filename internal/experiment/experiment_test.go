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
	params, err := settings.LoadExperiment("../../examples/experiment/trenches.ini", sets...)
	if err != nil {
		t.Fatal(err)
	}
	return params
}

// Guards against a regression of the production policy or the simulation. On the same days, foresight must serve more
// worth than the production policy, which must serve more than loading on demand, with or without prefetching, and than
// no loads at all.
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
			t.Errorf("policy %s serves worth %.3f, want at least 0.03 more than %s with %.3f", pair[0], worth(pair[0]), pair[1], worth(pair[1]))
		}
	}
}

// A seed must always give the same day and outcome, so that a difference between two outcomes comes from the policies.
func TestDaysRepeat(t *testing.T) {
	t.Parallel()
	params := load(t, "run.length=10s", "weights.first_copies=6")
	for name, policy := range policies {
		first, err := simulateDay(params, 3, policy)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := simulateDay(params, 3, policy); err != nil || !reflect.DeepEqual(first, again) {
			t.Errorf("%s: seed 3 gave %+v and %+v (%v)", name, first, again, err)
		}
		if other, err := simulateDay(params, 4, policy); err != nil || reflect.DeepEqual(first, other) {
			t.Errorf("%s: two seeds gave the same outcome (%v)", name, err)
		}
	}
}

// Checks the simulation against a case that can be computed by hand: one engine with the only model loaded serves all
// requests on time and is idle otherwise.
func TestOneEngineOneModel(t *testing.T) {
	t.Parallel()
	params := load(t)
	params.Engines.Count, params.Engines.Models, params.Engines.Places = 1, 1, 1
	params.Requests = params.Requests[:1]
	params.Requests[0].Models, params.Requests[0].Active, params.Requests[0].PerSecond = 1, 0, 0.2
	outcome, err := simulateDay(params, 1, policies["current"])
	if err != nil {
		t.Fatal(err)
	}
	if outcome.Worth != 1 || outcome.OnTime != 1 || len(outcome.Loads) != 0 || outcome.ColdStart != 0 {
		t.Errorf("outcome %+v, want all requests on time without a load", outcome)
	}
	if outcome.IdleHours < 0.5 || outcome.IdleHours > 1.3 {
		t.Errorf("idle for %.2f of the time, want 0.5 to 1.3 with a one-second answer every five seconds", outcome.IdleHours)
	}
}

// A cold start from the weight store must take as long as configured, and at most 2 s more when loads share the store.
func TestColdStart(t *testing.T) {
	t.Parallel()
	params := load(t)
	params.Run.Lead = 0
	params.Requests = params.Requests[1:]
	params.Requests[0].PerSecond = 0.2
	outcome, err := simulateDay(params, 2, policies["demand"])
	if err != nil {
		t.Fatal(err)
	}
	if outcome.ColdStart < params.Weights.StoreTime || outcome.ColdStart > params.Weights.StoreTime+2*time.Second {
		t.Errorf("99th percentile of cold starts is %v, want the load time of %v and at most 2s more", outcome.ColdStart, params.Weights.StoreTime)
	}
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	params := load(t)
	params.Run.Policies = []string{"current", "guess"}
	if _, err := Compare(params, 1); !errors.Is(err, ErrPolicy) || !strings.Contains(err.Error(), "guess") {
		t.Errorf("error %v, want ErrPolicy with the name of the policy", err)
	}
}

// The report must have a line for each policy and a plot with their names.
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
			t.Errorf("%q is missing from the report:\n%s", text, out.String())
		}
	}
}
