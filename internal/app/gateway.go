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
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/gateway"
	"balsamsail/internal/hubs"
	"balsamsail/internal/inbound"
	"balsamsail/internal/netconn"
	"balsamsail/internal/placement"
	"balsamsail/internal/process"
	"balsamsail/internal/routing"
	"balsamsail/internal/settings"
	"balsamsail/internal/settings/inifile"
	"balsamsail/internal/streams"
	"balsamsail/internal/watch"
	"balsamsail/platform"
)

const (
	// budgetFraction is the fraction of the shared retry budget that the gateways use. The rest is a margin for requests
	// that the external check of the budget counts and a restarted gateway no longer does.
	budgetFraction = 0.6
	// minGateways is the lower bound on the number of gateways by which the shared retry budget is divided. A gateway
	// that has just started, or has lost its connections to agents, does not know of any other gateway.
	minGateways = 6
)

// RunGateway runs a gateway until ctx ends and it has drained.
func RunGateway(ctx context.Context, s *settings.Gateway, logs Output) error {
	reloads := notifyReloadSignals()
	defer reloads.stop()
	out, flush := asyncOutput(logs)
	defer flush()
	limitRuntimeMemory(s.Resources)
	container := dig.New()
	err := provideAll(container,
		func() *settings.Gateway { return s },
		func() (*slog.Logger, error) { return newLogger(s.Log, out, s.Gateway.Host) },
		process.NewRegistry,
		func(r *prometheus.Registry) prometheus.Registerer { return r },
		func() *fleet.Fleet { return fleet.New(s.Gateway.FailureDomain, rand.Uint64()) },
		gateway.NewMetrics,
		func(l *slog.Logger, r prometheus.Registerer) (*inbound.Budget, error) {
			return newBudget(s.Resources, l, r)
		},
		newGateway,
		func() control.Options { return linkOptions(s.Control) },
		func(o control.Options, f *fleet.Fleet, l *slog.Logger) *control.Agents {
			return control.NewAgents(o, s.Control.AgentPort, f, l)
		},
		func() hubs.Gateway { return selfGateway(s) },
		newDirectory,
		newBlamedParts,
		newSiteTables,
		crashes.New,
		func(f *fleet.Fleet) *crashes.Parts { return crashes.NewParts(f.MayHaveEnded) },
		streams.New,
		control.NewFacts,
		func(o control.Options, f *fleet.Fleet, facts *control.Facts, t siteTables, l *slog.Logger) *control.Hub {
			return control.NewHub(o, f, facts, t.all(), l)
		},
		func(o control.Options, self hubs.Gateway, a *control.Agents, h *control.Hub, f *fleet.Fleet, facts *control.Facts, t siteTables, l *slog.Logger) *control.Upstream {
			return control.NewUpstream(o, self, a, h, f, facts, t.all(), l)
		},
		control.NewPeers,
		placement.NewMetrics,
		watch.NewMetrics,
		func(f *fleet.Fleet, p *control.Peers, a *control.Agents, l *slog.Logger, m *placement.Metrics) *placement.Manager {
			return placement.NewManager(f, p, a, l, m, placement.Decide)
		},
		newSiteSync,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role gatewayRole) error {
		role.Directory.sink.onChange = role.Upstream.SetGateways
		if err := fleet.RegisterMetrics(role.Registry, role.Fleet); err != nil {
			return err
		}
		if err := control.RegisterMetrics(role.Registry, role.Agents, role.Hub, role.Upstream, role.Peers); err != nil {
			return err
		}
		go reloads.handle(ctx, role.reload)
		return role.run(ctx)
	})
}

// flushTimeout limits the time to write the remaining log lines at exit.
const flushTimeout = 200 * time.Millisecond

// asyncOutput returns a non-blocking Output and a function that flushes its buffer.
func asyncOutput(logs Output) (Output, func()) {
	w := process.NewAsyncWriter(logs)
	return Output{w}, func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		w.Close(ctx.Done())
	}
}

// selfGateway returns this gateway as it registers itself.
func selfGateway(s *settings.Gateway) hubs.Gateway {
	return hubs.Gateway{
		Address:       string(s.Control.Listen),
		FailureDomain: s.Gateway.FailureDomain,
		Processor:     s.Gateway.ProcessorShare * s.Gateway.ProcessorSpeed,
	}
}

// siteTables are a gateway's copies of the tables of the store that describe the site.
type siteTables struct{ config, endpoints, gateways, blamedParts *watch.Replica }

