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
type seam struct {
	guard  guard
	size   shape
	file   string
	script func(*story)
}

// run tells the story with its guard, which must hold, and without it, which must be seen.
func (m seam) run(t *testing.T) {
	t.Helper()

	tell(t, guardNone, m.size, m.file, m.script)
	broken := tell(t, m.guard, m.size, m.file, m.script)
	if broken == "" {
		t.Errorf("not seen without the guard %q", m.guard)
	}
	t.Logf("without the guard %q: %s", m.guard, broken)
}

// A streamed answer's head has come, and the way back is cut before the first token. The caller must hear at its deadline
// that the outcome is not known, not when somebody notices that the connection is dead.
func TestHeadWithoutFirstToken(t *testing.T) {
	seam{
		guard: guardFirstByte,
		size:  shape{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:  modelOf("a", "", 1),
		script: func(s *story) {
			h, e := s.current["e0"], s.entry(0)
			s.served(s.chat(e, "a", 15*time.Second))
			h.engine.firstTime = 100 * time.Millisecond
			c := s.newCall()
			c.model, c.left, c.streamed = "a", time.Second, true
			c.make(e)
			s.await("the head", time.Second, func() bool { return headCame(e) })
			s.net.block(s.net.link(e.name, h.id), atEntry, true)
			s.pass(2 * time.Second)
			s.want(c.told() == toldUnknown, "told %q", c.told())
		},
	}.run(t)
}

func headCame(e *entry) bool {
	for r := range e.requests {
		if r.out.head {
			return true
		}
	}
	return false
}

// An agent is frozen for so long that its entries have made new connections when it goes on. It takes up old and new
// control streams in any order, and the old ones end. Confirmations of releases must still reach every entry, or the only
// replica of a model that the operator moves is never given free.
func TestControlStreamsAfterALongFreeze(t *testing.T) {
	seam{
		guard: guardStreams,
		size:  shape{entries: 2, engines: 2, services: 0, fencing: []fencing{fencingIgnored}},
		file:  modelOf("a", "endpoint = e0", 1),
		script: func(s *story) {
			h := s.current["e0"]
			s.served(s.chat(s.entry(0), "a", 15*time.Second))
			h.agent.freeze()
			s.net.notice()
			s.pass(9 * time.Second)
			s.thaw(h.agent.process)
			s.pass(3 * time.Second)
			s.apply(s.entry(0), modelOf("a", "endpoint = e1", 1))
			s.await("the slot moves", 15*time.Second, func() bool { return s.slot("a@1", "e1") == replicaspb.SlotState_GRANTED })
		},
	}.run(t)
}

// The queue of an engine is full, and batch requests make room for interactive ones. They were the last to want their
// model, so that now there is room for another model's load. If that order is lost, the second model counts as being
// loaded until the agent restarts, and its callers wait in vain.
func TestOrderGivenWhenARequestIsDisplaced(t *testing.T) {
	seam{
		guard: guardDisplaced,
		size:  shape{entries: 2, engines: 1, services: 0, fencing: []fencing{fencingDurable}},
		file: modelOf("a", "", 1) + modelOf("c", "", 1) +
			strings.Replace(modelOf("b", "", 1), "memory = 50B", "memory = 20B", 1),
		script: func(s *story) {
			h := s.current["e0"]
			h.engine.cached["c@1"] = "disk"
			s.pass(6 * time.Second)
			issuer, e := s.entry(0), s.entry(1)
			if h.agent.issuer().entry == e.name {
				issuer, e = e, issuer
			}
			s.served(s.chat(e, "a", 10*time.Second))
			s.net.block(s.net.link(issuer.name, h.id), atEntry, true)
			batch := []*call{s.newCall(), s.newCall()}
			for _, c := range batch {
				c.model, c.left, c.class = "b", 2100*time.Millisecond, wirepb.Class_BATCH
				c.make(e)
			}
			s.pass(10 * time.Millisecond)
			h.late(endpoint.OrderUnload, "a@1", time.Second, false)
			var waiting []*call
			for i := range 4 {
				c := s.chat(e, "c", 10*time.Second)
				c.caller = fmt.Sprint("caller", i)
				waiting = append(waiting, c)
			}
			s.pass(100 * time.Millisecond)
			for i := range 2 {
				s.chat(e, "a", 10*time.Second).caller = fmt.Sprint("other", i)
			}
			s.pass(100 * time.Millisecond)
			s.want(batch[0].told() != "" && batch[1].told() != "", "the batch requests are not displaced")
			for _, c := range waiting {
				s.served(c)
			}
		},
	}.run(t)
}

// An agent is frozen while it reads its engine's state, for longer than its machine waits for a read. When it goes on it
// reads twice. A model is loaded while the second read is under way, which began before; if its answer passes for that
// of a later question, the model counts as absent, and its memory is given to the next one.
func TestReadThatNobodyWaitsFor(t *testing.T) {
	seam{
		guard: guardReadID,
		size:  shape{entries: 2, engines: 1, services: 0, fencing: []fencing{fencingDurable}},
		file: kept(modelOf("a", "", 1)) +
			strings.Replace(modelOf("b", "", 1), "memory = 50B", "memory = 45B", 1) + modelOf("c", "", 1) + "\n[adapter \"a-x\"]\nmodel = a\nmemory = 1B\n",
		script: func(s *story) {
			h, e := s.current["e0"], s.entry(0)
			h.engine.cached["c@1"] = "disk"
			s.pass(6 * time.Second)
			h.engine.readTime = 5 * time.Second
			s.await("a read", 10*time.Second, func() bool { return h.agent.reading })
			h.agent.freeze()
			s.net.notice()
			s.pass(31 * time.Second)
			s.thaw(h.agent.process)
			s.pass(1500 * time.Millisecond)
			h.engine.firstTime = 6 * time.Second
			s.chat(e, "c", 12*time.Second)
			s.await("the load of c", 3*time.Second, func() bool { return h.holds("c@1") })
			s.pass(500 * time.Millisecond)
			h.late(endpoint.OrderLoadAdapter, "a@1", 0, true)
			s.chat(e, "a-x", 12*time.Second)
			s.pass(3500 * time.Millisecond)
			s.chat(e, "b", 12*time.Second)
			s.pass(8 * time.Second)
		},
	}.run(t)
}

// An engine restarts and has lost its model; its agent will learn it from the next read of the state. A caller must not get
// the engine's word that it does not know the model as the answer to the request.
func TestEngineRestartsBehindItsAgent(t *testing.T) {
	seam{
		guard: guardNotLoaded,
		size:  shape{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:  kept(modelOf("a", "", 1)),
		script: func(s *story) {
			s.served(s.chat(s.entry(0), "a", 15*time.Second))
			s.current["e0"].engine.restart()
			c := s.chat(s.entry(0), "a", 2*time.Second)
			s.pass(3 * time.Second)
			s.want(c.told() == toldNotRun, "told %q", c.told())
			s.pass(8 * time.Second)
			s.served(s.chat(s.entry(0), "a", 15*time.Second))
		},
	}.run(t)
}

// A penalty notice is claimed and goes out, and the table goes down before the claim can be recorded. The caller must get
// the answer by its deadline all the same.
func TestTableGoesDownBeforeTheClaimIsRecorded(t *testing.T) {
	seam{
		guard: guardAnswerFirst,
		size:  shape{entries: 1, engines: 0, services: 1, fencing: []fencing{fencingIgnored}},
		file:  ledgerService,
		script: func(s *story) {
			e := s.entry(0)
			c := s.post(e, "notice", 500*time.Millisecond)
			s.await("the commit", time.Second, func() bool { return committed(e) })
			s.table.down = true
			s.pass(3 * time.Second)
			s.want(c.told() == toldWhole, "told %q", c.told())
		},
	}.run(t)
}

// A request takes ten seconds because its engine hangs for that long. Later requests with deadlines of a few seconds are
// refused by what was learnt from it, but not for ever: after some tries one must run and show that the engine is well.
func TestOneSlowRequest(t *testing.T) {
	seam{
		guard: guardFade,
		size:  shape{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:  kept(modelOf("a", "", 1)),
		script: func(s *story) {
			h, e := s.current["e0"], s.entry(0)
			h.engine.firstTime = 10 * time.Second
			s.served(s.chat(e, "a", 14*time.Second))
			h.engine.firstTime = 0
			var c *call
			for range 15 {
				c = s.chat(e, "a", 4*time.Second)
				s.pass(time.Second)
				if c.told() == toldWhole {
					return
				}
			}
			s.want(false, "the last of many tries is told %q", c.told())
		},
	}.run(t)
}

// An agent has ordered the unload of an idle model from an engine that ignores fencing numbers, the order hangs, and the
// agent is stopped by plan. The next one finds the model loaded and serves it. The unload must not come then and cut its
// requests: the planned stop has to see it through.
func TestPlannedStopDuringAnUnload(t *testing.T) {
	seam{
		guard: guardUnloads,
		size:  shape{entries: 1, engines: 1, services: 0, fencing: []fencing{fencingIgnored}},
		file:  modelOf("a", "", 1),
		script: func(s *story) {
			h, e := s.current["e0"], s.entry(0)
			s.served(s.chat(e, "a", 15*time.Second))
			h.late(endpoint.OrderUnload, "a@1", 4*time.Second, false)
			s.await("the unload", 20*time.Second, func() bool { return h.engine.script == nil })
			// The entry would take the slot back at once.
			e.table.cut = true
			s.stopAgent(h)
			s.await("the next agent", 10*time.Second, func() bool { return h.listening() && !h.agent.draining })
			h.engine.firstTime = 3 * time.Second
			for range 4 {
				s.chat(e, "a", 14*time.Second)
				s.pass(time.Second)
			}
			s.pass(10 * time.Second)
		},
	}.run(t)
}
