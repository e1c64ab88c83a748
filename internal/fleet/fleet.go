// Package fleet is a gateway's view of the endpoints: the current configuration, the state that agents report, and this
// gateway's own requests in flight. Requests choose their endpoints from it and wait for it to change.
package fleet

import (
	"slices"
	"sync"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/routing"
)

// reportTTL is the age at which an agent's report on its engine expires. Agents send one at least every 250 ms.
const reportTTL = 2 * time.Second

// hostTimeout is the age of the agent's last report at which its host counts as frozen or unreachable, unless the
// connection was closed: three heartbeats of 250 ms.
const hostTimeout = 750 * time.Millisecond

// refusedBackoff is the time for which an endpoint that refused a connection gets no requests. The registration of a
// crashed endpoint expires after three heartbeats of 1.2 s.
const refusedBackoff = time.Second

// absentTTL is the time for which an engine that rejected a request because the model or adapter is not loaded gets no
// request for it, unless its agent reports a change first. Reports are up to 200 ms old.
const absentTTL = 300 * time.Millisecond

// EngineState is the state of an engine as reported by its agent.
type EngineState struct {
	EndpointID string
	// Down is set while the engine does not respond to its agent.
	Down bool
	// Models are the loaded models, each with its loaded adapters.
	Models map[string]map[string]bool
	// Busy is set while the engine loads or unloads a model.
	Busy bool
	// Loading is the model that is being loaded, or will be once the models in Unloading are unloaded.
	Loading   string
	Unloading map[string]bool
	// InMemory and OnDisk are the models whose weights the host caches.
	InMemory, OnDisk map[string]bool
	// Command is the ID of the last accepted command, and CommandAge the time since its execution started.
	Command    uint64
	CommandAge time.Duration
	// Running and Queued are the numbers of the engine's requests, from all gateways.
	Running, Queued int
}

// endpoint is the gateway's state of one endpoint.
type endpoint struct {
	catalog.Endpoint
	state      *EngineState
	reportedAt time.Time
	// fullReportAt is the time of the last report that had more than the load.
	fullReportAt time.Time
	// inFlight is the number of this gateway's requests at the endpoint.
	inFlight int
	// pendingPromptTokens is the number of prompt tokens sent to the endpoint in requests whose first event has not
	// arrived.
	pendingPromptTokens int
	// adapters counts this gateway's requests in flight per adapter. absent holds the models and adapters that the
	// endpoint reported as not loaded, each with the time until which it gets no requests for them.
	adapters map[Adapter]int
	absent   map[Adapter]time.Time
	// headerLoad is the number of running and queued requests in the last response header, received at headerLoadAt.
	headerLoad   int
	headerLoadAt time.Time
	// connected is set while the connection to the agent is open.
	connected bool
	// refusedUntil is the time until which the endpoint gets no requests because it refused a connection.
	refusedUntil time.Time
	// replaced is set when another incarnation responded at the address.
	replaced bool
	// hostDown is set while the endpoint's host does not respond on the connection to its agent.
	hostDown bool
	// responses tracks the endpoint's own responses.
	responses responseTracker
}

// Adapter identifies an adapter of a model; Name is empty for the model itself.
type Adapter struct{ Model, Name string }

// Fleet is a gateway's view of the endpoints. It is safe for concurrent use.
type Fleet struct {
	mu             sync.Mutex
	domain         string
	config         *catalog.Config
	endpointsKnown bool
	endpoints      map[string]*endpoint
	router         *routing.Router
	demand         map[Target]*demand
	// answerTime is the moving average of the answer times per service.
	answerTime      map[string]time.Duration
	wantedAdapters  map[string]map[Adapter]bool
	onAdapterWanted func(endpointID string)
	onWaiting       func()
	changed         chan struct{}
}

// OnWaiting sets a function that is called, with locks held, when a request starts waiting for a model. It must not
// block. Call OnWaiting before the first request.
func (f *Fleet) OnWaiting(call func()) { f.onWaiting = call }

// OnAdapterWanted sets a function that is called, with locks held, when a request needs an adapter that an agent should
// load. It must not block. Call OnAdapterWanted before the first request.
func (f *Fleet) OnAdapterWanted(call func(endpointID string)) { f.onAdapterWanted = call }

