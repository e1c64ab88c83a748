package control

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
	"balsamsail/internal/hubs"
	"balsamsail/internal/watch"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	// hubSilenceLimit is the time without a message after which a gateway leaves its hub: four heartbeats of 250 ms.
	hubSilenceLimit = time.Second
	// hubDialTimeout bounds the time from the connection attempt to a hub to the first bytes, and from there to the next ones before
	// the gateway knows what the hub knows. A frozen host's kernel accepts the connection, and nothing follows.
	hubDialTimeout = 700 * time.Millisecond
	// hubTrialTime is the time after which a hub that serves counts as sound again.
	hubTrialTime = 10 * time.Second
	// selectInterval is the time between two checks whether there is a better hub.
	selectInterval = 200 * time.Millisecond
	// directoryTimeout is how long a gateway that has just started waits for the list of gateways before it becomes its own
	// hub. Otherwise all gateways of a site would connect to all agents when they start together.
	directoryTimeout = 2 * time.Second
	// startPatience is how long a gateway that has just started tries its preferred hub before it takes another, every
	// startRetryDelay. When the processes of a site start together, the hub may be the last; without patience the gateways
	// would go on from one to the next, and each that is asked connects to all agents.
	startPatience   = time.Second
	startRetryDelay = 100 * time.Millisecond
)

// Upstream keeps a gateway connected to its hub, or makes it its own hub.
type Upstream struct {
	options  Options
	agents   *Agents
	hub      *Hub
	fleet    *fleet.Fleet
	facts    *Facts
	replicas map[string]*watch.Replica
	logger   *slog.Logger

	// applyMu is held while a message is applied, so that none of an earlier hub is applied after those of the next.
	applyMu sync.Mutex

	mu       sync.Mutex
	selector *hubs.Selector
	listed   bool
	// current is the connection to the hub; nil while this gateway is its own, or has none.
	current *subscription
	ownHub  bool
	// confirmedAt is when the hub's copy of each table was known to have all changes.
	confirmedAt map[string]time.Time
	// startedAt is when Run began, and retryAt when the preferred hub is tried again within startPatience.
	startedAt, retryAt time.Time
	// changed is signaled when the choice of the hub may change.
	changed chan struct{}

	// demandMu guards what the hub in use has been told of the demand.
	demandMu     sync.Mutex
	differ       demand.Differ
	demandSentTo *subscription
}

// NewUpstream returns the upstream side of a gateway.
func NewUpstream(options Options, self hubs.Gateway, agents *Agents, hub *Hub, f *fleet.Fleet, facts *Facts, replicas []*watch.Replica, logger *slog.Logger) *Upstream {
	u := &Upstream{
		options:     options,
		agents:      agents,
		hub:         hub,
		fleet:       f,
		facts:       facts,
		replicas:    byTable(replicas),
		logger:      logger,
		selector:    hubs.NewSelector(self),
		confirmedAt: make(map[string]time.Time),
		changed:     make(chan struct{}, 1),
	}
	f.OnAdapterWanted(u.wakeAdapter)
	return u
}

// byTable returns the replicas by the names of their tables.
func byTable(replicas []*watch.Replica) map[string]*watch.Replica {
	index := make(map[string]*watch.Replica, len(replicas))
	for _, r := range replicas {
		index[r.Table()] = r
	}
	return index
}

// SetGateways sets the list of gateways that are registered.
func (u *Upstream) SetGateways(list []hubs.Gateway) {
	u.mu.Lock()
	u.selector.SetGateways(list)
	u.listed = true
	u.mu.Unlock()
	wake(u.changed)
}

// Gateways returns the number of registered gateways, this one included.
func (u *Upstream) Gateways() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selector.Gateways()
}

// IsMesh reports whether the site is so small that each gateway is its own hub.
func (u *Upstream) IsMesh() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selector.IsMesh()
}

// FailureDomains returns the number of failure domains of the registered gateways.
func (u *Upstream) FailureDomains() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selector.FailureDomains()
}

// Gateway returns a registered gateway.
func (u *Upstream) Gateway(address string) (hubs.Gateway, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selector.Gateway(address)
}

// isAlone reports whether the list of gateways is known and has no other one.
func (u *Upstream) isAlone() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed && u.selector.Gateways() <= 1
}

// IsOwnHub reports whether this gateway has links of its own to the agents.
func (u *Upstream) IsOwnHub() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ownHub
}

// ConfirmedAt returns when the hub's copy of a table was last known to have all changes; zero if the hub does not know.
func (u *Upstream) ConfirmedAt(table string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.confirmedAt[table]
}

