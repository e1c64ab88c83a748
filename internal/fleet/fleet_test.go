package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/routing"
)

var start = time.Unix(1000, 0)

// twoEngines returns a view of two engines with model m loaded, both reported by their agents at start.
func twoEngines() *Fleet {
	f := New("here", 1)
	f.SetEndpoints([]catalog.Endpoint{
		{ID: "e1", Service: "s", Address: "a1", Revision: 1},
		{ID: "e2", Service: "s", Address: "a2", Revision: 1},
	})
	for _, id := range []string{"e1", "e2"} {
		f.SetState(id, &EngineState{EndpointID: id, Models: map[string]map[string]bool{"m": {}}}, 0, 0, start)
	}
	return f
}

// choiceOf returns a choice of an endpoint for which nothing is counted.
func choiceOf(f *Fleet, id string) Choice {
	return Choice{ID: id, process: f.endpoints[id].process}
}

// chooseMany chooses endpoints for a number of requests that are in flight at the same time, and returns how many each got.
func chooseMany(f *Fleet, n int) map[string]int {
	shares := make(map[string]int)
	var choices []Choice
	for range n {
		choice, _, _ := f.Choose(start, modelRequest(0))
		shares[choice.ID]++
		choices = append(choices, choice)
	}
	for _, choice := range choices {
		f.Done(choice, modelRequest(0))
	}
	return shares
}

func modelRequest(prompt int) *Request {
	return &Request{Target: Target{Service: "s", Model: "m"}, PromptTokens: prompt, PacedUntil: start.Add(200 * time.Millisecond)}
}

// Guards against sending a burst of prompts to one engine. Three to ten requests with 800 prompt tokens within a few
// milliseconds cause a pause of over 250 ms in each stream of the engine. They must be spread; those that no engine can
// take yet wait until a prompt has been processed, also when they are late: all requests that waited for a model are late
// when it is loaded, and most of their clients left while the engine processed the prompts of all.
func TestPromptsOfAClumpAreSpread(t *testing.T) {
	f := twoEngines()
	sent := map[string]int{}
	var first Choice
	for i := range 2 {
		c, _, ok := f.Choose(start, modelRequest(800))
		if !ok {
			t.Fatalf("prompt %d got no engine", i)
		}
		sent[c.ID]++
		first = c
	}
	if sent["e1"] != 1 || sent["e2"] != 1 {
		t.Errorf("two prompts went to %v, want one to each engine", sent)
	}
	for _, wait := range []time.Duration{0, 250 * time.Millisecond, 600 * time.Millisecond} {
		if _, reason, ok := f.Choose(start.Add(wait), modelRequest(800)); ok || reason != EnginesFull {
			t.Errorf("third prompt after %v: chosen %v, reason %v, want EnginesFull", wait, ok, reason)
		}
	}
	f.Prefilled(first, modelRequest(800))
	f.Done(first, modelRequest(800))
	if c, _, ok := f.Choose(start, modelRequest(800)); !ok || c.ID != first.ID {
		t.Errorf("after a first event from engine %s: chosen %v %s, want that engine", first.ID, ok, c.ID)
	}
}

// Guards against sending requests to an engine on a frozen host. They queue in its kernel and reach the engine seconds
// later, when their clients have disconnected. The engine must get none after its agent has missed three heartbeats,
// and must get requests again after the next report. If only the agent was killed, its connection is reset, which says
// nothing about the engine.
func TestFrozenHostGetsNothing(t *testing.T) {
	f := twoEngines()
	later := start.Add(hostTimeout + time.Millisecond)
	f.SetState("e2", nil, 0, 0, later)
	for range 5 {
		c, _, ok := f.Choose(later, modelRequest(0))
		if !ok || c.ID != "e2" {
			t.Fatalf("chosen %v %s, want the engine whose agent reports", ok, c.ID)
		}
	}
	if got := f.Engines("s", later); len(got) != 1 {
		t.Errorf("%d engines returned for placement, want one", len(got))
	}
	f.SetDisconnected("e1", false)
	if got := f.Engines("s", later); len(got) != 2 {
		t.Errorf("%d engines returned after the agent was killed, want both", len(got))
	}
	f.SetDisconnected("e1", true)
	f.SetState("e1", nil, 0, 0, later)
	if got := f.Engines("s", later); len(got) != 2 {
		t.Errorf("%d engines returned after the agent has reconnected, want both", len(got))
	}
}

