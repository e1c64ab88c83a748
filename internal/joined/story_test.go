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

// An agent orders its engine to load a model. The order hangs, the agent crashes, and the next one begins, loads another
// model, and fills the memory. Then the first order arrives. The operator sees an engine that is out of memory, or a
// model loaded that nobody decided, if the new agent does not wait out the order's life at an engine that ignores fencing
// numbers, or does not fence it off at one that checks them.
func TestLateLoadOfACrashedAgent(t *testing.T) {
	for _, f := range []fencing{fencingIgnored, fencingDurable, fencingVolatile} {
		t.Run(fmt.Sprint("fencing ", f), func(t *testing.T) {
			size := topology{entries: 2, engines: 1, services: 0, fencing: []fencing{f}}
			file := modelFile("a", "endpoint = e0", 1) + modelFile("b", "endpoint = e0", 1) + modelFile("c", "endpoint = e0", 1)
			runScenario(t, guardNone, size, file, func(s *scenario) {
				h := s.current["e0"]
				h.delayOrder(endpoint.OrderLoad, "a@1", 4*time.Second, true)
				s.chat(s.entry(0), "a", 15*time.Second)
				s.await("the order", 5*time.Second, func() bool { return h.engine.orderHook == nil })
				h.crashAgent()
				s.advance(100 * time.Millisecond)
				h.startAgent()
				s.advance(time.Second)
				b, c := s.chat(s.entry(1), "b", 18*time.Second), s.chat(s.entry(1), "c", 18*time.Second)
				s.advance(19 * time.Second)
				s.require(b.result() != "" && c.result() != "", "told %q and %q", b.result(), c.result())
				s.awaitServed(s.chat(s.entry(0), "b", 15*time.Second))
			})
		})
	}
}

// All that an agent orders hangs, and it orders again under higher fencing numbers. It crashes, and the next agent's orders
// are carried out. Its numbers must be above all of the first one's, also those that the engine has not seen yet: else an
// order that hung is taken for the newest one when it arrives, and loads or unloads behind the new agent's back.
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

// An agent has released the only replica of a model, which is now loaded elsewhere, and crashes. The next agent does not
// reach the table, and an entry that does not reach it either tells it of the slot that its predecessor had. Under that
// row it must load nothing, however its callers ask.
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

// A model may have one replica. It is loaded on one engine, whose agent is frozen. The operator moves it to another one by
// its selector. For as long as nobody knows what the frozen agent does the model must not be loaded twice, and callers are
// told that their requests did not run; once the agent goes on, or its host is gone, the model moves.
func TestOnlyReplicaMovesWhileItsAgentIsFrozen(t *testing.T) {
	cases := []struct {
		name string
		end  func(s *scenario, h *host)
	}{
		{"the agent goes on", func(s *scenario, h *host) { s.thaw(h.agent.process) }},
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
				s.require(refused.result() == resultNotRun || refused.result() == resultUnknown, "told %q", refused.result())
				c.end(s, from)
				s.await("the slot moves", 25*time.Second, func() bool { return s.slot("a@1", "e1") == replicaspb.SlotState_GRANTED })
				s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
				s.require(!from.up || !from.hasModel("a@1"), "the first engine still holds the model")
			})
		})
	}
}

// A penalty notice is offered, the agent is ready, and the entry sends the commit. The link is cut in that moment. The
// caller must not be told that the notice did not go out, and it must not go out later than the agent's patience: the
// commit that comes through when the link is mended starts nothing. A repetition under the same key goes out once at the
// most.
func TestCommitOvertakenByACutLink(t *testing.T) {
	cases := []struct {
		name string
		cut  []side
		mend time.Duration
	}{
		{"towards the agent, mended at once", []side{atAgent}, 500 * time.Millisecond},
		{"towards the agent, mended after the agent's patience", []side{atAgent}, commitTimeout + 300*time.Millisecond},
		{"towards the agent, for long", []side{atAgent}, 6 * time.Second},
		{"towards the entry", []side{atEntry}, 6 * time.Second},
		{"both ways", []side{atAgent, atEntry}, 2 * time.Second},
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
				s.advance(c.mend)
				s.net.block(l, atAgent, false)
				s.net.block(l, atEntry, false)
				s.advance(8 * time.Second)
				s.require(first.result() != "", "the caller is told nothing")
				again := s.post(s.entry(1), "notice", 3*time.Second)
				s.advance(4 * time.Second)
				s.require(again.result() != "", "the second caller is told nothing")
				s.require(first.runs+again.runs <= 1, "%d runs", first.runs+again.runs)
			})
		})
	}
}

// committed reports whether an entry has sent a commit that it waits for the end of.
func committed(e *entry) bool {
	for r := range e.requests {
		if r.current != nil && r.current.exchange.Committed() {
			return true
		}
	}
	return false
}

// An entry crashes after it has committed a slot confirmation. The caller's connection breaks, and it tries again at
// another entry under the same key, while the first run still goes on and when it has ended. It must be told that the
// outcome is not known, and the confirmation must not be sent again.
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
			s.require(again.result() == resultUnknown && again.runs == 0, "told %q, runs %d", again.result(), again.runs)
		}
		s.require(first.runs <= 1, "runs %d", first.runs)
	})
}

// Two operators lower and raise a model's maximum at two entries while the table loses answers. No grant that was decided
// under the higher maximum may be written after the lower one was accepted.
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

// A host is replaced by one that runs an engine of the same name, while the slot of the old one is on its way out. The new
// engine must not take the old host's slot for its own: it may be removed at any moment.
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
		s.await("a slot", 20*time.Second, func() bool { return s.slot("a@1", "e0") == replicaspb.SlotState_GRANTED })
		s.awaitServed(s.chat(s.entry(0), "a", 15*time.Second))
	})
}

// An operator drains an engine while one entry is frozen. When that entry goes on it still believes the engine to be
// there for work. Its requests must be served elsewhere, and the drained engine gets none after some seconds.
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

// engineLabel is the change that gives an engine a label.
func engineLabel(engine, pool string) declarations.ChangeFunc {
	key := &pb.ObjectKey{Kind: declarations.KindEngine, Name: engine}
	return declarations.SetLabels(key, map[string]string{"pool": pool}, nil)
}

// An engine's labels change to and fro while its agent is cut off from one entry and then from the other. Confirmations
// of an earlier release must not free the slot of a later one.
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