// wakeAdapter passes a wanted adapter on at once: to the hub, or to the engine's agent.
func (u *Upstream) wakeAdapter(endpointID string) {
	// The fleet calls this with its lock held.
	go func() {
		if !u.wakeHub() {
			u.agents.wakeLink(endpointID)
		}
	}()
}

// wakeHub makes the connection to the hub send an update at once. It reports whether there is one.
func (u *Upstream) wakeHub() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return false
	}
	wake(u.current.link.wakeup)
	return true
}

// subscription is a connection to a hub.
type subscription struct {
	address   string
	link      *link
	cancel    context.CancelFunc
	startedAt time.Time
	// ready is closed once the hub has sent everything that it knows, and done when the connection has ended.
	ready, done chan struct{}
	// first holds the messages before that, and progress ends the connection if the next one does not come in time.
	first    []arrivedUpdate
	progress *time.Timer
	// facts is how far the hub has been sent what this gateway knows.
	facts factsCursor
	// err is why the connection ended; it is set before done is closed.
	err error
}

// arrivedUpdate is a message of a hub and when it arrived, from which the ages in it count.
type arrivedUpdate struct {
	at      time.Time
	message *controlpb.SiteUpdate
}

// Run keeps the gateway connected until ctx ends.
func (u *Upstream) Run(ctx context.Context) {
	u.mu.Lock()
	u.startedAt = time.Now()
	u.mu.Unlock()
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	var pending *subscription
	for {
		pending = u.follow(ctx, u.target(), pending)
		var ready, failed, lost <-chan struct{}
		if pending != nil {
			ready, failed = pending.ready, pending.done
		}
		current := u.connection()
		if current != nil {
			lost = current.done
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-u.changed:
		case <-ready:
			pending = nil
		case <-failed:
			u.recordFailure(pending)
			pending = nil
		case <-lost:
			u.recordFailure(current)
			u.disconnect(current)
		}
	}
}

// connection returns the connection in use, if there is one.
func (u *Upstream) connection() *subscription {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current
}

// target returns the address of the hub to use; empty while this gateway is to wait.
func (u *Upstream) target() string {
	now := time.Now()
	if u.hub.Subscribers() > 0 {
		return u.options.Self
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil && now.Sub(u.current.startedAt) >= hubTrialTime {
		u.selector.Succeeded(u.current.address)
	}
	if !u.listed && now.Sub(u.startedAt) < directoryTimeout || now.Before(u.retryAt) {
		return ""
	}
	return u.selector.Choose(now)
}

// follow moves towards the given hub. It returns the connection that is being established, if any. The connection in use
// is kept until the new one is ready.
func (u *Upstream) follow(ctx context.Context, target string, pending *subscription) *subscription {
	if pending != nil && pending.address != target {
		pending.cancel()
		pending = nil
	}
	current := u.connection()
	switch {
	case target == "" || pending != nil || current != nil && current.address == target:
		return pending
	case target == u.options.Self:
		u.becomeOwnHub()
		return nil
	}
	return u.subscribe(ctx, target)
}

// becomeOwnHub gives this gateway links of its own to the agents.
func (u *Upstream) becomeOwnHub() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ownHub {
		return
	}
	u.logger.Info("this gateway is its own hub", "event", "hub", "hub", u.options.Self, "gateways", u.selector.Gateways())
	u.ownHub = true
	u.setCurrent(nil)
	u.fleet.StopRelay(time.Now())
	u.agents.SetActive(true)
}

// useHub makes a connection the one in use, before what the hub has sent is applied.
func (u *Upstream) useHub(s *subscription, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.logger.Info("connected to hub", "event", "hub", "hub", s.address, "gateways", u.selector.Gateways())
	u.ownHub = false
	u.setCurrent(s)
	u.agents.SetActive(false)
	u.fleet.StartRelay(now)
}

// disconnect records that a connection has ended, if it is still the one in use.
func (u *Upstream) disconnect(s *subscription) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == s {
		u.setCurrent(nil)
	}
}

// setCurrent replaces the connection in use. The caller holds mu.
func (u *Upstream) setCurrent(s *subscription) {
	if u.current != nil {
		u.current.cancel()
	}
	u.current = s
	clear(u.confirmedAt)
}

func (u *Upstream) recordFailure(s *subscription) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.current == nil && now.Sub(u.startedAt) < startPatience {
		u.retryAt = now.Add(startRetryDelay)
		time.AfterFunc(startRetryDelay, func() { wake(u.changed) })
		return
	}
	u.selector.Failed(now, s.address)
	u.logger.Info("no connection to hub", "event", "hub_lost", "hub", s.address, "error", s.err)
}

