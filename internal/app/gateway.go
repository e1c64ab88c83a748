package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/control"
	"balsamsail/internal/fleet"
	"balsamsail/internal/gateway"
	"balsamsail/internal/netconn"
	"balsamsail/internal/placement"
	"balsamsail/internal/process"
	"balsamsail/internal/routing"
	"balsamsail/internal/settings"
	"balsamsail/internal/settings/inifile"
	"balsamsail/internal/watch"
	"balsamsail/platform"
)

const (
	// budgetUse is the part of the retry budget of all gateways that they use. The rest covers what each counts otherwise
	// than the judge of the budget does: requests that gateways which were restarted have forgotten.
	budgetUse = 0.6
	// assumedGateways is the least number of gateways by which the shared part of the retry budget is divided: a gateway that
	// starts, or loses its links to agents, knows none but itself.
	assumedGateways = 6
)

// RunGateway runs a gateway until ctx ends and it has drained.
func RunGateway(ctx context.Context, s *settings.Gateway, logs Output) error {
	hangups := notifyHangups()
	defer hangups.stop()
	out, flush := neverBlocking(logs)
	defer flush()
	container := dig.New()
	err := provideAll(container,
		func() *settings.Gateway { return s },
		func() (*slog.Logger, error) { return newLogger(s.Log, out, s.Gateway.Host) },
		process.NewRegistry,
		func(r *prometheus.Registry) prometheus.Registerer { return r },
		func() *fleet.Fleet { return fleet.New(s.Gateway.FailureDomain, rand.Uint64()) },
		gateway.NewMetrics,
		newGateway,
		func() control.Options { return linkOptions(s.Control) },
		func(o control.Options, f *fleet.Fleet, l *slog.Logger) *control.Agents {
			return control.NewAgents(o, s.Control.AgentPort, f, l)
		},
		control.NewPeers,
		placement.NewMetrics,
		watch.NewMetrics,
		func(f *fleet.Fleet, p *control.Peers, a *control.Agents, l *slog.Logger, m *placement.Metrics) *placement.Manager {
			return placement.NewManager(f, p, a, l, m, placement.Decide)
		},
		newSite,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role gatewayRole) error {
		if err := control.RegisterMetrics(role.Registry, role.Agents, role.Peers); err != nil {
			return err
		}
		go hangups.follow(ctx, role.reload)
		return role.run(ctx)
	})
}

// flushPatience bounds the wait for the last log lines at the end of a process.
const flushPatience = 200 * time.Millisecond

// neverBlocking returns a log's writer that never blocks, and a function that writes out what is left.
func neverBlocking(logs Output) (Output, func()) {
	w := process.NewAsyncWriter(logs)
	return Output{w}, func() {
		giveUp, cancel := context.WithTimeout(context.Background(), flushPatience)
		defer cancel()
		w.Close(giveUp.Done())
	}
}

func linkOptions(c settings.ControlLinks) control.Options {
	return control.Options{Self: string(c.Listen), Interval: c.Interval, Heartbeat: c.Heartbeat, SilenceLimit: c.SilenceLimit}
}

// retryFloor is how many repeated sendings a second each gateway may make whatever else came, so that one with little traffic
// can repeat at all.
const retryFloor = 0.05

func retryBudget(r settings.SharedRetries) routing.BudgetOptions {
	return routing.BudgetOptions{Share: r.Share * budgetUse, Burst: r.Extra * budgetUse, FloorPerSecond: retryFloor}
}

