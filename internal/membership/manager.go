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

// ErrNotConnected says that there is no working connection to an endpoint's agent.
var ErrNotConnected = errors.New("membership: not connected")

// Observer is told of what comes from agents. Calls come from several goroutines and must not block.
type Observer interface {
	// Connected is called when an agent's control stream is up, before its first report.
	Connected(endpoint string)
	// Reported is called with each batch, after the status in it was merged.
	Reported(endpoint string, up *wirepb.ControlUp)
	// Lost is called when the control stream has ended.
	Lost(endpoint string)
	// Changed is called when the set of hosts or their states changed.
	Changed()
}

// Options are the settings of a Manager.
type Options struct {
	// EntryID names this entry; Incarnation rises with each start of it.
	EntryID     string
	Incarnation uint64
	// ListInterval is the time between reads of the host list.
	ListInterval time.Duration
	// RedialDelay is the time between tries to reach an agent; it is jittered.
	RedialDelay time.Duration
	// HeartbeatInterval is the longest time between batches on a control stream, and SilenceLimit the silence after which
	// the peer counts as lost.
	HeartbeatInterval, SilenceLimit time.Duration
	// BatchDelay is how long changes are gathered before a batch is sent.
	BatchDelay time.Duration
	Wire       wire.Options
}

// DefaultOptions returns the settings that suit a site of some tens of hosts.
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

// Manager is the shell around View.
type Manager struct {
	options  Options
	hosts    backing.HostList
	clock    clock.Clock
	logger   *slog.Logger
	recorder *timeline.Recorder
	metrics  *metrics

	// endpoints is a copy of the view's endpoints for readers, nil when the view has changed since it was made. It is made
	// when it is asked for: a copy with each report would take time in proportion to the square of the agents.
	endpoints atomic.Pointer[map[string]*Endpoint]
	entries   atomic.Pointer[[]Entry]
	listed    chan struct{}

	mu    sync.Mutex
	view  *View
	links map[string]*link
	// retired are links to hosts that another one has replaced while requests may still run there.
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

// Endpoints returns the endpoints by name. The map and its values must not be changed. After a change of any endpoint it
// takes time in proportion to all of them; Endpoint serves for one.
func (m *Manager) Endpoints() map[string]*Endpoint {
	if held := m.endpoints.Load(); held != nil {
		return *held
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

// Listed is closed once the host list was read.
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

// Send queues a batch for an agent; batches to an agent that is not connected are dropped, because a new connection
// starts with the whole state.
func (m *Manager) Send(endpoint string, down *wirepb.ControlDown) {
	m.mu.Lock()
	l := m.links[endpoint]
	m.mu.Unlock()
	if l != nil {
		l.send(down)
	}
}

// Run reads the host list and keeps the connections until ctx ends.
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

// readHosts reads the list once and starts and stops links accordingly. A failed read changes nothing: in an outage the
// last list stays in force.
func (m *Manager) readHosts(ctx context.Context, links *sync.WaitGroup) {
	hosts, version, err := m.hosts.Hosts(ctx)
	if err != nil {
		m.metrics.listFailures.Inc()
		m.logger.Debug("host list not read", "error", err)
		return
	}
	m.endOutdated(hosts, version)
	m.mu.Lock()
	taken := m.view.HostsRead(hosts, version)
	if taken {
		m.publish()
		m.startLinks(ctx, links)
	}
	m.mu.Unlock()
	m.listOnce.Do(func() { close(m.listed) })
	if taken {
		m.told(Observer.Changed)
	}
}

// endOutdated ends the links whose host a new list shows as gone or replaced, before the list is taken.
//
// A report that was on its way would otherwise be merged into what is known of the replacement, which would count as
// connected by the word of another host's agent, and what that agent has released would be taken for released by the
// replacement.
func (m *Manager) endOutdated(hosts []backing.Host, version uint64) {
	for l, runs := range m.outdated(hosts, version) {
		l.detach()
		m.lost(l.name)
		if !runs || !l.isConnected() {
			l.stop()
		}
	}
}

// outdated returns the links that a list ends, and whether their host still runs: a leaving host that was replaced early
// finishes its requests, so that its connection must be kept for them.
func (m *Manager) outdated(hosts []backing.Host, version uint64) map[*link]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.view.clone()
	if !next.HostsRead(hosts, version) {
		return nil
	}
	ended := map[*link]bool{}
	for name, l := range m.links {
		e, _ := next.Endpoint(name)
		if !e.Gone && e.HostID == l.host && e.Address == l.address {
			continue
		}
		delete(m.links, name)
		ended[l] = next.runs(l.host)
		if ended[l] {
			m.retired[l] = true
		}
	}
	for l := range m.retired {
		if !next.runs(l.host) {
			l.stop()
		}
	}
	return ended
}

// startLinks starts a link to each listed endpoint that has none.
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

// told calls the observer if there is one.
func (m *Manager) told(f func(Observer)) {
	if m.observer != nil {
		f(m.observer)
	}
}

// publish makes the view's present state visible to readers. The caller holds mu.
func (m *Manager) publish() {
	entries := m.view.Entries()
	m.endpoints.Store(nil)
	m.entries.Store(&entries)
}

// reported merges a batch and tells the observer.
func (m *Manager) reported(name string, up *wirepb.ControlUp) {
	if up.Status != nil {
		m.mu.Lock()
		if m.view.Reported(m.clock.Now(), name, up.Status) {
			m.publish()
		}
		m.mu.Unlock()
	}
	m.told(func(o Observer) { o.Reported(name, up) })
}

// lost notes that an agent's connection has ended, or speaks for the endpoint no more, and tells the observer.
func (m *Manager) lost(name string) {
	m.mu.Lock()
	m.view.Lost(name)
	m.publish()
	m.mu.Unlock()
	m.told(func(o Observer) { o.Lost(name) })
}

// jitter spreads d over 0.75 to 1.25 of itself, so that processes started together do not call together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}
