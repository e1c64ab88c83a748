package joined

import (
	"fmt"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
)

// TestLateLoadOfACrashedAgent delays a load order while its agent crashes and the next agent fills the memory with other
// models. If the late order takes effect then, the engine runs out of memory or has a model that no agent accounts for. The
// new agent must wait for the order's maximum life if the engine ignores fencing tokens, and otherwise fence the order.
func TestLateLoadOfACrashedAgent(t *testing.T) {
	for _, f := range []fencing{fencingIgnored, fencingDurable, fencingVolatile} {
		t.Run(fmt.Sprint("fencing ", f), func(t *testing.T) {
			size := topology{entries: 2, engines: 1, services: 0, fencing: []fencing{f}}
			file := modelFile("a", "endpoint = e0", 1) + modelFile("b", "endpoint = e0", 1) + modelFile("c", "endpoint = e0", 1)
			runScenario(t, guardNone, size, file, func(s *scenario) {
				h := s.current["e0"]
				h.delayOrder(endpoint.OrderLoad, "a@1", 4*time.Second, true)
				s.chat(s.entry(0), "a", 15*time.Second)
				s.await("the order is sent", 5*time.Second, func() bool { return h.engine.orderHook == nil })
				h.crashAgent()
				s.advance(100 * time.Millisecond)
				h.startAgent()
				s.advance(time.Second)
				b, c := s.chat(s.entry(1), "b", 18*time.Second), s.chat(s.entry(1), "c", 18*time.Second)
				s.advance(19 * time.Second)
				s.require(b.result() != "" && c.result() != "", "results %q and %q", b.result(), c.result())
				s.awaitServed(s.chat(s.entry(0), "b", 15*time.Second))
			})
		})
	}
}

// TestFencingNumbersRiseFromAgentToAgent delays all orders of an agent, which sends further ones with higher fencing tokens
// and crashes. The tokens of the next agent must be higher than all of these, including those that the engine has not seen
// yet. Otherwise a late order is accepted as the newest one and changes the engine without the new agent's knowledge.
func TestFencingNumbersRiseFromAgentToAgent(t *testing.T) {
	for _, f := range []fencing{fencingDurable, fencingVolatile} {
		t.Run(fmt.Sprint("fencing ", f), func(t *testing.T) {
			size := topology{entries: 2, engines: 1, services: 0, fencing: []fencing{f}}
			file := modelFile("a", "", 1) + modelFile("b", "", 1) + modelFile("c", "", 1)
			runScenario(t, guardNone, size, file, func(s *scenario) {
				h := s.current["e0"]
				for _, model := range modelNames {
					h.engine.cached[model+"@1"] = "disk"
				}
				s.advance(6 * time.Second)
				h.engine.orderHook = func(endpoint.Order) (time.Duration, bool) { return 4 * time.Second, true }
				for _, model := range []string{"a", "c", "b"} {
					s.chat(s.entry(0), model, 15*time.Second)
					s.advance(100 * time.Millisecond)
				}
				h.engine.orderHook = nil
				h.engine.firstByteDelay = 6 * time.Second
				h.crashAgent()
				s.advance(100 * time.Millisecond)
				h.startAgent()
				s.advance(time.Second)
				s.chat(s.entry(0), "a", 12*time.Second)
				s.chat(s.entry(1), "c", 12*time.Second)
				s.advance(10 * time.Second)
			})
		})
	}
}

// TestNewAgentIsToldOfAnOldSlot crashes an agent after it released the only replica of a model, which is now loaded
// elsewhere. The next agent cannot read the table and gets the outdated row with the old slot from an entry that cannot
// read the table either. It must not load the model because of that row, whatever requests arrive.
func TestNewAgentIsToldOfAnOldSlot(t *testing.T) {
	size := topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}}
	runScenario(t, guardNone, size, keepWarm(modelFile("a", "endpoint = e0", 1)), func(s *scenario) {
		h, behind := s.current["e0"], s.entry(1)
		s.awaitServed(s.chat(behind, "a", 15*time.Second))
		behind.table.cut = true
		s.apply(s.entry(0), keepWarm(modelFile("a", "endpoint = e1", 1)))
		s.await("the slot moves", 15*time.Second, func() bool { return s.slot("a@1", "e1") == replicaspb.SlotState_GRANTED })
		s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
		h.crashAgent()
		h.startAgent()
		h.agent.table.cut = true
		for range 8 {
			s.chat(behind, "a", 3*time.Second)
			s.advance(1500 * time.Millisecond)
		}
		behind.table.cut, behind.tableReachableAt, h.agent.table.cut = false, s.elapsed, false
		s.advance(8 * time.Second)
		s.awaitServed(s.chat(behind, "a", 12*time.Second))
	})
}

