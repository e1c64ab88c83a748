package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/catalog"
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
	// assumedGateways divides the shared part of the retry budget before the gateways know each other.
	assumedGateways = 6
	// refreshInterval is the time between two looks at endpoints whose registration lapsed.
	refreshInterval = 200 * time.Millisecond
)

// RunGateway runs a gateway until ctx ends and it has drained.
func RunGateway(ctx context.Context, s *settings.Gateway, logs Output) error {
	ignoreHangup()
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
		func(f *fleet.Fleet, p *control.Peers, a *control.Agents, l *slog.Logger) *placement.Manager {
			return placement.NewManager(f, p, a, l)
		},
		newSite,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role gatewayRole) error { return role.run(ctx) })
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

// ignoreHangup keeps a process running when it is told that its settings file has changed: its settings are read at its
// start.
func ignoreHangup() { signal.Ignore(syscall.SIGHUP) }

func linkOptions(c settings.ControlLinks) control.Options {
	return control.Options{Self: string(c.Listen), Interval: c.Interval, Heartbeat: c.Heartbeat, SilenceLimit: c.SilenceLimit}
}

func newGateway(s *settings.Gateway, f *fleet.Fleet, l *slog.Logger, m *gateway.Metrics) *gateway.Gateway {
	options := gateway.Options{
		Seed: rand.Uint64(),
		Budget: routing.BudgetOptions{
			Share:          s.Retries.Share * budgetUse,
			Burst:          max(1, s.Retries.Extra*budgetUse/assumedGateways),
			FloorPerSecond: 0.05,
		},
	}
	transport := &http.Transport{
		DialContext:         netconn.DialAbortive(),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	return gateway.New(options, platform.Codec{}, f, transport, l, m)
}

// site follows what the operator and the endpoints declare in the store. Its sinks run in goroutines of their own.
type site struct {
	fleet  *fleet.Fleet
	agents *control.Agents
	logger *slog.Logger

	events    chan func()
	endpoints *catalog.Endpoints
}

func newSite(f *fleet.Fleet, a *control.Agents, l *slog.Logger) *site {
	return &site{fleet: f, agents: a, logger: l, events: make(chan func()), endpoints: catalog.NewEndpoints()}
}

// run applies what the watches read, one event after another, until ctx ends.
func (s *site) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			event()
		case <-ticker.C:
			if next, ok := s.endpoints.NextChange(); ok && !time.Now().Before(next) {
				s.publish()
			}
		}
	}
}

// publish hands the endpoints that count to all that use them.
func (s *site) publish() {
	live := s.endpoints.Live(time.Now())
	added, removed := s.fleet.SetEndpoints(live)
	for _, e := range added {
		s.logger.Info("endpoint listed", "event", "endpoint_added", "endpoint", e.ID, "service", e.Service, "address", e.Address, "revision", e.Revision)
	}
	for _, e := range removed {
		s.logger.Info("endpoint gone", "event", "endpoint_gone", "endpoint", e.ID, "service", e.Service)
	}
	s.agents.SetEndpoints(live)
}

// configSink takes in the operator's configuration.
type configSink struct{ *site }

func (s configSink) Replace(rows []watch.Row) { s.Apply(rows) }
func (s configSink) Lost(error)               {}
func (s configSink) Back()                    {}

func (s configSink) Apply(rows []watch.Row) {
	for _, row := range rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(row.Value)
		if err != nil {
			s.logger.Error("configuration not understood, the one before stays in force", "event", "bad_config", "revision", row.Revision, "error", err)
			continue
		}
		if s.fleet.SetConfig(config) {
			s.logger.Info("configuration in force", "event", "config", "version", config.Version, "routes", config.Routes(), "revision", row.Revision)
			s.events <- s.publish
		}
	}
}

// endpointSink takes in the endpoints' registrations.
type endpointSink struct{ *site }

func (s endpointSink) Replace(rows []watch.Row) {
	s.events <- func() {
		var list []catalog.Endpoint
		for _, row := range rows {
			if e, ok := s.decode(row); ok {
				list = append(list, e)
			}
		}
		s.endpoints.Replace(list, time.Now())
		s.publish()
	}
}

func (s endpointSink) Apply(rows []watch.Row) {
	s.events <- func() {
		for _, row := range rows {
			if row.Deleted {
				s.endpoints.Remove(row.Key, time.Now())
			} else if e, ok := s.decode(row); ok {
				s.endpoints.Put(e)
			}
		}
		s.publish()
	}
}

func (s endpointSink) Lost(error) { s.events <- s.endpoints.StoreLost }
func (s endpointSink) Back()      { s.events <- func() { s.endpoints.StoreBack(time.Now()) } }

func (s endpointSink) decode(row watch.Row) (catalog.Endpoint, bool) {
	e, err := platform.DecodeEndpoint(row.Key, row.Value, row.Revision)
	if err != nil {
		s.logger.Error("registration of an endpoint not understood", "event", "bad_endpoint", "endpoint", row.Key, "error", err)
	}
	return e, err == nil
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
	Registry  *prometheus.Registry
	Logger    *slog.Logger
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

	store := platform.NewStore(string(r.Settings.Store.Address))
	r.watch(work, group, store, platform.OperatorTable, configSink{r.Site})
	r.watch(work, group, store, platform.EndpointTable, endpointSink{r.Site})
	for _, run := range []func(context.Context){r.Site.run, r.Agents.Run, r.Peers.Run, r.Placement.Run} {
		group.Go(func() error { run(work); return nil })
	}
	group.Go(func() error { return r.Peers.Serve(work, listeners.control) })
	group.Go(func() error {
		defer stopWork()
		drain := r.Settings.Drain
		return process.Serve(serving, listeners.clients, r.Gateway, process.ServeOptions{
			LameDuck:     drain.LameDuck,
			DrainTimeout: drain.Grace - drain.LameDuck - drain.Reserve,
			OnStop: func() {
				stopping.Store(true)
				r.Gateway.StopBy(time.Now().Add(drain.Grace - drain.Reserve))
				r.Logger.Info("stop begins", "event", "stopping", "active", r.Gateway.Active())
			},
			Logger: r.Logger,
		})
	})
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
	serveHTTP(work, group, listeners.readiness, server, process.ServeOptions{Logger: r.Logger})
	serveHTTP(work, group, listeners.metrics, server, process.ServeOptions{Logger: r.Logger})
	r.Logger.Info("listening", "event", "started", "clients", listeners.clients.Addr().String(), "domain", r.Settings.Gateway.FailureDomain)
	err = group.Wait()
	r.Logger.Info("stopped", "event", "stopped", "error", err)
	return err
}

func (r gatewayRole) watch(ctx context.Context, group *errgroup.Group, source watch.Source, table string, sink watch.Sink) {
	s := r.Settings.Store
	options := watch.Options{Table: table, Wait: s.Wait, Gather: s.Gather, MinBackoff: s.MinBackoff, MaxBackoff: s.MaxBackoff}
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
