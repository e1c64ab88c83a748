package placement

import (
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
)

// scriptedSite is a site whose engines and demand a test sets. It implements what a Manager asks for.
type scriptedSite struct {
	engines  []fleet.Engine
	demand   *controlpb.Demand
	commands []*controlpb.Command
}

func (s *scriptedSite) Config() *catalog.Config {
	return catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s", Engine: testClass()}}, nil)
}
func (s *scriptedSite) Engines(string, time.Time) []fleet.Engine { return s.engines }
func (s *scriptedSite) Coordinates(time.Time) bool               { return true }
func (s *scriptedSite) Waiting() <-chan struct{}                 { return nil }
func (s *scriptedSite) Command(c *controlpb.Command)             { s.commands = append(s.commands, c) }
func (s *scriptedSite) Demand(time.Time) map[string]*controlpb.Demand {
	return map[string]*controlpb.Demand{"gateway": s.demand}
}

func reportedEngine(id, holds string, leaving bool) fleet.Engine {
	e := fleet.Engine{ID: id, Reported: true, Leaving: leaving}
	e.Models, e.OnDisk = make(map[string]map[string]bool), make(map[string]bool)
	for _, r := range holds {
		e.Models[string(r)], e.OnDisk[string(r)] = nil, true
	}
	return e
}

// Pattern: the engines of a site are replaced one after the other by empty ones. The one that leaves gets no more requests and
// still holds the only replica of a model, and the only copy of another. Both counted as there until its registration went, seconds
// later: requests waited for the one, and nobody fetched the other.
func TestModelsOfALeavingEngineAreLoadedElsewhere(t *testing.T) {
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	site := &scriptedSite{
		engines: []fleet.Engine{reportedEngine("old", "m", true), reportedEngine("new-1", "", false), reportedEngine("new-2", "", false)},
		demand:  &controlpb.Demand{Models: []*controlpb.ModelDemand{{Service: "s", Model: "m", Waiting: 2, OldestWaitMs: 500, Arrived: 2}}},
	}
	m := NewManager(site, site, site, slog.New(slog.DiscardHandler), metrics, Decide)
	m.Step(time.Unix(1000, 0))
	loads := make(map[string]string)
	for _, c := range site.commands {
		loads[c.Load] = c.EndpointId
	}
	if loads["m"] == "" || loads["m"] == "old" {
		t.Errorf("commands %v, want m loaded at an engine that stays", site.commands)
	}
	if len(loads) != len(site.commands) {
		t.Errorf("commands %v load a model twice", site.commands)
	}
}
