package replicas

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/selector"
	"balsamsail/internal/wire/wirepb"
)

// stage is one change of what is known, followed by one decision that is written to the table.
type stage struct {
	name string
	do   func(s *site)
	// want is the row of m0@1 after it, in short.
	want string
}

const story = "m0@1"

func nothing(*site) {}

func loadedAt(engines ...string) func(*site) {
	return func(s *site) { s.Demand[story] = Demand{Usage: Usage{Loaded: engines, Known: true}} }
}

func wanted(engine string, reason wirepb.RefusalReason, waiting int, since time.Duration) func(*site) {
	return func(s *site) {
		w := Want{Engine: engine, Reason: reason, Waiting: waiting, First: s.now.Add(-since), Last: s.now}
		s.Demand[story] = Demand{Wants: []Want{w}, Usage: Usage{Known: true}}
	}
}

func pass(d time.Duration) func(*site) { return func(s *site) { s.pass(d) } }

func relabel(engine string) func(*site) {
	return func(s *site) { s.edit(engine, func(e *EngineView) { e.Labels = map[string]string{"pool": "other"} }) }
}

func drain(engine string) func(*site) {
	return func(s *site) { s.edit(engine, func(e *EngineView) { e.Drain = true }) }
}

func host(name string, state backing.HostState) func(*site) {
	return func(s *site) { s.listHosts(func(states map[string]backing.HostState) { states[name] = state }) }
}

func confirmed(engine, hostName string, revision uint64) func(*site) {
	return func(s *site) { s.confirmAt(story, engine, hostName, revision) }
}

func all(dos ...func(*site)) func(*site) {
	return func(s *site) {
		for _, do := range dos {
			do(s)
		}
	}
}

