package control

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/clock"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/hubs"
	"balsamsail/internal/streams"
	"balsamsail/internal/watch"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

var discardLogger = slog.New(slog.DiscardHandler)

func testOptions(self string) Options {
	return Options{Self: self, Interval: 10 * time.Millisecond, Heartbeat: 40 * time.Millisecond, SilenceLimit: 200 * time.Millisecond}
}

// fakeAgent is an agent that reports a list of connected gateways and a fixed engine state.
type fakeAgent struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	gateways []string
	frozen   bool
	messages []*controlpb.ToAgent
	// links is the number of links that gateways have made.
	links int
}

func startAgent(t *testing.T, gateways ...string) *fakeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	a := &fakeAgent{listener: listener, cancel: cancel, done: make(chan struct{}), gateways: gateways}
	go func() {
		defer close(a.done)
		_ = wire.Serve(ctx, listener, WireOptions(testOptions("").SilenceLimit), discardLogger, a.serve)
	}()
	t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func (a *fakeAgent) serve(ctx context.Context, _ *wirepb.StreamHeader, stream *wire.Stream) {
	a.mu.Lock()
	a.links++
	a.mu.Unlock()
	go func() {
		for {
			message := &controlpb.ToAgent{}
			if stream.Read(message) != nil {
				return
			}
			a.mu.Lock()
			a.messages = append(a.messages, message)
			a.mu.Unlock()
		}
	}()
	for ctx.Err() == nil {
		a.mu.Lock()
		frozen, gateways := a.frozen, a.gateways
		a.mu.Unlock()
		message := &controlpb.FromAgent{
			State:    &controlpb.EngineState{EndpointId: "e1", Replicas: []*controlpb.Replica{{Model: "m"}}},
			Gateways: &controlpb.GatewayList{Addresses: gateways},
		}
		if !frozen && stream.Write(message) != nil {
			return
		}
		clock.Pause(ctx, 40*time.Millisecond)
	}
}

// setGateways makes the agent report the given gateways as connected.
func (a *fakeAgent) setGateways(list []*testGateway) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gateways = nil
	for _, g := range list {
		a.gateways = append(a.gateways, g.address)
	}
}

// hasReceived reports whether the agent has received a message that satisfies a condition.
func (a *fakeAgent) hasReceived(condition func(*controlpb.ToAgent) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.messages {
		if condition(m) {
			return true
		}
	}
	return false
}

// testGateway is the control part of a gateway with one engine, whose agent is a fakeAgent.
type testGateway struct {
	address string
	fleet   *fleet.Fleet
	agents  *Agents
	peers   *Peers
	hub     *Hub
	facts   *Facts
	up      *Upstream
	// table is the gateway's copy of a table of the store, and rows what its consumer has received.
	table *watch.Replica
	rows  *rowSink
}

// rowSink keeps the newest value of each row that a replica has passed on.
type rowSink struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *rowSink) Replace(rows []watch.Row) { s.Apply(rows) }
func (s *rowSink) Unavailable(error)        {}
func (s *rowSink) Available()               {}

func (s *rowSink) Apply(rows []watch.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.values[r.Key] = string(r.Value)
	}
}

func (s *rowSink) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func startGateway(t *testing.T, listener net.Listener, a *fakeAgent) *testGateway {
	t.Helper()
	// Without a registered gateway, each is its own hub.
	return startRegisteredGateway(t, listener, a, hubs.Gateway{Address: listener.Addr().String()}, nil)
}

