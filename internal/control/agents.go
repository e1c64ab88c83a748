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
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// peerTTL is how long an agent's list of connected gateways, and the demand that a gateway has sent, stay valid.
const peerTTL = 2 * time.Second

// commandTTL is how long a command waits for a connection to the agent. It is half of the time after which the coordinator gives up a
// command that the agent has not reported as accepted, and decides anew.
const commandTTL = 500 * time.Millisecond

// Agents maintains a gateway's links to the engine agents.
type Agents struct {
	options Options
	port    int
	fleet   *fleet.Fleet
	logger  *slog.Logger

	mu  sync.Mutex
	ctx context.Context
	// active is set while this gateway has links to the agents. list is the last list of endpoints, and configVersion the
	// configuration that the links were last told of.
	active        bool
	list          []catalog.Endpoint
	configVersion int64
	links         map[string]*agentLink
	byID          map[string]*agentLink
	// firstMessageAt is when the first message of any agent arrived; zero before that.
	firstMessageAt time.Time
	running        sync.WaitGroup
}

// agentLink is the link to the agent of one engine.
type agentLink struct {
	link   *link
	cancel context.CancelFunc

	// Guarded by Agents.mu.
	endpoint      catalog.Endpoint
	command       *controlpb.Command
	commandAt     time.Time
	peers         []string
	lastMessageAt time.Time
	// state is the last state that the agent has sent, at stateAt, and stateOf the endpoint to which it was applied.
	state   *controlpb.EngineState
	stateAt time.Time
	stateOf string

	// sentClassVersion is the configuration version of the engine class last sent to the agent, and sender the connection it
	// was sent on. Used by the link's writer only.
	sentClassVersion int64
	sender           *sender
}

// NewAgents returns the agent links of a gateway. Agents listen on the given port of their engine's host.
func NewAgents(options Options, port int, f *fleet.Fleet, logger *slog.Logger) *Agents {
	return &Agents{
		options: options,
		port:    port,
		fleet:   f,
		logger:  logger,
		links:   make(map[string]*agentLink),
		byID:    make(map[string]*agentLink),
	}
}

// SetActive starts the links to the agents, or ends them because a hub says of the engines.
func (a *Agents) SetActive(active bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == active {
		return
	}
	a.active, a.firstMessageAt = active, time.Time{}
	a.updateLinks()
}

// Run maintains the links until ctx is done.
func (a *Agents) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.updateLinks()
	a.mu.Unlock()
	<-ctx.Done()
	a.running.Wait()
}

// SetEndpoints starts links to the agents of newly listed engines and stops those of engines that are no longer listed. An
// engine that restarted at the same address keeps its link.
func (a *Agents) SetEndpoints(list []catalog.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.updateLinks()
}

