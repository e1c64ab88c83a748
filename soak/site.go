package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/childprocess"
	"balsamsail/internal/faultlink"
	"balsamsail/platform/standin"
)

// Ports are the same on all hosts; each host has a loopback address of its own.
const (
	portClients      = 18149
	portReadiness    = 18141
	portEndpoint     = 18145
	portAgent        = 18380
	portPeers        = 18395
	portStore        = 18142
	portMetrics      = 9464
	portAgentMetrics = 9465
)

// The parameters of the site. Times and sizes are scaled down so that a run of a minute sees many model loads.
const (
	grace           = 8 * time.Second
	heartbeat       = 600 * time.Millisecond
	storeLoadTime   = 1200 * time.Millisecond
	diskLoadTime    = 400 * time.Millisecond
	memoryLoadTime  = 150 * time.Millisecond
	adapterLoadTime = 20 * time.Millisecond
	modelMB         = 100
	adapterMB       = 1
	engineMB        = 250
	adapterCapacity = 4
	loadsPerSecond  = 2.5
	fullSpeedLoads  = 2
	engineSlots     = 16
	serviceSlots    = 8
	serviceTime     = 20 * time.Millisecond
	eventInterval   = 25 * time.Millisecond
	retryRatio      = 0.2
	retryExtra      = 10
	retryWindow     = 10 * time.Second
)

// maxBodyBytes is the limit of a request's body that the site declares.
const maxBodyBytes = 1 << 20

// The names of the site's services and its host name for clients.
const (
	engineService = "advisory"
	ledgerService = "ledger"
	padsService   = "pads"
	siteHost      = "site.soak"
)

// size is the number of hosts of each kind in a site, and of models.
type size struct{ gateways, engines, services, models int }

// host is a host that runs one of the programs under test: a gateway, or the agent of an engine.
type host struct {
	name    string
	process *childprocess.Process
	// readiness and metrics are the addresses of the process's readiness check and metrics.
	readiness, metrics string
	// links are the proxied network paths to and from this host.
	links []*faultlink.Link
	// frontend is the address on which a gateway accepts clients' requests.
	frontend string
}

// endpointHost is a host on which one incarnation of an endpoint runs after another.
type endpointHost struct {
	name   string
	listen string
	// listed is the registered address of the endpoint; link proxies it to listen.
	listed string
	link   *faultlink.Link
	// service is the service to which the endpoint belongs, except while a fault reuses its address for another one.
	service string
	agent   *host
	// index is the position in site.endpoints.
	index int

	mu       sync.Mutex
	endpoint *standin.Endpoint
	disk     map[string]bool
	starts   uint64
	// version is that of the software of the last incarnation.
	version string
}

// site is the whole system with its stand-ins.
type site struct {
	seed      uint64
	octet     int
	dir       string
	store     *standin.Store
	server    *http.Server
	operator  *standin.Operator
	weights   *standin.WeightStore
	checker   *checker
	gateways  []*host
	agents    []*host
	endpoints []*endpointHost
	models    []string

	mu     sync.Mutex
	states map[string]*processState
	// endings are the requests that end endpoints, with the time at which each was first sent.
	endings map[string]time.Time
	// endingClients is the number of clients that have sent such requests.
	endingClients atomic.Int64
	// skewed is the gateway that most new connections go to; it holds nil while they are spread.
	skewed atomic.Pointer[host]
	// badPartsSent is the number of parts that have ended endpoints so far, badPartsActive that of those still being sent.
	badPartsSent, badPartsActive atomic.Int64
}

// ip returns a loopback address. Links listen on addresses of their own, apart from the hosts that they lead to.
func (s *site) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, kind, n+1) }

// The kinds of addresses.
const (
	ipGateway = iota + 1
	ipEndpointListed
	ipEndpoint
	ipStore
	ipStorePath
)

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// addressRanges is the number of ranges of loopback addresses: runs at the same time need seeds with different remainders by it.
const addressRanges = 200

