// Package examples holds the settings and declarations of two example sites. Its tests check that the files of each site
// are valid and consistent with each other.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/settings"
)

// site holds the expected contents of a site's files.
type site struct {
	name, service              string
	entries, engines, services int
	domains                    []string
	models, adapters           int
	loadsPerSecond             float64
	loadsAtOnce                int32
	// coldStartWeightRatio is the ratio of the cold start weight to the idle accelerator weight.
	coldStartWeightRatio float64
}

// adaptersAtFullSpeed is the number of adapters that load concurrently at full speed, at both sites.
const adaptersAtFullSpeed = 30

var sites = []site{
	{
		name: "amman", service: "ledger", entries: 3, engines: 9, services: 4,
		domains: []string{"amman-a", "amman-b", "zarqa-a", "salt-a"},
		models:  50, adapters: 55, loadsPerSecond: 2.5, loadsAtOnce: 4, coldStartWeightRatio: 15,
	},
	{
		name: "ulaanbaatar", service: "pads", entries: 3, engines: 18, services: 3,
		domains: []string{"hall-north", "hall-east", "hall-cargo"},
		models:  105, adapters: 100, loadsPerSecond: 5, loadsAtOnce: 4, coldStartWeightRatio: 60,
	},
}

// TestMain runs the tests in the repository root, because paths in the files are relative to it.
func TestMain(m *testing.M) {
	if err := os.Chdir(".."); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func (s site) path(file string) string { return filepath.Join("examples", s.name, file) }

func TestSettings(t *testing.T) {
	files := []struct {
		file string
		want settings.Role
	}{
		{"platform.ini", settings.RoleStandinPlatform},
		{"engine.ini", settings.RoleStandinEngine},
		{"service.ini", settings.RoleStandinService},
		{"agent-engine.ini", settings.RoleAgent},
		{"agent-service.ini", settings.RoleAgent},
		{"entry.ini", settings.RoleEntry},
	}
	for _, s := range sites {
		for _, f := range files {
			t.Run(s.name+"/"+f.file, func(t *testing.T) {
				role, err := settings.CheckFile(s.path(f.file))
				if err != nil || role != f.want {
					t.Errorf("role %q, error %v; want %q", role, err, f.want)
				}
			})
		}
	}
}

// platform reads the settings of a site's stand-in platform.
func (s site) platform(t *testing.T) *settings.StandinPlatform {
	t.Helper()
	platform, err := settings.LoadStandinPlatform(s.path("platform.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

func TestHosts(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			platform := s.platform(t)
			entries, engines, services := 0, 0, 0
			domains := map[string]bool{}
			for _, h := range platform.Hosts {
				domains[h.FailureDomain] = true
				switch {
				case h.Role == "entry":
					entries++
				case strings.HasPrefix(h.Endpoint, "engine-"):
					engines++
				case strings.HasPrefix(h.Endpoint, s.service+"-"):
					services++
				default:
					t.Errorf("host %q has endpoint %q, which run.sh does not handle", h.ID, h.Endpoint)
				}
			}
			if entries != s.entries || engines != s.engines || services != s.services {
				t.Errorf("%d entries, %d engines, %d service endpoints; want %d, %d, %d",
					entries, engines, services, s.entries, s.engines, s.services)
			}
			for _, d := range s.domains {
				if !domains[d] {
					t.Errorf("no host in failure domain %q", d)
				}
			}
			if len(domains) != len(s.domains) {
				t.Errorf("failure domains %v, want %v", domains, s.domains)
			}
			w := platform.Weights
			if w.LoadsPerSecond != s.loadsPerSecond || w.Loads != int(s.loadsAtOnce) || w.Adapters != adaptersAtFullSpeed {
				t.Errorf("unexpected weight store limits: %+v", w)
			}
		})
	}
}

// declarationSet parses a site's declarations.
func (s site) declarationSet(t *testing.T) *declarations.Set {
	t.Helper()
	path := s.path("declarations.ini")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	objects, err := declarations.ParseFile(path, text)
	if err != nil {
		t.Fatal(err)
	}
	set, err := declarations.NewSet(&pb.Snapshot{Revision: 1, Objects: objects})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func TestDeclarations(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			set := s.declarationSet(t)
			if models, adapters := len(set.Models()), len(set.Adapters()); models != s.models || adapters != s.adapters {
				t.Errorf("%d models and %d adapters, want %d and %d", models, adapters, s.models, s.adapters)
			}
			l := set.Limits()
			if l.StoreLoadsPerSecond != s.loadsPerSecond || l.StoreLoadsAtOnce != s.loadsAtOnce || l.AdaptersInTransit != adaptersAtFullSpeed {
				t.Errorf("limits of the store: %v", l)
			}
			if got := l.ColdStartWeight / l.IdleWeight; got != s.coldStartWeightRatio {
				t.Errorf("cold starts weigh %v times an idle accelerator, want %v", got, s.coldStartWeightRatio)
			}
			service, ok := set.Service(s.service)
			if !ok || service.Idempotent("POST") || !service.Idempotent("GET") {
				t.Errorf("service %q is missing, or its writing calls may be repeated", s.service)
			}
		})
	}
}

