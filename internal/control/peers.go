package control

import (
	"context"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamsail/internal/clock"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
	"balsamsail/internal/hubs"
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

// Peers elects the coordinator among the hubs and delivers every gateway's demand to it. The coordinator is the hub on the
// largest host, or with the lowest address, among those that agents report as connected. Two hubs that both consider
// themselves the coordinator cause unnecessary model loads but no other harm: only agents send orders to engines, and they
// check each one.
type Peers struct {
	options  Options
	agents   *Agents
	hub      *Hub
	upstream *Upstream
	fleet    *fleet.Fleet
	facts    *Facts
	logger   *slog.Logger

	mu sync.Mutex
	// local is the demand of this gateway and of those that it is the hub of, others that of the other hubs.
	local, others *demand.Board
	// streams is the number of hubs' streams so far, and lastStream the number of the latest one on which each hub has spoken.
	streams    uint64
	lastStream map[string]uint64
	// electedAt is when this gateway was elected coordinator; zero while it is not. active is set once it acts as one.
	electedAt time.Time
	active    bool
	// rates holds the arrivals at the gateways that this one is the hub of, and hubRates, on the coordinator, those at the other hubs.
	rates, hubRates *arrivalRates
	// share is this gateway's share of the limits that endpoints name.
	share limitShare
	// coordinatorWakeup wakes the link to the coordinator; nil while this gateway has none.
	coordinatorWakeup chan struct{}
	// gatewayCount is the number of gateways, this one included, that are registered or that agents report.
	gatewayCount atomic.Int64
	// waiting is signaled when a request of any gateway starts to wait for a model.
	waiting chan struct{}
}

// NewPeers returns the peer state of a gateway.
func NewPeers(options Options, agents *Agents, hub *Hub, upstream *Upstream, f *fleet.Fleet, facts *Facts, logger *slog.Logger) *Peers {
	p := &Peers{
		options:  options,
		agents:   agents,
		hub:      hub,
		upstream: upstream,
		fleet:    f,
		facts:    facts,
		logger:   logger,
		local:    demand.NewBoard(),
		others:   demand.NewBoard(),

		lastStream: make(map[string]uint64),
		waiting:    make(chan struct{}, 1),
		rates:      newArrivalRates(),
		hubRates:   newArrivalRates(),
	}
	f.OnWaiting(func() { go p.signalWaiting() })
	f.OnLimitChange(func() { go p.signalLimit() })
	f.OnPermitWanted(func() { go upstream.wakeHub() })
	hub.onUpdate, hub.onLeave = p.handleUpdate, p.handleLeave
	return p
}

// handleUpdate takes in the demand of a gateway that has chosen this one as its hub.
func (p *Peers) handleUpdate(gateway string, message *controlpb.GatewayUpdate, first bool) {
	m := decodeDemand(message.Demand)
	m.Changes, m.First = true, first
	p.rates.set(time.Now(), gateway, message.ArrivalsPerSecond)
	p.mu.Lock()
	increased := p.local.Apply(time.Now(), gateway, m)
	p.mu.Unlock()
	if increased {
		p.signalWaiting()
	}
}

func (p *Peers) handleLeave(gateway string) {
	p.rates.forget(gateway)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.Remove(gateway)
}

// signalWaiting notifies the coordinator at once that a request of this gateway, or of one that it is the hub of, has
// started to wait. A model that is not loaded should answer within 3 s, and loading it from disk takes 1.3 s; waiting for
// the next periodic message and decision would add 0.2 s on average.
func (p *Peers) signalWaiting() { p.wakeUpstream(p.waiting) }

// signalLimit passes on at once that the known limit of an endpoint has changed.
func (p *Peers) signalLimit() { p.wakeUpstream(nil) }

// wakeUpstream wakes the link to the hub or, on a hub, the one to the coordinator. The coordinator has neither; there it
// signals own, if it is set.
func (p *Peers) wakeUpstream(own chan struct{}) {
	if p.upstream.wakeHub() {
		return
	}
	p.mu.Lock()
	wakeup := p.coordinatorWakeup
	p.mu.Unlock()
	if wakeup == nil {
		wakeup = own
	}
	wake(wakeup)
}

// hubCount returns the number of hubs: those that agents report as connected or, while no agent is heard, all gateways of a
// mesh, else one for each failure domain.
func (p *Peers) hubCount(now time.Time, connected []string) int {
	_, heard, _ := p.agents.linkStats(now)
	switch {
	case heard > 0:
		return len(connected)
	case p.upstream.IsMesh():
		return p.upstream.Gateways()
	}
	return p.upstream.FailureDomains()
}

// GatewayCount returns the number of gateways, this one included, that are registered or that agents have recently reported.
func (p *Peers) GatewayCount() int { return max(1, int(p.gatewayCount.Load())) }

// InContact reports whether this gateway hears from others, or is the only one of the site.
func (p *Peers) InContact(now time.Time) bool {
	return p.facts.inContact(now) || p.upstream.isAlone()
}

// Waiting returns a channel that is signaled when a request of any gateway starts to wait for a model.
func (p *Peers) Waiting() <-chan struct{} { return p.waiting }

// Run keeps track of the elected coordinator, and the link to it, until ctx is done.
func (p *Peers) Run(ctx context.Context) {
	current, stop := "", context.CancelFunc(func() {})
	defer func() { stop() }()
	go p.wakeOnFacts(ctx)
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		next := ""
		now := time.Now()
		peers := p.agents.Peers(now)
		p.gatewayCount.Store(int64(max(len(peers), p.upstream.Gateways())))
		if p.upstream.IsOwnHub() {
			next = p.elect(peers)
			p.fleet.SetLimitShare(now, p.limitShare(now, next, p.hubCount(now, peers)))
		}
		if next != current {
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

// arrivals returns the rate at which requests arrive at this gateway and those that it is the hub of.
func (p *Peers) arrivals(now time.Time) float64 {
	behind, _ := p.rates.total(now, "")
	return behind + p.fleet.TotalArrivalRate(now)
}

// limitShare returns this gateway's share of the limits that endpoints name, among a number of hubs. The coordinator divides them by
// where clients' requests arrive; without its word they are divided evenly.
func (p *Peers) limitShare(now time.Time, coordinator string, hubs int) float64 {
	wanted := shareOf(0, 0, hubs)
	if coordinator == p.options.Self {
		own := p.arrivals(now)
		others, _ := p.hubRates.total(now, "")
		wanted = shareOf(own, own+others, hubs)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if coordinator != p.options.Self && now.Sub(p.share.givenAt) <= shareTTL {
		wanted = p.share.given
	}
	return p.share.next(now, wanted)
}

// shareFor returns another hub's share of the limits in shareUnits; 0 while no endpoint names one.
func (p *Peers) shareFor(now time.Time, hub string) uint32 {
	if p.fleet.LimitedEndpoints() == 0 {
		return 0
	}
	others, one := p.hubRates.total(now, hub)
	return uint32(shareUnit * shareOf(one, others+p.arrivals(now), p.hubCount(now, p.agents.Peers(now))))
}

// setGivenShare records the coordinator's word on this gateway's share.
func (p *Peers) setGivenShare(now time.Time, share uint32) {
	if share == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share.given, p.share.givenAt = float64(share)/shareUnit, now
}

// wakeOnFacts passes new facts on at once, until ctx is done.
func (p *Peers) wakeOnFacts(ctx context.Context) {
	for {
		changed := p.facts.Changed()
		p.wakeUpstream(nil)
		clock.Pause(ctx, factsInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// elect returns the coordinator among the given gateways: the one on the largest host. While one of them has not
// registered, the lowest address decides; all gateways have to judge by what all of them know.
func (p *Peers) elect(peers []string) string {
	var list []hubs.Gateway
	for _, address := range peers {
		g, ok := p.upstream.Gateway(address)
		if !ok {
			return slices.Min(peers)
		}
		list = append(list, g)
	}
	return slices.MinFunc(list, hubs.ComparePreference).Address
}

// follow starts a link to the coordinator, or records the election if this gateway is the coordinator. It does nothing
// without one: the gateway's hub has the link. The returned function stops the link.
func (p *Peers) follow(ctx context.Context, coordinator string) context.CancelFunc {
	p.mu.Lock()
	p.electedAt, p.active, p.coordinatorWakeup = time.Time{}, false, nil
	if coordinator == p.options.Self {
		p.electedAt = time.Now()
	}
	p.mu.Unlock()
	if coordinator == "" || coordinator == p.options.Self {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	options := p.options
	options.Interval = demandInterval
	out := &demandSender{facts: p.facts, arrivals: p.reportedArrivals}
	l := &link{
		address: coordinator,
		kind:    wirepb.StreamKind_CONTROL,
		options: options,
		logger:  p.logger,
		wakeup:  make(chan struct{}, 1),
		sendUpdate: func(now time.Time, s *sender) error {
			return out.send(now, s, p.localDemand(now), encodeLimits(now, p.fleet.Limits(now)), options.Heartbeat)
		},
		receive: func(stream *wire.Stream) error {
			reply := &controlpb.Demand{}
			if err := stream.Read(reply); err != nil {
				return err
			}
			out.takesChanges.Store(reply.TakesChanges)
			now := time.Now()
			p.fleet.ApplyLimits(now, decodeLimits(now, reply.Limits))
			p.setGivenShare(now, reply.LimitShare)
			p.facts.apply(now, reply.Facts)
			return nil
		},
	}
	p.mu.Lock()
	p.coordinatorWakeup = l.wakeup
	p.mu.Unlock()
	go l.run(ctx)
	return cancel
}

// demandSender sends the coordinator the demand: completely, until the coordinator has said that it takes changes.
// Coordinators of earlier builds never do.
type demandSender struct {
	differ       demand.Differ
	facts        *Facts
	arrivals     func(now time.Time) uint32
	cursor       factsCursor
	sender       *sender
	takesChanges atomic.Bool
}

func (d *demandSender) send(now time.Time, s *sender, all []demand.Model, limits []*controlpb.EndpointLimit, heartbeat time.Duration) error {
	if d.sender != s {
		d.sender, d.cursor = s, factsCursor{}
		d.takesChanges.Store(false)
	}
	changes := d.differ.Changes(now, all)
	var message *controlpb.Demand
	if d.takesChanges.Load() {
		message = encodeDemand(changes, true)
		if len(changes) > 0 {
			// Two equal lists of changes are two changes.
			s.last = nil
		}
	} else {
		message = encodeDemand(all, false)
	}
	message.Limits, message.ArrivalsPerSecond = limits, d.arrivals(now)
	message.Facts = d.facts.next(now, &d.cursor)
	return s.send(now, message, heartbeat)
}

// reportedArrivals is what this gateway tells the coordinator of arrivals: nothing while no endpoint names a limit.
func (p *Peers) reportedArrivals(now time.Time) uint32 {
	if p.fleet.LimitedEndpoints() == 0 {
		return 0
	}
	return uint32(math.Round(p.arrivals(now)))
}

// localDemand returns the demand of this gateway and of those that it is the hub of.
func (p *Peers) localDemand(now time.Time) []demand.Model {
	own := p.fleet.Demand(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.Apply(now, p.options.Self, demand.Message{Models: own})
	p.local.Expire(now.Add(-peerTTL))
	return p.local.Total(now)
}

// Serve accepts links of other gateways and receives their demand until ctx is done.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	return wire.Serve(ctx, listener, WireOptions(p.options.SilenceLimit), p.logger, p.serveStream)
}

func (p *Peers) serveStream(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	if header.Kind == wirepb.StreamKind_SITE {
		p.hub.serveStream(ctx, header, stream)
		return
	}
	p.mu.Lock()
	p.streams++
	number := p.streams
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	reply := p.replier(stream, header.Entry)
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	writer.Go(func() { p.pushFacts(ctx, stream, reply) })
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
		increased, ok := p.applyDemand(now, header.Entry, number, message)
		if !ok {
			p.logger.Debug("demand stream of peer is not its latest", "peer", header.Entry)
			return
		}
		if increased {
			wake(p.waiting)
		}
		p.fleet.ApplyLimits(now, decodeLimits(now, message.Limits))
		p.hubRates.set(now, header.Entry, message.ArrivalsPerSecond)
		p.facts.apply(now, message.Facts)
		// The reply keeps the peer's silence limit from expiring.
		if err := reply(); err != nil {
			return
		}
	}
}

// applyDemand takes in the demand of a hub, unless it has spoken on a later stream. It reports whether requests wait for more models than
// before, and whether the message was taken in.
func (p *Peers) applyDemand(now time.Time, hub string, stream uint64, message *controlpb.Demand) (increased, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stream < p.lastStream[hub] {
		return false, false
	}
	p.lastStream[hub] = stream
	return p.others.Apply(now, hub, decodeDemand(message)), true
}

// replier returns a function that sends a hub what the coordinator knows, if there is something new or the heartbeat is due.
func (p *Peers) replier(stream *wire.Stream, hub string) func() error {
	var mu sync.Mutex
	s, cursor := &sender{stream: stream}, &factsCursor{}
	return func() error {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		reply := &controlpb.Demand{TakesChanges: true, Limits: encodeLimits(now, p.fleet.Limits(now)), Facts: p.facts.next(now, cursor), LimitShare: p.shareFor(now, hub)}
		return s.send(now, reply, p.options.Heartbeat)
	}
}

// pushFacts sends a hub new facts without waiting for its next message, until ctx is done.
func (p *Peers) pushFacts(ctx context.Context, stream *wire.Stream, reply func() error) {
	for {
		changed := p.facts.Changed()
		if err := reply(); err != nil {
			p.logger.Debug("cannot send to peer", "error", err)
			_ = stream.Close()
			return
		}
		clock.Pause(ctx, factsInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
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
		if at, ok := p.others.HeardAt(peer); peer != p.options.Self && (!ok || now.Sub(at) > peerTTL) {
			return false
		}
	}
	return true
}

// Demand returns the demand of all gateways. Only the coordinator knows it.
func (p *Peers) Demand(now time.Time) []demand.Model {
	local := p.localDemand(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others.Apply(now, p.options.Self, demand.Message{Models: local})
	p.others.Expire(now.Add(-peerTTL))
	return p.others.Total(now)
}