// newSite creates the stand-ins, the links and the processes' settings, and starts only the store and the links. Settings
// templates are read from root.
func newSite(seed uint64, sz size, dir, root, binary string, c *checker) (*site, error) {
	s := &site{
		seed: seed, octet: 20 + int(seed%addressRanges), dir: dir, store: standin.NewStore(), checker: c, states: map[string]*processState{}, endings: map[string]time.Time{},
		weights: &standin.WeightStore{FullSpeed: fullSpeedLoads},
	}
	s.operator = standin.NewOperator(s.store)
	for i := range sz.models {
		s.models = append(s.models, fmt.Sprintf("model-%d", i+1))
	}
	listener, err := net.Listen("tcp", hostPort(s.ip(ipStore, 0), portStore))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(listener) }()
	for i := range sz.gateways {
		if err := s.addGateway(i, root, binary); err != nil {
			return nil, err
		}
	}
	s.throttleSlowStorePath()
	for i := range sz.engines + sz.services {
		if err := s.addEndpointHost(i, sz, root, binary); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addGateway(i int, root, binary string) error {
	name, ip := fmt.Sprintf("gateway-%d", i+1), s.ip(ipGateway, i)
	path, err := faultlink.New(hostPort(s.ip(ipStorePath, i), portStore), hostPort(s.ip(ipStore, 0), portStore))
	if err != nil {
		return errors.WithStack(err)
	}
	h := &host{
		name: name, frontend: hostPort(ip, portClients), readiness: hostPort(ip, portReadiness), metrics: hostPort(ip, portMetrics),
		links: []*faultlink.Link{path},
	}
	err = s.configureProcess(h, root, binary, "gateway", map[string]string{
		"node_name": name, "zone": failureDomain(i), "ip": ip, "listen.frontend": h.frontend, "listen.readiness": h.readiness,
		"platform.address": path.Address(), "internal_ports.0": fmt.Sprint(portAgent), "internal_ports.1": fmt.Sprint(portPeers),
		"bounds.retry_budget_ratio": fmt.Sprint(retryRatio), "bounds.budget_extra_retries": fmt.Sprint(retryExtra),
		"bounds.budget_window_s": fmt.Sprint(retryWindow.Seconds()), "bounds.grace_s": fmt.Sprint(grace.Seconds()),
		"limits.memory_mb": fmt.Sprint(maxMemoryMB), "limits.max_fds": fmt.Sprint(maxDescriptors),
	})
	s.gateways = append(s.gateways, h)
	return err
}

// slowStorePathRate is the bandwidth, in bytes per second, of the last gateway's path to the store. A table passes within a
// fifth of a second; the versions written in a cut take longer than one call may.
const slowStorePathRate = 256 << 10

// idleRoutes is the number of routes that no client uses. They give the configuration the size that it has on a site with two
// hundred models, some 30 kB.
const idleRoutes = 120

// throttleSlowStorePath limits the last gateway's path to the store, also after a fault on it has been healed.
func (s *site) throttleSlowStorePath() {
	last := s.gateways[len(s.gateways)-1]
	last.links[0].SetThrottle(faultlink.Throttle{BytesPerSecond: slowStorePathRate})
}

func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i%2+1) }

// configureProcess writes a process's settings file and sets its command line.
func (s *site) configureProcess(h *host, root, binary, role string, values map[string]string) error {
	file := filepath.Join(s.dir, h.name+".ini")
	if err := standin.FillTemplate(filepath.Join(root, "platform", role+".ini"), file, values); err != nil {
		return err
	}
	h.process = &childprocess.Process{
		Name: h.name, Path: binary, Args: []string{role, "-config", file}, Log: filepath.Join(s.dir, h.name+".log"),
	}
	return nil
}

func (s *site) addEndpointHost(i int, sz size, root, binary string) error {
	p := &endpointHost{index: i, listen: hostPort(s.ip(ipEndpoint, i), portEndpoint), listed: hostPort(s.ip(ipEndpointListed, i), portEndpoint), disk: map[string]bool{}}
	link, err := faultlink.New(p.listed, p.listen)
	if err != nil {
		return errors.WithStack(err)
	}
	p.link = link
	s.endpoints = append(s.endpoints, p)
	if i >= sz.engines {
		p.service = []string{ledgerService, padsService}[i%2]
		p.name = fmt.Sprintf("service-%d", i+1-sz.engines)
		return nil
	}
	p.service, p.name = engineService, fmt.Sprintf("engine-%d", i+1)
	ip := s.ip(ipEndpoint, i)
	path, err := faultlink.New(hostPort(s.ip(ipEndpointListed, i), portAgent), hostPort(ip, portAgent))
	if err != nil {
		return errors.WithStack(err)
	}
	p.agent = &host{name: fmt.Sprintf("agent-%d", i+1), metrics: hostPort(ip, portAgentMetrics), links: []*faultlink.Link{path}}
	s.agents = append(s.agents, p.agent)
	return s.configureProcess(p.agent, root, binary, "engine-agent", map[string]string{
		"node_name": p.agent.name, "zone": failureDomain(i), "ip": ip, "app": p.listen,
		"internal_ports.0": fmt.Sprint(portAgent), "internal_ports.1": fmt.Sprint(portPeers),
		"limits.memory_mb": fmt.Sprint(maxMemoryMB), "limits.max_fds": fmt.Sprint(maxDescriptors),
	})
}

// startEndpoint starts the next incarnation on a host as an endpoint of the given service. The ID is the one of an earlier
// process, or empty for a new one.
func (s *site) startEndpoint(p *endpointHost, service, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	o := standin.EndpointOptions{
		ID: id, Listen: p.listen, Listed: p.listed, Service: service, FailureDomain: failureDomain(len(p.name)), Heartbeat: heartbeat,
		Work: serviceTime, Pause: eventInterval, Slots: serviceSlots, Store: s.store, Observer: s.checker,
		Seed: s.seed<<20 + uint64(p.index)<<10 + p.starts, Version: s.versionOf(p, id), EndsUnder: s.endsUnder(p),
	}
	if service == engineService {
		o.Slots = engineSlots
		o.Engine = s.engineOptions(p)
	}
	e, err := standin.StartEndpoint(o)
	if err != nil {
		return errors.WithStack(err)
	}
	s.checker.recordStarted(e.ID, p.name, service, o.Version)
	p.version = o.Version
	p.endpoint = e
	return nil
}

