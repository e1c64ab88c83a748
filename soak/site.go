package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/childprocess"
	"balsamsail/internal/faultlink"
	"balsamsail/platform/standin"
)

// Ports are the same on all hosts; each host has a loopback address of its own.
const (
	portClients   = 18149
	portReadiness = 18141
	portEndpoint  = 18145
	portAgent     = 18380
	portPeers     = 18395
	portStore     = 18142
	portMetrics   = 9464
	portAgentInfo = 9465
)

// The figures of the site, scaled down so that a run of a minute sees many loads.
const (
	grace          = 8 * time.Second
	heartbeat      = 600 * time.Millisecond
	storeLoad      = 1200 * time.Millisecond
	diskLoad       = 400 * time.Millisecond
	memoryLoad     = 150 * time.Millisecond
	adapterLoad    = 20 * time.Millisecond
	modelMB        = 100
	adapterMB      = 1
	engineMB       = 250
	adapterPlaces  = 4
	loadsPerSecond = 2.5
	fullSpeedLoads = 2
	engineSlots    = 16
	serviceSlots   = 8
	plainWork      = 20 * time.Millisecond
	eventPause     = 25 * time.Millisecond
	retryShare     = 0.2
	retryExtra     = 10
	retryWindow    = 10 * time.Second
)

// The names of the site's services and its host name for clients.
const (
	engines  = "advisory"
	ledger   = "ledger"
	pads     = "pads"
	siteHost = "site.soak"
)

// size is how many hosts of each kind a site has.
type size struct{ gateways, engines, services, models int }

// host is one host with a program of ours: a gateway, or the agent beside an engine.
type host struct {
	name    string
	process *childprocess.Process
	// readiness and metrics are the addresses at which the process tells about itself.
	readiness, metrics string
	// links are the network paths that lead to or from this host, all of which a fault may spoil.
	links []*faultlink.Link
	// clients is where a gateway takes clients' requests.
	clients string
}

// place is a host on which an endpoint runs, one incarnation after another.
type place struct {
	name   string
	listen string
	// listed is the address under which gateways reach the endpoint, and link the path behind it.
	listed string
	link   *faultlink.Link
	// service is what runs there at first.
	service string
	agent   *host
	// number counts the places from 0.
	number int

	mu       sync.Mutex
	endpoint *standin.Endpoint
	disk     map[string]bool
	starts   uint64
}

// site is the whole system with its stand-ins.
type site struct {
	seed     uint64
	block    int
	dir      string
	store    *standin.Store
	server   *http.Server
	operator *standin.Operator
	weights  *standin.WeightStore
	judge    *judge
	gateways []*host
	agents   []*host
	places   []*place
	models   []string

	mu    sync.Mutex
	lives map[string]*life
}

// ip is a loopback address; hosts on which programs listen have other ones than the paths that lead to them.
func (s *site) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.block, kind, n+1) }

