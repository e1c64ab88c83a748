package placement

import (
	"context"
	"log/slog"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
)

const (
	// decideInterval is the time between two decisions; what agents and gateways tell is up to twice as old.
	decideInterval = 100 * time.Millisecond
	// commandPatience is how long an agent may take to show that it has taken up a command, before the engine counts as free
	// again.
	commandPatience = time.Second
)

// Site tells what is known of the engines. Implemented by fleet.Fleet.
type Site interface {
	Config() *catalog.Config
	Engines(service string, now time.Time) []fleet.Engine
}

// Gateways tells what all gateways' requests ask for, and whether this one decides. Implemented by control.Peers.
type Gateways interface {
	Coordinates(now time.Time) bool
	Demand(now time.Time) map[string]*controlpb.Demand
	// Waiting is signalled when a request begins to wait for a model.
	Waiting() <-chan struct{}
}

// Commander sends commands to agents. Implemented by control.Agents.
type Commander interface {
	Command(c *controlpb.Command)
}

// Policy decides which commands to give now, at most one an engine.
type Policy func(Input) []Command

// Manager decides on placement while its gateway is the coordinator.
type Manager struct {
	site      Site
	gateways  Gateways
	commander Commander
	logger    *slog.Logger
	metrics   *Metrics
	policy    Policy

	services map[string]*serviceState
	nextID   uint64
}

// serviceState is what the manager remembers of a service between decisions.
type serviceState struct {
	rates map[string]*rates
	pipe  *pipe
	// given are the commands that have not been seen to end, by engine.
	given   map[string]*givenCommand
	metrics *Metrics
}

type givenCommand struct {
	Command
	id    uint64
	at    time.Time
	taken bool
	// loading is set once the engine has begun the load.
	loading bool
}

// NewManager returns a manager.
func NewManager(site Site, gateways Gateways, commander Commander, logger *slog.Logger, metrics *Metrics, policy Policy) *Manager {
	return &Manager{
		site:      site,
		gateways:  gateways,
		commander: commander,
		logger:    logger,
		metrics:   metrics,
		policy:    policy,
		services:  make(map[string]*serviceState),
		nextID:    uint64(time.Now().UnixNano()),
	}
}

// Run decides until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Step(time.Now())
		case <-m.gateways.Waiting():
			m.Step(time.Now())
		}
	}
}

// Step decides once for each service with engines.
func (m *Manager) Step(now time.Time) {
	config := m.site.Config()
	if config == nil || !m.gateways.Coordinates(now) {
		clear(m.services)
		return
	}
	demand := m.gateways.Demand(now)
	for name, service := range config.Services {
		if service.Engine != nil {
			m.decide(now, name, service.Engine, demand)
		}
	}
}

func (m *Manager) decide(now time.Time, service string, class *catalog.EngineClass, demand map[string]*controlpb.Demand) {
	s := m.services[service]
	if s == nil {
		s = &serviceState{rates: make(map[string]*rates), pipe: newPipe(), given: make(map[string]*givenCommand), metrics: m.metrics}
		m.services[service] = s
	}
	known := m.site.Engines(service, now)
	s.follow(now, known)
	in := Input{
		Class:      class,
		Demand:     s.demand(now, service, demand),
		StoreLoads: s.pipe.room(now, class.LoadsPerSecond),
		StoreLimit: s.pipe.limit,
	}
	for _, e := range known {
		// What a leaving engine holds serves nobody any more: gateways send it nothing, and its copies go with it.
		if !e.Leaving {
			in.Engines = append(in.Engines, s.engine(now, e, class))
		}
	}
	for _, c := range m.policy(in) {
		m.give(now, s, class, c, in.Demand[c.Load])
	}
}

