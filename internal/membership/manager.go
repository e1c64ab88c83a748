package membership

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// ErrNotConnected means that there is no working connection to the endpoint's agent.
var ErrNotConnected = errors.New("membership: not connected")

// Observer receives the events of agent connections and of the host list. Its methods are called from several
// goroutines and must not block.
type Observer interface {
	// Connected is called when an agent's control stream is open, before its first report.
	Connected(endpoint string)
	// Reported is called for each batch, after the status in it was merged.
	Reported(endpoint string, up *wirepb.ControlUp)
	// Lost is called when the control stream has ended, or when the link was detached because the endpoint's host is
	// gone, replaced or listed at another address.
	Lost(endpoint string)
	// Changed is called when the set of hosts or their states have changed.
	Changed()
}

// Options configures a Manager.
type Options struct {
	// EntryID identifies this entry; Incarnation increases with each of its starts.
	EntryID     string
	Incarnation uint64
	// ListInterval is the interval between reads of the host list.
	ListInterval time.Duration
	// RedialDelay is the delay between attempts to connect to an agent; it is jittered.
	RedialDelay time.Duration
	// HeartbeatInterval is the longest time between batches on a control stream, and SilenceLimit the time without a
	// batch after which the peer is considered lost.
	HeartbeatInterval, SilenceLimit time.Duration
	// BatchDelay is how long changes are collected before a batch is sent.
	BatchDelay time.Duration
	Wire       wire.Options
}

// DefaultOptions returns options for a site of some tens of hosts.
func DefaultOptions() Options {
	return Options{
		ListInterval:      time.Second,
		RedialDelay:       300 * time.Millisecond,
		HeartbeatInterval: time.Second,
		SilenceLimit:      4 * time.Second,
		BatchDelay:        10 * time.Millisecond,
		Wire:              wire.DefaultOptions(),
	}
}

// Manager reads the host list, maintains the connections to the agents and updates a View from both.
type Manager struct {
	options  Options
	hosts    backing.HostList
	clock    clock.Clock
	logger   *slog.Logger
	recorder *timeline.Recorder
	metrics  *metrics

	// endpoints caches a copy of the view's endpoints for readers. It is nil after a change of the view until a reader
	// asks for it: copying with each report would take time quadratic in the number of agents.
	endpoints atomic.Pointer[map[string]*Endpoint]
	entries   atomic.Pointer[[]Entry]
	listed    chan struct{}

	mu    sync.Mutex
	view  *View
	links map[string]*link
	// retired are links to replaced hosts on which requests may still run.
	retired  map[*link]bool
	observer Observer
	listOnce sync.Once
}

// NewManager returns a manager; Run starts it.
func NewManager(o Options, hosts backing.HostList, c clock.Clock, logger *slog.Logger, r prometheus.Registerer, recorder *timeline.Recorder) *Manager {
	m := &Manager{
		options:  o,
		hosts:    hosts,
		clock:    c,
		logger:   logger,
		recorder: recorder,
		metrics:  newMetrics(r),
		listed:   make(chan struct{}),
		view:     NewView(),
		links:    map[string]*link{},
		retired:  map[*link]bool{},
	}
	m.publish()
	return m
}

// Observe sets the observer; it must be called before Run.
func (m *Manager) Observe(o Observer) { m.observer = o }

// Endpoints returns the endpoints by name. The map and its values must not be changed. The first call after a change
// copies the map of all endpoints; use Endpoint to look up a single one.
func (m *Manager) Endpoints() map[string]*Endpoint {
	if cached := m.endpoints.Load(); cached != nil {
		return *cached
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoints := maps.Clone(m.view.Endpoints())
	m.endpoints.Store(&endpoints)
	return endpoints
}

// Endpoint returns one endpoint, or nil. It must not be changed.
func (m *Manager) Endpoint(name string) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint, _ := m.view.Endpoint(name)
	return endpoint
}

// Entries returns the listed entries.
func (m *Manager) Entries() []Entry { return *m.entries.Load() }

// Hosts returns the version of the host list and the states of its hosts. The map must not be changed.
func (m *Manager) Hosts() (uint64, map[string]backing.HostState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Hosts()
}

// Listed returns a channel that is closed once the host list has been read.
func (m *Manager) Listed() <-chan struct{} { return m.listed }

// Open opens a request stream to an endpoint's agent.
func (m *Manager) Open(endpoint string) (*wire.Stream, error) {
	m.mu.Lock()
	l := m.links[endpoint]
	m.mu.Unlock()
	if l == nil {
		return nil, ErrNotConnected
	}
	return l.open(wirepb.StreamKind_REQUEST, wire.MaxFrameBytes)
}

