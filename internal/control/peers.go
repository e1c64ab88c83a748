package control

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	// demandInterval is the time between two demand messages; the coordinator sees a change of demand with up to this delay.
	demandInterval = 200 * time.Millisecond
	// activationDelay is how long a gateway must have been elected, and have received messages from agents, before it acts
	// as the coordinator even with incomplete state. When processes start together, each gateway sees only itself until
	// agents report the others, and the others' demand has yet to arrive. Without waiting for agents, six gateways sent the
	// same command to the first listed engine.
	activationDelay = 600 * time.Millisecond
	// minActivationDelay replaces activationDelay once every listed agent is active and the demand of every gateway that they
	// report has arrived. After a power loss this takes 140 ms from startup, so models are loaded 0.45 s sooner.
	minActivationDelay = 150 * time.Millisecond
)

// Peers elects the coordinator among the gateways and delivers every gateway's demand to it. The coordinator is the gateway
// with the lowest address among those that agents report as connected. Two gateways that both consider themselves the
// coordinator cause unnecessary model loads but no other harm: only agents send orders to engines, and they check each one.
type Peers struct {
	options Options
	agents  *Agents
	fleet   *fleet.Fleet
	logger  *slog.Logger

	mu     sync.Mutex
	demand map[string]peerDemand
	// electedAt is when this gateway was elected coordinator; zero while it is not. active is set once it acts as one.
	electedAt time.Time
	active    bool
	// coordinatorWakeup wakes the link to the coordinator; nil while this gateway is the coordinator.
	coordinatorWakeup chan struct{}
	// gatewayCount is the number of gateways, this one included, that agents report.
	gatewayCount atomic.Int64
	// waiting is signaled when a request of any gateway starts to wait for a model.
	waiting chan struct{}
}

type peerDemand struct {
	at      time.Time
	message *controlpb.Demand
}

// NewPeers returns the peer state of a gateway.
func NewPeers(options Options, agents *Agents, f *fleet.Fleet, logger *slog.Logger) *Peers {
	p := &Peers{
		options: options,
		agents:  agents,
		fleet:   f,
		logger:  logger,
		demand:  make(map[string]peerDemand),
		waiting: make(chan struct{}, 1),
	}
	f.OnWaiting(p.signalWaiting)
	return p
}

// signalWaiting notifies the coordinator at once that a request of this gateway has started to wait. A model that is not
// loaded should answer within 3 s, and loading it from disk takes 1.3 s; waiting for the next periodic message and decision
// would add 0.2 s on average.
func (p *Peers) signalWaiting() {
	// The fleet calls this with its lock held; taking p.mu here could deadlock.
	go func() {
		p.mu.Lock()
		wakeup := p.coordinatorWakeup
		p.mu.Unlock()
		if wakeup == nil {
			wakeup = p.waiting
		}
		wake(wakeup)
	}()
}

// GatewayCount returns the number of gateways, this one included, that agents have recently reported.
func (p *Peers) GatewayCount() int { return max(1, int(p.gatewayCount.Load())) }

// Waiting returns a channel that is signaled when a request of any gateway starts to wait for a model.
func (p *Peers) Waiting() <-chan struct{} { return p.waiting }

// Run keeps track of the elected coordinator, and the link to it, until ctx is done.
func (p *Peers) Run(ctx context.Context) {
	current, stop := "", context.CancelFunc(func() {})
	defer func() { stop() }()
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		peers := p.agents.Peers(time.Now())
		p.gatewayCount.Store(int64(len(peers)))
		if next := slices.Min(peers); next != current {
			p.logger.Info("coordinator elected", "event", "coordinator", "before", current, "now", next)
			stop()
			current = next
			stop = p.follow(ctx, next)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow starts a link to the coordinator, or records the election if this gateway is the coordinator. The returned function
// stops the link.
func (p *Peers) follow(ctx context.Context, coordinator string) context.CancelFunc {
	p.mu.Lock()
	p.electedAt, p.active, p.coordinatorWakeup = time.Time{}, false, nil
	if coordinator == p.options.Self {
		p.electedAt = time.Now()
	}
	p.mu.Unlock()
	if coordinator == p.options.Self {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	options := p.options
	options.Interval = demandInterval
	l := &link{
		address: coordinator,
		options: options,
		logger:  p.logger,
		wakeup:  make(chan struct{}, 1),
		sendUpdate: func(now time.Time, s *sender) error {
			return s.send(now, p.fleet.Demand(now), options.Heartbeat)
		},
		receive: func(stream *wire.Stream) error { return stream.Read(&controlpb.Demand{}) },
	}
	p.mu.Lock()
	p.coordinatorWakeup = l.wakeup
	p.mu.Unlock()
	go l.run(ctx)
	return cancel
}

// Serve accepts links of other gateways and receives their demand until ctx is done.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	return wire.Serve(ctx, listener, WireOptions(p.options.SilenceLimit), p.logger, p.serveStream)
}

func (p *Peers) serveStream(_ context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	s := &sender{stream: stream}
	for {
		message := &controlpb.Demand{}
		if err := stream.SetReadDeadline(time.Now().Add(p.options.SilenceLimit)); err != nil {
			return
		}
		if err := stream.Read(message); err != nil {
			p.logger.Debug("demand stream of peer closed", "peer", header.Entry, "error", err)
			return
		}
		now := time.Now()
		p.mu.Lock()
		increased := waitingModels(message) > waitingModels(p.demand[header.Entry].message)
		p.demand[header.Entry] = peerDemand{at: now, message: message}
		p.mu.Unlock()
		if increased {
			wake(p.waiting)
		}
		// The reply keeps the peer's silence limit from expiring.
		if err := s.send(now, &controlpb.Demand{}, p.options.Heartbeat); err != nil {
			return
		}
	}
}

// waitingModels returns the number of models that requests of a gateway are waiting for.
func waitingModels(d *controlpb.Demand) int {
	n := 0
	for _, m := range d.GetModels() {
		if m.Waiting > 0 {
			n++
		}
	}
	return n
}

// IsCoordinator reports whether this gateway is the coordinator and has passed its activation delay.
func (p *Peers) IsCoordinator(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.electedAt.IsZero() || p.active {
		return p.active
	}
	elapsed := min(now.Sub(p.electedAt), p.agents.SinceFirstMessage(now))
	p.active = elapsed >= activationDelay || elapsed >= minActivationDelay && p.hasFullState(now)
	return p.active
}

// hasFullState reports whether every listed agent is active and the demand of every gateway that they report is recent. The
// caller holds mu.
func (p *Peers) hasFullState(now time.Time) bool {
	listed, active, _ := p.agents.linkStats(now)
	if active < listed {
		return false
	}
	for _, peer := range p.agents.Peers(now) {
		if d, ok := p.demand[peer]; peer != p.options.Self && (!ok || now.Sub(d.at) > peerTTL) {
			return false
		}
	}
	return true
}

// Demand returns the demand of all gateways, this one included, by gateway address.
func (p *Peers) Demand(now time.Time) map[string]*controlpb.Demand {
	all := map[string]*controlpb.Demand{p.options.Self: p.fleet.Demand(now)}
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, d := range p.demand {
		if now.Sub(d.at) > peerTTL {
			delete(p.demand, peer)
			continue
		}
		all[peer] = d.message
	}
	return all
}
