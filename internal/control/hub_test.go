package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/faultlink"
	"balsamsail/internal/fleet"
	"balsamsail/internal/hubs"
	"balsamsail/internal/streams"
	"balsamsail/internal/watch"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// startSite starts gateways of one failure domain that are too many for a full mesh, the last on the largest host, and an
// agent that reports the given gateways.
func startSite(t *testing.T, n int) (gateways []*testGateway, agent *fakeAgent) {
	t.Helper()
	var listeners []net.Listener
	var list []hubs.Gateway
	for i := range n {
		l := listenLoopback(t)
		listeners = append(listeners, l)
		list = append(list, hubs.Gateway{Address: l.Addr().String(), FailureDomain: "here", Processor: 1 + float64(i)})
	}
	agent = startAgent(t, listeners[n-1].Addr().String())
	for i, l := range listeners {
		gateways = append(gateways, startRegisteredGateway(t, l, agent, list[i], list))
	}
	return gateways, agent
}

// startNewcomer starts a gateway that joins a site of startSite.
func startNewcomer(t *testing.T, gateways []*testGateway, agent *fakeAgent) *testGateway {
	t.Helper()
	listener := listenLoopback(t)
	self := hubs.Gateway{Address: listener.Addr().String(), FailureDomain: "here", Processor: 0.5}
	list := []hubs.Gateway{self}
	for i, g := range gateways {
		list = append(list, hubs.Gateway{Address: g.address, FailureDomain: "here", Processor: 1 + float64(i)})
	}
	return startRegisteredGateway(t, listener, agent, self, list)
}

func (g *testGateway) engineReported() bool {
	list := g.fleet.Engines("s", time.Now())
	return len(list) == 1 && list[0].Reported && list[0].Models["m"] != nil
}

// linkCount returns the number of links that a gateway has to agents.
func (g *testGateway) linkCount() int {
	g.agents.mu.Lock()
	defer g.agents.mu.Unlock()
	return len(g.agents.links)
}

// The links of a site: with ten gateways only the one on the largest host has a link to the agent. All know the engine's
// state, a request that waits anywhere reaches the coordinator, and a wanted adapter reaches the agent.
func TestOnlyTheHubHasLinksToAgents(t *testing.T) {
	gateways, agent := startSite(t, 10)
	hub := gateways[9]
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d knows the engine's state", i), g.engineReported)
	}
	eventually(t, "the other gateways have no links to agents", func() bool {
		links := 0
		for _, g := range gateways[:9] {
			links += g.linkCount()
		}
		return links == 0 && hub.hub.Subscribers() == 9
	})
	eventually(t, "the hub is the coordinator", func() bool { return hub.peers.IsCoordinator(time.Now()) })
	if gateways[0].peers.IsCoordinator(time.Now()) {
		t.Error("a gateway without links to agents is a coordinator")
	}
	gateways[3].fleet.Wait(fleet.Target{Service: "s", Model: "rare"}, time.Now())
	gateways[4].fleet.Wait(fleet.Target{Service: "s", Model: "rare"}, time.Now())
	eventually(t, "the coordinator knows of both waiting requests", func() bool {
		for _, m := range hub.peers.Demand(time.Now()) {
			if m.Model == "rare" {
				return m.Waiting == 2
			}
		}
		return false
	})
	gateways[5].fleet.WantAdapters("e1", []fleet.Adapter{{Model: "m", Name: "a7"}})
	eventually(t, "the agent is asked for the adapter", func() bool {
		return agent.hasReceived(func(m *controlpb.ToAgent) bool { return len(m.Wanted) == 1 && m.Wanted[0].Adapter == "a7" })
	})
}

// A hub is lost: its gateways keep what they know and use the next one, and they return once it is back.
func TestGatewaysLeaveALostHub(t *testing.T) {
	gateways, _ := startSite(t, 10)
	hub, next := gateways[9], gateways[8]
	eventually(t, "all gateways use the hub", func() bool { return hub.hub.Subscribers() == 9 })
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d knows the engine's state", i), g.engineReported)
	}
	hub.hub.Drain()
	eventually(t, "the others use the next one", func() bool { return next.hub.Subscribers() == 8 })
	for i, g := range gateways[:9] {
		if !g.engineReported() {
			t.Errorf("gateway %d has lost the engine's state while it changed its hub: %+v", i, g.fleet.Engines("s", time.Now()))
		}
	}
	hub.hub.mu.Lock()
	hub.hub.draining = false
	hub.hub.mu.Unlock()
	// A gateway that cannot connect in time on a busy machine tries again after up to 10 s.
	eventuallyWithin(t, 40*time.Second, "all gateways use the hub again", func() bool { return hub.hub.Subscribers() == 9 && next.hub.Subscribers() == 0 })
}