// updateLinks starts and ends links by the list of endpoints. The caller holds mu.
func (a *Agents) updateLinks() {
	if a.ctx == nil || a.ctx.Err() != nil {
		return
	}
	config := a.fleet.Config()
	newest := make(map[string]catalog.Endpoint)
	for _, e := range a.list {
		if !a.active || config.EngineClass(e.Service) == nil {
			continue
		}
		address, ok := a.agentAddress(e.Address)
		if !ok {
			continue
		}
		if known, listed := newest[address]; !listed || replaces(e, known) {
			newest[address] = e
		}
	}
	newVersion := config != nil && config.Version != a.configVersion
	if newVersion {
		a.configVersion = config.Version
	}
	clear(a.byID)
	for address, e := range newest {
		l := a.links[address]
		if l == nil {
			l = a.startLink(address)
		} else if newVersion || l.endpoint.ID != e.ID {
			wake(l.link.wakeup)
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

// replaces reports whether an endpoint has taken the place of another at its address. A write of the earlier process may reach the
// store after those of the later one, so the order of the writes decides only between processes that do not both state their start.
func replaces(e, other catalog.Endpoint) bool {
	if e.Started != 0 && other.Started != 0 && e.Started != other.Started {
		return e.Started > other.Started
	}
	return e.Revision >= other.Revision
}

func (a *Agents) agentAddress(endpoint string) (string, bool) {
	host, _, err := net.SplitHostPort(endpoint)
	if err != nil {
		a.logger.Warn("endpoint address is not host:port", "event", "bad_address", "address", endpoint, "error", err)
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(a.port)), true
}

// startLink starts a link to an agent. The caller holds mu.
func (a *Agents) startLink(address string) *agentLink {
	ctx, cancel := context.WithCancel(a.ctx)
	l := &agentLink{cancel: cancel}
	// What is urgent wakes the link. Checks at the shorter interval would take most of a hub's time on a large site.
	options := a.options
	options.Interval = options.Heartbeat
	l.link = &link{
		address:      address,
		kind:         wirepb.StreamKind_CONTROL,
		options:      options,
		logger:       a.logger,
		wakeup:       make(chan struct{}, 1),
		sendUpdate:   func(now time.Time, s *sender) error { return a.sendUpdate(l, now, s) },
		receive:      func(stream *wire.Stream) error { return a.receive(l, stream) },
		onDisconnect: func(err error) { a.handleDisconnect(l, err) },
	}
	a.links[address] = l
	a.running.Go(func() { l.link.run(ctx) })
	return l
}

// wakeLink makes the link to an endpoint's agent send an update without waiting for the interval.
func (a *Agents) wakeLink(endpointID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.byID[endpointID]; l != nil {
		wake(l.link.wakeup)
	}
}

// SendCommand sends a command to the agent of an engine. It replaces one that has not been sent yet.
func (a *Agents) SendCommand(c *controlpb.Command) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.byID[c.EndpointId]
	if l == nil {
		return
	}
	l.command, l.commandAt = c, time.Now()
	wake(l.link.wakeup)
}

// sendUpdate sends an agent the state that it does not have yet, or a heartbeat if one is due.
func (a *Agents) sendUpdate(l *agentLink, now time.Time, s *sender) error {
	if l.sender != s {
		l.sender, l.sentClassVersion = s, 0
	}
	a.mu.Lock()
	id, service, command := l.endpoint.ID, l.endpoint.Service, l.command
	if now.Sub(l.commandAt) > commandTTL {
		command = nil
	}
	l.command = nil
	a.mu.Unlock()
	message := a.fleet.AgentMessage(id)
	if message == nil {
		message = &controlpb.ToAgent{}
	}
	message.Command = command
	message.EngineClass = a.engineClass(service, l.sentClassVersion)
	if err := s.send(now, message, a.options.Heartbeat); err != nil {
		return err
	}
	if message.EngineClass != nil {
		l.sentClassVersion = message.EngineClass.ConfigVersion
	}
	return nil
}

// engineClass returns the class of a service's engines, or nil if the agent already has the current version.
func (a *Agents) engineClass(service string, sentVersion int64) *controlpb.EngineClass {
	config := a.fleet.Config()
	engine := config.EngineClass(service)
	if engine == nil || config.Version == sentVersion {
		return nil
	}
	class := &controlpb.EngineClass{
		ConfigVersion: config.Version,
		MemoryMb:      engine.MemoryMB,
		AdapterPlaces: int32(engine.MaxAdapters),
	}
	for _, m := range engine.Models {
		class.Models = append(class.Models, &controlpb.Model{Name: m.Name, SizeMb: m.SizeMB, AdapterMb: m.AdapterMB})
	}
	return class
}

// receive reads and handles one message of an agent.
func (a *Agents) receive(l *agentLink, stream *wire.Stream) error {
	message := &controlpb.FromAgent{}
	if err := stream.Read(message); err != nil {
		return err
	}
	now := time.Now()
	a.mu.Lock()
	l.lastMessageAt = now
	if a.firstMessageAt.IsZero() {
		a.firstMessageAt = now
	}
	if message.Gateways != nil {
		l.peers = message.Gateways.Addresses
	}
	id := l.endpoint.ID
	state := l.stateToApply(now, message.State)
	a.mu.Unlock()
	if !a.fleet.SetState(id, state, int(message.Running), int(message.Queued), now) {
		a.logger.Warn("report of an earlier engine process ignored", "event", "old_report", "endpoint", id, "started", state.Started)
	}
	return nil
}

// stateToApply returns the state to apply to the link's endpoint, or nil if only the load has changed.
//
// An agent sends its state only when that changes. It may learn from another gateway that its engine has a new ID, and
// send the new state, before this gateway has read the registration. The state is then applied again once the endpoint is
// known: otherwise the engine would seem to have no agent until its state changes, and get no work. The caller holds mu.
func (l *agentLink) stateToApply(now time.Time, sent *controlpb.EngineState) *fleet.EngineState {
	if sent != nil {
		l.state, l.stateAt = sent, now
	} else if l.state == nil || l.stateOf == l.endpoint.ID {
		return nil
	}
	l.stateOf = l.endpoint.ID
	state := decodeState(l.state)
	state.CommandAge += now.Sub(l.stateAt)
	return state
}

// handleDisconnect records whether a link failed by timeout. When an agent is killed, its connections are reset and its
// engine still works; a timeout means that the host is frozen or unreachable, and with it the engine.
func (a *Agents) handleDisconnect(l *agentLink, err error) {
	a.mu.Lock()
	id := l.endpoint.ID
	a.mu.Unlock()
	a.fleet.SetDisconnected(id, errors.Is(err, wire.ErrTimeout))
}

// SinceFirstMessage returns the time since the first message of any agent, or zero if none has arrived.
func (a *Agents) SinceFirstMessage(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstMessageAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstMessageAt)
}

// Peers returns this gateway and those that agents have reported as connected within peerTTL.
func (a *Agents) Peers(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[string]bool{a.options.Self: true}
	peers := []string{a.options.Self}
	for _, l := range a.links {
		if now.Sub(l.lastMessageAt) > peerTTL {
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