// New returns an empty view for a gateway in a failure domain; seed seeds its random choices.
func New(domain string, seed uint64) *Fleet {
	return &Fleet{
		domain:         domain,
		endpoints:      make(map[string]*endpoint),
		router:         routing.NewRouter(routing.Options{Seed: seed, FailureDomain: domain}),
		demand:         make(map[Target]*demand),
		answerTime:     make(map[string]time.Duration),
		wantedAdapters: make(map[string]map[Adapter]bool),
		changed:        make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may unblock a waiting request.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// notify wakes all waiters. The lock must be held.
func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetConfig sets the configuration and reports whether it is newer than the current one. It ignores an older one, so
// that a replaced configuration is never used again.
func (f *Fleet) SetConfig(c *catalog.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && c.Version <= f.config.Version {
		return false
	}
	f.config = c
	f.notify()
	return true
}

// Config returns the current configuration, or nil before the first.
func (f *Fleet) Config() *catalog.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetEndpoints replaces the list of endpoints. It returns the ones added and removed.
func (f *Fleet) SetEndpoints(list []catalog.Endpoint) (added, removed []catalog.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpointsKnown = true
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		known := f.endpoints[e.ID]
		if known == nil {
			known = &endpoint{adapters: make(map[Adapter]int), absent: make(map[Adapter]time.Time)}
			f.endpoints[e.ID] = known
			added = append(added, e)
		}
		known.Endpoint = e
	}
	for id, e := range f.endpoints {
		if !present[id] {
			removed = append(removed, e.Endpoint)
			delete(f.endpoints, id)
			f.router.Forget(id)
		}
	}
	f.notify()
	return added, removed
}

// Ready reports whether the gateway has a configuration and a list of endpoints.
func (f *Fleet) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.endpointsKnown
}

// SetState applies an agent's report on its engine. If state is nil, only the load changes.
func (f *Fleet) SetState(id string, state *EngineState, running, queued int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	if state != nil || !e.connected || e.hostDown {
		f.notify()
	}
	e.connected, e.hostDown = true, false
	if state != nil {
		e.state, e.fullReportAt = state, now
		clear(e.absent)
	}
	if e.state != nil {
		e.reportedAt = now
		e.state.Running, e.state.Queued = running, queued
	}
}

// SetDisconnected records that the connection to an endpoint's agent is closed, and whether the host has stopped
// responding.
func (f *Fleet) SetDisconnected(id string, hostDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil && (e.connected || e.hostDown != hostDown) {
		e.connected, e.hostDown = false, hostDown
		f.notify()
	}
}

// responsive reports whether an endpoint and its host appear to respond.
//
// The kernel of a frozen host accepts requests and holds them until the host resumes, so each request sent there fails
// although another engine might serve it. The agent on the host sends a report every 250 ms, so missing reports detect
// this first.
func (e *endpoint) responsive(now time.Time) bool {
	if e.replaced || now.Before(e.refusedUntil) || e.reportFresh(now) && e.state.Down {
		return false
	}
	return !e.hostDown && (e.state == nil || !e.connected || now.Sub(e.reportedAt) < hostTimeout)
}

// Refused records that an endpoint's host is up but nothing listens at the endpoint's address: the endpoint has
// crashed. A restarted endpoint has another identifier; refusedBackoff covers one that is slow to listen.
func (f *Fleet) Refused(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.refusedUntil = now.Add(refusedBackoff)
	}
}

// Replaced records that another incarnation responds at an endpoint's address.
func (f *Fleet) Replaced(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.replaced = true
	}
}

// hasModel reports whether an endpoint has the model loaded, by its agent's report if that is fresh, else by its
// registration.
func (e *endpoint) hasModel(now time.Time, model string) bool {
	if e.reportFresh(now) {
		_, ok := e.state.Models[model]
		return ok && !e.state.Unloading[model]
	}
	return slices.Contains(e.Models, model)
}

func (e *endpoint) hasAdapter(now time.Time, a Adapter) bool {
	return a.Name == "" || e.reportFresh(now) && e.state.Models[a.Model][a.Name]
}

// reportFresh reports whether the agent's last report is for this endpoint and has not expired.
func (e *endpoint) reportFresh(now time.Time) bool {
	return e.state != nil && e.state.EndpointID == e.ID && now.Sub(e.reportedAt) < reportTTL
}

// recentlyAbsent reports whether the endpoint has recently rejected a request because the model or adapter is not
// loaded.
func (e *endpoint) recentlyAbsent(now time.Time, a Adapter) bool {
	until, ok := e.absent[a]
	return ok && now.Before(until)
}