// Loss of power of a whole site: all processes start together, and the hub's is the last to listen. The others must wait for
// it for a while; each that took another one made that a hub too, and all of those connected to every agent.
func TestSiteStartsWithOneHub(t *testing.T) {
	const n = 20
	var listeners []net.Listener
	var list []hubs.Gateway
	for i := range n {
		l := listenLoopback(t)
		listeners = append(listeners, l)
		list = append(list, hubs.Gateway{Address: l.Addr().String(), FailureDomain: "here", Processor: 1 + float64(i)})
	}
	hubAddress := listeners[n-1].Addr().String()
	if err := listeners[n-1].Close(); err != nil {
		t.Fatal(err)
	}
	agent := startAgent(t, hubAddress)
	var gateways []*testGateway
	for i, l := range listeners[:n-1] {
		gateways = append(gateways, startRegisteredGateway(t, l, agent, list[i], list))
	}
	time.Sleep(startPatience / 4)
	late, err := net.Listen("tcp", hubAddress)
	if err != nil {
		t.Fatal(err)
	}
	hub := startRegisteredGateway(t, late, agent, list[n-1], list)
	eventually(t, "all others use the hub", func() bool { return hub.hub.Subscribers() == n-1 })
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d knows the engine's state", i), g.engineReported)
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.links > 2 {
		t.Errorf("%d gateways connected to the agent, want the hub and at most one that was not patient", agent.links)
	}
}

// A frozen hub's host accepts connections and sends nothing. Its gateways must notice and not return to it meanwhile.
func TestFrozenHubIsLeft(t *testing.T) {
	silent := listenLoopback(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_ = wire.Serve(ctx, silent, WireOptions(time.Second), discardLogger, func(ctx context.Context, _ *wirepb.StreamHeader, _ *wire.Stream) { <-ctx.Done() })
	}()
	list := []hubs.Gateway{{Address: silent.Addr().String(), FailureDomain: "here", Processor: 9}}
	var listeners []net.Listener
	for range 9 {
		l := listenLoopback(t)
		listeners = append(listeners, l)
		list = append(list, hubs.Gateway{Address: l.Addr().String(), FailureDomain: "here", Processor: 1})
	}
	agent := startAgent(t)
	var gateways []*testGateway
	for i, l := range listeners {
		gateways = append(gateways, startRegisteredGateway(t, l, agent, list[i+1], list))
	}
	eventually(t, "one of the others is the hub", func() bool {
		most := 0
		for _, g := range gateways {
			most = max(most, g.hub.Subscribers())
		}
		return most == 8
	})
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d knows the engine's state", i), g.engineReported)
	}
}

// Guards against a hub that loses all its gateways when it catches up with the store after a cut, because it passes on every
// version of a row that it has missed.
func TestHubPassesABacklogOn(t *testing.T) {
	gateways, _ := startSite(t, 10)
	hub := gateways[9]
	eventually(t, "all gateways use the hub", func() bool { return hub.hub.Subscribers() == 9 })
	first := watch.Row{Key: "config", Value: []byte("first"), Revision: 1}
	hub.table.Apply(watch.Change{Replace: true, Rows: []watch.Row{first}, Revision: 1, ConfirmedAt: time.Now()})
	for i, g := range gateways[:9] {
		eventually(t, fmt.Sprintf("gateway %d has the first version", i), func() bool { return g.rows.value("config") == "first" })
	}
	streams := hub.hub.streams.Load()

	const versions = 60
	var backlog []watch.Row
	for i := range int64(versions) {
		value := append(make([]byte, 32<<10), fmt.Sprint(i)...)
		backlog = append(backlog, watch.Row{Key: "config", Value: value, Revision: 2 + i})
	}
	newest := backlog[versions-1]
	hub.table.Apply(watch.Change{Rows: backlog, Base: 1, Revision: newest.Revision, ConfirmedAt: time.Now()})
	for i, g := range gateways[:9] {
		eventually(t, fmt.Sprintf("gateway %d has the newest version", i), func() bool { return g.rows.value("config") == string(newest.Value) })
	}
	if n := hub.hub.streams.Load() - streams; n > 0 {
		t.Errorf("gateways connected %d times again", n)
	}
}