func newGateway(s *settings.Gateway, f *fleet.Fleet, p *control.Peers, l *slog.Logger, m *gateway.Metrics) *gateway.Gateway {
	options := gateway.Options{
		Seed:         rand.Uint64(),
		Budget:       retryBudget(s.Retries),
		GatewayCount: func() int { return max(p.GatewayCount(), assumedGateways) },
	}
	transport := &http.Transport{
		DialContext:         netconn.DialAbortive(),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	return gateway.New(options, platform.Codec{}, f, transport, l, m)
}

// gatewayRole is an assembled gateway.
type gatewayRole struct {
	dig.In

	Settings  *settings.Gateway
	Gateway   *gateway.Gateway
	Fleet     *fleet.Fleet
	Site      *site
	Agents    *control.Agents
	Peers     *control.Peers
	Placement *placement.Manager
	Watches   *watch.Metrics
	Registry  *prometheus.Registry
	Logger    *slog.Logger
}

// reload takes in settings that have changed. The budget of repeated sendings changes at once, all else at the next start.
func (r gatewayRole) reload() {
	if next := readAgain(r.Settings, r.Settings.Reload, r.Logger, "retries"); next != nil {
		r.Gateway.SetBudget(retryBudget(next.Retries))
	}
}

// run serves until ctx ends. The watches and links go on until the clients' requests have ended.
func (r gatewayRole) run(ctx context.Context) error {
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	work, stopWork := context.WithCancel(groupCtx)
	serving, stopServing := context.WithCancel(groupCtx)
	defer stopServing()
	defer context.AfterFunc(ctx, stopServing)()
	var stopping atomic.Bool

	r.follow(work, group, listeners)
	group.Go(func() error {
		defer stopWork()
		return r.serveClients(serving, listeners, &stopping)
	})
	r.serveState(work, group, listeners, &stopping)
	r.Logger.Info("listening", "event", "started", "clients", listeners.clients.Addr().String(), "domain", r.Settings.Gateway.FailureDomain)
	err = group.Wait()
	r.Logger.Info("stopped", "event", "stopped", "error", err)
	return err
}

// follow keeps what the gateway believes up to date, and decides on placement where it coordinates, until ctx ends.
func (r gatewayRole) follow(ctx context.Context, group *errgroup.Group, listeners gatewayListeners) {
	store := platform.NewStore(string(r.Settings.Store.Address))
	r.watch(ctx, group, store, platform.OperatorTable, configSink{r.Site})
	r.watch(ctx, group, store, platform.EndpointTable, endpointSink{r.Site})
	for _, run := range []func(context.Context){r.Site.run, r.Agents.Run, r.Peers.Run, r.Placement.Run} {
		group.Go(func() error { run(ctx); return nil })
	}
	group.Go(func() error { return r.Peers.Serve(ctx, listeners.control) })
}

// serveClients takes clients' requests until ctx ends, and answers those that it has.
func (r gatewayRole) serveClients(ctx context.Context, listeners gatewayListeners, stopping *atomic.Bool) error {
	drain := r.Settings.Drain
	return process.Serve(ctx, listeners.clients, r.Gateway, process.ServeOptions{
		LameDuck:     drain.LameDuck,
		DrainTimeout: drain.Grace - drain.LameDuck - drain.Reserve,
		OnStop: func() {
			stopping.Store(true)
			r.Gateway.ShutdownAt(time.Now().Add(drain.Grace - drain.Reserve))
			r.Logger.Info("stop begins", "event", "stopping", "active", r.Gateway.Active())
		},
		Logger: r.Logger,
	})
}

// serveState answers the balancer's question whether to send connections, and serves metrics, until ctx ends.
func (r gatewayRole) serveState(ctx context.Context, group *errgroup.Group, listeners gatewayListeners, stopping *atomic.Bool) {
	ready := func() []string {
		switch {
		case stopping.Load():
			return []string{"the process stops"}
		case !r.Fleet.Ready():
			return []string{"no configuration and list of endpoints yet"}
		}
		return nil
	}
	server := process.NewServer(process.Options{Name: r.Settings.Gateway.Host, Ready: ready, Metrics: r.Registry, Logger: r.Logger})
	server.Router().Get(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if len(ready()) > 0 {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
	})
	serveHTTP(ctx, group, listeners.readiness, server, process.ServeOptions{Logger: r.Logger})
	serveHTTP(ctx, group, listeners.metrics, server, process.ServeOptions{Logger: r.Logger})
}

func (r gatewayRole) watch(ctx context.Context, group *errgroup.Group, source watch.Source, table string, sink watch.Sink) {
	s := r.Settings.Store
	options := watch.Options{Table: table, Wait: s.Wait, CoalesceDelay: s.Gather, MinBackoff: s.MinBackoff, MaxBackoff: s.MaxBackoff, Metrics: r.Watches}
	group.Go(func() error { watch.Run(ctx, source, sink, options, r.Logger); return nil })
}

// gatewayListeners are a gateway's listeners.
type gatewayListeners struct{ clients, readiness, control, metrics net.Listener }

func (r gatewayRole) listen() (gatewayListeners, error) {
	var l gatewayListeners
	var err error
	for _, each := range []struct {
		listener *net.Listener
		address  inifile.Address
	}{
		{&l.clients, r.Settings.Gateway.Listen},
		{&l.readiness, r.Settings.Gateway.ReadinessListen},
		{&l.control, r.Settings.Control.Listen},
		{&l.metrics, r.Settings.Gateway.MetricsListen},
	} {
		*each.listener, err = listenBetweenHosts(each.address)
		if err != nil {
			return l, err
		}
	}
	return l, nil
}
