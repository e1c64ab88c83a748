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

const testOrderLife = 10 * time.Second

// testSpecs are the declarations used by the scripts: the engine's 100 bytes hold any two of x, y and z, but not all
// three.
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

// line is one step of a script: the time advances, the event is applied, and the resulting actions must equal want.
// Reads are left out of the comparison, and so are permits unless the case tests them.
type line struct {
	after time.Duration
	event Event
	want  string
}

// orderResult is the result of the newest order with a description such as "load x@1".
type orderResult struct {
	order string
	err   error
}

// engineReply is the answer to the outstanding read. Its models are written as "x@1", "x@1:loading" or "x@1+xa".
type engineReply struct {
	models      []string
	incarnation string
	used        int64
	cached      []string
	fence       uint64
}

// grantPermit grants the newest permit request, denyPermit denies it.
type grantPermit struct{ valid time.Duration }
type denyPermit struct{ after time.Duration }

func (orderResult) event() {}
func (engineReply) event() {}
func (grantPermit) event() {}
func (denyPermit) event()  {}

func engineReports(models ...string) engineReply { return engineReply{models: models} }

func demandOf(request, model, adapter string, left time.Duration) Event {
	return RequestWaiting{Request: request, Model: model, Adapter: adapter, Deadline: scriptStart.Add(left)}
}

var scriptStart = time.Unix(1_000_000, 0)

// rowOf returns a row of one model version. The engine under test is e on host h.
func rowOf(model string, revision uint64, slots ...*replicaspb.Slot) *replicaspb.Row {
	return &replicaspb.Row{Model: model, Revision: revision, Slots: slots}
}

func grantedSlot(engine string) *replicaspb.Slot {
	return &replicaspb.Slot{Engine: engine, Host: "h", State: replicaspb.SlotState_GRANTED}
}

func releasingSlot(engine string) *replicaspb.Slot {
	return &replicaspb.Slot{Engine: engine, Host: "h", State: replicaspb.SlotState_RELEASING}
}

// grantsFor returns a read of the table at revision 9 in which rows of revision 5 grant slots for the model versions.
func grantsFor(models ...string) RowsRead {
	read := RowsRead{Revision: 9}
	for _, m := range models {
		read.Rows = append(read.Rows, rowOf(m, 5, grantedSlot("e")))
	}
	return read
}

// started returns the first lines of a script: the agent starts, waits until its predecessor's orders have expired, and
// completes its initial reads.
func started(models ...string) []line {
	return startedWith(engineReports(), models...)
}

func startedWith(state engineReply, models ...string) []line {
	return []line{
		{event: Tick{}},
		{event: testSpecs},
		{after: testOrderLife, event: Tick{}},
		{event: state, want: "*"},
		{event: grantsFor(models...), want: "*"},
		{event: state, want: "*"},
	}
}

// loadFirst returns the lines that load a model version.
func loadFirst(model string) []line {
	return []line{
		{event: demandOf("first "+model, model, "", time.Hour), want: "load " + model},
		{event: orderResult{order: "load " + model}, want: "usable " + model},
		{event: RequestGone{Request: "first " + model}, want: ""},
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

// script is the state of a running script.
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
	// check inspects the machine after the last line.
	check func(t *testing.T, s *script)
}

func runScripts(t *testing.T, cases []scriptCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := Options{Engine: "e", Host: "h", MemoryBytes: 100, OrderLifetime: testOrderLife, StateInterval: time.Hour, LoadsAtOnce: 2}
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
			if c.check != nil {
				c.check(t, s)
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

// resolve converts a script event to a machine event, with the identifier of the order, read or permit that it refers
// to.
func (s *script) resolve(e Event) Event {
	switch e := e.(type) {
	case orderResult:
		id, ok := s.orders[e.order]
		if !ok {
			s.t.Fatalf("no order %q was sent", e.order)
		}
		return OrderDone{ID: id, Err: e.err}
	case engineReply:
		return EngineRead{ID: s.read, State: e.state()}
	case grantPermit:
		return PermitGranted{ID: s.asked, Expires: s.now.Add(e.valid)}
	case denyPermit:
		return PermitDenied{ID: s.asked, RetryAt: s.now.Add(e.after)}
	}
	return e
}

func (e engineReply) state() endpoint.EngineState {
	s := endpoint.EngineState{Incarnation: "1" + e.incarnation, MemoryBytes: 100, UsedBytes: e.used, HighestFencingToken: e.fence}
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

// describe returns a short description of an action and records its identifiers for resolve.
func (s *script) describe(a Action) string {
	switch a := a.(type) {
	case SendOrder:
		text := strings.TrimSpace(fmt.Sprint(a.Order.Kind, " ", a.Order.Model, " ", a.Order.Adapter))
		s.orders[text] = a.Order.ID
		s.fences = append(s.fences, a.Order.FencingToken)
		return text
	case ReadEngine:
		s.read = a.ID
	case AskPermit:
		s.asked = a.ID
		if s.permits {
			return "ask"
		}
	case ReleasePermit:
		if s.permits {
			return "end"
		}
	case Usable:
		return strings.TrimSpace("usable " + a.Model + " " + a.Adapter)
	case Unusable:
		return strings.TrimSpace("unusable " + a.Model + " " + a.Adapter)
	case RefuseRequests:
		target := strings.TrimSpace(a.Request + " " + a.Model + " " + a.Adapter)
		return "refuse " + target + " " + a.Reason.String()
	case ConfirmRelease:
		return fmt.Sprint("confirm ", a.Model, " ", a.Revision)
	case WantSlot:
		return "want " + a.Model + " " + a.Reason.String()
	}
	return ""
}

// stateOf returns a replica's state in the status report.
func (s *script) stateOf(model string) wirepb.ReplicaState {
	for _, r := range s.m.Status(s.now).Replicas {
		if r.Model == model {
			return r.State
		}
	}
	return wirepb.ReplicaState_ABSENT
}
