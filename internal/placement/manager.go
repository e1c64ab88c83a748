package placement

import (
	"context"
	"log/slog"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/clock"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
)

const (
	// decideInterval is the time between two decisions. Reports from agents and gateways are up to twice as old.
	decideInterval = 100 * time.Millisecond
	// commandAckTimeout is the time within which an agent must report that it has accepted a command. After that the
	// engine counts as free again.
	commandAckTimeout = time.Second
	// maxDutyCycle bounds the share of the time that decisions take. Each request that starts to wait triggers one; on a
	// large site, on a slow host, the gateway would otherwise do nothing else.
	maxDutyCycle = 0.1
	// maxDecidePause bounds the pause after a decision: a decision that took long because its process was not scheduled
	// must not delay the next one much further.
	maxDecidePause = 2 * decideInterval
)

// Site provides the configuration and the state of the engines. Implemented by fleet.Fleet.
type Site interface {
	Config() *catalog.Config
	Engines(service string, now time.Time) []fleet.Engine
}

// Gateways provides the demand of all gateways and reports whether this gateway is the coordinator. Implemented by
// control.Peers.
type Gateways interface {
	IsCoordinator(now time.Time) bool
	Demand(now time.Time) []demand.Model
	// Waiting returns a channel that is signaled when a request starts waiting for a model.
	Waiting() <-chan struct{}
}

// Commander sends commands to agents. Implemented by control.Agents.
type Commander interface {
	SendCommand(c *controlpb.Command)
}

// Policy returns the commands to send now, at most one per engine.
type Policy func(Input) []Command

// Manager runs a placement policy while its gateway is the coordinator.
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

// serviceState is the state of a service that is kept between decisions.
type serviceState struct {
	rates        map[string]*rates
	storeLimiter *storeLimiter
	// pending are the commands that have not completed, by engine.
	pending map[string]*pendingCommand
	metrics *Metrics
}

type pendingCommand struct {
	Command
	id uint64
	// engineStarted is the start of the engine process that the command is meant for; 0 if unknown.
	engineStarted int64
	sentAt        time.Time
	accepted      bool
	// loading is set once the engine has started the load.
	loading bool
}

// NewManager returns a manager that has no state yet.
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

// Run makes decisions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.gateways.Waiting():
		}
		started := time.Now()
		m.Step(started)
		clock.Pause(ctx, pauseAfter(time.Since(started)))
	}
}

// pauseAfter returns the pause after a decision that keeps decisions within maxDutyCycle.
func pauseAfter(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)*(1/maxDutyCycle-1)), maxDecidePause)
}

// Step makes one decision for each service with engines.
func (m *Manager) Step(now time.Time) {
	config := m.site.Config()
	if config == nil || !m.gateways.IsCoordinator(now) {
		clear(m.services)
		return
	}
	models := m.gateways.Demand(now)
	for name, service := range config.Services {
		if service.Engine != nil {
			m.decide(now, name, service.Engine, models)
		}
	}
}

func (m *Manager) decide(now time.Time, service string, class *catalog.EngineClass, models []demand.Model) {
	s := m.services[service]
	if s == nil {
		s = &serviceState{rates: make(map[string]*rates), storeLimiter: newStoreLimiter(), pending: make(map[string]*pendingCommand), metrics: m.metrics}
		m.services[service] = s
	}
	engines := m.site.Engines(service, now)
	s.updatePending(now, engines)
	in := Input{
		Class:      class,
		Demand:     s.updateDemand(now, service, models),
		StoreLoads: s.storeLimiter.available(now, class.LoadsPerSecond),
		StoreLimit: s.storeLimiter.limit,
	}
	for _, e := range engines {
		// Gateways send no requests to a leaving engine, and its copies disappear with it.
		if !e.Leaving {
			in.Engines = append(in.Engines, s.engineInput(now, e, class))
		}
	}
	for _, c := range m.policy(in) {
		m.send(now, s, class, c, in)
	}
}

// send sends a command and records it as pending.
func (m *Manager) send(now time.Time, s *serviceState, class *catalog.EngineClass, c Command, in Input) {
	m.nextID++
	d, started := in.Demand[c.Load], in.processStart(c.Engine)
	s.pending[c.Engine] = &pendingCommand{Command: c, id: m.nextID, engineStarted: started, sentAt: now}
	if c.Source == FromStore {
		s.storeLimiter.acquire(now, c.Engine, c.Load, class.Models[c.Load].StoreLoadTime)
	}
	m.metrics.commandSent(c, s.storeLimiter)
	m.logger.Info("placement", "event", "placement", "engine", c.Engine, "load", c.Load, "unload", c.Unload, "source", c.Source.String(),
		"reason", c.Reason, "waiting", d.Waiting, "oldest_wait", d.OldestWait, "rate", d.Rate, "running", d.Running,
		"store_loads", len(s.storeLimiter.running), "store_limit", s.storeLimiter.limit)
	m.commander.SendCommand(&controlpb.Command{Id: m.nextID, EndpointId: c.Engine, EngineStartedMs: started, Unload: c.Unload, Load: c.Load})
}