// Send queues a batch for an agent. Batches to an agent that is not connected are dropped, because a new connection
// starts with the full state.
func (m *Manager) Send(endpoint string, down *wirepb.ControlDown) {
	m.mu.Lock()
	l := m.links[endpoint]
	m.mu.Unlock()
	if l != nil {
		l.send(down)
	}
}

// Run reads the host list and maintains the connections until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	timer := m.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C():
		}
		m.readHosts(ctx, &links)
		timer.Reset(jitter(m.options.ListInterval))
	}
}

// readHosts reads the list once and starts and stops links accordingly. After a failed read the last list stays in
// effect.
func (m *Manager) readHosts(ctx context.Context, links *sync.WaitGroup) {
	hosts, version, err := m.hosts.Hosts(ctx)
	if err != nil {
		m.metrics.listFailures.Inc()
		m.logger.Debug("failed to read the host list", "error", err)
		return
	}
	m.detachStale(hosts, version)
	m.mu.Lock()
	changed := m.view.ApplyHosts(hosts, version)
	if changed {
		m.publish()
		m.startLinks(ctx, links)
	}
	m.mu.Unlock()
	m.listOnce.Do(func() { close(m.listed) })
	if changed {
		m.notifyObserver(Observer.Changed)
	}
}

// detachStale detaches the links whose host is gone, replaced or listed at another address in a new list, before the
// list is applied.
//
// Otherwise a late report of the old host's agent would be merged into the status of the replacement: the replacement
// would be considered connected, and slots released by the old agent would be considered released by the replacement.
func (m *Manager) detachStale(hosts []backing.Host, version uint64) {
	for l, hostRunning := range m.staleLinks(hosts, version) {
		l.detach()
		m.handleLost(l.name)
		if !hostRunning || !l.isConnected() {
			l.stop()
		}
	}
}

// staleLinks returns the links whose host is gone, replaced or listed at another address, and whether that host still
// runs. A leaving host that was replaced early finishes its requests, so its connection is kept for them.
func (m *Manager) staleLinks(hosts []backing.Host, version uint64) map[*link]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.view.clone()
	if !next.ApplyHosts(hosts, version) {
		return nil
	}
	stale := map[*link]bool{}
	for name, l := range m.links {
		e, _ := next.Endpoint(name)
		if !e.Gone && e.HostID == l.host && e.Address == l.address {
			continue
		}
		delete(m.links, name)
		stale[l] = next.isRunning(l.host)
		if stale[l] {
			m.retired[l] = true
		}
	}
	for l := range m.retired {
		if !next.isRunning(l.host) {
			l.stop()
		}
	}
	return stale
}

// startLinks starts a link to each listed endpoint that has none. The caller holds mu.
func (m *Manager) startLinks(ctx context.Context, links *sync.WaitGroup) {
	for name, e := range m.view.Endpoints() {
		if m.links[name] == nil && !e.Gone {
			m.startLink(ctx, links, e)
		}
	}
}

func (m *Manager) startLink(ctx context.Context, links *sync.WaitGroup, e *Endpoint) {
	linkCtx, cancel := context.WithCancel(ctx)
	l := newLink(m, e, cancel)
	m.links[e.Name] = l
	links.Go(func() {
		defer cancel()
		l.run(linkCtx)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.retired, l)
	})
}

// notifyObserver calls the observer if there is one.
func (m *Manager) notifyObserver(f func(Observer)) {
	if m.observer != nil {
		f(m.observer)
	}
}

// publish makes the view's current state visible to readers. The caller holds mu.
func (m *Manager) publish() {
	entries := m.view.Entries()
	m.endpoints.Store(nil)
	m.entries.Store(&entries)
}

// handleReport merges the status of a batch and notifies the observer.
func (m *Manager) handleReport(name string, up *wirepb.ControlUp) {
	if up.Status != nil {
		m.mu.Lock()
		if m.view.ApplyReport(m.clock.Now(), name, up.Status) {
			m.publish()
		}
		m.mu.Unlock()
	}
	m.notifyObserver(func(o Observer) { o.Reported(name, up) })
}

// handleLost records that the connection to an agent has ended or that its link was detached, and notifies the
// observer.
func (m *Manager) handleLost(name string) {
	m.mu.Lock()
	m.view.SetDisconnected(name)
	m.publish()
	m.mu.Unlock()
	m.notifyObserver(func(o Observer) { o.Lost(name) })
}

// jitter returns a random duration between 0.75 and 1.25 times d, so that processes started together do not call at the
// same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
