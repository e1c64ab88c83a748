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
	// demandInterval is the time between two messages about demand; a rising model is seen that much later.
	demandInterval = 200 * time.Millisecond
	// settle is for how long a gateway must see itself as the coordinator, and have heard from agents, before it acts as one in
	// any case: when processes start together each sees itself alone until agents name the others, and the others' demand must
	// have come. Without the second condition six gateways gave the first engine that was listed the same command.
	settle = 600 * time.Millisecond
	// leastSettle is that time for a coordinator that hears every listed agent and has the demand of every gateway that these
	// name. After a loss of power all had come within 140 ms of its start, and models were loaded 0.45 s earlier.
	leastSettle = 150 * time.Millisecond
)

// Peers elects the coordinator among the gateways and brings it their demand. The coordinator is the gateway with the lowest
// address among those that agents name as connected. Two that both see themselves as it cost needless loads and no more:
// agents alone give orders and check each one.
type Peers struct {
	options Options
	agents  *Agents
	fleet   *fleet.Fleet
	logger  *slog.Logger

	mu     sync.Mutex
	demand map[string]peerDemand
	// since is when this gateway became the coordinator; zero while it is not. settled is set once it acts as one.
	since   time.Time
	settled bool
	// kick wakes the link to the coordinator; nil while this gateway is it.
	kick chan struct{}
	// known is how many gateways there are, as far as agents name them.
	known atomic.Int64
	// waiting is signalled when a request of any gateway begins to wait.
	waiting chan struct{}
}

type peerDemand struct {
	at      time.Time
	message *controlpb.Demand
}

// NewPeers returns a gateway's view of its peers.
func NewPeers(options Options, agents *Agents, f *fleet.Fleet, logger *slog.Logger) *Peers {
	p := &Peers{
		options: options,
		agents:  agents,
		fleet:   f,
		logger:  logger,
		demand:  make(map[string]peerDemand),
		waiting: make(chan struct{}, 1),
	}
	f.OnWaiting(p.someoneWaits)
	return p
}

// someoneWaits tells the coordinator without delay that a request of this gateway begins to wait: of the 3 s within which a
// model that sleeps should answer, loading it from disk takes 1.3 s, and waiting for the next message and decision took 0.2 s
// of the rest on average.
func (p *Peers) someoneWaits() {
	// The fleet holds its lock here.
	go func() {
		p.mu.Lock()
		kick := p.kick
		p.mu.Unlock()
		if kick == nil {
			kick = p.waiting
		}
		wake(kick)
	}()
}

// Known is how many gateways there are, this one included, as far as agents have lately named them.
func (p *Peers) Known() int { return max(1, int(p.known.Load())) }

// Waiting is signalled when a request of any gateway begins to wait for a model.
func (p *Peers) Waiting() <-chan struct{} { return p.waiting }

// Run follows the coordinator until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	current, stop := "", context.CancelFunc(func() {})
	defer func() { stop() }()
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		peers := p.agents.Peers(time.Now())
		p.known.Store(int64(len(peers)))
		if next := slices.Min(peers); next != current {
			p.logger.Info("coordinator chosen", "event", "coordinator", "before", current, "now", next)
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

// follow becomes the coordinator, or keeps a link to it.
func (p *Peers) follow(ctx context.Context, coordinator string) context.CancelFunc {
	p.mu.Lock()
	p.since, p.settled, p.kick = time.Time{}, false, nil
	if coordinator == p.options.Self {
		p.since = time.Now()
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
		kick:    make(chan struct{}, 1),
		tick: func(now time.Time, s *sender) error {
			return s.send(now, p.fleet.Demand(now), options.Heartbeat)
		},
		receive: func(stream *wire.Stream) error { return stream.Read(&controlpb.Demand{}) },
	}
	p.mu.Lock()
	p.kick = l.kick
	p.mu.Unlock()
	go l.run(ctx)
	return cancel
}

// Serve takes the demand of other gateways until ctx ends.
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
			p.logger.Debug("demand of a peer ends", "peer", header.Entry, "error", err)
			return
		}
		now := time.Now()
		p.mu.Lock()
		more := waitingIn(message) > waitingIn(p.demand[header.Entry].message)
		p.demand[header.Entry] = peerDemand{at: now, message: message}
		p.mu.Unlock()
		if more {
			wake(p.waiting)
		}
		// The answer keeps the peer from taking the link for silent.
		if err := s.send(now, &controlpb.Demand{}, p.options.Heartbeat); err != nil {
			return
		}
	}
}

// waitingIn counts the models that requests of a gateway wait for.
func waitingIn(d *controlpb.Demand) int {
	n := 0
	for _, m := range d.GetModels() {
		if m.Waiting > 0 {
			n++
		}
	}
	return n
}

// Coordinates reports whether this gateway is the coordinator and has had time to hear from the others.
func (p *Peers) Coordinates(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() || p.settled {
		return p.settled
	}
	passed := min(now.Sub(p.since), p.agents.HeardFor(now))
	p.settled = passed >= settle || passed >= leastSettle && p.hearsAll(now)
	return p.settled
}

// hearsAll reports whether every listed agent is heard, and the demand of every gateway that they name has come. The lock is
// held.
func (p *Peers) hearsAll(now time.Time) bool {
	listed, heard, _ := p.agents.heard(now)
	if heard < listed {
		return false
	}
	for _, peer := range p.agents.Peers(now) {
		if d, ok := p.demand[peer]; peer != p.options.Self && (!ok || now.Sub(d.at) > peerMemory) {
			return false
		}
	}
	return true
}

// Demand returns what the gateways' requests ask for, this one's included, by gateway.
func (p *Peers) Demand(now time.Time) map[string]*controlpb.Demand {
	all := map[string]*controlpb.Demand{p.options.Self: p.fleet.Demand(now)}
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, d := range p.demand {
		if now.Sub(d.at) > peerMemory {
			delete(p.demand, peer)
			continue
		}
		all[peer] = d.message
	}
	return all
}