// updatePending removes the commands that agents have completed or have not accepted in time.
func (s *serviceState) updatePending(now time.Time, engines []fleet.Engine) {
	present := make(map[string]bool, len(engines))
	for _, e := range engines {
		present[e.ID] = true
		c := s.pending[e.ID]
		if c == nil {
			continue
		}
		if c.engineStarted != 0 && e.Started != 0 && e.Started != c.engineStarted {
			// The engine has restarted under its ID; its agent has dropped the command.
			s.finish(now, e.ID, false)
			continue
		}
		c.accepted = c.accepted || e.Command == c.id
		if c.accepted && e.Busy && !nameset.HoldsAny(e.Models, c.Unload) && !c.loading {
			c.loading = true
			s.storeLimiter.loadStarted(now, e.ID)
		}
		switch {
		case e.Command == c.id && e.Loading == "" && !e.Busy:
			_, loaded := e.Models[c.Load]
			s.finish(now, e.ID, loaded)
		case !c.accepted && now.Sub(c.sentAt) > commandAckTimeout:
			s.finish(now, e.ID, false)
		}
	}
	for id := range s.pending {
		if !present[id] {
			s.finish(now, id, false)
		}
	}
}

func (s *serviceState) finish(now time.Time, engine string, succeeded bool) {
	s.metrics.commandFinished(s.pending[engine].Command, now.Sub(s.pending[engine].sentAt), succeeded)
	delete(s.pending, engine)
	s.storeLimiter.release(now, engine, succeeded)
}

// engineInput returns the policy's input for an engine. A pending command overrides the reported one.
func (s *serviceState) engineInput(now time.Time, e fleet.Engine, class *catalog.EngineClass) Engine {
	engine := Engine{
		ID:        e.ID,
		Version:   e.Version,
		Started:   e.Started,
		Free:      e.Reported && !e.Busy && e.Loading == "" && s.pending[e.ID] == nil,
		Loaded:    make(map[string]bool, len(e.Models)),
		Running:   e.Running + e.Queued,
		Loading:   e.Loading,
		Unloading: e.Unloading,
		InMemory:  e.InMemory,
		OnDisk:    e.OnDisk,
		Limited:   e.Limit.Named,
		RateLimit: e.Limit.PerSecond,
	}
	for m := range e.Models {
		engine.Loaded[m] = true
	}
	if c := s.pending[e.ID]; c != nil {
		engine.Loading, engine.Unloading = c.Load, nameset.Of(c.Unload)
		engine.Remaining = max(0, c.Source.LoadTime(class.Models[c.Load])-now.Sub(c.sentAt))
	}
	return engine
}

// updateDemand returns the demand for a service's models, with the rates that follow from it.
func (s *serviceState) updateDemand(now time.Time, service string, models []demand.Model) map[string]Demand {
	current := make(map[string]Demand, len(models))
	arrived := make(map[string]int64, len(models))
	for _, m := range models {
		if m.Service != service || m.Version != "" {
			continue
		}
		current[m.Model] = Demand{Waiting: m.Waiting, OldestWait: m.OldestWait, Running: m.Running, Target: m.FirstEventTarget}
		arrived[m.Model] = m.Arrived
		if s.rates[m.Model] == nil {
			s.rates[m.Model] = &rates{}
		}
	}
	for _, m := range models {
		if m.Service != service || m.Version == "" || m.Waiting == 0 {
			continue
		}
		d := current[m.Model]
		d.Waiting, d.OldestWait = d.Waiting+m.Waiting, max(d.OldestWait, m.OldestWait)
		if d.WaitingAt == nil {
			d.WaitingAt = make(map[string]int)
		}
		d.WaitingAt[m.Version] += m.Waiting
		current[m.Model] = d
	}
	for model, r := range s.rates {
		d := current[model]
		r.observe(now, d.Running+d.Waiting)
		r.update(now, arrived[model])
		d.Peak = int(r.peak + 0.5)
		d.Rate, d.LongRate, d.LastArrival = r.short, r.long, r.lastArrival
		current[model] = d
	}
	return current
}