// All gateways must request an adapter that no engine has loaded from the same engine; otherwise it uses adapter slots
// on several.
func TestAdapterHasOneHome(t *testing.T) {
	owner := ""
	for seed := range uint64(8) {
		f := twoEngines()
		f.router = routing.NewRouter(routing.Options{Seed: seed})
		req := modelRequest(0)
		req.Adapter = "a7"
		if _, reason, ok := f.Choose(start, req); ok || reason != AdapterMissing {
			t.Fatalf("chosen %v, reason %v, want AdapterMissing", ok, reason)
		}
		for id := range f.wantedAdapters {
			if owner != "" && id != owner {
				t.Fatalf("adapter requested from %s and from %s, want the same engine for every seed", owner, id)
			}
			owner = id
		}
	}
}

// Guards against requesting an adapter from an engine that is loading a model, which rejects adapter loads for six
// seconds. The other engine with the model loaded must be chosen.
func TestBusyEngineIsNotAskedForAnAdapter(t *testing.T) {
	for _, busy := range []string{"e1", "e2"} {
		f := twoEngines()
		f.SetState(busy, &EngineState{EndpointID: busy, Busy: true, Loading: "x", Models: map[string]map[string]bool{"m": {}}}, 0, 0, start)
		req := modelRequest(0)
		req.Adapter = "a7"
		f.Choose(start, req)
		if len(f.wantedAdapters[busy]) > 0 || len(f.wantedAdapters) != 1 {
			t.Errorf("%s is busy, adapter requested from %v, want the other engine", busy, f.wantedAdapters)
		}
	}
}

// Guards against retrying at an engine that responds with 421 because it has just unloaded the model, which its agent's
// last report still lists. The request must go to the other engine, and return to the first only after a new report or
// after absentTTL.
func TestAbsentModelIsNotAskedAgain(t *testing.T) {
	f := twoEngines()
	f.Absent(start, choiceOf(f, "e1"), modelRequest(0))
	for range 5 {
		if c, _, ok := f.Choose(start, modelRequest(0)); !ok || c.ID != "e2" {
			t.Fatalf("chosen %v %s, want the other engine", ok, c.ID)
		}
	}
	f.Absent(start, choiceOf(f, "e2"), modelRequest(0))
	if _, reason, ok := f.Choose(start, modelRequest(0)); ok || reason != ModelNotLoaded {
		t.Errorf("chosen %v, reason %v, want the request to wait", ok, reason)
	}
	if _, _, ok := f.Choose(start.Add(absentTTL), modelRequest(0)); !ok {
		t.Error("no endpoint after absentTTL")
	}
}

// An older configuration that arrives late must not replace the current one.
func TestOlderConfigurationIsDropped(t *testing.T) {
	f := New("here", 1)
	config := func(version int64) *catalog.Config {
		return catalog.NewConfig(version, catalog.ClientLimits{}, nil, nil)
	}
	if !f.SetConfig(config(7)) || f.SetConfig(config(5)) || f.SetConfig(config(7)) || f.Config().Version != 7 {
		t.Errorf("version %d is current, want version 7 accepted once", f.Config().Version)
	}
}

