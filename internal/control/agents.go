package control

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
	"balsamsail/internal/wire"
)

// peerMemory is for how long an agent's word that another gateway is connected to it counts.
const peerMemory = 2 * time.Second

// Agents keeps a gateway's links to the agents beside engines.
type Agents struct {
	options Options
	port    int
	fleet   *fleet.Fleet
	logger  *slog.Logger

	mu    sync.Mutex
	ctx   context.Context
	links map[string]*agentLink
	byID  map[string]*agentLink
	// firstHeard is when the first agent spoke; zero before.
	firstHeard time.Time
	running    sync.WaitGroup
}

// agentLink is the link to the agent beside one engine.
type agentLink struct {
	link   *link
	cancel context.CancelFunc

	// Guarded by Agents.mu.
	endpoint catalog.Endpoint
	command  *controlpb.Command
	peers    []string
	heardAt  time.Time

	// sentClass is the configuration version of the engine class that the agent has; of the writer only.
	sentClass int64
	sender    *sender
}

// NewAgents returns the links of a gateway; agents listen at the given port of their engines' hosts.
func NewAgents(options Options, port int, f *fleet.Fleet, logger *slog.Logger) *Agents {
	a := &Agents{
		options: options,
		port:    port,
		fleet:   f,
		logger:  logger,
		links:   make(map[string]*agentLink),
		byID:    make(map[string]*agentLink),
	}
	f.OnWanted(a.wakeLink)
	return a
}

// Run keeps the links until ctx ends.
func (a *Agents) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	<-ctx.Done()
	a.running.Wait()
}

// SetEndpoints makes links to the agents beside the listed engines and ends the others. A restarted engine at the same
// address keeps its link.
func (a *Agents) SetEndpoints(list []catalog.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return
	}
	config := a.fleet.Config()
	newest := make(map[string]catalog.Endpoint)
	for _, e := range list {
		if config.EngineClass(e.Service) == nil {
			continue
		}
		if address, ok := a.agentAddress(e.Address); ok && e.Revision >= newest[address].Revision {
			newest[address] = e
		}
	}
	clear(a.byID)
	for address, e := range newest {
		l := a.links[address]
		if l == nil {
			l = a.start(address)
		}
		l.endpoint = e
		a.byID[e.ID] = l
	}
	for address, l := range a.links {
		if _, ok := newest[address]; !ok {
			l.cancel()
			delete(a.links, address)
		}
	}
}

func (a *Agents) agentAddress(endpoint string) (string, bool) {
	host, _, err := net.SplitHostPort(endpoint)
	if err != nil {
		a.logger.Warn("address of an endpoint is not one", "event", "bad_address", "address", endpoint, "error", err)
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(a.port)), true
}

// start begins a link. The lock is held.
func (a *Agents) start(address string) *agentLink {
	ctx, cancel := context.WithCancel(a.ctx)
	al := &agentLink{cancel: cancel}
	al.link = &link{
		address: address,
		options: a.options,
		logger:  a.logger,
		kick:    make(chan struct{}, 1),
		tick:    func(now time.Time, s *sender) error { return a.tick(al, now, s) },
		receive: func(stream *wire.Stream) error { return a.receive(al, stream) },
		ended:   func(err error) { a.ended(al, err) },
	}
	a.links[address] = al
	a.running.Go(func() { al.link.run(ctx) })
	return al
}

// wakeLink sends what an endpoint's agent should know without waiting for the interval.
func (a *Agents) wakeLink(endpointID string) {
	// The fleet holds its lock here; taking ours could deadlock with SetEndpoints.
	go func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if l := a.byID[endpointID]; l != nil {
			wake(l.link.kick)
		}
	}()
}

// Command sends a command to the agent beside an engine.
func (a *Agents) Command(c *controlpb.Command) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.byID[c.EndpointId]
	if l == nil {
		return
	}
	l.command = c
	wake(l.link.kick)
}

