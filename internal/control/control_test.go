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
	"balsamsail/internal/fleet"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

var quiet = slog.New(slog.DiscardHandler)

func testOptions(self string) Options {
	return Options{Self: self, Interval: 10 * time.Millisecond, Heartbeat: 40 * time.Millisecond, SilenceLimit: 200 * time.Millisecond}
}

// scriptedAgent is an agent that names some gateways and tells one state of its engine.
type scriptedAgent struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	gateways []string
	frozen   bool
	heard    []*controlpb.ToAgent
}

func startAgent(t *testing.T, gateways ...string) *scriptedAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	a := &scriptedAgent{listener: listener, cancel: cancel, done: make(chan struct{}), gateways: gateways}
	go func() {
		defer close(a.done)
		_ = wire.Serve(ctx, listener, WireOptions(testOptions("").SilenceLimit), quiet, a.serve)
	}()
	t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func (a *scriptedAgent) serve(ctx context.Context, _ *wirepb.StreamHeader, stream *wire.Stream) {
	go func() {
		for {
			message := &controlpb.ToAgent{}
			if stream.Read(message) != nil {
				return
			}
			a.mu.Lock()
			a.heard = append(a.heard, message)
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

// received reports whether the agent got a message that a condition holds for.
func (a *scriptedAgent) received(condition func(*controlpb.ToAgent) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.heard {
		if condition(m) {
			return true
		}
	}
	return false
}

// testGateway is the control part of a gateway whose only engine is beside an agent.
type testGateway struct {
	address string
	fleet   *fleet.Fleet
	agents  *Agents
	peers   *Peers
}

func startGateway(t *testing.T, listener net.Listener, a *scriptedAgent) *testGateway {
	t.Helper()
	_, portText, _ := net.SplitHostPort(a.listener.Addr().String())
	port, _ := strconv.Atoi(portText)
	g := &testGateway{address: listener.Addr().String(), fleet: fleet.New("here", 1)}
	g.agents = NewAgents(testOptions(g.address), port, g.fleet, quiet)
	g.peers = NewPeers(testOptions(g.address), g.agents, g.fleet, quiet)
	engine := &catalog.EngineClass{Models: map[string]catalog.Model{"m": {Name: "m", SizeMB: 10}}}
	g.fleet.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s", Engine: engine}}, nil))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { g.agents.Run(ctx) })
	running.Go(func() { g.peers.Run(ctx) })
	running.Go(func() { _ = g.peers.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); running.Wait() })
	eventually(t, "the links run", func() bool {
		list := []catalog.Endpoint{{ID: "e1", Service: "s", Address: "127.0.0.1:9", Revision: 1}}
		g.fleet.SetEndpoints(list)
		g.agents.SetEndpoints(list)
		g.agents.mu.Lock()
		defer g.agents.mu.Unlock()
		return len(g.agents.links) == 1
	})
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not seen within 10 s: %s", what)
}

// Two gateways know each other by an agent only. The one with the lower address coordinates and hears of the other's waiting
// requests; when the agent no longer names it, the other takes over.
func TestCoordinatorHearsTheOthers(t *testing.T) {
	first, second := listenLoopback(t), listenLoopback(t)
	low, high := first, second
	if second.Addr().String() < first.Addr().String() {
		low, high = second, first
	}
	agent := startAgent(t, low.Addr().String(), high.Addr().String())
	a, b := startGateway(t, low, agent), startGateway(t, high, agent)
	now := func() time.Time { return time.Now() }
	eventually(t, "the lower address coordinates alone", func() bool { return a.peers.Coordinates(now()) && !b.peers.Coordinates(now()) })
	b.fleet.Wait(fleet.Target{Service: "s", Model: "m"}, now())
	eventually(t, "the coordinator hears of the other's waiting request", func() bool {
		d := a.peers.Demand(now())[b.address]
		return d != nil && len(d.Models) == 1 && d.Models[0].Waiting == 1
	})
	agent.mu.Lock()
	agent.gateways = []string{b.address}
	agent.mu.Unlock()
	eventually(t, "the other coordinates", func() bool { return b.peers.Coordinates(now()) })
}

// Story: all hosts lose power and come back together; models must be loaded anew, and each tenth of a second that nobody decides
// is one more for all who wait. Once the coordinator hears every agent and every other gateway there is nothing to wait for.
func TestCoordinatorBeginsOnceItHearsAll(t *testing.T) {
	first, second := listenLoopback(t), listenLoopback(t)
	low, high := first, second
	if second.Addr().String() < first.Addr().String() {
		low, high = second, first
	}
	agent := startAgent(t, low.Addr().String(), high.Addr().String())
	began := time.Now()
	a, _ := startGateway(t, low, agent), startGateway(t, high, agent)
	eventually(t, "the lower address coordinates", func() bool { return a.peers.Coordinates(time.Now()) })
	if took := time.Since(began); took < leastSettle || took >= settle {
		t.Errorf("it began after %v, want %v to %v", took, leastSettle, settle)
	}
}

// Story: as before, but one gateway that agents name has not brought its demand yet. Deciding without it, the coordinator would
// drop models that only that gateway's callers wait for; so it waits, and not for ever.
func TestCoordinatorWaitsForTheOthersForAWhile(t *testing.T) {
	listener := listenLoopback(t)
	agent := startAgent(t, listener.Addr().String(), "127.255.255.254:1")
	began := time.Now()
	g := startGateway(t, listener, agent)
	eventually(t, "the gateway coordinates", func() bool { return g.peers.Coordinates(time.Now()) })
	if took := time.Since(began); took < settle {
		t.Errorf("it began after %v, want %v at least", took, settle)
	}
}

// An agent gets the engine's class and incarnation once it is linked, and a command once.
func TestAgentIsTold(t *testing.T) {
	agent := startAgent(t)
	g := startGateway(t, listenLoopback(t), agent)
	eventually(t, "the class arrives", func() bool {
		return agent.received(func(m *controlpb.ToAgent) bool {
			return m.EndpointId == "e1" && m.EngineClass != nil && len(m.EngineClass.Models) == 1
		})
	})
	g.agents.Command(&controlpb.Command{Id: 7, EndpointId: "e1", Load: "m"})
	eventually(t, "the command arrives", func() bool {
		return agent.received(func(m *controlpb.ToAgent) bool { return m.Command != nil && m.Command.Id == 7 })
	})
}

// Story: the host of an engine freezes: its agent neither speaks nor closes its link. The engine must not count until the agent
// speaks again.
func TestSilentAgentMakesItsEngineCountNot(t *testing.T) {
	agent := startAgent(t)
	g := startGateway(t, listenLoopback(t), agent)
	engines := func() int { return len(g.fleet.Engines("s", time.Now())) }
	eventually(t, "the engine is reported", func() bool {
		list := g.fleet.Engines("s", time.Now())
		return len(list) == 1 && list[0].Reported
	})
	freeze := func(frozen bool) {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		agent.frozen = frozen
	}
	freeze(true)
	eventually(t, "the engine does not count", func() bool { return engines() == 0 })
	freeze(false)
	eventually(t, "the engine counts again", func() bool { return engines() == 1 })
}