// startRegisteredGateway starts a gateway that knows the given gateways from the list in the store.
func startRegisteredGateway(t *testing.T, listener net.Listener, a *fakeAgent, self hubs.Gateway, list []hubs.Gateway) *testGateway {
	t.Helper()
	_, portText, _ := net.SplitHostPort(a.listener.Addr().String())
	port, _ := strconv.Atoi(portText)
	g := &testGateway{address: listener.Addr().String(), fleet: fleet.New("here", 1), facts: NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New())}
	options := testOptions(g.address)
	if list != nil {
		// A gateway sends its hub something each demandInterval; a shorter silence would end sound connections.
		options.SilenceLimit = 5 * demandInterval
	}
	g.agents = NewAgents(options, port, g.fleet, discardLogger)
	g.rows = &rowSink{values: make(map[string]string)}
	g.table = watch.NewReplica("t", g.rows)
	replicas := []*watch.Replica{g.table}
	g.hub = NewHub(options, g.fleet, g.facts, replicas, discardLogger)
	g.up = NewUpstream(options, self, g.agents, g.hub, g.fleet, g.facts, replicas, discardLogger)
	g.peers = NewPeers(options, g.agents, g.hub, g.up, g.fleet, g.facts, discardLogger)
	g.up.SetGateways(list)
	engine := &catalog.EngineClass{Models: map[string]catalog.Model{"m": {Name: "m", SizeMB: 10}}}
	g.fleet.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s", Engine: engine}}, nil))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { g.agents.Run(ctx) })
	running.Go(func() { g.hub.Run(ctx) })
	running.Go(func() { g.up.Run(ctx) })
	running.Go(func() { g.peers.Run(ctx) })
	running.Go(func() { _ = g.peers.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); running.Wait() })
	endpoints := []catalog.Endpoint{{ID: "e1", Service: "s", Address: "127.0.0.1:9", Revision: 1}}
	g.fleet.SetEndpoints(endpoints)
	g.agents.SetEndpoints(endpoints)
	if list == nil {
		eventually(t, "the agent link is started", func() bool { return g.linkCount() == 1 })
	}
	return g
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	eventuallyWithin(t, 10*time.Second, description, condition)
}

func eventuallyWithin(t *testing.T, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", limit, description)
}

// Two gateways learn of each other only from an agent. The one with the lower address becomes the coordinator and receives
// the other's demand; when the agent no longer reports it, the other takes over.
func TestCoordinatorHearsTheOthers(t *testing.T) {
	first, second := listenLoopback(t), listenLoopback(t)
	low, high := first, second
	if second.Addr().String() < first.Addr().String() {
		low, high = second, first
	}
	agent := startAgent(t, low.Addr().String(), high.Addr().String())
	a, b := startGateway(t, low, agent), startGateway(t, high, agent)
	now := func() time.Time { return time.Now() }
	eventually(t, "only the gateway with the lower address is the coordinator", func() bool { return a.peers.IsCoordinator(now()) && !b.peers.IsCoordinator(now()) })
	b.fleet.Wait(fleet.Target{Service: "s", Model: "m"}, now())
	eventually(t, "the coordinator receives the other gateway's demand", func() bool {
		d := a.peers.Demand(now())
		return len(d) == 1 && d[0].Waiting == 1
	})
	agent.mu.Lock()
	agent.gateways = []string{b.address}
	agent.mu.Unlock()
	eventually(t, "the other gateway is the coordinator", func() bool { return b.peers.IsCoordinator(now()) })
}

// After a power loss all hosts start together and every model must be loaded again, so a late coordinator delays all waiting
// requests. It must become active as soon as it has the state of every agent and every other gateway.
func TestCoordinatorBeginsOnceItHearsAll(t *testing.T) {
	first, second := listenLoopback(t), listenLoopback(t)
	low, high := first, second
	if second.Addr().String() < first.Addr().String() {
		low, high = second, first
	}
	agent := startAgent(t, low.Addr().String(), high.Addr().String())
	began := time.Now()
	a, _ := startGateway(t, low, agent), startGateway(t, high, agent)
	eventually(t, "the gateway with the lower address is the coordinator", func() bool { return a.peers.IsCoordinator(time.Now()) })
	if elapsed := time.Since(began); elapsed < minActivationDelay || elapsed >= activationDelay {
		t.Errorf("coordinator became active after %v, want %v to %v", elapsed, minActivationDelay, activationDelay)
	}
}

// A gateway that agents report has not sent its demand yet. The coordinator must wait for the demand, but no longer than
// activationDelay: without it, the coordinator would unload models that only that gateway's requests need.
func TestCoordinatorWaitsForTheOthersForAWhile(t *testing.T) {
	listener := listenLoopback(t)
	agent := startAgent(t, listener.Addr().String(), "127.255.255.254:1")
	began := time.Now()
	g := startGateway(t, listener, agent)
	eventually(t, "the gateway is the coordinator", func() bool { return g.peers.IsCoordinator(time.Now()) })
	if elapsed := time.Since(began); elapsed < activationDelay {
		t.Errorf("coordinator became active after %v, want at least %v", elapsed, activationDelay)
	}
}

// An agent receives the engine's class and incarnation once its link is up, and then a command.
func TestAgentIsTold(t *testing.T) {
	agent := startAgent(t)
	g := startGateway(t, listenLoopback(t), agent)
	eventually(t, "the agent receives the engine class", func() bool {
		return agent.hasReceived(func(m *controlpb.ToAgent) bool {
			return m.EndpointId == "e1" && m.EngineClass != nil && len(m.EngineClass.Models) == 1
		})
	})
	g.agents.SendCommand(&controlpb.Command{Id: 7, EndpointId: "e1", Load: "m"})
	eventually(t, "the agent receives the command", func() bool {
		return agent.hasReceived(func(m *controlpb.ToAgent) bool { return m.Command != nil && m.Command.Id == 7 })
	})
}