// subscribe starts a connection to a hub.
func (u *Upstream) subscribe(ctx context.Context, address string) *subscription {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{address: address, cancel: cancel, startedAt: time.Now(), ready: make(chan struct{}), done: make(chan struct{})}
	options := u.options
	options.Interval, options.SilenceLimit = demandInterval, hubSilenceLimit
	s.link = &link{
		address:    address,
		kind:       wirepb.StreamKind_SITE,
		options:    options,
		logger:     u.logger,
		wakeup:     make(chan struct{}, 1),
		sendUpdate: func(now time.Time, out *sender) error { return u.sendUpdate(s, now, out) },
		receive:    func(stream *wire.Stream) error { return u.receive(s, stream) },
		onProgress: s.extendFirst,
	}
	s.progress = time.AfterFunc(hubDialTimeout, cancel)
	go func() {
		defer close(s.done)
		defer s.progress.Stop()
		connected := false
		s.err = s.link.runConnection(ctx, &connected)
		u.logger.Debug("connection to hub ended", "hub", address, "error", s.err)
	}()
	return s
}

// sendUpdate sends the hub in use what has changed of this gateway's demand. Another hub, which has not answered yet or is
// about to be left, gets empty messages.
func (u *Upstream) sendUpdate(s *subscription, now time.Time, out *sender) error {
	message := &controlpb.GatewayUpdate{}
	if u.connection() != s {
		return out.send(now, message, u.options.Heartbeat)
	}
	u.demandMu.Lock()
	defer u.demandMu.Unlock()
	if u.demandSentTo != s {
		u.differ.Reset()
		u.demandSentTo = s
	}
	message.Demand = encodeDemand(u.differ.Changes(now, u.fleet.Demand(now)), true)
	message.Wanted = encodeAdapters(u.fleet.WantedAdapters())
	message.Used = encodeAdapters(u.fleet.UsedAdapters())
	message.Limits = encodeLimits(now, u.fleet.Limits(now))
	message.WantedPermits = u.fleet.WantedPermits()
	if u.fleet.LimitedEndpoints() > 0 {
		message.ArrivalsPerSecond = uint32(math.Round(u.fleet.TotalArrivalRate(now)))
	}
	message.Facts = u.facts.next(now, &s.facts)
	if len(message.Demand.Models) > 0 || len(message.Wanted) > 0 || len(message.WantedPermits) > 0 {
		// Two equal lists of changes are two changes.
		out.last = nil
	}
	return out.send(now, message, u.options.Heartbeat)
}

// extendFirst gives the hub more time for what it sends first, because a part of it has arrived.
func (s *subscription) extendFirst() {
	select {
	case <-s.ready:
	default:
		s.progress.Reset(hubDialTimeout)
	}
}

// receive reads and handles one message of a hub.
func (u *Upstream) receive(s *subscription, stream *wire.Stream) error {
	message := &controlpb.SiteUpdate{}
	if err := stream.Read(message); err != nil {
		return err
	}
	u.handle(s, arrivedUpdate{at: time.Now(), message: message})
	return nil
}

// handle applies a message of the hub in use, or keeps it until the hub has sent everything that it knows.
func (u *Upstream) handle(s *subscription, arrived arrivedUpdate) {
	u.applyMu.Lock()
	defer u.applyMu.Unlock()
	select {
	case <-s.ready:
		if u.connection() == s {
			u.apply(arrived)
		}
		return
	default:
	}
	s.first = append(s.first, arrived)
	if arrived.message.More {
		return
	}
	s.progress.Stop()
	u.useHub(s, arrived.at)
	for _, part := range s.first {
		u.apply(part)
	}
	s.first = nil
	close(s.ready)
	wake(s.link.wakeup)
}

// apply applies a message of the hub in use.
func (u *Upstream) apply(arrived arrivedUpdate) {
	now, message := arrived.at, arrived.message
	for _, t := range message.Tables {
		u.applyTable(decodeTable(now, t))
	}
	engines := make([]fleet.RelayedEngine, len(message.Engines))
	for i, e := range message.Engines {
		engines[i] = decodeEngine(e)
	}
	u.fleet.ApplyRelayed(now, engines)
	u.fleet.ApplyLimits(now, decodeLimits(now, message.Limits))
	u.fleet.AddPermits(now, message.Permits)
	u.facts.apply(now, message.Facts)
}

// applyTable applies a hub's change to a replica, and notes how recent the hub's copy is.
func (u *Upstream) applyTable(c watch.Change) {
	replica := u.replicas[c.Table]
	if replica == nil {
		u.logger.Debug("table of a later build ignored", "table", c.Table)
		return
	}
	follows := replica.Apply(c)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case c.Unavailable:
		u.confirmedAt[c.Table] = time.Time{}
	case follows:
		u.confirmedAt[c.Table] = c.ConfirmedAt
	}
}