// labelsOf returns the labels of each endpoint: those from the agents' settings, the declared ones, and those that the
// system adds.
func (s site) labelsOf(t *testing.T, set *declarations.Set) map[string]map[string]string {
	t.Helper()
	all := map[string]map[string]string{}
	for _, h := range s.platform(t).Hosts {
		if h.Endpoint == "" {
			continue
		}
		file := "agent-service.ini"
		if strings.HasPrefix(h.Endpoint, "engine-") {
			file = "agent-engine.ini"
		}
		agent, err := settings.LoadAgent(s.path(file))
		if err != nil {
			t.Fatal(err)
		}
		labels := map[string]string{"failure-domain": h.FailureDomain, "endpoint": h.Endpoint, "kind": agent.Endpoint.Kind}
		for k, v := range agent.Endpoint.Labels {
			labels[k] = v
		}
		if declared, ok := set.Engine(h.Endpoint); ok {
			for k, v := range declared.Labels {
				labels[k] = v
			}
		}
		all[h.Endpoint] = labels
	}
	return all
}

// TestSelectorsFindEndpoints checks that each declared engine is in the host list, that each model's selector matches
// engines in at least two failure domains, so that the model survives the loss of one, and that each service has endpoints.
func TestSelectorsFindEndpoints(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			set := s.declarationSet(t)
			labels := s.labelsOf(t, set)
			for _, e := range set.Engines() {
				if labels[e.Name] == nil {
					t.Errorf("engine %q is declared and not in the host list", e.Name)
				}
			}
			for _, m := range set.Models() {
				domains := map[string]bool{}
				for _, l := range labels {
					if l["kind"] == settings.KindEngine && m.Engines.Matches(l) {
						domains[l["failure-domain"]] = true
					}
				}
				if len(domains) < 2 {
					t.Errorf("model %q can be loaded in only %d failure domains", m.Name, len(domains))
				}
			}
			service, _ := set.Service(s.service)
			endpoints := 0
			for _, l := range labels {
				if l["kind"] == settings.KindService && service.Endpoints.Matches(l) {
					endpoints++
				}
			}
			if endpoints != s.services {
				t.Errorf("service %q has %d endpoints, want %d", s.service, endpoints, s.services)
			}
		})
	}
}

// TestAgentsKnowTheirEngines checks that an agent's checks_fencing setting matches its engine. If the engine does not check
// fencing tokens, the agent must wait for old orders to expire.
func TestAgentsKnowTheirEngines(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			agent, err := settings.LoadAgent(s.path("agent-engine.ini"))
			if err != nil {
				t.Fatal(err)
			}
			engine, err := settings.LoadStandinEngine(s.path("engine.ini"))
			if err != nil {
				t.Fatal(err)
			}
			if checks := engine.Engine.Fencing == "checks"; checks != agent.Endpoint.ChecksFencing {
				t.Errorf("engine: fencing = %s; agent: checks_fencing = %v", engine.Engine.Fencing, agent.Endpoint.ChecksFencing)
			}
			if engine.Credentials.Reveal() != agent.Credentials.Reveal() {
				t.Error("the agent's credentials differ from those of its engine")
			}
		})
	}
}
