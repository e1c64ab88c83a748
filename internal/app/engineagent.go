package app

import (
	"context"
	"log/slog"
	"net"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/control"
	"balsamsail/internal/engineagent"
	"balsamsail/internal/inbound"
	"balsamsail/internal/netconn"
	"balsamsail/internal/process"
	"balsamsail/internal/settings"
	"balsamsail/internal/settings/inifile"
	"balsamsail/platform"
)

// RunEngineAgent runs the agent of an engine until ctx ends.
func RunEngineAgent(ctx context.Context, s *settings.EngineAgent, logs Output) error {
	reloads := notifyReloadSignals()
	defer reloads.stop()
	out, flush := asyncOutput(logs)
	defer flush()
	limitRuntimeMemory(s.Resources)
	container := dig.New()
	err := provideAll(container,
		func() *settings.EngineAgent { return s },
		func() (*slog.Logger, error) { return newLogger(s.Log, out, s.Agent.Host) },
		process.NewRegistry,
		func(r *prometheus.Registry) prometheus.Registerer { return r },
		engineagent.NewMetrics,
		func(l *slog.Logger, r prometheus.Registerer) (*inbound.Budget, error) {
			return newBudget(s.Resources, l, r)
		},
		newEngineAgent,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role engineAgentRole) error {
		go reloads.handle(ctx, role.reload)
		return role.run(ctx)
	})
}

func newEngineAgent(s *settings.EngineAgent, l *slog.Logger, m *engineagent.Metrics) *engineagent.Agent {
	return engineagent.New(engineagent.Options{
		ReportInterval: s.Orders.ReportInterval,
		Timeout:        s.Orders.Timeout,
		Heartbeat:      s.Control.Heartbeat,
		SilenceLimit:   s.Control.SilenceLimit,
		Wire:           control.WireOptions(s.Control.SilenceLimit),
	}, platform.NewEngine(string(s.Agent.Engine), s.Agent.Host), l, m)
}

// engineAgentRole holds the components of an engine agent.
type engineAgentRole struct {
	dig.In

	Settings *settings.EngineAgent
	Agent    *engineagent.Agent
	Budget   *inbound.Budget
	Registry *prometheus.Registry
	Logger   *slog.Logger
}

// reload reads the settings again and logs which sections changed. All changes take effect at the next start.
func (r engineAgentRole) reload() { reloadSettings(r.Settings, r.Settings.Reload, r.Logger) }

func (r engineAgentRole) run(ctx context.Context) error {
	links, err := listenKeepAlive(r.Settings.Control.Listen)
	if err != nil {
		return err
	}
	metrics, err := listenKeepAlive(r.Settings.Agent.MetricsListen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { r.Agent.Run(ctx); return nil })
	accounted := listenForLinks(links, r.Budget, hostResources(r.Settings.Resources).AgentConnections())
	group.Go(func() error { return r.Agent.Serve(ctx, accounted) })
	server := process.NewServer(process.Options{Name: r.Settings.Agent.Host, Metrics: r.Registry, Logger: r.Logger})
	serveHTTP(ctx, group, metrics, server, auxiliary("metrics", r.Settings.Resources, r.Budget, r.Logger))
	r.Logger.Info("listening", "event", "started", "links", links.Addr().String(), "engine", string(r.Settings.Agent.Engine))
	err = group.Wait()
	r.Logger.Info("stopped", "event", "stopped", "error", err)
	return err
}

// listenKeepAlive opens a TCP listener with keep-alive probes and a user timeout, so that connections to an unresponsive
// peer are closed. It returns nil if the address is empty.
func listenKeepAlive(address inifile.Address) (net.Listener, error) {
	return listenWith(netconn.ListenConfig(), address)
}

func listenWith(config *net.ListenConfig, address inifile.Address) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := config.Listen(context.Background(), "tcp", string(address))
	if err != nil {
		return nil, errors.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return listener, nil
}