// softwareVersions is the number of versions of the endpoints' software that serve side by side.
const softwareVersions = 2

// versionOf returns the software version of a host's next incarnation: any of them, or the last one's where the endpoint restarts
// under an ID.
func (s *site) versionOf(p *endpointHost, id string) string {
	if id != "" {
		return p.version
	}
	return fmt.Sprintf("v%d", 1+(s.seed+uint64(p.index)+p.starts*uint64(p.index/2))%softwareVersions)
}

// engineOptions returns the options of an engine's next incarnation. The first one has a model loaded; later ones start with
// empty memory and the checkpoints on the host's disk.
func (s *site) engineOptions(p *endpointHost) *standin.EngineOptions {
	o := &standin.EngineOptions{
		MemoryMB: engineMB, ModelMB: modelMB, AdapterMB: adapterMB, MaxAdapters: adapterCapacity,
		StoreTime: storeLoadTime, DiskTime: diskLoadTime, MemoryTime: memoryLoadTime, AdapterTime: adapterLoadTime, Weights: s.weights,
	}
	if p.starts == 1 {
		o.Holds = []string{s.models[p.index%len(s.models)]}
	}
	o.Disk = slices.Sorted(maps.Keys(p.disk))
	return o
}

// stopEndpoint stops the incarnation on a host; its registration is removed or stays, as in a crash.
func (p *endpointHost) stopEndpoint(unregister bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoint == nil {
		return
	}
	maps.Copy(p.disk, p.endpoint.Copies())
	p.endpoint.Stop(unregister)
	p.endpoint = nil
}

// withEndpoint calls f with the endpoint on a host, if one is running.
func (p *endpointHost) withEndpoint(f func(*standin.Endpoint)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoint != nil {
		f(p.endpoint)
	}
}

// start starts the endpoints, writes the initial configuration and starts the processes under test.
func (s *site) start() error {
	for _, p := range s.endpoints {
		if err := s.startEndpoint(p, p.service, ""); err != nil {
			return err
		}
	}
	s.declareInitialConfig()
	for _, h := range s.hosts() {
		if err := h.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// hosts returns all hosts that run programs under test.
func (s *site) hosts() []*host { return append(append([]*host(nil), s.gateways...), s.agents...) }

// stop stops everything that the run has started.
func (s *site) stop() {
	for _, h := range s.hosts() {
		h.process.Kill()
	}
	for _, p := range s.endpoints {
		p.stopEndpoint(false)
		p.link.Close()
	}
	for _, h := range s.hosts() {
		for _, l := range h.links {
			l.Close()
		}
	}
	_ = s.server.Close()
}

// The prefixes of the routes that exist for the whole run.
const (
	prefixRead   = "/read/"
	prefixNotice = "/notice/"
	prefixChat   = "/chat/"
	prefixOnce   = "/once/"
)

func (s *site) declareInitialConfig() {
	route := func(prefix, kind, service string) standin.Route {
		return standin.Route{
			Name: "r" + prefix, Host: siteHost, Prefix: prefix, Type: kind, TimeoutMS: int(maxTimeout.Milliseconds()),
			TargetLatencyMS: 500, Service: service, MaxAttempts: 2,
		}
	}
	chat, once := route(prefixChat, standin.RouteStreaming, engineService), route(prefixOnce, standin.RouteStreaming, engineService)
	chat.Resumable, chat.TargetGapMS, once.TargetGapMS, once.Priority = true, 300, 300, 1
	class := &standin.EngineClass{Slots: engineSlots, WeightsMB: engineMB, AdapterCapacity: adapterCapacity, LoadsPerS: loadsPerSecond}
	for _, m := range s.models {
		class.Models = append(class.Models, standin.Model{
			Name: m, WeightsMB: modelMB, LoadTimeS: storeLoadTime.Seconds(), WarmS: memoryLoadTime.Seconds(), DiskLoadS: diskLoadTime.Seconds(),
			Adapters: 3, AdapterMB: adapterMB,
		})
	}
	config, when, ok := s.operator.Change(func(c *standin.Config) {
		c.Limits = standin.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30000}
		c.Services = []standin.Service{{Name: engineService, MaxConnections: 500, Engine: class}, {Name: ledgerService, MaxConnections: 500}, {Name: padsService, MaxConnections: 500}}
		c.Routes = []standin.Route{route(prefixRead, standin.RouteSafe, padsService), route(prefixNotice, standin.RouteUnsafe, ledgerService), chat, once}
		for i := range idleRoutes {
			c.Routes = append(c.Routes, route(fmt.Sprintf("/idle-%d/", i), standin.RouteSafe, padsService))
		}
	})
	if ok {
		s.checker.recordConfig(config, when)
	}
}
