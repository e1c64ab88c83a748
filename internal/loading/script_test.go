package loading

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

const testLife = 10 * time.Second

// testSpecs are the declarations of the scripts: an engine of 100 bytes holds any two of x, y and z, but not all three.
var testSpecs = SpecsChanged{
	Models: []ModelSpec{
		{Model: "x@1", MemoryBytes: 35, KVFloorBytes: 5, ExpectedLoad: 3 * time.Second},
		{Model: "y@1", MemoryBytes: 35, KVFloorBytes: 5},
		{Model: "z@1", MemoryBytes: 35, KVFloorBytes: 5},
		{Model: "big@1", MemoryBytes: 90, KVFloorBytes: 5},
		{Model: "warm@1", MemoryBytes: 35, KVFloorBytes: 5, WarmReplicas: 1},
	},
	Adapters: []AdapterSpec{
		{Adapter: "xa", Model: "x@1", MemoryBytes: 10},
		{Adapter: "xb", Model: "x@1", MemoryBytes: 10},
		{Adapter: "xc", Model: "x@1", MemoryBytes: 50},
	},
}

// line is one line of a script: time passes, an event happens, and the machine is expected to do just what is wanted,
// reads and, unless the case is about them, permits aside.
type line struct {
	after time.Duration
	event Event
	want  string
}

// result is the result of the newest order of a description, as in "load x@1".
type result struct {
	order string
	err   error
}

// shows is the answer to the read that is outstanding. Its models are listed as "x@1", "x@1:loading" or "x@1+xa".
type shows struct {
	models      []string
	incarnation string
	used        int64
	cached      []string
	fence       uint64
}

// given answers the newest question for a permit, denied denies it.
type given struct{ valid time.Duration }
type denied struct{ after time.Duration }

func (result) event() {}
func (shows) event()  {}
func (given) event()  {}
func (denied) event() {}

func engineShows(models ...string) shows { return shows{models: models} }

func demandOf(request, model, adapter string, left time.Duration) Event {
	return Demanded{Request: request, Model: model, Adapter: adapter, Deadline: scriptStart.Add(left)}
}

var scriptStart = time.Unix(1_000_000, 0)

// slots is a row of one model version: the engine's slot is e's on host h.
func slots(model string, revision uint64, slots ...*replicaspb.Slot) *replicaspb.Row {
	return &replicaspb.Row{Model: model, Revision: revision, Slots: slots}
}

func granted(engine string) *replicaspb.Slot {
	return &replicaspb.Slot{Engine: engine, Host: "h", State: replicaspb.SlotState_GRANTED}
}

func releasing(engine string) *replicaspb.Slot {
	return &replicaspb.Slot{Engine: engine, Host: "h", State: replicaspb.SlotState_RELEASING}
}

// holding grants slots for model versions at revision 5, read from the table as of revision 9.
func holdingSlots(models ...string) RowsRead {
	read := RowsRead{Revision: 9}
	for _, m := range models {
		read.Rows = append(read.Rows, slots(m, 5, granted("e")))
	}
	return read
}

// begun are the first lines of a script in which the agent has started, waited out its predecessor's orders and read all.
func begun(models ...string) []line {
	return begunWith(engineShows(), models...)
}

func begunWith(state shows, models ...string) []line {
	return []line{
		{event: Tick{}},
		{event: testSpecs},
		{after: testLife, event: Tick{}},
		{event: state, want: "*"},
		{event: holdingSlots(models...), want: "*"},
		{event: state, want: "*"},
	}
}

// loadedFirst are the lines by which a model version gets loaded.
func loadedFirst(model string) []line {
	return []line{
		{event: demandOf("first "+model, model, "", time.Hour), want: "load " + model},
		{event: result{order: "load " + model}, want: "usable " + model},
		{event: DemandGone{Request: "first " + model}, want: ""},
	}
}

func lines(parts ...any) []line {
	all := []line{}
	for _, p := range parts {
		switch p := p.(type) {
		case line:
			all = append(all, p)
		case []line:
			all = append(all, p...)
		}
	}
	return all
}

// script is a running script.
type script struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	permits bool
	orders  map[string]string
	asked   string
	read    uint64
	fences  []uint64
}