// TestOnlyReplicaMovesWhileItsAgentIsFrozen moves a model with at most one replica to another engine by its selector, while
// the agent of its current engine is frozen. The model must not be loaded twice, so requests fail until the agent resumes
// or its host is gone. Then the model moves.
func TestOnlyReplicaMovesWhileItsAgentIsFrozen(t *testing.T) {
	cases := []struct {
		name string
		end  func(s *scenario, h *host)
	}{
		{"the agent resumes", func(s *scenario, h *host) { s.thaw(h.agent.process) }},
		{"the host is gone", func(s *scenario, h *host) { s.terminateHost(h) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			size := topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}}
			runScenario(t, guardNone, size, modelFile("a", "endpoint = e0", 1), func(s *scenario) {
				from, to := s.current["e0"], s.current["e1"]
				s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
				from.agent.freeze()
				s.net.checkConns()
				s.apply(s.entry(1), modelFile("a", "endpoint = e1", 1))
				s.advance(15 * time.Second)
				s.require(!to.hasModel("a@1") && s.slot("a@1", "e1") == 0, "the second engine has a slot")
				refused := s.chat(s.entry(0), "a", 2*time.Second)
				s.advance(4 * time.Second)
				s.require(refused.result() == resultNotRun || refused.result() == resultUnknown, "result %q", refused.result())
				c.end(s, from)
				s.await("the slot moves", 25*time.Second, func() bool { return s.slot("a@1", "e1") == replicaspb.SlotState_GRANTED })
				s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
				s.require(!from.up || !from.hasModel("a@1"), "the first engine still holds the model")
			})
		})
	}
}

// TestCommitOvertakenByACutLink blocks the link when the entry has sent the commit of a call that must not be repeated. The
// call must not be reported as not run if it ran. A commit that arrives after the agent's commit timeout, when the link is
// unblocked, must not start the call. Together with a repetition with the same key, the call runs at most once.
func TestCommitOvertakenByACutLink(t *testing.T) {
	cases := []struct {
		name   string
		cut    []side
		outage time.Duration
	}{
		{"towards the agent, unblocked soon", []side{atAgent}, 500 * time.Millisecond},
		{"towards the agent, unblocked after the commit timeout", []side{atAgent}, commitTimeout + 300*time.Millisecond},
		{"towards the agent, long", []side{atAgent}, 6 * time.Second},
		{"towards the entry", []side{atEntry}, 6 * time.Second},
		{"both directions", []side{atAgent, atEntry}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			size := topology{entries: 2, engines: 0, services: 1, fencing: []fencing{fencingIgnored}}
			runScenario(t, guardNone, size, ledgerService, func(s *scenario) {
				h, e := s.current["s0"], s.entry(0)
				first := s.post(e, "notice", 3*time.Second)
				s.await("the commit", time.Second, func() bool { return committed(e) })
				l := s.net.link(e.name, h.id)
				for _, to := range c.cut {
					s.net.block(l, to, true)
				}
				s.advance(c.outage)
				s.net.block(l, atAgent, false)
				s.net.block(l, atEntry, false)
				s.advance(8 * time.Second)
				s.require(first.result() != "", "the first caller got no result")
				again := s.post(s.entry(1), "notice", 3*time.Second)
				s.advance(4 * time.Second)
				s.require(again.result() != "", "the second caller got no result")
				s.require(first.runs+again.runs <= 1, "the call ran %d times", first.runs+again.runs)
			})
		})
	}
}

// committed reports whether an entry has a request in flight with a sent commit.
func committed(e *entry) bool {
	for r := range e.requests {
		if r.current != nil && r.current.exchange.Committed() {
			return true
		}
	}
	return false
}

