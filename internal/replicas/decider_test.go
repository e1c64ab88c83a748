package replicas

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/selector"
	"balsamsail/internal/wire/wirepb"
)

// stage is one change of the inputs, followed by one decision that is written to the table.
type stage struct {
	name string
	do   func(s *site)
	// want is the expected row of m0@1 in the notation of short.
	want string
}

const testModel = "m0@1"

func noChange(*site) {}

func reportLoaded(engines ...string) func(*site) {
	return func(s *site) { s.Demand[testModel] = Demand{Usage: Usage{Loaded: engines, Known: true}} }
}

func requestSlot(engine string, reason wirepb.RefusalReason, waiting int, since time.Duration) func(*site) {
	return func(s *site) {
		req := SlotRequest{Engine: engine, Reason: reason, Waiting: waiting, First: s.now.Add(-since), Last: s.now}
		s.Demand[testModel] = Demand{SlotRequests: []SlotRequest{req}, Usage: Usage{Known: true}}
	}
}

func advance(d time.Duration) func(*site) { return func(s *site) { s.advance(d) } }

func relabel(engine string) func(*site) {
	return func(s *site) { s.edit(engine, func(e *EngineView) { e.Labels = map[string]string{"pool": "other"} }) }
}

func drain(engine string) func(*site) {
	return func(s *site) { s.edit(engine, func(e *EngineView) { e.Drain = true }) }
}

func setHostState(name string, state backing.HostState) func(*site) {
	return func(s *site) { s.listHosts(func(states map[string]backing.HostState) { states[name] = state }) }
}

func confirmed(engine, hostName string, revision uint64) func(*site) {
	return func(s *site) { s.confirmRelease(testModel, engine, hostName, revision) }
}

func all(dos ...func(*site)) func(*site) {
	return func(s *site) {
		for _, do := range dos {
			do(s)
		}
	}
}

