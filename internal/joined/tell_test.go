package joined

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
)

// scenario is a world with scripted calls and faults instead of random ones. Only latencies and other random delays differ
// from seed to seed.
type scenario struct {
	*testing.T
	*world
}

// scenarioSeeds is the number of seeds with which each scenario runs.
const scenarioSeeds = 25

// modelFile returns the declaration of a model with an engine selector and a fixed number of replicas.
func modelFile(name, selector string, count int) string {
	return fmt.Sprintf(`
[model %q]
versions = 1
engine_selector = %s
memory = %dB
kv_floor = 5B
min_replicas = %d
max_replicas = %d
warm_replicas = 0
max_concurrency = 2
load_time = 1s
`, name, selector, modelMemory[name], count, count)
}

// keepWarm changes a model's declaration so that one replica stays loaded.
func keepWarm(model string) string {
	return strings.Replace(model, "warm_replicas = 0", "warm_replicas = 1", 1)
}

const ledgerService = `
[service "ledger"]
path_prefix = /ledger/
endpoint_selector = pool = ledger
max_concurrency = 3
`

// runScenario runs a scenario with several seeds, with the named guard disabled unless it is guardNone. It returns the
// first violation. A failed seed runs again with tracing.
func runScenario(t *testing.T, disabled guard, top topology, file string, script func(*scenario)) (violation string) {
	t.Helper()
	for seed := range uint64(scenarioSeeds) {
		for _, tracing := range []bool{false, true} {
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(seed, top)
				w.disabledGuard, w.tracing = disabled, tracing
				w.startAll()
				w.apply(w.entries[w.entryNames[0]], file)
				w.scheduleChecks()
				s := &scenario{T: t, world: w}
				s.advance(12 * time.Second)
				script(s)
			})
			if w.violation == "" {
				break
			}
			violation = fmt.Sprintf("seed %d: %s", seed, w.violation)
			if disabled == guardNone && tracing {
				t.Errorf("%s\n%s", violation, strings.Join(w.trace[max(0, len(w.trace)-*traceFlag):], "\n"))
			}
		}
		if violation != "" {
			return violation
		}
	}
	return ""
}

// advance runs the simulation for a duration.
func (s *scenario) advance(d time.Duration) { s.runUntil(s.elapsed+d, s.check) }

// await runs the simulation until a condition holds. It is a violation if that takes longer than the timeout.
func (s *scenario) await(what string, timeout time.Duration, condition func() bool) {
	const step = 5 * time.Millisecond
	for end := s.elapsed + timeout; s.violation == "" && !condition(); {
		if s.elapsed >= end {
			s.violated("scenario", "%s: timed out after %v", what, timeout)
		}
		s.runUntil(s.elapsed+step, s.check)
	}
}

// require reports a violation if a condition does not hold.
func (s *scenario) require(condition bool, format string, args ...any) {
	if !condition {
		s.violated("scenario", format, args...)
	}
}

func (s *scenario) entry(i int) *entry { return s.entries[s.entryNames[i]] }

// chat sends a chat completion request for a model.
func (s *scenario) chat(e *entry, model string, left time.Duration) *call {
	c := s.newCall()
	c.model, c.timeout = model, left
	c.send(e)
	return c
}

// post sends a call of the plain service with an idempotency key.
func (s *scenario) post(e *entry, key string, left time.Duration) *call {
	c := s.newCall()
	c.service, c.key, c.timeout = serviceName, key, left
	c.send(e)
	return c
}

// result returns the call's result, "" if there is none yet.
func (c *call) result() callResult {
	if len(c.results) == 0 {
		return ""
	}
	return c.results[0]
}

// awaitServed waits for the call's result and requires that it was served.
func (s *scenario) awaitServed(c *call) {
	s.await(c.token+" gets a result", 20*time.Second, func() bool { return c.result() != "" })
	s.require(c.result() == resultWhole, "%s got result %q", c.token, c.result())
}

// hasModel reports whether an engine has a model in its memory.
func (h *host) hasModel(model string) bool { return h.engine.models[model] != nil }

// slot returns the state of an endpoint's slot in a model's row.
func (s *scenario) slot(model, endpoint string) replicaspb.SlotState {
	return replicas.SlotOf(s.rows[model], endpoint, s.current[endpoint].id).GetState()
}

// delayOrder delays the next order of a kind for a model; if lost is set, its answer is lost.
func (h *host) delayOrder(kind endpoint.OrderKind, model string, d time.Duration, lost bool) {
	h.engine.orderHook = func(o endpoint.Order) (time.Duration, bool) {
		if o.Kind != kind || o.Model != model {
			return 0, false
		}
		h.engine.orderHook = nil
		return d, lost
	}
}