// give sends a command and remembers it.
func (m *Manager) give(now time.Time, s *serviceState, class *catalog.EngineClass, c Command, d Demand) {
	m.nextID++
	s.given[c.Engine] = &givenCommand{Command: c, id: m.nextID, at: now}
	if c.Source == FromStore {
		s.pipe.begin(now, c.Engine, c.Load, class.Models[c.Load].LoadTime)
	}
	m.metrics.given(c, s.pipe)
	m.logger.Info("placement", "event", "placement", "engine", c.Engine, "load", c.Load, "unload", c.Unload, "source", c.Source.String(),
		"reason", c.Reason, "waiting", d.Waiting, "oldest_wait", d.OldestWait, "rate", d.Rate, "running", d.Running,
		"store_loads", len(s.pipe.running), "store_limit", s.pipe.limit)
	m.commander.Command(&controlpb.Command{Id: m.nextID, EndpointId: c.Engine, Unload: c.Unload, Load: c.Load})
}

// follow ends the commands that agents have finished, or never took up.
func (s *serviceState) follow(now time.Time, known []fleet.Engine) {
	present := make(map[string]bool, len(known))
	for _, e := range known {
		present[e.ID] = true
		g := s.given[e.ID]
		if g == nil {
			continue
		}
		g.taken = g.taken || e.Command == g.id
		if g.taken && e.Busy && !nameset.HoldsAny(e.Models, g.Unload) && !g.loading {
			g.loading = true
			s.pipe.started(now, e.ID)
		}
		switch {
		case e.Command == g.id && e.Loading == "" && !e.Busy:
			_, loaded := e.Models[g.Load]
			s.end(now, e.ID, loaded)
		case !g.taken && now.Sub(g.at) > commandPatience:
			s.end(now, e.ID, false)
		}
	}
	for id := range s.given {
		if !present[id] {
			s.end(now, id, false)
		}
	}
}

func (s *serviceState) end(now time.Time, engine string, succeeded bool) {
	s.metrics.ended(s.given[engine].Command, now.Sub(s.given[engine].at), succeeded)
	delete(s.given, engine)
	s.pipe.end(now, engine, succeeded)
}

// engine describes an engine for a decision.
func (s *serviceState) engine(now time.Time, e fleet.Engine, class *catalog.EngineClass) Engine {
	engine := Engine{
		ID:        e.ID,
		Free:      e.Reported && !e.Busy && e.Loading == "" && s.given[e.ID] == nil,
		Holds:     make(map[string]bool, len(e.Models)),
		Running:   e.Running + e.Queued,
		Loading:   e.Loading,
		Unloading: e.Unloading,
		InMemory:  e.InMemory,
		OnDisk:    e.OnDisk,
	}
	for m := range e.Models {
		engine.Holds[m] = true
	}
	if g := s.given[e.ID]; g != nil {
		engine.Loading, engine.Unloading = g.Load, nameset.Of(g.Unload)
		engine.Remaining = max(0, g.Source.LoadTime(class.Models[g.Load])-now.Sub(g.at))
	}
	return engine
}

// demand sums up what the gateways tell of a service's models.
func (s *serviceState) demand(now time.Time, service string, all map[string]*controlpb.Demand) map[string]Demand {
	sums := make(map[string]Demand)
	counts := make(map[string]map[string]int64)
	for gateway, message := range all {
		for _, d := range message.Models {
			if d.Service != service {
				continue
			}
			sum := sums[d.Model]
			sum.Waiting += int(d.Waiting)
			sum.Running += int(d.Running)
			if target := time.Duration(d.TargetMs) * time.Millisecond; target > 0 && (sum.Target == 0 || target < sum.Target) {
				sum.Target = target
			}
			sum.OldestWait = max(sum.OldestWait, time.Duration(d.OldestWaitMs)*time.Millisecond)
			sums[d.Model] = sum
			if counts[d.Model] == nil {
				counts[d.Model] = make(map[string]int64)
			}
			counts[d.Model][gateway] = d.Arrived
		}
	}
	for model := range counts {
		if s.rates[model] == nil {
			s.rates[model] = &rates{}
		}
	}
	for model, r := range s.rates {
		sum := sums[model]
		r.observe(now, sum.Running+sum.Waiting)
		r.update(now, counts[model])
		sum.Peak = int(r.peak + 0.5)
		sum.Rate, sum.LongRate, sum.LastArrival = r.short, r.long, r.lastArrival
		sums[model] = sum
	}
	return sums
}