// Each case is a scenario for one model version on engines e0 to e3 in the failure domains north, east, cargo, north.
// The first decision grants its baseline slots.
func TestDecisionScenarios(t *testing.T) {
	second, hold := time.Second, DefaultPolicy().ExtraHold
	full := wirepb.RefusalReason_QUEUE_FULL
	cases := []struct {
		name     string
		min, max int
		stages   []stage
	}{
		// An operator changes a label while e0 serves. If its slot were released before another engine has the model,
		// callers would wait for a load.
		{name: "label changed, room for a replacement", min: 2, max: 3, stages: []stage{
			{"relabelled while loaded", all(reportLoaded("e0"), relabel("e0")), "e3 e0 e2"},
			{"not loaded elsewhere yet", advance(second), "e3 e0 e2"},
			{"loaded elsewhere", reportLoaded("e3", "e0"), "e3 e0- e2"},
			{"not confirmed", noChange, "e3 e0- e2"},
			{"confirmed", (*site).confirmReleases, "e3 e2"},
		}},
		// The same without room: the maximum must hold at every moment, so one slot must be removed before another is
		// granted.
		{name: "label changed, no room", min: 2, max: 2, stages: []stage{
			{"relabelled", relabel("e0"), "e0- e2"},
			{"not confirmed", advance(time.Hour), "e0- e2"},
			{"confirmed", (*site).confirmReleases, "e2 e3"},
		}},
		// A selector change makes both engines ineligible. One serves on until the replacement of the other is granted.
		{name: "all labels changed, no room", min: 2, max: 2, stages: []stage{
			{"both relabelled", all(relabel("e0"), relabel("e2")), "e0- e2"},
			{"first not confirmed", advance(second), "e0- e2"},
			{"first frozen", func(s *site) { s.makeUnreachable("e0"); s.advance(time.Minute) }, "e0- e2-"},
		}},
		// A drained engine freezes before it unloads. With a maximum of one there must be no second replica until the
		// engine confirms or its host is known to be gone, however long that takes.
		{name: "one replica, drained engine frozen", min: 1, max: 1, stages: []stage{
			{"drained", drain("e0"), "e0-"},
			{"unreachable for an hour", func(s *site) { s.makeUnreachable("e0"); s.advance(time.Hour) }, "e0-"},
			{"host gone", setHostState("h0", backing.HostGone), "e2"},
		}},
		// The engine was granted a slot again after an earlier release. A late confirmation of that release does not
		// cover what it has loaded since.
		{name: "late confirmation of an earlier release", min: 1, max: 1, stages: []stage{
			{"drained", drain("e0"), "e0-"},
			{"confirmation of an older revision", confirmed("e0", "h0", 1), "e0-"},
			{"confirmation by an engine of the same name on another host", confirmed("e0", "h9", 99), "e0-"},
			{"confirmation of the release", confirmed("e0", "h0", 2), "e2"},
		}},
		// The row is written again, for another slot, while a confirmation is in flight.
		{name: "confirmation crosses a change of the row", min: 2, max: 3, stages: []stage{
			{"drained", drain("e0"), "e0- e2 e3"},
			{"another drained", drain("e2"), "e0- e2- e3"},
			{"first one confirmed", confirmed("e0", "h0", 2), "e2- e3 e1"},
		}},
		{name: "unreachable engine keeps its slot, another engine gets one too", min: 2, max: 3, stages: []stage{
			{"silent", func(s *site) { s.makeUnreachable("e0"); s.advance(second) }, "e0 e2"},
			{"unreachable for UnreachableAfter", advance(10 * second), "e3 e0 e2"},
			{"back", all(reportLoaded(), func(s *site) { s.edit("e0", func(e *EngineView) { e.Reachable = true }) }), "e3 e0 e2"},
			{"back for ExtraHold", advance(hold), "e3 e0- e2"},
		}},
		// An entry that loses its own network finds every engine unreachable. It must not move all slots.
		{name: "process cut off", min: 2, max: 3, stages: []stage{
			{"reaches one engine only", func(s *site) {
				s.makeUnreachable("e2")
				s.makeUnreachable("e0")
				s.makeUnreachable("e3")
				s.advance(time.Minute)
			}, "e0 e2"},
		}},
		{name: "process without a report of an engine", min: 2, max: 3, stages: []stage{
			{"restarted", func(s *site) { s.Since = s.now; s.Engines = s.Engines[1:] }, "e0 e2"},
			{"no report for a minute", advance(time.Minute), "e3 e0 e2"},
		}},
		{name: "maximum lowered", min: 2, max: 3, stages: []stage{
			{"to one, while e2 serves", func(s *site) {
				s.Declared.Models = []ModelSpec{s.Declared.Models[0]}
				s.Declared.Models[0].Min, s.Declared.Models[0].Max = 1, 1
				reportLoaded("e2")(s)
			}, "e0- e2"},
			{"confirmed", (*site).confirmReleases, "e2"},
		}},
		{name: "demand comes and goes", min: 1, max: 3, stages: []stage{
			{"store busy", all(advance(10*second), requestSlot("e0", wirepb.RefusalReason_STORE_BUSY, 4, 0)), "e0"},
			{"queue full", requestSlot("e0", full, 4, 0), "e0 e2"},
			{"still full a moment later", all(advance(second), requestSlot("e0", full, 90, 0)), "e0 e2"},
			{"still full", all(advance(3*second), requestSlot("e0", full, 90, 0)), "e0 e2 e1"},
			{"no requests", advance(hold - second), "e0 e2 e1"},
			{"no requests for ExtraHold", advance(second), "e0 e2 e1-"},
			{"a part at a time", all((*site).confirmReleases, advance(hold)), "e0 e2-"},
		}},
		// Two busy models leave no memory for a third on its only engine. Without a new slot elsewhere its requests
		// would be refused forever.
		{name: "no memory, no room for another slot", min: 1, max: 1, stages: []stage{
			{"refused", all(advance(10*second), requestSlot("e0", wirepb.RefusalReason_NO_MEMORY, 1, 0)), "e0"},
			{"refused for FailingAfter", requestSlot("e0", wirepb.RefusalReason_NO_MEMORY, 1, 15*second), "e0-"},
			{"confirmed", (*site).confirmReleases, "e2"},
			{"refused there, too", func(s *site) {
				first := s.Demand[testModel].SlotRequests
				s.advance(time.Minute)
				requestSlot("e2", wirepb.RefusalReason_NO_MEMORY, 1, 15*second)(s)
				s.Demand[testModel] = Demand{SlotRequests: append(first, s.Demand[testModel].SlotRequests...)}
			}, "e2-"},
			{"confirmed, not back to the first", (*site).confirmReleases, "e3"},
		}},
		{name: "no longer declared", min: 2, max: 3, stages: []stage{
			{"undeclared", func(s *site) { s.Declared.Models, s.Declared.Revision = nil, 2 }, "e0- e2-"},
			{"one confirmed", confirmed("e2", "h2", 2), "e0-"},
			{"both confirmed", (*site).confirmReleases, ""},
		}},
		// A new model is granted by an entry with the current declarations. An entry with older ones must not release
		// it.
		{name: "process with older declarations", min: 2, max: 3, stages: []stage{
			{"model not in its declarations", func(s *site) { s.Declared.Models, s.Declared.Revision = nil, 0 }, "e0 e2"},
		}},
		{name: "host reclaimed", min: 2, max: 2, stages: []stage{
			{"leaving", func(s *site) { s.edit("e0", func(e *EngineView) { e.Leaving = true }) }, "e0- e2"},
			{"gone", setHostState("h0", backing.HostGone), "e2 e3"},
		}},
		// The list names a gone host only for a limited time. Processes that missed that time must still treat the host
		// as gone, and a process that reads an older list must not take a new host for a gone one.
		{name: "host no longer listed", min: 2, max: 2, stages: []stage{
			{"older list without it", func(s *site) { s.Hosts = HostsView{Version: 1, States: map[string]backing.HostState{}} }, "e0 e2"},
			{"later list without it", func(s *site) {
				s.Hosts = HostsView{Version: 2, States: map[string]backing.HostState{
					"h1": backing.HostLive, "h2": backing.HostLive, "h3": backing.HostLive,
				}}
			}, "e2 e3"},
		}},
		{name: "host replaced, engine of the same name", min: 1, max: 1, stages: []stage{
			{"new host listed, old one still listed as live", func(s *site) {
				s.edit("e0", func(e *EngineView) { e.Host = "h9" })
				setHostState("h9", backing.HostLive)(s)
			}, "e0"},
			{"old one gone", setHostState("h0", backing.HostGone), "e2"},
		}},
		{name: "host replaced, old one not known to be gone", min: 2, max: 3, stages: []stage{
			{"new host listed", func(s *site) {
				s.edit("e0", func(e *EngineView) { e.Host = "h9" })
				setHostState("h9", backing.HostLive)(s)
			}, "e0 e2"},
			{"a minute later", advance(time.Minute), "e3 e0 e2"},
		}},
		{name: "memory shrunk", min: 2, max: 2, stages: []stage{
			{"too small", func(s *site) { s.edit("e0", func(e *EngineView) { e.MemoryBytes = gibibyte }) }, "e0- e2"},
			{"confirmed", (*site).confirmReleases, "e2 e3"},
		}},
		// A failure domain was down while slots were granted. When it returns, two slots share another domain.
		{name: "failure domain back", min: 2, max: 3, stages: []stage{
			{"two domains down", all(setHostState("h1", backing.HostGone), setHostState("h2", backing.HostGone)), "e0 e3"},
			{"one back, on another host", func(s *site) {
				s.edit("e1", func(e *EngineView) { e.Host = "h9" })
				setHostState("h9", backing.HostLive)(s)
			}, "e0 e3- e1"},
			{"confirmed", (*site).confirmReleases, "e0 e1"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := models(1)[0]
			spec.Min, spec.Max = c.min, c.max
			s := newSite([]ModelSpec{spec}, engines(4, "north", "east", "cargo"))
			s.apply(s.decide())
			for _, stage := range c.stages {
				stage.do(s)
				s.apply(s.decide())
				if got := s.slots(testModel); got != stage.want {
					t.Fatalf("%s: slots %q, want %q", stage.name, got, stage.want)
				}
			}
		})
	}
}

// Requests that arrive before a new model version's first slots are granted cause slot requests. The baseline slots
// satisfy them; no further slot may be added.
func TestRequestsBeforeTheFirstSlotsAddNone(t *testing.T) {
	s := newSite(models(1), engines(4, "north", "east"))
	requestSlot("", wirepb.RefusalReason_NOT_GRANTED, 50, 0)(s)
	s.apply(s.decide())
	if n := len(s.Rows[testModel].Row.GetSlots()); n != 2 {
		t.Errorf("%d slots, want 2", n)
	}
}

// Every idle model version keeps two slots, so that the loss of a failure domain requires no write.
func TestBaselineSlotsAreInDifferentFailureDomains(t *testing.T) {
	s := newSite(models(105), engines(18, "north", "east", "cargo"))
	s.run(t)
	for _, spec := range s.Declared.Models {
		row := s.Rows[spec.Model].Row
		if len(row.GetSlots()) != 2 || row.Slots[0].FailureDomain == row.Slots[1].FailureDomain {
			t.Errorf("%s: slots %v", spec.Model, row.GetSlots())
		}
	}
	if changes := s.decide(); len(changes) > 0 {
		t.Errorf("changes without a changed input: %v", changes)
	}
}

// A model version gets slots only where its selector and its memory allow.
func TestPlacementKeepsToSelectorAndMemory(t *testing.T) {
	specs := models(1)
	specs[0].Selector = selector.MustParse("pool = b")
	specs[0].MemoryBytes = 40 * gibibyte
	views := engines(6, "north", "east")
	for i := range 3 {
		views[i].Labels = map[string]string{"pool": "b"}
	}
	views[0].MemoryBytes = 39 * gibibyte
	s := newSite(specs, views)
	s.run(t)
	if got := s.slots(testModel); got != "e1 e2" && got != "e2 e1" {
		t.Errorf("slots %q, want e1 and e2", got)
	}
}