// TestEntryCrashesAfterTheCommit crashes an entry after the commit of a call. The caller retries at another entry with the
// same key, both during the first run and after it. Each retry must get the result "unknown" and must not run.
func TestEntryCrashesAfterTheCommit(t *testing.T) {
	size := topology{entries: 2, engines: 0, services: 2, fencing: []fencing{fencingIgnored}}
	runScenario(t, guardNone, size, ledgerService, func(s *scenario) {
		e := s.entry(0)
		first := s.post(e, "pad 4", 3*time.Second)
		s.await("the commit", time.Second, func() bool { return committed(e) })
		e.crash()
		for range 3 {
			again := s.post(s.entry(1), "pad 4", 2*time.Second)
			s.advance(3 * time.Second)
			s.require(again.result() == resultUnknown && again.runs == 0, "result %q, runs %d", again.result(), again.runs)
		}
		s.require(first.runs <= 1, "the first call ran %d times", first.runs)
	})
}

// TestGrantsKeepToTheMaximumInForce changes a model's maximum number of replicas at different entries while calls to the
// table fail. A grant that was decided with a higher maximum must not be written after a lower one was accepted.
func TestGrantsKeepToTheMaximumInForce(t *testing.T) {
	size := topology{entries: 3, engines: 4, services: 0, fencing: []fencing{fencingDurable}}
	runScenario(t, guardNone, size, modelFile("a", "", 1), func(s *scenario) {
		s.table.failOneIn = 3
		for i := range 12 {
			s.apply(s.entry(i%3), modelFile("a", "", 1+(i*5)%3))
			s.advance(s.between(10*time.Millisecond, 800*time.Millisecond))
		}
		s.table.failOneIn = 0
		s.advance(15 * time.Second)
	})
}

// TestReplacementDoesNotUseTheOldHostsSlot replaces a host by one with an engine of the same name, before the slot of the
// old one is removed. The new engine must not use the old host's slot, which can be removed at any time.
func TestReplacementDoesNotUseTheOldHostsSlot(t *testing.T) {
	size := topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}}
	runScenario(t, guardNone, size, modelFile("a", "endpoint = e0", 1), func(s *scenario) {
		old := s.current["e0"]
		s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
		old.terminate()
		s.addHost("e0", kindEngine, old.domain, fencingIgnored).startAgent()
		s.publishHosts()
		s.chat(s.entry(1), "a", 6*time.Second)
		s.advance(4 * time.Second)
		old.state = backing.HostGone
		s.publishHosts()
		s.await("the new host has a slot", 20*time.Second, func() bool { return s.slot("a@1", "e0") == replicaspb.SlotState_GRANTED })
		s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
	})
}

// TestDrainMeetsAFrozenEntry drains an engine while one entry is frozen. When the entry resumes, its state still shows the
// engine as available. Its requests must be served elsewhere, and after some seconds it must send none to the drained
// engine.
func TestDrainMeetsAFrozenEntry(t *testing.T) {
	size := topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}}
	runScenario(t, guardNone, size, modelFile("a", "", 2), func(s *scenario) {
		s.awaitServed(s.chat(s.entry(1), "a", 15*time.Second))
		s.entry(1).freeze()
		s.net.checkConns()
		s.edit(s.entry(0), declarations.SetDrain("e0", true))
		s.advance(14 * time.Second)
		s.thaw(s.entry(1).process)
		for range 8 {
			s.awaitServed(s.chat(s.entry(1), "a", 12*time.Second))
		}
		s.require(s.slot("a@1", "e0") == 0 && !s.current["e0"].hasModel("a@1"), "the drained engine still has a replica")
	})
}

// engineLabel returns a change that sets an engine's pool label.
func engineLabel(engine, pool string) declarations.ChangeFunc {
	key := &pb.ObjectKey{Kind: declarations.KindEngine, Name: engine}
	return declarations.SetLabels(key, map[string]string{"pool": pool}, nil)
}

// TestConfirmationsOfEarlierReleases changes engines' labels back and forth while an agent is disconnected from one entry
// and then from the other. A confirmation of an earlier release must not free the slot of a later one.
func TestConfirmationsOfEarlierReleases(t *testing.T) {
	size := topology{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}}
	runScenario(t, guardNone, size, modelFile("a", "pool = x", 1), func(s *scenario) {
		for i := range 6 {
			s.edit(s.entry(i%2), engineLabel("e0", []string{"x", "y"}[i%2]))
			s.edit(s.entry(i%2), engineLabel("e1", []string{"y", "x"}[i%2]))
			s.chat(s.entry(i%2), "a", 5*time.Second)
			s.cutLink(s.entry(i%2), s.current["e0"], true)
			s.advance(s.between(500*time.Millisecond, 6*time.Second))
		}
		s.advance(15 * time.Second)
		s.awaitServed(s.chat(s.entry(0), "a", 12*time.Second))
	})
}