// tick sends an agent what is new.
func (a *Agents) tick(l *agentLink, now time.Time, s *sender) error {
	if l.sender != s {
		l.sender, l.sentClass = s, 0
	}
	a.mu.Lock()
	id, service, command := l.endpoint.ID, l.endpoint.Service, l.command
	l.command = nil
	a.mu.Unlock()
	message := a.fleet.AgentMessage(id)
	if message == nil {
		message = &controlpb.ToAgent{}
	}
	message.Command = command
	message.EngineClass = a.engineClass(service, l.sentClass)
	if err := s.send(now, message, a.options.Heartbeat); err != nil {
		return err
	}
	if message.EngineClass != nil {
		l.sentClass = message.EngineClass.ConfigVersion
	}
	return nil
}

// engineClass returns the class of a service's engines, or nil where the agent has it.
func (a *Agents) engineClass(service string, sent int64) *controlpb.EngineClass {
	config := a.fleet.Config()
	engine := config.EngineClass(service)
	if engine == nil || config.Version == sent {
		return nil
	}
	class := &controlpb.EngineClass{
		ConfigVersion: config.Version,
		MemoryMb:      engine.MemoryMB,
		AdapterPlaces: int32(engine.AdapterPlaces),
	}
	for _, m := range engine.Models {
		class.Models = append(class.Models, &controlpb.Model{Name: m.Name, SizeMb: m.SizeMB, AdapterMb: m.AdapterMB})
	}
	return class
}

// receive takes in an agent's message.
func (a *Agents) receive(l *agentLink, stream *wire.Stream) error {
	message := &controlpb.FromAgent{}
	if err := stream.Read(message); err != nil {
		return err
	}
	now := time.Now()
	a.mu.Lock()
	l.heardAt = now
	if a.firstHeard.IsZero() {
		a.firstHeard = now
	}
	if message.Gateways != nil {
		l.peers = message.Gateways.Addresses
	}
	id := l.endpoint.ID
	a.mu.Unlock()
	a.fleet.SetState(id, decodeState(message.State), int(message.Running), int(message.Queued), now)
	return nil
}

// ended notes how a link ended. An agent that was killed resets its connections, and its engine is well; one that falls
// silent stands on a host that is frozen or cut off, and the engine on that host with it.
func (a *Agents) ended(l *agentLink, err error) {
	a.mu.Lock()
	id := l.endpoint.ID
	a.mu.Unlock()
	a.fleet.SetSilent(id, errors.Is(err, wire.ErrTimeout))
}

// HeardFor returns how long ago the first agent spoke, or zero before.
func (a *Agents) HeardFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstHeard.IsZero() {
		return 0
	}
	return now.Sub(a.firstHeard)
}

// Peers returns the gateways that agents have lately named, this one included.
func (a *Agents) Peers(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[string]bool{a.options.Self: true}
	peers := []string{a.options.Self}
	for _, l := range a.links {
		if now.Sub(l.heardAt) > peerMemory {
			continue
		}
		for _, p := range l.peers {
			if !seen[p] {
				seen[p] = true
				peers = append(peers, p)
			}
		}
	}
	return peers
}

func decodeState(s *controlpb.EngineState) *fleet.EngineState {
	if s == nil {
		return nil
	}
	state := &fleet.EngineState{
		EndpointID: s.EndpointId,
		Down:       s.Down,
		Models:     make(map[string]map[string]bool, len(s.Replicas)),
		Busy:       s.Busy,
		Loading:    s.Loading,
		Unloading:  nameset.Of(s.Unloading),
		InMemory:   nameset.Of(s.InMemory),
		OnDisk:     nameset.Of(s.OnDisk),
		Command:    s.Command,
		CommandAge: time.Duration(s.CommandAgeMs) * time.Millisecond,
	}
	for _, r := range s.Replicas {
		state.Models[r.Model] = nameset.Of(r.Adapters)
	}
	return state
}
