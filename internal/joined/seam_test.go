package joined

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// seam is a story of which one guard of the joining decides the end.
type guardTest struct {
	guard    guard
	topology topology
	file     string
	script   func(*scenario)
}

// run tells the story with its guard, which must hold, and without it, which must be seen.
func (m guardTest) run(t *testing.T) {
	t.Helper()

	runScenario(t, guardNone, m.topology, m.file, m.script)
	broken := runScenario(t, m.guard, m.topology, m.file, m.script)
	if broken == "" {
		t.Errorf("not seen without the guard %q", m.guard)
	}
	t.Logf("without the guard %q: %s", m.guard, broken)
}

// A streamed answer's head has come, and the way back is cut before the first token. The caller must hear at its deadline
// that the outcome is not known, not when somebody notices that the connection is dead.
func TestHeadWithoutFirstToken(t *testing.T) {
	guardTest{
		guard:    guardFirstByte,
		topology: topology{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:     modelFile("a", "", 1),
		script: func(s *scenario) {
			h, e := s.current["e0"], s.entry(0)
			s.awaitServed(s.chat(e, "a", 15*time.Second))
			h.engine.firstByteDelay = 100 * time.Millisecond
			c := s.newCall()
			c.model, c.timeout, c.streamed = "a", time.Second, true
			c.send(e)
			s.await("the head", time.Second, func() bool { return headReceived(e) })
			s.net.block(s.net.link(e.name, h.id), atEntry, true)
			s.advance(2 * time.Second)
			s.require(c.result() == resultUnknown, "told %q", c.result())
		},
	}.run(t)
}

func headReceived(e *entry) bool {
	for r := range e.requests {
		if r.response.head {
			return true
		}
	}
	return false
}

// An agent is frozen for so long that its entries have made new connections when it goes on. It takes up old and new
// control streams in any order, and the old ones end. Confirmations of releases must still reach every entry, or the only
// replica of a model that the operator moves is never given free.
func TestControlStreamsAfterALongFreeze(t *testing.T) {
	guardTest{
		guard:    guardAllStreams,
		topology: topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}},
		file:     modelFile("a", "endpoint = e0", 1),
		script: func(s *scenario) {
			h := s.current["e0"]
			s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
			h.agent.freeze()
			s.net.checkConns()
			s.advance(9 * time.Second)
			s.thaw(h.agent.process)
			s.advance(3 * time.Second)
			s.apply(s.entry(0), modelFile("a", "endpoint = e1", 1))
			s.await("the slot moves", 15*time.Second, func() bool { return s.slot("a@1", "e1") == replicaspb.SlotState_GRANTED })
		},
	}.run(t)
}

// The queue of an engine is full, and batch requests make room for interactive ones. They were the last to want their
// model, so that now there is room for another model's load. If that order is lost, the second model counts as being
// loaded until the agent restarts, and its callers wait in vain.
func TestOrderGivenWhenARequestIsDisplaced(t *testing.T) {
	guardTest{
		guard:    guardDisplacedActions,
		topology: topology{entries: 2, engines: 1, services: 0, fencing: []fencing{fencingDurable}},
		file: modelFile("a", "", 1) + modelFile("c", "", 1) +
			strings.Replace(modelFile("b", "", 1), "memory = 50B", "memory = 20B", 1),
		script: func(s *scenario) {
			h := s.current["e0"]
			h.engine.cached["c@1"] = "disk"
			s.advance(6 * time.Second)
			issuer, e := s.entry(0), s.entry(1)
			if h.agent.permitIssuer().entry == e.name {
				issuer, e = e, issuer
			}
			s.awaitServed(s.chat(e, "a", 10*time.Second))
			s.net.block(s.net.link(issuer.name, h.id), atEntry, true)
			batch := []*call{s.newCall(), s.newCall()}
			for _, c := range batch {
				c.model, c.timeout, c.class = "b", 2100*time.Millisecond, wirepb.Class_BATCH
				c.send(e)
			}
			s.advance(10 * time.Millisecond)
			h.delayOrder(endpoint.OrderUnload, "a@1", time.Second, false)
			var waiting []*call
			for i := range 4 {
				c := s.chat(e, "c", 10*time.Second)
				c.caller = fmt.Sprint("caller", i)
				waiting = append(waiting, c)
			}
			s.advance(100 * time.Millisecond)
			for i := range 2 {
				s.chat(e, "a", 10*time.Second).caller = fmt.Sprint("other", i)
			}
			s.advance(100 * time.Millisecond)
			s.require(batch[0].result() != "" && batch[1].result() != "", "the batch requests are not displaced")
			for _, c := range waiting {
				s.awaitServed(c)
			}
		},
	}.run(t)
}