// Each case is a story of one model version on engines e0 to e3 in the failure domains north, east, cargo, north. Its
// first decision gives it home slots; where it names no numbers, at least 2 and at most 3.
func TestStories(t *testing.T) {
	second, hold := time.Second, DefaultPolicy().ExtraHold
	full := wirepb.RefusalReason_QUEUE_FULL
	cases := []struct {
		name     string
		min, max int
		stages   []stage
	}{
		// An operator moves a label while e0 serves. Callers would wait for a load if its slot went before another
		// engine has the model.
		{name: "label moved, room for a replacement", min: 2, max: 3, stages: []stage{
			{"relabelled while loaded", all(loadedAt("e0"), relabel("e0")), "e3 e0 e2"},
			{"not loaded elsewhere yet", pass(second), "e3 e0 e2"},
			{"loaded elsewhere", loadedAt("e3", "e0"), "e3 e0- e2"},
			{"not confirmed", nothing, "e3 e0- e2"},
			{"confirmed", (*site).confirm, "e3 e2"},
		}},
		// The same without room: the maximum holds at every moment, so one slot must go before another comes.
		{name: "label moved, no room", min: 2, max: 2, stages: []stage{
			{"relabelled", relabel("e0"), "e0- e2"},
			{"not confirmed", pass(time.Hour), "e0- e2"},
			{"confirmed", (*site).confirm, "e2 e3"},
		}},
		// A selector is changed so that both engines must go. One serves on until the other's successor is there.
		{name: "all labels moved, no room", min: 2, max: 2, stages: []stage{
			{"both relabelled", all(relabel("e0"), relabel("e2")), "e0- e2"},
			{"first not confirmed", pass(second), "e0- e2"},
			{"first frozen", func(s *site) { s.silence("e0"); s.pass(time.Minute) }, "e0- e2-"},
		}},
		// A drained engine freezes before it unloads. With a maximum of one a second replica must not exist, however
		// long that takes, until the engine confirms or its host is known to be gone.
		{name: "one replica, drained engine frozen", min: 1, max: 1, stages: []stage{
			{"drained", drain("e0"), "e0-"},
			{"silent for an hour", func(s *site) { s.silence("e0"); s.pass(time.Hour) }, "e0-"},
			{"host gone", host("h0", backing.HostGone), "e2"},
		}},
		// The engine was granted a slot again after an earlier release. Its late confirmation of that one says nothing
		// about what it has loaded since.
		{name: "late confirmation of an earlier release", min: 1, max: 1, stages: []stage{
			{"drained", drain("e0"), "e0-"},
			{"confirmation of an older revision", confirmed("e0", "h0", 1), "e0-"},
			{"confirmation by an engine of the same name on another host", confirmed("e0", "h9", 99), "e0-"},
			{"confirmation of the release", confirmed("e0", "h0", 2), "e2"},
		}},
		// The row is written again, for another slot, while a confirmation is on its way.
		{name: "confirmation crosses a change of the row", min: 2, max: 3, stages: []stage{
			{"drained", drain("e0"), "e0- e2 e3"},
			{"another drained", drain("e2"), "e0- e2- e3"},
			{"first one confirmed", confirmed("e0", "h0", 2), "e2- e3 e1"},
		}},
		{name: "silent engine keeps its slot, another one helps out", min: 2, max: 3, stages: []stage{
			{"silent", func(s *site) { s.silence("e0"); s.pass(second) }, "e0 e2"},
			{"silent for long", pass(10 * second), "e3 e0 e2"},
			{"back", all(loadedAt(), func(s *site) { s.edit("e0", func(e *EngineView) { e.Reachable = true }) }), "e3 e0 e2"},
			{"back for long", pass(hold), "e3 e0- e2"},
		}},
		// An entry that loses its own network sees every engine silent. It must not move all slots.
		{name: "process cut off", min: 2, max: 3, stages: []stage{
			{"hears of one engine only", func(s *site) {
				s.silence("e2")
				s.silence("e0")
				s.silence("e3")
				s.pass(time.Minute)
			}, "e0 e2"},
		}},
		{name: "process that has not heard of an engine yet", min: 2, max: 3, stages: []stage{
			{"restarted", func(s *site) { s.Since = s.now; s.Engines = s.Engines[1:] }, "e0 e2"},
			{"has not heard for long", pass(time.Minute), "e3 e0 e2"},
		}},
		{name: "maximum lowered", min: 2, max: 3, stages: []stage{
			{"to one, while e2 serves", func(s *site) {
				s.Declared.Models = []ModelSpec{s.Declared.Models[0]}
				s.Declared.Models[0].Min, s.Declared.Models[0].Max = 1, 1
				loadedAt("e2")(s)
			}, "e0- e2"},
			{"confirmed", (*site).confirm, "e2"},
		}},
		{name: "demand comes and goes", min: 1, max: 3, stages: []stage{
			{"store busy", all(pass(10*second), wanted("e0", wirepb.RefusalReason_STORE_BUSY, 4, 0)), "e0"},
			{"queue full", wanted("e0", full, 4, 0), "e0 e2"},
			{"still full a moment later", all(pass(second), wanted("e0", full, 90, 0)), "e0 e2"},
			{"still full", all(pass(3*second), wanted("e0", full, 90, 0)), "e0 e2 e1"},
			{"quiet", pass(hold - second), "e0 e2 e1"},
			{"quiet for long", pass(second), "e0 e2 e1-"},
			{"part by part", all((*site).confirm, pass(hold)), "e0 e2-"},
		}},
		// Two busy models leave no room for a third on its only engine. It would be refused for ever.
		{name: "no memory, no room for another slot", min: 1, max: 1, stages: []stage{
			{"refused", all(pass(10*second), wanted("e0", wirepb.RefusalReason_NO_MEMORY, 1, 0)), "e0"},
			{"refused for long", wanted("e0", wirepb.RefusalReason_NO_MEMORY, 1, 15*second), "e0-"},
			{"confirmed", (*site).confirm, "e2"},
			{"refused there for long, too", func(s *site) {
				first := s.Demand[story].Wants
				s.pass(time.Minute)
				wanted("e2", wirepb.RefusalReason_NO_MEMORY, 1, 15*second)(s)
				s.Demand[story] = Demand{Wants: append(first, s.Demand[story].Wants...)}
			}, "e2-"},
			{"confirmed, not back to the first", (*site).confirm, "e3"},
		}},
		{name: "not declared any more", min: 2, max: 3, stages: []stage{
			{"undeclared", func(s *site) { s.Declared.Models, s.Declared.Revision = nil, 2 }, "e0- e2-"},
			{"one confirmed", confirmed("e2", "h2", 2), "e0-"},
			{"both confirmed", (*site).confirm, ""},
		}},
		// An operator's new model is granted by an up-to-date entry; one that has not heard of it must not take it back.
		{name: "process with older declarations", min: 2, max: 3, stages: []stage{
			{"knows nothing of it", func(s *site) { s.Declared.Models, s.Declared.Revision = nil, 0 }, "e0 e2"},
		}},
		{name: "host reclaimed", min: 2, max: 2, stages: []stage{
			{"leaving", func(s *site) { s.edit("e0", func(e *EngineView) { e.Leaving = true }) }, "e0- e2"},
			{"gone", host("h0", backing.HostGone), "e2 e3"},
		}},
		// The list names a gone host for a while only. Processes that did not look then must still find out, and one
		// that reads an older list must not take a new host for a gone one.
		{name: "host not listed any more", min: 2, max: 2, stages: []stage{
			{"older list without it", func(s *site) { s.Hosts = HostsView{Version: 1, States: map[string]backing.HostState{}} }, "e0 e2"},
			{"later list without it", func(s *site) {
				s.Hosts = HostsView{Version: 2, States: map[string]backing.HostState{
					"h1": backing.HostLive, "h2": backing.HostLive, "h3": backing.HostLive,
				}}
			}, "e2 e3"},
		}},
		{name: "host replaced, engine of the same name", min: 1, max: 1, stages: []stage{
			{"new host listed, old one still thought alive", func(s *site) {
				s.edit("e0", func(e *EngineView) { e.Host = "h9" })
				host("h9", backing.HostLive)(s)
			}, "e0"},
			{"old one gone", host("h0", backing.HostGone), "e2"},
		}},
		{name: "host replaced, old one not known to be gone for long", min: 2, max: 3, stages: []stage{
			{"new host listed", func(s *site) {
				s.edit("e0", func(e *EngineView) { e.Host = "h9" })
				host("h9", backing.HostLive)(s)
			}, "e0 e2"},
			{"long after", pass(time.Minute), "e3 e0 e2"},
		}},
		{name: "memory shrunk", min: 2, max: 2, stages: []stage{
			{"too small", func(s *site) { s.edit("e0", func(e *EngineView) { e.MemoryBytes = gibibyte }) }, "e0- e2"},
			{"confirmed", (*site).confirm, "e2 e3"},
		}},
		// A failure domain was away while slots were granted; when it is back, two slots share another domain.
		{name: "failure domain back", min: 2, max: 3, stages: []stage{
			{"two domains away", all(host("h1", backing.HostGone), host("h2", backing.HostGone)), "e0 e3"},
			{"one back, on another host", func(s *site) {
				s.edit("e1", func(e *EngineView) { e.Host = "h9" })
				host("h9", backing.HostLive)(s)
			}, "e0 e3- e1"},
			{"confirmed", (*site).confirm, "e0 e1"},
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
				if got := s.slots(story); got != stage.want {
					t.Fatalf("%s: slots %q, want %q", stage.name, got, stage.want)
				}
			}
		})
	}
}

