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
	// Started is the Unix time in milliseconds at which the engine's process started; 0 if it is not stated.
	Started int64
	// Running and Queued are the numbers of the engine's requests, from all gateways.
	Running, Queued int
}

// loadTime returns the nominal time to load a model at the engine, and whether that is from the weight store.
func (s *EngineState) loadTime(m catalog.Model) (time.Duration, bool) {
	switch {
	case s.InMemory[m.Name]:
		return m.MemoryTime, false
	case s.OnDisk[m.Name]:
		return m.DiskTime, false
	}
	return m.StoreLoadTime, true
}

// endpoint is the gateway's state of one endpoint.
type endpoint struct {
	catalog.Endpoint
	*process
	// connected is set while the connection to the agent is open.
	connected bool
	// relay is the hub that says of the engine, nil if the agent does; relayReported is set while the hub has a report.
	relay         *relay
	relayReported bool
	// hostDown is set while the endpoint's host does not respond on the connection to its agent.
	hostDown bool
}

// process is what the gateway knows of one process of an endpoint. An endpoint that restarts under its ID gets another one, so that
// nothing is held against a process that an earlier one has done.
type process struct {
	// started is its start, as the latest of a registration or a report states it; 0 before the first that does.
	started int64
	// inFlight is the number of this gateway's requests at the process, and reservations holds one entry for each.
	inFlight     int
	reservations map[*reservation]struct{}
	// pendingPromptTokens is the number of prompt tokens sent to the process in requests whose first event has not
	// arrived.
	pendingPromptTokens int
	// adapters counts this gateway's requests in flight per adapter. absent holds the models and adapters that the
	// process reported as not loaded, each with the time until which it gets no requests for them.
	adapters map[Adapter]int
	absent   map[Adapter]time.Time
	// state is the agent's last report, received at reportedAt. fullReportAt is the time of the last one that had more than the load.
	state                    *EngineState
	reportedAt, fullReportAt time.Time
	// downAt is when the agent last reported that the process does not respond, or an earlier process was last seen.
	downAt time.Time
	// headerLoad is the number of running and queued requests in the last response header, received at headerLoadAt.
	headerLoad   int
	headerLoadAt time.Time
	// sentSinceLoad is the number of requests sent since the load was last reported.
	sentSinceLoad int
	// refusedUntil is the time until which the process gets no requests because it refused a connection.
	refusedUntil time.Time
	// replaced is set when another incarnation responded at the address.
	replaced bool
	// responses tracks the process's own responses.
	responses responseTracker
	// limit is the rate of requests that the process names.
	limit limitState
}

func newProcess(started int64) *process {
	return &process{
		started: started, reservations: make(map[*reservation]struct{}), adapters: make(map[Adapter]int), absent: make(map[Adapter]time.Time),
	}
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
	// delisted holds the processes of endpoints that are no longer listed, while this gateway has requests there.
	delisted map[string]*process
	router   *routing.Router
	demand   map[Target]*demand
	// lastArrivals is the rate of all requests over a window that is shorter than those of demand.
	lastArrivals rateMeter
	// stores holds what was observed of each service's weight store.
	stores map[string]*storeTracker
	// answerTime is the moving average of the answer times per service.
	answerTime     map[string]time.Duration
	wantedAdapters map[string]map[Adapter]bool
	// relay is the hub that says of the engines; nil before there is one. relaying is set while reports of agents are ignored,
	// because the hub has later ones. unlisted holds what it said of engines before their
	// registration arrived, and relayedUse what the gateways that this one is the hub of use, by gateway and engine.
	relay      *relay
	relaying   bool
	unlisted   map[string]unlistedEngine
	relayedUse map[string]map[string][]Adapter
	// limitShare is this gateway's share of the limits of endpoints, and wantedPermits the endpoints
	// to which requests wait for the hub's permit to send one.
	limitShare      float64
	wantedPermits   map[string]bool
	onPermitWanted  func()
	onLimitChange   func()
	onAdapterWanted func(endpointID string)
	onWaiting       func()
	onRestart       func()
	changed         chan struct{}
}

// OnWaiting sets a function that is called, with locks held, when a request starts waiting for a model. It must not
// block. Call OnWaiting before the first request.
func (f *Fleet) OnWaiting(call func()) { f.onWaiting = call }

// OnAdapterWanted sets a function that is called, with locks held, when a request needs an adapter that an agent should
// load. It must not block. Call OnAdapterWanted before the first request.
func (f *Fleet) OnAdapterWanted(call func(endpointID string)) { f.onAdapterWanted = call }

// OnRestart sets a function that is called, with locks held, when an endpoint has restarted under its ID. It must not
// block. Call OnRestart before the first request.
func (f *Fleet) OnRestart(call func()) { f.onRestart = call }

// New returns an empty view for a gateway in a failure domain; seed seeds its random choices.
func New(domain string, seed uint64) *Fleet {
	return &Fleet{
		domain:         domain,
		endpoints:      make(map[string]*endpoint),
		delisted:       make(map[string]*process),
		router:         routing.NewRouter(routing.Options{Seed: seed, FailureDomain: domain}),
		demand:         make(map[Target]*demand),
		lastArrivals:   rateMeter{window: arrivalsWindow},
		stores:         make(map[string]*storeTracker),
		answerTime:     make(map[string]time.Duration),
		wantedAdapters: make(map[string]map[Adapter]bool),
		unlisted:       make(map[string]unlistedEngine),
		relayedUse:     make(map[string]map[string][]Adapter),
		limitShare:     initialLimitShare,
		wantedPermits:  make(map[string]bool),
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
			known = &endpoint{process: f.takeDelisted(e.ID)}
			f.endpoints[e.ID] = known
			added = append(added, e)
		}
		f.setRegistration(known, e)
		f.applyUnlisted(known)
	}
	for id, e := range f.endpoints {
		if !present[id] {
			removed = append(removed, e.Endpoint)
			f.delist(e)
		}
	}
	f.notify()
	return added, removed
}