func newSiteTables(s *siteSync, d *directory, b *blamedParts) siteTables {
	t := siteTables{
		config:      watch.NewReplica(platform.OperatorTable, configSink{s}),
		endpoints:   watch.NewReplica(platform.EndpointTable, endpointSink{s}),
		gateways:    d.replica,
		blamedParts: b.replica,
	}
	t.config.OmitUnusable(func(r watch.Row) bool { return r.Key == platform.ConfigKey })
	t.endpoints.OmitUnusable(func(r watch.Row) bool {
		_, err := platform.DecodeEndpoint(r.Key, r.Value, r.Revision)
		return err == nil
	})
	t.gateways.OmitUnusable(func(r watch.Row) bool { _, err := hubs.DecodeRow(r.Key, r.Value); return err == nil })
	t.blamedParts.OmitUnusable(func(r watch.Row) bool {
		_, err := control.DecodeBlamedRow(time.Now(), r.Key, r.Value)
		return err == nil
	})
	return t
}

func (t siteTables) all() []*watch.Replica {
	return []*watch.Replica{t.config, t.endpoints, t.gateways, t.blamedParts}
}

func linkOptions(c settings.ControlLinks) control.Options {
	return control.Options{Self: string(c.Listen), Interval: c.Interval, Heartbeat: c.Heartbeat, SilenceLimit: c.SilenceLimit}
}

// minRetryRate is the number of retries per second that each gateway may always make, so that a gateway with little traffic
// can retry at all.
const minRetryRate = 0.05

func retryBudget(r settings.SharedRetries) routing.BudgetOptions {
	return routing.BudgetOptions{Share: r.Share * budgetFraction, Burst: r.Extra * budgetFraction, FloorPerSecond: minRetryRate}
}

// idleConnTimeout is the time after which an idle connection to an endpoint is closed. Each is probed once a second. On a
// large site a gateway uses an engine every 20 s or so; kept for that long, a connection for each pair of gateway and engine
// would stay open and be probed.
const idleConnTimeout = 4 * time.Second

func newGateway(s *settings.Gateway, f *fleet.Fleet, p *control.Peers, c *crashes.Tracker, parts *crashes.Parts, st *streams.Registry, l *slog.Logger, m *gateway.Metrics) *gateway.Gateway {
	options := gateway.Options{
		MaxPerService: hostResources(s.Resources).RequestsPerService(),
		Seed:          rand.Uint64(),
		Budget:        retryBudget(s.Retries),
		GatewayCount:  func() int { return max(p.GatewayCount(), minGateways) },
		Crashes:       c,
		Parts:         parts,
		Streams:       st,
		InContact:     func() bool { return p.InContact(time.Now()) },
	}
	transport := &http.Transport{
		DialContext:         netconn.DialAbortive(),
		MaxIdleConns:        hostResources(s.Resources).IdleConnections(),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return gateway.New(options, platform.Codec{}, f, transport, l, m)
}

// gatewayRole holds the components of a gateway.
type gatewayRole struct {
	dig.In

	Settings     *settings.Gateway
	Gateway      *gateway.Gateway
	Fleet        *fleet.Fleet
	Sync         *siteSync
	Tables       siteTables
	Directory    *directory
	BlamedParts  *blamedParts
	Agents       *control.Agents
	Hub          *control.Hub
	Upstream     *control.Upstream
	Peers        *control.Peers
	Placement    *placement.Manager
	Budget       *inbound.Budget
	WatchMetrics *watch.Metrics
	Registry     *prometheus.Registry
	Logger       *slog.Logger
}

// reload reads the settings again. Changes of the retry budget apply at once, all others at the next start.
func (r gatewayRole) reload() {
	if next := reloadSettings(r.Settings, r.Settings.Reload, r.Logger, "retries"); next != nil {
		r.Gateway.SetBudget(retryBudget(next.Retries))
	}
}

// run serves until ctx ends and the gateway has drained. Watches and connections to agents and peers stay open until the
// in-flight requests have ended.
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

	r.startBackground(work, group, listeners)
	group.Go(func() error {
		defer stopWork()
		return r.serveClients(serving, listeners, &stopping)
	})
	r.serveReadiness(work, group, listeners, &stopping)
	r.Logger.Info("listening", "event", "started", "clients", listeners.clients.Addr().String(), "domain", r.Settings.Gateway.FailureDomain)
	err = group.Wait()
	r.Logger.Info("stopped", "event", "stopped", "error", err)
	return err
}