// Guards against a gateway that never gets to its hub, because everything that the hub knows of a large site is longer than one
// message or takes longer than a connection attempt on a small link.
func TestStateOfALargeSiteArrivesOverASmallLink(t *testing.T) {
	const (
		engines = 1200
		// bytesPerSecond is a link of 10 Mbit/s.
		bytesPerSecond = 10_000_000 / 8
		tableBytes     = 400 << 10
	)
	for _, c := range []struct {
		name           string
		models         int
		bytesPerSecond int
	}{
		{"longer than a connection attempt", 16, bytesPerSecond},
		{"longer than a message", 30, bytesPerSecond},
		{"longer than a connection attempt, half as fast", 16, bytesPerSecond / 2},
		{"longer than a message, half as fast", 30, bytesPerSecond / 2},
		{"one message longer than the silence limit", 1, bytesPerSecond / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			var endpoints []catalog.Endpoint
			for i := range engines {
				endpoints = append(endpoints, catalog.Endpoint{ID: fmt.Sprintf("engine-%d", i), Service: "s", Address: "127.0.0.1:9", Revision: 1})
			}
			onDisk := make(map[string]bool)
			for i := range c.models {
				onDisk[fmt.Sprintf("model-of-a-usual-name-%d", i)] = true
			}
			agent := startAgent(t)
			hubListener := listenLoopback(t)
			hubSelf := hubs.Gateway{Address: hubListener.Addr().String(), FailureDomain: "here", Processor: 9}
			hub := startRegisteredGateway(t, hubListener, agent, hubSelf, []hubs.Gateway{hubSelf})
			hub.fleet.SetEndpoints(endpoints)
			for _, e := range endpoints {
				hub.fleet.SetState(e.ID, &fleet.EngineState{EndpointID: e.ID, OnDisk: onDisk}, 0, 0, time.Now())
			}
			row := watch.Row{Key: "config", Value: make([]byte, tableBytes), Revision: 1}
			hub.table.Apply(watch.Change{Replace: true, Rows: []watch.Row{row}, Revision: 1, ConfirmedAt: time.Now()})

			link, err := faultlink.New("127.0.0.1:0", hub.address)
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			link.SetThrottle(faultlink.Throttle{BytesPerSecond: c.bytesPerSecond})
			// Eight more gateways that do not run keep the site from being a mesh.
			list := []hubs.Gateway{{Address: link.Address(), FailureDomain: "here", Processor: 9}}
			for i := range 8 {
				list = append(list, hubs.Gateway{Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: "elsewhere", Processor: 1})
			}
			listener := listenLoopback(t)
			self := hubs.Gateway{Address: listener.Addr().String(), FailureDomain: "here", Processor: 1}
			g := startRegisteredGateway(t, listener, agent, self, append(list, self))
			g.fleet.SetEndpoints(endpoints)
			eventually(t, "the gateway uses the hub", func() bool {
				current := g.up.connection()
				return current != nil && current.address == link.Address()
			})
			eventually(t, "the gateway knows the table and all engines", func() bool {
				known := 0
				for _, e := range g.fleet.RelayView(time.Now()) {
					if len(e.State.OnDisk) == c.models {
						known++
					}
				}
				return known == engines && len(g.rows.value("config")) == tableBytes
			})
		})
	}
}

// Guards against adapters that count as used for ever: a gateway leaves its hub while its requests use one, and the agent
// never unloads it again. A new stream of the same gateway keeps what it has said when the old one ends.
func TestUseEndsWithTheStream(t *testing.T) {
	f := fleet.New("here", 1)
	f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Revision: 1}})
	h := NewHub(testOptions("hub"), f, NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New()), nil, discardLogger)
	first, second := &subscriber{name: "g#1"}, &subscriber{name: "g#2"}
	used := map[string][]fleet.Adapter{"e": {{Model: "m", Name: "a"}}}
	f.SetRelayedUse(first.name, used)
	f.SetRelayedUse(second.name, used)
	h.remove(first)
	if n := len(f.AgentMessage("e").Used); n != 1 {
		t.Errorf("%d adapters in use, want that of the second stream", n)
	}
	h.remove(second)
	if n := len(f.AgentMessage("e").Used); n != 0 {
		t.Errorf("%d adapters in use after both streams have ended", n)
	}
}

// The hub's states of an engine come before the gateway has read its registration. They are not sent again, so they must be
// kept until then.
func TestRelayedStateThatComesBeforeTheRegistration(t *testing.T) {
	f := fleet.New("here", 1)
	now := time.Now()
	f.StartRelay(now)
	state := &fleet.EngineState{EndpointID: "e", Models: map[string]map[string]bool{"m": nil}, OnDisk: map[string]bool{"d": true}}
	f.ApplyRelayed(now, []fleet.RelayedEngine{{ID: "e", State: state, Reported: true}})
	f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Revision: 1}})
	list := f.Engines("s", now)
	if len(list) != 1 || !list[0].Reported || !list[0].OnDisk["d"] {
		t.Fatalf("engines %+v, want one with its state", list)
	}
	next := &fleet.EngineState{EndpointID: "e", Busy: true}
	f.ApplyRelayed(now, []fleet.RelayedEngine{{ID: "e", State: next, CopiesUnchanged: true, Reported: true}})
	if list = f.Engines("s", now); !list[0].Busy || !list[0].OnDisk["d"] {
		t.Errorf("engine %+v, want the new state with the copies known before", list[0])
	}
	f.SetState("e", &fleet.EngineState{EndpointID: "e"}, 0, 0, now)
	if list = f.Engines("s", now); !list[0].Busy {
		t.Error("a report of a link that has ended replaced the hub's")
	}
	f.ApplyRelayed(now, []fleet.RelayedEngine{{ID: "e", Reported: true, HostDown: true}})
	if list = f.Engines("s", now); len(list) != 0 {
		t.Error("an engine on a host that does not respond is listed")
	}
	if list = f.Engines("s", now.Add(time.Minute)); len(list) != 1 || list[0].Reported {
		t.Errorf("engines %+v a minute after the hub's last message, want the registration alone", list)
	}
}
