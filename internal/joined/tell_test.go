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
type story struct {
	*testing.T
	*world
}

// storySeeds is how many seeds each story is told with.
const storySeeds = 25

// modelOf declares a model that only the engines matched by a selector may hold.
func modelOf(name, selector string, most int) string {
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
`, name, selector, modelMemory[name], most, most)
}

// kept declares that a model's replicas stay loaded.
func kept(model string) string {
	return strings.Replace(model, "warm_replicas = 0", "warm_replicas = 1", 1)
}

const ledgerService = `
[service "ledger"]
path_prefix = /ledger/
endpoint_selector = pool = ledger
max_concurrency = 3
`

// tell tells a story with several seeds, with one of the guards left out if one is named. It returns the first violation.
func tell(t *testing.T, without guard, size shape, file string, script func(*story)) (broken string) {
	t.Helper()
	for seed := range uint64(storySeeds) {
		for _, tracing := range []bool{false, true} {
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(seed, size)
				w.without, w.tracing = without, tracing
				w.begin()
				w.apply(w.entries[w.entryNames[0]], file)
				w.keepChecking()
				s := &story{T: t, world: w}
				s.pass(12 * time.Second)
				script(s)
			})
			if w.broken == "" {
				break
			}
			broken = fmt.Sprintf("seed %d: %s", seed, w.broken)
			if without == guardNone && tracing {
				t.Errorf("%s\n%s", broken, strings.Join(w.trace[max(0, len(w.trace)-*traceFlag):], "\n"))
			}
		}
		if broken != "" {
			return broken
		}
	}
	return ""
}

// pass lets time pass.
func (s *story) pass(d time.Duration) { s.runUntil(s.at+d, s.check) }

// await lets time pass until something is so.
func (s *story) await(what string, most time.Duration, so func() bool) {
	const step = 5 * time.Millisecond
	for end := s.at + most; s.broken == "" && !so(); {
		if s.at >= end {
			s.violated("story", "%s does not happen within %v", what, most)
		}
		s.runUntil(s.at+step, s.check)
	}
}

// want is a violation when something is not so.
func (s *story) want(so bool, format string, args ...any) {
	if !so {
		s.violated("story", format, args...)
	}
}

func (s *story) entry(i int) *entry { return s.entries[s.entryNames[i]] }

// chat makes a request for a model.
func (s *story) chat(e *entry, model string, left time.Duration) *call {
	c := s.newCall()
	c.model, c.left = model, left
	c.make(e)
	return c
}

// post makes a call that must not be repeated.
func (s *story) post(e *entry, key string, left time.Duration) *call {
	c := s.newCall()
	c.service, c.key, c.left = serviceName, key, left
	c.make(e)
	return c
}

// told is what a call's caller was told, "" when nothing yet.
func (c *call) told() told {
	if len(c.words) == 0 {
		return ""
	}
	return c.words[0]
}

// served waits until a call is served.
func (s *story) served(c *call) {
	s.await(c.token+" is told", 20*time.Second, func() bool { return c.told() != "" })
	s.want(c.told() == toldWhole, "%s is told %q", c.token, c.told())
}

// holds reports whether an engine has a model in its memory.
func (h *host) holds(model string) bool { return h.engine.models[model] != nil }

// slot is the state of an endpoint's slot in a model's row.
func (s *story) slot(model, endpoint string) replicaspb.SlotState {
	return replicas.SlotOf(s.rows[model], endpoint, s.current[endpoint].id).GetState()
}

// late makes the next order of a kind for a model late, and perhaps loses its answer.
func (h *host) late(kind endpoint.OrderKind, model string, d time.Duration, lost bool) {
	h.engine.script = func(o endpoint.Order) (time.Duration, bool) {
		if o.Kind != kind || o.Model != model {
			return 0, false
		}
		h.engine.script = nil
		return d, lost
	}
}