// The kinds of addresses.
const (
	ipGateway = iota + 1
	ipEndpointListed
	ipEndpoint
	ipStore
	ipStorePath
)

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// newSite makes the stand-ins and describes the processes; nothing runs yet. Templates are read below root.
func newSite(seed uint64, sz size, dir, root, binary string, j *judge) (*site, error) {
	s := &site{
		seed: seed, block: 20 + int(seed%200), dir: dir, store: standin.NewStore(), judge: j, lives: map[string]*life{},
		weights: &standin.WeightStore{FullSpeed: fullSpeedLoads},
	}
	s.operator = standin.NewOperator(s.store)
	for i := range sz.models {
		s.models = append(s.models, fmt.Sprintf("model-%d", i+1))
	}
	listener, err := net.Listen("tcp", at(s.ip(ipStore, 0), portStore))
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
	for i := range sz.engines + sz.services {
		if err := s.addPlace(i, sz, root, binary); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addGateway(i int, root, binary string) error {
	name, ip := fmt.Sprintf("gateway-%d", i+1), s.ip(ipGateway, i)
	path, err := faultlink.New(at(s.ip(ipStorePath, i), portStore), at(s.ip(ipStore, 0), portStore))
	if err != nil {
		return errors.WithStack(err)
	}
	h := &host{
		name: name, clients: at(ip, portClients), readiness: at(ip, portReadiness), metrics: at(ip, portMetrics),
		links: []*faultlink.Link{path},
	}
	err = s.describe(h, root, binary, "gateway", map[string]string{
		"node_name": name, "zone": domain(i), "ip": ip, "listen.frontend": h.clients, "listen.readiness": h.readiness,
		"platform.address": path.Address(), "internal_ports.0": fmt.Sprint(portAgent), "internal_ports.1": fmt.Sprint(portPeers),
		"bounds.retry_budget_ratio": fmt.Sprint(retryShare), "bounds.budget_extra_retries": fmt.Sprint(retryExtra),
		"bounds.budget_window_s": fmt.Sprint(retryWindow.Seconds()), "bounds.grace_s": fmt.Sprint(grace.Seconds()),
	})
	s.gateways = append(s.gateways, h)
	return err
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%2+1) }

// describe writes a process's settings and says how it is started.
func (s *site) describe(h *host, root, binary, role string, values map[string]string) error {
	file := filepath.Join(s.dir, h.name+".ini")
	if err := standin.FillTemplate(filepath.Join(root, "platform", role+".ini"), file, values); err != nil {
		return err
	}
	h.process = &childprocess.Process{
		Name: h.name, Path: binary, Args: []string{role, "-config", file}, Log: filepath.Join(s.dir, h.name+".log"),
	}
	return nil
}

func (s *site) addPlace(i int, sz size, root, binary string) error {
	p := &place{number: i, listen: at(s.ip(ipEndpoint, i), portEndpoint), listed: at(s.ip(ipEndpointListed, i), portEndpoint), disk: map[string]bool{}}
	link, err := faultlink.New(p.listed, p.listen)
	if err != nil {
		return errors.WithStack(err)
	}
	p.link = link
	s.places = append(s.places, p)
	if i >= sz.engines {
		p.service = []string{ledger, pads}[i%2]
		p.name = fmt.Sprintf("service-%d", i+1-sz.engines)
		return nil
	}
	p.service, p.name = engines, fmt.Sprintf("engine-%d", i+1)
	ip := s.ip(ipEndpoint, i)
	path, err := faultlink.New(at(s.ip(ipEndpointListed, i), portAgent), at(ip, portAgent))
	if err != nil {
		return errors.WithStack(err)
	}
	p.agent = &host{name: fmt.Sprintf("agent-%d", i+1), metrics: at(ip, portAgentInfo), links: []*faultlink.Link{path}}
	s.agents = append(s.agents, p.agent)
	return s.describe(p.agent, root, binary, "engine-agent", map[string]string{
		"node_name": p.agent.name, "zone": domain(i), "ip": ip, "app": p.listen,
		"internal_ports.0": fmt.Sprint(portAgent), "internal_ports.1": fmt.Sprint(portPeers),
	})
}

// startEndpoint starts the next incarnation at a place, of another service where one is named.
func (s *site) startEndpoint(p *place, service string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	o := standin.EndpointOptions{
		Listen: p.listen, Listed: p.listed, Service: service, FailureDomain: domain(len(p.name)), Heartbeat: heartbeat,
		Work: plainWork, Pause: eventPause, Slots: serviceSlots, Store: s.store, Observer: s.judge,
		Seed: s.seed<<20 + uint64(p.number)<<10 + p.starts,
	}
	if service == engines {
		o.Slots = engineSlots
		o.Engine = s.engineOptions(p)
	}
	e, err := standin.StartEndpoint(o)
	if err != nil {
		return errors.WithStack(err)
	}
	s.judge.started(e.ID, p.name, service)
	p.endpoint = e
	return nil
}

// engineOptions are those of the next incarnation of an engine. The first one holds a model, a later one starts empty with
// the copies on its disk.
func (s *site) engineOptions(p *place) *standin.EngineOptions {
	o := &standin.EngineOptions{
		MemoryMB: engineMB, ModelMB: modelMB, AdapterMB: adapterMB, AdapterPlaces: adapterPlaces,
		StoreTime: storeLoad, DiskTime: diskLoad, MemoryTime: memoryLoad, AdapterTime: adapterLoad, Weights: s.weights,
	}
	if p.starts == 1 {
		o.Holds = []string{s.models[p.number%len(s.models)]}
	}
	o.Disk = slices.Sorted(maps.Keys(p.disk))
	return o
}

// crash ends the incarnation at a place without a word, or with its registration.
func (p *place) crash(unregister bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoint == nil {
		return
	}
	maps.Copy(p.disk, p.endpoint.Copies())
	p.endpoint.Stop(unregister)
	p.endpoint = nil
}

// with calls f with the endpoint at a place, if there is one.
func (p *place) with(f func(*standin.Endpoint)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoint != nil {
		f(p.endpoint)
	}
}

// start starts everything.
func (s *site) start() error {
	for _, p := range s.places {
		if err := s.startEndpoint(p, p.service); err != nil {
			return err
		}
	}
	s.declareFirst()
	for _, h := range s.hosts() {
		if err := h.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// hosts are all hosts with programs of ours.
func (s *site) hosts() []*host { return append(append([]*host(nil), s.gateways...), s.agents...) }

// stop ends everything that the run started.
func (s *site) stop() {
	for _, h := range s.hosts() {
		h.process.Kill()
	}
	for _, p := range s.places {
		p.crash(false)
		p.link.Close()
	}
	for _, h := range s.hosts() {
		for _, l := range h.links {
			l.Close()
		}
	}
	_ = s.server.Close()
}

// The prefixes of the routes that are always there.
const (
	prefixRead   = "/read/"
	prefixNotice = "/notice/"
	prefixChat   = "/chat/"
	prefixOnce   = "/once/"
)

func (s *site) declareFirst() {
	route := func(prefix, kind, service string) standin.Route {
		return standin.Route{
			Name: "r" + prefix, Host: siteHost, Prefix: prefix, Type: kind, TimeoutMS: int(longestPatience.Milliseconds()),
			TargetLatencyMS: 500, Service: service, MaxAttempts: 2,
		}
	}
	chat, once := route(prefixChat, standin.RouteStreaming, engines), route(prefixOnce, standin.RouteStreaming, engines)
	chat.Resumable, chat.TargetGapMS, once.TargetGapMS, once.Priority = true, 300, 300, 1
	class := &standin.EngineClass{Slots: engineSlots, WeightsMB: engineMB, AdapterCapacity: adapterPlaces, LoadsPerS: loadsPerSecond}
	for _, m := range s.models {
		class.Models = append(class.Models, standin.Model{
			Name: m, WeightsMB: modelMB, LoadTimeS: storeLoad.Seconds(), WarmS: memoryLoad.Seconds(), DiskLoadS: diskLoad.Seconds(),
			Adapters: 3, AdapterMB: adapterMB,
		})
	}
	config, when, ok := s.operator.Change(func(c *standin.Config) {
		c.Limits = standin.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30000}
		c.Services = []standin.Service{{Name: engines, MaxConnections: 500, Engine: class}, {Name: ledger, MaxConnections: 500}, {Name: pads, MaxConnections: 500}}
		c.Routes = []standin.Route{route(prefixRead, standin.RouteSafe, pads), route(prefixNotice, standin.RouteUnsafe, ledger), chat, once}
	})
	if ok {
		s.judge.declared(config, when)
	}
}