// An engine restarts under its ID. A gateway must not go on with what it knew of the earlier process: its models, its
// refusals, and its requests, which may hang on a connection that nothing closes. A late report of it changes nothing.
func TestRestartUnderAnID(t *testing.T) {
	registered := func(started int64, models ...string) []catalog.Endpoint {
		return []catalog.Endpoint{{ID: "e1", Service: "s", Address: "a1", Revision: started, Started: started, Models: models}}
	}
	report := func(started int64, models ...string) *EngineState {
		s := &EngineState{EndpointID: "e1", Started: started, Models: make(map[string]map[string]bool)}
		for _, m := range models {
			s.Models[m] = map[string]bool{}
		}
		return s
	}
	request := &Request{Target: Target{Service: "s", Model: "m"}}
	cases := []struct {
		name    string
		restart func(f *Fleet)
	}{
		{"by its registration", func(f *Fleet) { f.SetEndpoints(registered(200)) }},
		{"by its agent's report", func(f *Fleet) { f.SetState("e1", report(200), 0, 0, start) }},
		{"by its report, and a late registration", func(f *Fleet) {
			f.SetState("e1", report(200), 0, 0, start)
			f.SetEndpoints(registered(100, "m"))
		}},
		{"by its registration, and a late report", func(f *Fleet) {
			f.SetEndpoints(registered(200))
			if f.SetState("e1", report(100, "m"), 0, 0, start) {
				t.Error("the report of the earlier process was accepted")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := New("here", 1)
			restarts, lost := 0, 0
			f.OnRestart(func() { restarts++ })
			f.SetEndpoints(registered(100, "m"))
			f.SetState("e1", report(100, "m"), 0, 0, start)
			choice, _, ok := f.Choose(start, request)
			if !ok {
				t.Fatal("no engine before the restart")
			}
			f.NotifyRestart(choice, func() { lost++ })
			c.restart(f)
			if restarts != 1 || lost != 1 {
				t.Errorf("%d restarts seen and %d requests lost, want 1 and 1", restarts, lost)
			}
			if _, reason, ok := f.Choose(start, request); ok || reason != ModelNotLoaded {
				t.Errorf("chosen %v, reason %v; want the model not loaded", ok, reason)
			}
			f.Done(choice, request)
			f.SetState("e1", report(200, "m"), 0, 0, start)
			if _, _, ok := f.Choose(start, request); !ok {
				t.Error("no engine after the new process has loaded the model")
			}
		})
	}
}

// Guards against what an endpoint's earlier process has answered, or failed to answer, being held against the process that has taken
// its place.
func TestFactsOfAnEarlierProcess(t *testing.T) {
	registered := func(started int64) []catalog.Endpoint {
		e := catalog.Endpoint{Service: "s", Models: []string{"m"}, Revision: started, Started: started}
		one, two := e, e
		one.ID, two.ID, two.Started = "e1", "e2", 100
		return []catalog.Endpoint{one, two}
	}
	request := &Request{Target: Target{Service: "s", Model: "m"}}
	for _, c := range []struct {
		name string
		tell func(f *Fleet, earlier Choice)
	}{
		{"requests that have not ended", func(*Fleet, Choice) {}},
		{"load", func(f *Fleet, c Choice) { f.Load(start, c, 50, 10) }},
		{"limit", func(f *Fleet, c Choice) { f.ObserveLimit(start, start, c, RateLimit{Named: true, PerSecond: 1}) }},
		{"model not loaded", func(f *Fleet, c Choice) { f.Absent(start, c, request) }},
		{"another incarnation at the address", func(f *Fleet, c Choice) { f.Replaced(c) }},
		{"connection refused", func(f *Fleet, c Choice) { f.Refused(start, c) }},
		{"slow answer", func(f *Fleet, c Choice) { f.Observe(start, c, routing.OutcomeServed, time.Minute) }},
		{"failures", func(f *Fleet, c Choice) {
			for range 20 {
				f.Observe(start, c, routing.OutcomeUnknown, 0)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New("here", 1)
			f.SetEndpoints(registered(100))
			f.Observe(start, choiceOf(f, "e2"), routing.OutcomeServed, time.Second)
			var earlier Choice
			for range 8 {
				earlier, _, _ = f.Choose(start, &Request{Target: request.Target, Tried: []string{"e2"}})
			}
			if earlier.ID != "e1" {
				t.Fatalf("chosen %q before the restart, want e1", earlier.ID)
			}
			f.SetEndpoints(registered(200))
			c.tell(f, earlier)
			if shares := chooseMany(f, 20); shares["e1"] < 8 {
				t.Errorf("requests by endpoint: %v, want half of them for the new process of e1", shares)
			}
			if f.IsResponsive(start, earlier) {
				t.Error("the earlier process counts as one that responds")
			}
		})
	}
}

// Guards against an endpoint that counts as idle, or as less than idle, because it was listed again while requests were in flight there,
// and against the adapters of those requests counting as unused.
func TestEndpointListedAgainKeepsItsRequests(t *testing.T) {
	f := twoEngines()
	listed := []catalog.Endpoint{{ID: "e1", Service: "s", Address: "a1", Revision: 1}, {ID: "e2", Service: "s", Address: "a2", Revision: 1}}
	report := func() {
		f.SetState("e1", &EngineState{EndpointID: "e1", Models: map[string]map[string]bool{"m": {"a7": true}}}, 0, 0, start)
	}
	report()
	request := &Request{Target: Target{Service: "s", Model: "m"}, Adapter: "a7", Tried: []string{"e2"}, PromptTokens: 100}
	var inFlight []Choice
	for range 8 {
		choice, _, ok := f.Choose(start, request)
		if !ok || choice.ID != "e1" {
			t.Fatalf("chosen %t %s, want e1", ok, choice.ID)
		}
		inFlight = append(inFlight, choice)
	}
	f.SetEndpoints(listed[1:])
	f.Done(inFlight[0], request)
	f.SetEndpoints(listed)
	report()
	if shares := chooseMany(f, 7); shares["e1"] > 0 {
		t.Errorf("requests by endpoint: %v, want all for the other than that with 7 requests", shares)
	}
	if used := f.AgentMessage("e1").Used; len(used) != 1 || used[0].Adapter != "a7" {
		t.Errorf("adapters in use %v, want a7", used)
	}
	for _, choice := range inFlight[1:] {
		f.Done(choice, request)
	}
	if shares := chooseMany(f, 20); shares["e1"] != 10 {
		t.Errorf("requests by endpoint: %v after the requests have ended, want half for each", shares)
	}
	if used := f.AgentMessage("e1").Used; len(used) > 0 || len(f.delisted) > 0 {
		t.Errorf("adapters in use %v, %d processes of endpoints that are not listed; want none", used, len(f.delisted))
	}
	if pending := f.endpoints["e1"].pendingPromptTokens; pending != 0 {
		t.Errorf("%d prompt tokens pending, want none", pending)
	}
}

// Guards against the requests to an endpoint that has restarted while it was not listed being awaited.
func TestRestartWhileNotListed(t *testing.T) {
	f := New("here", 1)
	registered := func(started int64) []catalog.Endpoint {
		return []catalog.Endpoint{{ID: "e1", Service: "s", Models: []string{"m"}, Revision: started, Started: started}}
	}
	f.SetEndpoints(registered(100))
	request := modelRequest(0)
	choice, _, _ := f.Choose(start, request)
	lost := 0
	f.NotifyRestart(choice, func() { lost++ })
	f.SetEndpoints(nil)
	if lost != 0 {
		t.Error("a request counts as lost because its endpoint is not listed")
	}
	f.SetEndpoints(registered(200))
	if lost != 1 {
		t.Errorf("%d requests lost, want 1", lost)
	}
	f.Done(choice, request)
	if next, _, ok := f.Choose(start, request); !ok || next.Started != 200 {
		t.Errorf("chosen %t, process of %d; want that of 200", ok, next.Started)
	}
}

// Guards against choosing blindly among replicas behind a hub: it sends an engine's load only when that changes, and a load
// that was not repeated for a while used to count for nothing.
func TestRelayedLoadStaysInForce(t *testing.T) {
	f := New("here", 1)
	f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, nil, nil))
	f.SetEndpoints([]catalog.Endpoint{{ID: "full", Service: "s", Slots: 16, Revision: 1}, {ID: "free", Service: "s", Slots: 16, Revision: 1}})
	now := time.Unix(1000, 0)
	f.StartRelay(now)
	var list []RelayedEngine
	for id, running := range map[string]int{"full": 12, "free": 0} {
		state := &EngineState{EndpointID: id, Models: map[string]map[string]bool{"m": nil}}
		list = append(list, RelayedEngine{ID: id, State: state, Running: running, Reported: true})
	}
	f.ApplyRelayed(now, list)
	chosen := make(map[string]int)
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		f.ApplyRelayed(now, nil)
		req := &Request{Target: Target{Service: "s", Model: "m"}}
		c, reason, ok := f.Choose(now, req)
		if !ok {
			t.Fatalf("no endpoint: %v", reason)
		}
		chosen[c.ID]++
		f.Done(c, req)
	}
	if chosen["full"] > 0 {
		t.Errorf("choices %v, want the free engine while the hub says that nothing has changed", chosen)
	}
}
