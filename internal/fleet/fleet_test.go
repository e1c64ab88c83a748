package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/routing"
)

var start = time.Unix(1000, 0)

// twoEngines returns a view of two engines that hold model m, both reported by their agents at start.
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

func wantModel(prompt int) *Want {
	return &Want{Target: Target{Service: "s", Model: "m"}, PromptTokens: prompt, Paced: start.Add(200 * time.Millisecond)}
}

// Pattern: three to ten requests with prompts of 800 tokens come within a few milliseconds. Sent at once to one engine they make
// a pause of over 250 ms in each of its streams. They must spread, and those for which no engine has room wait for a first
// event, but no longer than their time for it allows.
func TestPromptsOfAClumpAreSpread(t *testing.T) {
	f := twoEngines()
	sent := map[string]int{}
	var first Choice
	for i := range 2 {
		c, _, ok := f.Choose(start, wantModel(800))
		if !ok {
			t.Fatalf("prompt %d got no engine", i)
		}
		sent[c.ID]++
		first = c
	}
	if sent["e1"] != 1 || sent["e2"] != 1 {
		t.Errorf("two prompts went to %v, want one to each engine", sent)
	}
	if _, prospect, ok := f.Choose(start, wantModel(800)); ok || prospect != PromptsAhead {
		t.Errorf("third prompt: sent %v, prospect %v, want it held back", ok, prospect)
	}
	held, _, ok := f.Choose(start.Add(250*time.Millisecond), wantModel(800))
	if !ok {
		t.Fatal("a prompt that was held for its time is still held")
	}
	for _, c := range []Choice{held, first} {
		f.Prefilled(c, wantModel(800))
		f.Done(c, wantModel(800))
	}
	if c, _, ok := f.Choose(start, wantModel(800)); !ok || c.ID != first.ID {
		t.Errorf("after its first event engine %s has room: chosen %v %s", first.ID, ok, c.ID)
	}
}

// Story: the host of an engine freezes. Requests for it pile up in its kernel and reach the engine seconds later, when their
// clients have left. From three missed heartbeats of its agent on the engine must get none; as soon as the agent speaks again
// it does. An agent that was killed resets its link, and says nothing about its engine.
func TestFrozenHostGetsNothing(t *testing.T) {
	f := twoEngines()
	later := start.Add(hostSilence + time.Millisecond)
	f.SetState("e2", nil, 0, 0, later)
	for range 5 {
		c, _, ok := f.Choose(later, wantModel(0))
		if !ok || c.ID != "e2" {
			t.Fatalf("chosen %v %s, want the engine whose agent speaks", ok, c.ID)
		}
	}
	if got := f.Engines("s", later); len(got) != 1 {
		t.Errorf("%d engines count for placement, want one", len(got))
	}
	f.SetSilent("e1", false)
	if got := f.Engines("s", later); len(got) != 2 {
		t.Errorf("%d engines count after the agent was killed, want both", len(got))
	}
	f.SetSilent("e1", true)
	f.SetState("e1", nil, 0, 0, later)
	if got := f.Engines("s", later); len(got) != 2 {
		t.Errorf("%d engines count after the agent is back, want both", len(got))
	}
}

// Each gateway must ask the same engine for an adapter that none holds, or it takes places at several.
func TestAdapterHasOneHome(t *testing.T) {
	home := ""
	for seed := range uint64(8) {
		f := twoEngines()
		f.router = routing.NewRouter(routing.Options{Seed: seed})
		w := wantModel(0)
		w.Adapter = "a7"
		if _, prospect, ok := f.Choose(start, w); ok || prospect != AdapterMissing {
			t.Fatalf("chosen %v, prospect %v, want the adapter to be asked for", ok, prospect)
		}
		for id := range f.wanted {
			if home != "" && id != home {
				t.Fatalf("asked of %s and of %s", home, id)
			}
			home = id
		}
	}
}

// Story: the engine that should fetch an adapter loads a model for six seconds and refuses to. The other one that holds the model
// must be asked.
func TestBusyEngineIsNotAskedForAnAdapter(t *testing.T) {
	for _, busy := range []string{"e1", "e2"} {
		f := twoEngines()
		f.SetState(busy, &EngineState{EndpointID: busy, Busy: true, Loading: "x", Models: map[string]map[string]bool{"m": {}}}, 0, 0, start)
		w := wantModel(0)
		w.Adapter = "a7"
		f.Choose(start, w)
		if len(f.wanted[busy]) > 0 || len(f.wanted) != 1 {
			t.Errorf("%s is busy, asked of %v", busy, f.wanted)
		}
	}
}

// Story: an engine says 421 for a model that its agent's last report still shows, because it was unloaded a moment ago. The
// request must go to the other engine, and come back to the first only after a new report or a short time.
func TestAbsentModelIsNotAskedAgain(t *testing.T) {
	f := twoEngines()
	f.Absent(start, "e1", wantModel(0))
	for range 5 {
		if c, _, ok := f.Choose(start, wantModel(0)); !ok || c.ID != "e2" {
			t.Fatalf("chosen %v %s, want the other engine", ok, c.ID)
		}
	}
	f.Absent(start, "e2", wantModel(0))
	if _, prospect, ok := f.Choose(start, wantModel(0)); ok || prospect != NotHeld {
		t.Errorf("chosen %v, prospect %v, want the request to wait", ok, prospect)
	}
	if _, _, ok := f.Choose(start.Add(absenceMemory), wantModel(0)); !ok {
		t.Error("the engines are still shunned after the time")
	}
}

// A configuration that was once in force must not come back when a slow reader brings an older one.
func TestOlderConfigurationIsDropped(t *testing.T) {
	f := New("here", 1)
	config := func(version int64) *catalog.Config {
		return catalog.NewConfig(version, catalog.ClientLimits{}, nil, nil)
	}
	if !f.SetConfig(config(7)) || f.SetConfig(config(5)) || f.SetConfig(config(7)) || f.Config().Version != 7 {
		t.Errorf("version %d in force, want 7 taken once", f.Config().Version)
	}
}