// delist removes an endpoint from the list. Its process may go on with its requests, and be listed again: a registration can expire
// while the store is unavailable.
func (f *Fleet) delist(e *endpoint) {
	delete(f.endpoints, e.ID)
	f.router.Forget(e.ID)
	if e.inFlight > 0 {
		*e.process = process{
			started: e.started, inFlight: e.inFlight, reservations: e.reservations, pendingPromptTokens: e.pendingPromptTokens,
			adapters: e.adapters, absent: make(map[Adapter]time.Time),
		}
		f.delisted[e.ID] = e.process
	}
}

// takeDelisted returns the process of an endpoint that is listed again, or a new one.
func (f *Fleet) takeDelisted(id string) *process {
	p := f.delisted[id]
	if p == nil {
		return newProcess(0)
	}
	delete(f.delisted, id)
	return p
}

// setRegistration applies an endpoint's registration. What one of an earlier process says of models is out of date.
func (f *Fleet) setRegistration(known *endpoint, e catalog.Endpoint) {
	f.setStarted(known, e.Started)
	if e.Started != 0 && e.Started < known.started {
		e.Models = nil
	}
	known.Endpoint = e
}

// setStarted records the start of an endpoint's process. If it is later than the known one, the endpoint has restarted
// under its ID: nothing that was known of the earlier process applies any more, and its requests are lost.
func (f *Fleet) setStarted(e *endpoint, started int64) {
	if started <= e.started {
		return
	}
	earlier := e.process
	if earlier.started == 0 {
		earlier.started = started
		return
	}
	e.process, e.Models = newProcess(started), nil
	e.downAt = time.Now()
	f.router.Forget(e.ID)
	for r := range earlier.reservations {
		if r.onRestart != nil {
			r.onRestart()
		}
	}
	if f.onRestart != nil {
		f.onRestart()
	}
}

// chosen returns the endpoint of a choice, or nil if it is no longer listed or another process has taken the place of the chosen one.
func (f *Fleet) chosen(c Choice) *endpoint {
	e := f.endpoints[c.ID]
	if e == nil || e.process != c.process {
		return nil
	}
	return e
}

// Ready reports whether the gateway has a configuration and a list of endpoints.
func (f *Fleet) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.endpointsKnown
}

// SetState applies an agent's report on its engine. If state is nil, only the load changes. It returns false for a report
// on an earlier process of the engine, which is ignored.
func (f *Fleet) SetState(id string, state *EngineState, running, queued int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || f.relaying {
		return true
	}
	if state != nil && state.Started != 0 {
		if state.Started < e.started {
			return false
		}
		f.setStarted(e, state.Started)
	}
	if state != nil || !e.connected || e.hostDown {
		f.notify()
	}
	e.connected, e.hostDown, e.relay = true, false, nil
	e.sentSinceLoad = 0
	if state != nil {
		f.observeLoad(now, e, state)
		e.setState(now, state)
		clear(e.absent)
	}
	if e.state != nil {
		e.reportedAt = now
		e.state.Running, e.state.Queued = running, queued
	}
	return true
}

// setState records an agent's report, whether it came from the agent or by a hub.
func (e *endpoint) setState(now time.Time, state *EngineState) {
	e.state, e.fullReportAt = state, now
	if state.Down && state.EndpointID == e.ID {
		e.downAt = now
	}
}

// SetDisconnected records that the connection to an endpoint's agent is closed, and whether the host has stopped
// responding.
func (f *Fleet) SetDisconnected(id string, hostDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil && !f.relaying && (e.connected || e.hostDown != hostDown) {
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
	return !e.hostUnresponsive(now)
}

// hostUnresponsive reports whether the endpoint's host appears to be frozen or unreachable.
func (e *endpoint) hostUnresponsive(now time.Time) bool {
	if e.relay != nil {
		return e.hostDown && e.relay.alive(now)
	}
	return e.hostDown || e.state != nil && e.connected && now.Sub(e.reportedAt) >= hostTimeout
}

// Refused records that the chosen endpoint's host is up but nothing listens at its address: the endpoint has
// crashed. A restarted endpoint has another identifier; refusedBackoff covers one that is slow to listen.
func (f *Fleet) Refused(now time.Time, c Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.chosen(c); e != nil {
		e.refusedUntil = now.Add(refusedBackoff)
	}
}

// Replaced records that another incarnation responds at the chosen endpoint's address.
func (f *Fleet) Replaced(c Choice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.chosen(c); e != nil {
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
	if e.state == nil || e.state.EndpointID != e.ID || e.state.Started != 0 && e.state.Started != e.started {
		return false
	}
	if e.relay != nil {
		return e.relayReported && e.relay.alive(now)
	}
	return now.Sub(e.reportedAt) < reportTTL
}

// recentlyAbsent reports whether the endpoint has recently rejected a request because the model or adapter is not
// loaded.
func (e *endpoint) recentlyAbsent(now time.Time, a Adapter) bool {
	until, ok := e.absent[a]
	return ok && now.Before(until)
}