// startBackground starts the tasks that keep the gateway's state up to date, and placement decisions while this gateway is
// the coordinator. They run until ctx ends.
func (r gatewayRole) startBackground(ctx context.Context, group *errgroup.Group, listeners gatewayListeners) {
	store := platform.NewStore(string(r.Settings.Store.Address))
	group.Go(func() error { r.Directory.register(ctx, store); r.Directory.keepRegistered(ctx, store); return nil })
	group.Go(func() error { r.BlamedParts.run(ctx, store); return nil })
	for _, replica := range r.Tables.all() {
		r.startFeed(ctx, group, store, replica)
	}
	for _, run := range []func(context.Context){r.Sync.run, r.Agents.Run, r.Hub.Run, r.Upstream.Run, r.Peers.Run, r.Placement.Run} {
		group.Go(func() error { run(ctx); return nil })
	}
	links := listenForLinks(listeners.control, r.Budget, hostResources(r.Settings.Resources).LinkConnections())
	group.Go(func() error { return r.Peers.Serve(ctx, links) })
}

// serveClients accepts client requests until ctx ends, then drains those in flight.
func (r gatewayRole) serveClients(ctx context.Context, listeners gatewayListeners, stopping *atomic.Bool) error {
	drain := r.Settings.Drain
	return process.Serve(ctx, listeners.clients, r.Gateway, process.ServeOptions{
		LameDuck:     drain.LameDuck,
		DrainTimeout: drain.Grace - drain.LameDuck - drain.Reserve,
		OnStop: func() {
			stopping.Store(true)
			r.Hub.Drain()
			now := time.Now()
			r.Gateway.ShutdownAt(now.Add(drain.LameDuck), now.Add(drain.Grace-drain.Reserve))
			r.Logger.Info("shutting down", "event", "stopping", "active", r.Gateway.Active())
		},
		Budget: r.Budget,
		Listener: inbound.Options{
			Name: "clients", MaxConnections: hostResources(r.Settings.Resources).ClientConnections(), MaxHeadBytes: r.maxHeadBytes,
		},
		Refuse: r.Gateway.RefuseForRoom,
		Logger: r.Logger,
	})
}

// maxHeadBytes returns the operator's limit of a request's head; 0 before the first configuration.
func (r gatewayRole) maxHeadBytes() int {
	if config := r.Fleet.Config(); config != nil {
		return config.Limits.MaxHeaderBytes
	}
	return 0
}

// serveReadiness serves the load balancer's readiness probe and the metrics until ctx ends.
func (r gatewayRole) serveReadiness(ctx context.Context, group *errgroup.Group, listeners gatewayListeners, stopping *atomic.Bool) {
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
	serveHTTP(ctx, group, listeners.readiness, server, auxiliary("readiness", r.Settings.Resources, r.Budget, r.Logger))
	serveHTTP(ctx, group, listeners.metrics, server, auxiliary("metrics", r.Settings.Resources, r.Budget, r.Logger))
}

// directoryWait is the long-poll timeout of a watch of a table that rarely changes.
const directoryWait = 30 * time.Second

func (r gatewayRole) startFeed(ctx context.Context, group *errgroup.Group, source watch.Source, replica *watch.Replica) {
	s := r.Settings.Store
	wait := func() time.Duration {
		switch {
		case replica == r.Tables.gateways || replica == r.Tables.blamedParts:
			return directoryWait
		case r.Upstream.IsMesh():
			return s.Wait
		}
		return s.HubWait
	}
	f := &feed{
		replica:  replica,
		source:   source,
		options:  watchOptions(s, wait, r.WatchMetrics),
		upstream: r.Upstream,
		logger:   r.Logger,
		started:  time.Now(),
	}
	group.Go(func() error { f.run(ctx); return nil })
}

func watchOptions(s settings.Store, wait func() time.Duration, metrics *watch.Metrics) watch.Options {
	return watch.Options{Wait: wait, CoalesceDelay: s.Gather, MinBackoff: s.MinBackoff, MaxBackoff: s.MaxBackoff, Metrics: metrics}
}

// gatewayListeners holds a gateway's listeners.
type gatewayListeners struct{ clients, readiness, control, metrics net.Listener }

func (r gatewayRole) listen() (gatewayListeners, error) {
	var l gatewayListeners
	var err error
	if l.clients, err = listenWith(netconn.ClientListenConfig(), r.Settings.Gateway.Listen); err != nil {
		return l, err
	}
	for _, each := range []struct {
		listener *net.Listener
		address  inifile.Address
	}{
		{&l.readiness, r.Settings.Gateway.ReadinessListen},
		{&l.control, r.Settings.Control.Listen},
		{&l.metrics, r.Settings.Gateway.MetricsListen},
	} {
		*each.listener, err = listenKeepAlive(each.address)
		if err != nil {
			return l, err
		}
	}
	return l, nil
}