// When the host of an engine freezes, its agent sends nothing and its connection stays open. The engine must not be used until
// the agent sends again.
func TestSilentAgentMakesItsEngineCountNot(t *testing.T) {
	agent := startAgent(t)
	g := startGateway(t, listenLoopback(t), agent)
	engines := func() int { return len(g.fleet.Engines("s", time.Now())) }
	eventually(t, "the engine has a report", func() bool {
		list := g.fleet.Engines("s", time.Now())
		return len(list) == 1 && list[0].Reported
	})
	freeze := func(frozen bool) {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.frozen = frozen
	}
	freeze(true)
	eventually(t, "the engine is not listed", func() bool { return engines() == 0 })
	freeze(false)
	eventually(t, "the engine is listed again", func() bool { return engines() == 1 })
}

// After a power loss, an agent learns its engine's new ID from one gateway and sends its state before another gateway has
// read the registration. Nothing changes at the engine afterwards, so the state is not sent again. The other gateway must
// use it as soon as the registration arrives: it used to leave the engine without work.
func TestStateThatComesBeforeTheRegistration(t *testing.T) {
	f := fleet.New("here", 1)
	f.SetEndpoints([]catalog.Endpoint{{ID: "old", Service: "s", Revision: 1}})
	agents := NewAgents(testOptions("self"), 1, f, discardLogger)
	l := &agentLink{endpoint: catalog.Endpoint{ID: "old"}}
	now := time.Now()
	receive := func(state *controlpb.EngineState) {
		agents.mu.Lock()
		apply := l.stateToApply(now, state)
		agents.mu.Unlock()
		f.SetState(l.endpoint.ID, apply, 0, 0, now)
	}
	receive(&controlpb.EngineState{EndpointId: "new", OnDisk: []string{"m"}})
	f.SetEndpoints([]catalog.Endpoint{{ID: "new", Service: "s", Revision: 2}})
	l.endpoint.ID = "new"
	receive(nil)
	engines := f.Engines("s", now)
	if len(engines) != 1 || !engines[0].Reported || !engines[0].OnDisk["m"] {
		t.Errorf("engines %+v, want the new one with its state", engines)
	}
	if l.stateToApply(now, nil) != nil {
		t.Error("the state is applied again without a change")
	}
}

// A host that is starting drops the first packet of a connection, and the kernel sends it again only after a second. After
// a power loss, engines were not used until then.
func TestLinkDialsAgainSoon(t *testing.T) {
	if o := WireOptions(time.Second); o.DialTimeout > 250*time.Millisecond {
		t.Errorf("a connection attempt may take %v, want a quarter of the kernel's second at most", o.DialTimeout)
	}
}

// Guards against an engine that gets no loads because the registration of the process before it at its address was written last.
func TestLinkBelongsToTheLatestProcess(t *testing.T) {
	const address = "127.0.0.1:9"
	for _, c := range []struct {
		name string
		list []catalog.Endpoint
		want string
	}{
		{"the earlier process wrote last", []catalog.Endpoint{{ID: "later", Started: 200, Revision: 2}, {ID: "earlier", Started: 100, Revision: 3}}, "later"},
		{"the later process wrote last", []catalog.Endpoint{{ID: "later", Started: 200, Revision: 3}, {ID: "earlier", Started: 100, Revision: 2}}, "later"},
		{"one does not state its start", []catalog.Endpoint{{ID: "unstated", Revision: 3}, {ID: "earlier", Started: 100, Revision: 2}}, "unstated"},
		{"neither states its start", []catalog.Endpoint{{ID: "first", Revision: 2}, {ID: "last", Revision: 3}}, "last"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := startGateway(t, listenLoopback(t), startAgent(t))
			for i := range c.list {
				c.list[i].Service, c.list[i].Address = "s", address
			}
			for _, list := range [][]catalog.Endpoint{c.list, {c.list[1], c.list[0]}} {
				g.agents.SetEndpoints(list)
				if !g.agents.hasLink(c.want) {
					t.Errorf("the agent's link does not belong to %s", c.want)
				}
			}
		})
	}
}

func (a *Agents) hasLink(endpointID string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[endpointID] != nil
}
