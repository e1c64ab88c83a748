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

// guardTest is a scenario that fails if its guard is disabled.
type guardTest struct {
	guard    guard
	topology topology
	file     string
	script   func(*scenario)
}

// run runs the scenario with the guard, where no invariant may be violated, and without it, where the violation must be
// detected.
func (m guardTest) run(t *testing.T) {
	t.Helper()

	runScenario(t, guardNone, m.topology, m.file, m.script)
	broken := runScenario(t, m.guard, m.topology, m.file, m.script)
	if broken == "" {
		t.Errorf("no violation detected without the guard %q", m.guard)
	}
	t.Logf("without the guard %q: %s", m.guard, broken)
}

// TestHeadWithoutFirstToken blocks the link towards the entry between the head and the first token of a streamed answer.
// The caller must get the result "unknown" at its deadline, not only when the connection times out.
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
			s.await("the head is received", time.Second, func() bool { return headReceived(e) })
			s.net.block(s.net.link(e.name, h.id), atEntry, true)
			s.advance(2 * time.Second)
			s.require(c.result() == resultUnknown, "result %q", c.result())
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

// TestControlStreamsAfterALongFreeze freezes an agent until its entries have opened new connections. When it resumes, it
// accepts old and new control streams in random order, and the old ones end. Release confirmations must still reach every
// entry; otherwise the slot of a model that the operator moves is never freed.
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

// TestOrderGivenWhenARequestIsDisplaced fills an engine's queue, so that batch requests are displaced by interactive ones.
// Their removal ends the demand for their model, and the loading machine orders the load of another one. If that order is
// not executed, the other model counts as loading until the agent restarts, and its requests time out.
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
			s.require(batch[0].result() != "" && batch[1].result() != "", "the batch requests were not displaced")
			for _, c := range waiting {
				s.awaitServed(c)
			}
		},
	}.run(t)
}

// TestReadThatNobodyWaitsFor freezes an agent during a read of its engine's state, for longer than the loading machine's
// read timeout. When the agent resumes, it reads twice, and a model is loaded during the second read, which started before
// the load. If that result is taken for the result of a later read, the model counts as not loaded and its memory is
// assigned again.
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
			s.await("a read starts", 10*time.Second, func() bool { return h.agent.reading })
			h.agent.freeze()
			s.net.checkConns()
			s.advance(31 * time.Second)
			s.thaw(h.agent.process)
			s.advance(1500 * time.Millisecond)
			h.engine.firstByteDelay = 6 * time.Second
			s.chat(e, "c", 12*time.Second)
			s.await("c is being loaded", 3*time.Second, func() bool { return h.hasModel("c@1") })
			s.advance(500 * time.Millisecond)
			h.delayOrder(endpoint.OrderLoadAdapter, "a@1", 0, true)
			s.chat(e, "a-x", 12*time.Second)
			s.advance(3500 * time.Millisecond)
			s.chat(e, "b", 12*time.Second)
			s.advance(8 * time.Second)
		},
	}.run(t)
}

// TestEngineRestartsBehindItsAgent restarts an engine, which loses its model. Until the agent's next read of the engine's
// state, the engine's "model not loaded" response must not be passed to the caller as the answer.
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
			s.require(c.result() == resultNotRun, "result %q", c.result())
			s.advance(8 * time.Second)
			s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
		},
	}.run(t)
}

// TestTableGoesDownBeforeTheClaimIsRecorded takes the table down after the commit of a call with an idempotency key, before
// the outcome of the claim is recorded. The caller must still get the answer by its deadline.
func TestTableGoesDownBeforeTheClaimIsRecorded(t *testing.T) {
	guardTest{
		guard:    guardAnswerBeforeRecord,
		topology: topology{entries: 1, engines: 0, services: 1, fencing: []fencing{fencingIgnored}},
		file:     ledgerService,
		script: func(s *scenario) {
			e := s.entry(0)
			c := s.post(e, "notice", 500*time.Millisecond)
			s.await("the commit is sent", time.Second, func() bool { return committed(e) })
			s.table.down = true
			s.advance(3 * time.Second)
			s.require(c.result() == resultWhole, "result %q", c.result())
		},
	}.run(t)
}

// TestOneSlowRequest makes one request take ten seconds, because its engine hangs. Later requests with shorter deadlines
// are refused because of the resulting service time estimate. The estimate must fade, so that after some tries a request
// runs.
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
			s.require(false, "the last of 15 tries got result %q", c.result())
		},
	}.run(t)
}

// TestPlannedStopDuringAnUnload stops an agent while its unload order to an engine that ignores fencing tokens is delayed.
// The next agent finds the model loaded and serves requests with it. The planned stop must wait for the unload; otherwise
// the unload takes effect later and aborts these requests.
func TestPlannedStopDuringAnUnload(t *testing.T) {
	guardTest{
		guard:    guardUnloadsAtStop,
		topology: topology{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:     modelFile("a", "", 1),
		script: func(s *scenario) {
			h, e := s.current["e0"], s.entry(0)
			s.awaitServed(s.chat(e, "a", 15*time.Second))
			h.delayOrder(endpoint.OrderUnload, "a@1", 4*time.Second, false)
			s.await("the unload is ordered", 20*time.Second, func() bool { return h.engine.orderHook == nil })
			// With access to the table, the entry would revoke the slot at once.
			e.table.cut = true
			s.stopAgent(h)
			s.await("the next agent starts", 10*time.Second, func() bool { return h.listening() && !h.agent.draining })
			h.engine.firstByteDelay = 3 * time.Second
			for range 4 {
				s.chat(e, "a", 14*time.Second)
				s.advance(time.Second)
			}
			s.advance(10 * time.Second)
		},
	}.run(t)
}
