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

// story is a world in which only happens what a test tells; latencies differ from seed to seed.
type scenario struct {
	*testing.T
	*world
}

// storySeeds is how many seeds each story is told with.
const scenarioSeeds = 25

// modelOf declares a model that only the engines matched by a selector may hold.
func modelFile(name, selector string, maxReplicas int) string {
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
`, name, selector, modelMemory[name], maxReplicas, maxReplicas)
}

// kept declares that a model's replicas stay loaded.
func keepWarm(model string) string {
	return strings.Replace(model, "warm_replicas = 0", "warm_replicas = 1", 1)
}

const ledgerService = `
[service "ledger"]
path_prefix = /ledger/
endpoint_selector = pool = ledger
max_concurrency = 3
`

// tell tells a story with several seeds, with one of the guards left out if one is named. It returns the first violation.
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

// pass lets time pass.
func (s *scenario) advance(d time.Duration) { s.runUntil(s.elapsed+d, s.check) }

// await lets time pass until something is so.
func (s *scenario) await(what string, timeout time.Duration, condition func() bool) {
	const step = 5 * time.Millisecond
	for end := s.elapsed + timeout; s.violation == "" && !condition(); {
		if s.elapsed >= end {
			s.violated("story", "%s does not happen within %v", what, timeout)
		}
		s.runUntil(s.elapsed+step, s.check)
	}
}

// want is a violation when something is not so.
func (s *scenario) require(condition bool, format string, args ...any) {
	if !condition {
		s.violated("story", format, args...)
	}
}

func (s *scenario) entry(i int) *entry { return s.entries[s.entryNames[i]] }

// chat makes a request for a model.
func (s *scenario) chat(e *entry, model string, left time.Duration) *call {
	c := s.newCall()
	c.model, c.timeout = model, left
	c.send(e)
	return c
}

// post makes a call that must not be repeated.
func (s *scenario) post(e *entry, key string, left time.Duration) *call {
	c := s.newCall()
	c.service, c.key, c.timeout = serviceName, key, left
	c.send(e)
	return c
}

// told is what a call's caller was told, "" when nothing yet.
func (c *call) result() callResult {
	if len(c.results) == 0 {
		return ""
	}
	return c.results[0]
}

// served waits until a call is served.
func (s *scenario) awaitServed(c *call) {
	s.await(c.token+" is told", 20*time.Second, func() bool { return c.result() != "" })
	s.require(c.result() == resultWhole, "%s is told %q", c.token, c.result())
}

// holds reports whether an engine has a model in its memory.
func (h *host) hasModel(model string) bool { return h.engine.models[model] != nil }

// slot is the state of an endpoint's slot in a model's row.
func (s *scenario) slot(model, endpoint string) replicaspb.SlotState {
	return replicas.SlotOf(s.rows[model], endpoint, s.current[endpoint].id).GetState()
}

// late makes the next order of a kind for a model late, and perhaps loses its answer.
func (h *host) delayOrder(kind endpoint.OrderKind, model string, d time.Duration, lost bool) {
	h.engine.orderHook = func(o endpoint.Order) (time.Duration, bool) {
		if o.Kind != kind || o.Model != model {
			return 0, false
		}
		h.engine.orderHook = nil
		return d, lost
	}
}