// Requests come before a new model version's first slots are granted. They ask for a slot, and the home slots answer that.
func TestRequestsBeforeTheFirstSlotsAddNone(t *testing.T) {
	s := newSite(models(1), engines(4, "north", "east"))
	wanted("", wirepb.RefusalReason_NOT_GRANTED, 50, 0)(s)
	s.apply(s.decide())
	if n := len(s.Rows[story].Row.GetSlots()); n != 2 {
		t.Errorf("%d slots, want 2", n)
	}
}

// Every idle model version keeps two slots, so that the loss of a failure domain needs no write.
func TestHomesAreInDifferentFailureDomains(t *testing.T) {
	s := newSite(models(105), engines(18, "north", "east", "cargo"))
	s.run(t)
	for _, spec := range s.Declared.Models {
		row := s.Rows[spec.Model].Row
		if len(row.GetSlots()) != 2 || row.Slots[0].FailureDomain == row.Slots[1].FailureDomain {
			t.Errorf("%s: slots %v", spec.Model, row.GetSlots())
		}
	}
	if changes := s.decide(); len(changes) > 0 {
		t.Errorf("nothing changed, yet: %v", changes)
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
	if got := s.slots(story); got != "e1 e2" && got != "e2 e1" {
		t.Errorf("slots %q, want e1 and e2", got)
	}
}
