package app

import (
	"context"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/admission"
	"balsamsail/internal/agent"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/inbound"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/process"
	"balsamsail/internal/settings"
	"balsamsail/internal/timeline"
)

// RunAgent runs an agent until ctx ends and it has drained.
func RunAgent(ctx context.Context, s *settings.Agent, out Output) error {
	limitRuntimeMemory(s.Resources)
	container := dig.New()
	if err := provideCommon(container, s.Endpoint.Name, s.Log, s.Timeline, out); err != nil {
		return err
	}
	err := provideAll(container,
		func() *settings.Agent { return s },
		func() platformClients { return newPlatformClients(s.Platform) },
		func(l *slog.Logger, r prometheus.Registerer) (*inbound.Budget, error) {
			return newBudget(s.Resources, l, r)
		},
		newEngineClient,
		newCaller,
		newIdlePolicy,
		newAgent,
		newAgentServer,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role agentRole) error { return role.run(ctx) })
}

// agentRole holds the components of an agent.
type agentRole struct {
	dig.In

	Settings *settings.Agent
	Agent    *agent.Agent
	Server   *process.Server
	Budget   *inbound.Budget
	Logger   *slog.Logger
	Recorder *timeline.Recorder
}

func newEngineClient(s *settings.Agent) endpoint.Engine {
	timeouts := endpoint.Timeouts{Order: s.Order.Timeout}
	return endpoint.NewHTTPEngine(string(s.Endpoint.URL), s.Credentials.Reveal(), timeouts)
}

func newCaller(s *settings.Agent) (endpoint.Caller, error) {
	return endpoint.NewHTTPCaller(string(s.Endpoint.URL), endpoint.CallerOptions{
		EchoesRequestID:  s.Endpoint.EchoesRequestID,
		DialTimeout:      s.Endpoint.DialTimeout,
		IdleTimeout:      s.Endpoint.IdleTimeout,
		FreshConnections: s.Endpoint.FreshConnections,
	})
}

func newIdlePolicy(s *settings.Agent) agent.IdlePolicy {
	return idle.NewPolicy(idle.Options{Min: s.Idle.Min, Max: s.Idle.Max})
}

func newAgent(s *settings.Agent, i Incarnation, engine endpoint.Engine, caller endpoint.Caller, policy agent.IdlePolicy, table backing.Table, c clock.Clock, l *slog.Logger, r prometheus.Registerer, recorder *timeline.Recorder) *agent.Agent {
	return agent.New(agentOptions(s, i), agent.Dependencies{
		Engine:     engine,
		Caller:     caller,
		Table:      table,
		Policy:     policy,
		Clock:      c,
		Logger:     l,
		Registerer: r,
		Recorder:   recorder,
	})
}

func agentOptions(s *settings.Agent, i Incarnation) agent.Options {
	return agent.Options{
		Endpoint:        s.Endpoint.Name,
		Kind:            s.Endpoint.Kind,
		Host:            s.Agent.Host,
		FailureDomain:   s.Agent.FailureDomain,
		Labels:          s.Endpoint.Labels,
		OperatorAddress: string(s.Agent.MetricsListen),
		Incarnation:     uint64(i),
		Capacity:        s.Endpoint.MaxConcurrency,
		Queue: admission.Options{
			MaxWaiting:    s.Queue.MaxWaiting,
			MaxPerTarget:  s.Queue.MaxPerTarget,
			MaxPerCaller:  s.Queue.MaxPerCaller,
			BatchEvery:    s.Queue.BatchEvery,
			MaxRetryAfter: s.Queue.MaxRetryAfter,
			Seed:          uint64(i),
		},
		Loading: loading.Options{
			Engine:        s.Endpoint.Name,
			Host:          s.Agent.Host,
			MemoryBytes:   int64(s.Endpoint.Memory),
			ChecksFencing: s.Endpoint.ChecksFencing,
			OrderLifetime: s.Order.MaxLife,
			StateInterval: s.Order.StateInterval,
			PermitTimeout: s.Order.PermitPatience,
			Seed:          uint64(i),
		},
		MaxBatchHold:       s.Idle.LongestHold,
		Wire:               wireOptions(s.Wire),
		HeartbeatInterval:  s.Control.HeartbeatInterval,
		BatchDelay:         s.Control.BatchDelay,
		OrderTimeout:       s.Order.Timeout,
		ProbeInterval:      s.Endpoint.ProbeInterval,
		CommitTimeout:      s.Requests.CommitTimeout,
		MaxCallDuration:    s.Requests.MaxAnswer,
		DrainTimeout:       s.Drain.Timeout,
		TableRetryInterval: s.Control.TableRetry,
	}
}

// newAgentServer returns the server for an agent's operator endpoints: readiness, metrics and timeline.
func newAgentServer(s *settings.Agent, a *agent.Agent, l *slog.Logger, r *prometheus.Registry, recorder *timeline.Recorder) *process.Server {
	return process.NewServer(process.Options{
		Name:     s.Endpoint.Name,
		Ready:    a.Ready,
		Metrics:  r,
		Timeline: recorder,
		Logger:   l,
	})
}

// run serves until ctx ends and the agent has drained. The operator endpoints stay available during the drain.
func (r agentRole) run(ctx context.Context) error {
	listener, err := listen(r.Settings.Agent.Listen)
	if err != nil {
		return err
	}
	operators, err := listen(r.Settings.Agent.MetricsListen)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	drained, stop := context.WithCancel(groupCtx)
	group.Go(func() error {
		defer stop()
		return r.Agent.Run(ctx, listenForLinks(listener, r.Budget, hostResources(r.Settings.Resources).AgentConnections()))
	})
	serveHTTP(drained, group, operators, r.Server, auxiliary("metrics", r.Settings.Resources, r.Budget, r.Logger))
	recordListening(r.Logger, r.Recorder, "entries", listener.Addr())
	return group.Wait()
}