type scriptCase struct {
	name    string
	options func(*Options)
	keep    time.Duration
	permits bool
	lines   []line
	// then looks at the machine after the last line.
	then func(t *testing.T, s *script)
}

func runScripts(t *testing.T, cases []scriptCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := Options{Engine: "e", Host: "h", MemoryBytes: 100, OrderLife: testLife, StateInterval: time.Hour, LoadsAtOnce: 2}
			if c.options != nil {
				c.options(&o)
			}
			keep := c.keep
			if keep == 0 {
				keep = time.Hour
			}
			s := &script{t: t, m: NewMachine(o, fixedPolicy(keep)), now: scriptStart, permits: c.permits, orders: map[string]string{}}
			for i, l := range c.lines {
				s.play(i, l)
			}
			if c.then != nil {
				c.then(t, s)
			}
		})
	}
}

// play runs one line.
func (s *script) play(i int, l line) {
	s.t.Helper()
	s.now = s.now.Add(l.after)
	got := []string{}
	for _, a := range s.m.Step(s.now, s.resolve(l.event)) {
		if text := s.describe(a); text != "" {
			got = append(got, text)
		}
	}
	if text := strings.Join(got, "; "); l.want != "*" && text != l.want {
		s.t.Fatalf("line %d, %T%+v:\n got  %q\n want %q", i, l.event, l.event, text, l.want)
	}
}

// resolve fills in the identifiers of what an event answers.
func (s *script) resolve(e Event) Event {
	switch e := e.(type) {
	case result:
		id, ok := s.orders[e.order]
		if !ok {
			s.t.Fatalf("no order %q was given", e.order)
		}
		return OrderDone{ID: id, Err: e.err}
	case shows:
		return EngineRead{ID: s.read, State: e.state()}
	case given:
		return PermitGiven{ID: s.asked, Expires: s.now.Add(e.valid)}
	case denied:
		return PermitDenied{ID: s.asked, RetryAt: s.now.Add(e.after)}
	}
	return e
}

func (e shows) state() endpoint.EngineState {
	s := endpoint.EngineState{Incarnation: "1" + e.incarnation, MemoryBytes: 100, UsedBytes: e.used, HighestFence: e.fence}
	s.Cached = map[string]string{}
	for _, name := range e.cached {
		s.Cached[name] = "disk"
	}
	for _, text := range e.models {
		text, state, between := strings.Cut(text, ":")
		names := strings.Split(text, "+")
		listed := endpoint.LoadedModel{Model: names[0], State: endpoint.EngineLoaded, MemoryBytes: 35, Adapters: names[1:]}
		if between {
			listed.State = state
		}
		s.Models = append(s.Models, listed)
	}
	return s
}

// describe turns an action into a few words and remembers its identifiers.
func (s *script) describe(a Action) string {
	switch a := a.(type) {
	case GiveOrder:
		text := strings.TrimSpace(fmt.Sprint(a.Order.Kind, " ", a.Order.Model, " ", a.Order.Adapter))
		s.orders[text] = a.Order.ID
		s.fences = append(s.fences, a.Order.Fence)
		return text
	case ReadEngine:
		s.read = a.ID
	case AskPermit:
		s.asked = a.ID
		if s.permits {
			return "ask"
		}
	case EndPermit:
		if s.permits {
			return "end"
		}
	case Usable:
		return strings.TrimSpace("usable " + a.Model + " " + a.Adapter)
	case Unusable:
		return strings.TrimSpace("unusable " + a.Model + " " + a.Adapter)
	case RefuseDemand:
		target := strings.TrimSpace(a.Request + " " + a.Model + " " + a.Adapter)
		return "refuse " + target + " " + a.Reason.String()
	case ConfirmRelease:
		return fmt.Sprint("confirm ", a.Model, " ", a.Revision)
	case WantSlot:
		return "want " + a.Model + " " + a.Reason.String()
	}
	return ""
}

// stateOf returns a replica's state as told in the status.
func (s *script) stateOf(model string) wirepb.ReplicaState {
	for _, r := range s.m.Status(s.now).Replicas {
		if r.Model == model {
			return r.State
		}
	}
	return wirepb.ReplicaState_ABSENT
}