// An agent is frozen while it reads its engine's state, for longer than its machine waits for a read. When it goes on it
// reads twice. A model is loaded while the second read is under way, which began before; if its answer passes for that
// of a later question, the model counts as absent, and its memory is given to the next one.
func TestReadThatNobodyWaitsFor(t *testing.T) {
	guardTest{
		guard:    guardReadID,
		topology: topology{entries: 2, engines: 1, services: 0, fencing: []fencing{fencingDurable}},
		file: keepWarm(modelFile("a", "", 1)) +
			strings.Replace(modelFile("b", "", 1), "memory = 50B", "memory = 45B", 1) + modelFile("c", "", 1) + "\n[adapter \"a-x\"]\nmodel = a\nmemory = 1B\n",
		script: func(s *scenario) {
			h, e := s.current["e0"], s.entry(0)
			h.engine.cached["c@1"] = "disk"
			s.advance(6 * time.Second)
			h.engine.readDelay = 5 * time.Second
			s.await("a read", 10*time.Second, func() bool { return h.agent.reading })
			h.agent.freeze()
			s.net.checkConns()
			s.advance(31 * time.Second)
			s.thaw(h.agent.process)
			s.advance(1500 * time.Millisecond)
			h.engine.firstByteDelay = 6 * time.Second
			s.chat(e, "c", 12*time.Second)
			s.await("the load of c", 3*time.Second, func() bool { return h.hasModel("c@1") })
			s.advance(500 * time.Millisecond)
			h.delayOrder(endpoint.OrderLoadAdapter, "a@1", 0, true)
			s.chat(e, "a-x", 12*time.Second)
			s.advance(3500 * time.Millisecond)
			s.chat(e, "b", 12*time.Second)
			s.advance(8 * time.Second)
		},
	}.run(t)
}

// An engine restarts and has lost its model; its agent will learn it from the next read of the state. A caller must not get
// the engine's word that it does not know the model as the answer to the request.
func TestEngineRestartsBehindItsAgent(t *testing.T) {
	guardTest{
		guard:    guardNotLoaded,
		topology: topology{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:     keepWarm(modelFile("a", "", 1)),
		script: func(s *scenario) {
			s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
			s.current["e0"].engine.restart()
			c := s.chat(s.entry(0), "a", 2*time.Second)
			s.advance(3 * time.Second)
			s.require(c.result() == resultNotRun, "told %q", c.result())
			s.advance(8 * time.Second)
			s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
		},
	}.run(t)
}

// A penalty notice is claimed and goes out, and the table goes down before the claim can be recorded. The caller must get
// the answer by its deadline all the same.
func TestTableGoesDownBeforeTheClaimIsRecorded(t *testing.T) {
	guardTest{
		guard:    guardAnswerBeforeRecord,
		topology: topology{entries: 1, engines: 0, services: 1, fencing: []fencing{fencingIgnored}},
		file:     ledgerService,
		script: func(s *scenario) {
			e := s.entry(0)
			c := s.post(e, "notice", 500*time.Millisecond)
			s.await("the commit", time.Second, func() bool { return committed(e) })
			s.table.down = true
			s.advance(3 * time.Second)
			s.require(c.result() == resultWhole, "told %q", c.result())
		},
	}.run(t)
}

// A request takes ten seconds because its engine hangs for that long. Later requests with deadlines of a few seconds are
// refused by what was learnt from it, but not for ever: after some tries one must run and show that the engine is well.
func TestOneSlowRequest(t *testing.T) {
	guardTest{
		guard:    guardEstimateFade,
		topology: topology{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:     keepWarm(modelFile("a", "", 1)),
		script: func(s *scenario) {
			h, e := s.current["e0"], s.entry(0)
			h.engine.firstByteDelay = 10 * time.Second
			s.awaitServed(s.chat(e, "a", 14*time.Second))
			h.engine.firstByteDelay = 0
			var c *call
			for range 15 {
				c = s.chat(e, "a", 4*time.Second)
				s.advance(time.Second)
				if c.result() == resultWhole {
					return
				}
			}
			s.require(false, "the last of many tries is told %q", c.result())
		},
	}.run(t)
}

// An agent has ordered the unload of an idle model from an engine that ignores fencing numbers, the order hangs, and the
// agent is stopped by plan. The next one finds the model loaded and serves it. The unload must not come then and cut its
// requests: the planned stop has to see it through.
func TestPlannedStopDuringAnUnload(t *testing.T) {
	guardTest{
		guard:    guardUnloadsAtStop,
		topology: topology{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:     modelFile("a", "", 1),
		script: func(s *scenario) {
			h, e := s.current["e0"], s.entry(0)
			s.awaitServed(s.chat(e, "a", 15*time.Second))
			h.delayOrder(endpoint.OrderUnload, "a@1", 4*time.Second, false)
			s.await("the unload", 20*time.Second, func() bool { return h.engine.orderHook == nil })
			// The entry would take the slot back at once.
			e.table.cut = true
			s.stopAgent(h)
			s.await("the next agent", 10*time.Second, func() bool { return h.listening() && !h.agent.draining })
			h.engine.firstByteDelay = 3 * time.Second
			for range 4 {
				s.chat(e, "a", 14*time.Second)
				s.advance(time.Second)
			}
			s.advance(10 * time.Second)
		},
	}.run(t)
}
