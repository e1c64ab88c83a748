package placement

import (
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
)

// fakeSite implements the dependencies of a Manager with engines and demand set by the test.
type fakeSite struct {
	engines  []fleet.Engine
	demand   []demand.Model
	commands []*controlpb.Command
}

func (s *fakeSite) Config() *catalog.Config {
	return catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s", Engine: testClass()}}, nil)
}
func (s *fakeSite) Engines(string, time.Time) []fleet.Engine { return s.engines }
func (s *fakeSite) IsCoordinator(time.Time) bool             { return true }
func (s *fakeSite) Waiting() <-chan struct{}                 { return nil }
func (s *fakeSite) SendCommand(c *controlpb.Command)         { s.commands = append(s.commands, c) }
func (s *fakeSite) Demand(time.Time) []demand.Model          { return s.demand }

// waitingFor is the demand of two requests that wait for a model.
func waitingFor(model string) []demand.Model {
	return []demand.Model{{Target: demand.Target{Service: "s", Model: model}, Waiting: 2, OldestWait: 500 * time.Millisecond, Arrived: 2}}
}

func reportedEngine(id, models string, leaving bool) fleet.Engine {
	e := fleet.Engine{ID: id, Reported: true, Leaving: leaving}
	e.Models, e.OnDisk = make(map[string]map[string]bool), make(map[string]bool)
	for _, r := range models {
		e.Models[string(r)], e.OnDisk[string(r)] = nil, true
	}
	return e
}

// Guards against counting the models and copies of a leaving engine. While engines are replaced one by one, the leaving
// engine can hold the only replica of a model and the only copy of another. Both used to count until its registration
// expired seconds later: requests waited for the first model, and the second was not prefetched.
func TestModelsOfALeavingEngineAreLoadedElsewhere(t *testing.T) {
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	site := &fakeSite{
		engines: []fleet.Engine{reportedEngine("old", "m", true), reportedEngine("new-1", "", false), reportedEngine("new-2", "", false)},
		demand:  waitingFor("m"),
	}
	m := NewManager(site, site, site, slog.New(slog.DiscardHandler), metrics, Decide)
	m.Step(time.Unix(1000, 0))
	loads := make(map[string]string)
	for _, c := range site.commands {
		loads[c.Load] = c.EndpointId
	}
	if loads["m"] == "" || loads["m"] == "old" {
		t.Errorf("commands %v, want m loaded at an engine that is not leaving", site.commands)
	}
	if len(loads) != len(site.commands) {
		t.Errorf("commands %v load a model twice", site.commands)
	}
}

// Guards against waiting for a command that died with an engine process: the engine restarts under its ID while it loads.
// Its agent has dropped the command, and the replica was counted as loading until the command's timeout.
func TestCommandEndsWithTheEngineProcess(t *testing.T) {
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	engine := reportedEngine("e", "", false)
	engine.Started = 100
	site := &fakeSite{
		engines: []fleet.Engine{engine},
		demand:  waitingFor("m"),
	}
	m := NewManager(site, site, site, slog.New(slog.DiscardHandler), metrics, Decide)
	now := time.Unix(1000, 0)
	m.Step(now)
	if len(site.commands) != 1 || site.commands[0].EngineStartedMs != 100 {
		t.Fatalf("commands %v, want one for the process that started at 100", site.commands)
	}
	site.engines[0].Started = 200
	m.Step(now.Add(100 * time.Millisecond))
	if len(site.commands) != 2 || site.commands[1].EngineStartedMs != 200 {
		t.Errorf("commands %v, want a second one for the process that started at 200", site.commands)
	}
}

// Guards against a coordinator on a slow host that does nothing but decide: on a large site, requests start to wait many
// times a second, and each triggers a decision.
func TestDecisionsLeaveTimeForRequests(t *testing.T) {
	cases := []struct{ took, want time.Duration }{
		{0, 0},
		{2 * time.Millisecond, 18 * time.Millisecond},
		{20 * time.Millisecond, 180 * time.Millisecond},
		{time.Second, maxDecidePause},
	}
	for _, c := range cases {
		if got := pauseAfter(c.took).Round(time.Millisecond); got != c.want {
			t.Errorf("pause after a decision of %v: %v, want %v", c.took, got, c.want)
		}
	}
}
