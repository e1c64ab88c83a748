// Package fleet is a gateway's view of its site: the newest configuration, the endpoints, what their agents say of them, and
// what this gateway itself has under way there. Requests choose their endpoints from it and wait for it to change.
package fleet

import (
	"slices"
	"sync"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/routing"
)

// agentSilence is the age from which an agent's word on its engine no longer counts. Agents repeat themselves every
// quarter of a second.
const agentSilence = 2 * time.Second

// hostSilence is the age of the agent's last word from which its host counts as frozen or cut off, unless the link was
// closed: three heartbeats of a quarter of a second.
const hostSilence = 750 * time.Millisecond

// refusedMemory is for how long an endpoint that refused a connection gets nothing. A crashed one loses its registration after
// three heartbeats of 1.2 s.
const refusedMemory = time.Second

// absenceMemory is for how long an engine that said that it does not hold a model is not asked again, unless its agent
// reports a change first. Reports are up to a fifth of a second old.
const absenceMemory = 300 * time.Millisecond

// EngineState is what an agent says of its engine.
type EngineState struct {
	EndpointID string
	// Down is set while the engine does not answer its agent.
	Down bool
	// Adapters of each model that the engine holds.
	Models map[string]map[string]bool
	// Busy is set while the engine carries out an order on a model.
	Busy bool
	// Loading is the model that is being loaded, or will be when Unloading are gone.
	Loading   string
	Unloading map[string]bool
	// InMemory and OnDisk are the models of which the host keeps copies.
	InMemory, OnDisk map[string]bool
	// Command is the last one that was taken up, and CommandAge how long it has been carried out.
	Command    uint64
	CommandAge time.Duration
	// Running and Queued are the engine's requests, from all gateways.
	Running, Queued int
}

// endpoint is what the gateway knows of one endpoint.
type endpoint struct {
	catalog.Endpoint
	state   *EngineState
	stateAt time.Time
	// structureAt is when the agent last told more than the load.
	structureAt time.Time
	// sent counts the requests of this gateway that are at the endpoint.
	sent int
	// prompts are the tokens of prompts that were sent and whose first event has not come.
	prompts   int
	adapters  map[Adapter]int
	absent    map[Adapter]time.Time
	headerRun int
	headerAt  time.Time
	// linked is set while the link to the agent stands.
	linked bool
	// refusedUntil is until when the endpoint gets nothing because it refused a connection.
	refusedUntil time.Time
	// replaced is set when another incarnation answered at the address.
	replaced bool
	// silent is set while the endpoint's host does not answer, told by the link to the agent there.
	silent bool
	// silence follows the endpoint's own words.
	silence silence
}

// Adapter names an adapter of a model; Name is empty for the model itself.
type Adapter struct{ Model, Name string }

// Fleet is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	domain    string
	config    *catalog.Config
	listed    bool
	endpoints map[string]*endpoint
	router    *routing.Router
	demand    map[Target]*demand
	// usual is how long answers of a service usually take.
	usual     map[string]time.Duration
	wanted    map[string]map[Adapter]bool
	onWanted  func(endpointID string)
	onWaiting func()
	changed   chan struct{}
}

// OnWaiting sets what is called, with locks held, when a request begins to wait for a model. It must not block. It is set
// before the first request.
func (f *Fleet) OnWaiting(call func()) { f.onWaiting = call }

// OnWanted sets what is called, with locks held, when a request needs an adapter that an agent should fetch. It must not
// block. It is set before the first request.
func (f *Fleet) OnWanted(call func(endpointID string)) { f.onWanted = call }

// New returns an empty view of a gateway in a failure domain; seed seeds its random choices.
func New(domain string, seed uint64) *Fleet {
	return &Fleet{
		domain:    domain,
		endpoints: make(map[string]*endpoint),
		router:    routing.NewRouter(routing.Options{Seed: seed, FailureDomain: domain}),
		demand:    make(map[Target]*demand),
		usual:     make(map[string]time.Duration),
		wanted:    make(map[string]map[Adapter]bool),
		changed:   make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may let a waiting request go on.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// notify wakes all that wait. The lock is held.
func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetConfig takes in a configuration and reports whether it is newer than the one in force; an older one is dropped, since
// what was once in force must not come back.
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

// Config returns the configuration in force, or nil before the first.
func (f *Fleet) Config() *catalog.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetEndpoints takes in the endpoints that count now. It returns those that are new and those that are gone.
func (f *Fleet) SetEndpoints(list []catalog.Endpoint) (added, removed []catalog.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
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

// Ready reports whether the gateway knows enough to serve.
func (f *Fleet) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.listed
}

// SetState takes in an agent's word on its engine. State nil keeps the last one and takes the load only.
func (f *Fleet) SetState(id string, state *EngineState, running, queued int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	if state != nil || !e.linked || e.silent {
		f.notify()
	}
	e.linked, e.silent = true, false
	if state != nil {
		e.state, e.structureAt = state, now
		clear(e.absent)
	}
	if e.state != nil {
		e.stateAt = now
		e.state.Running, e.state.Queued = running, queued
	}
}

// SetSilent notes whether an endpoint's host has stopped answering altogether.
func (f *Fleet) SetSilent(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil && (e.linked || e.silent != silent) {
		e.linked, e.silent = false, silent
		f.notify()
	}
}

// answers reports whether an endpoint's host seems to answer.
//
// A frozen host takes requests into its kernel and lets them wait there until it wakes: each sent there is lost for its
// client, while another engine might serve it. The agent on that host repeats itself every quarter of a second, so that its
// silence shows soonest.
func (e *endpoint) answers(now time.Time) bool {
	if e.replaced || now.Before(e.refusedUntil) || e.fresh(now) && e.state.Down {
		return false
	}
	return !e.silent && (e.state == nil || !e.linked || now.Sub(e.stateAt) < hostSilence)
}

// Refused notes that an endpoint's host is there and nothing listens at the endpoint's address: the endpoint has crashed.
// Another incarnation will have another identifier; refusedMemory covers one that is only slow to listen.
func (f *Fleet) Refused(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.refusedUntil = now.Add(refusedMemory)
	}
}

// Replaced notes that another incarnation answers at an endpoint's address.
func (f *Fleet) Replaced(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.replaced = true
	}
}

// holds reports whether an endpoint holds a model, by the best word that there is.
func (e *endpoint) holds(now time.Time, model string) bool {
	if e.fresh(now) {
		_, ok := e.state.Models[model]
		return ok && !e.state.Unloading[model]
	}
	return slices.Contains(e.Models, model)
}

func (e *endpoint) holdsAdapter(now time.Time, a Adapter) bool {
	return a.Name == "" || e.fresh(now) && e.state.Models[a.Model][a.Name]
}

// fresh reports whether the agent's word counts.
func (e *endpoint) fresh(now time.Time) bool {
	return e.state != nil && e.state.EndpointID == e.ID && now.Sub(e.stateAt) < agentSilence
}

// saysAbsent reports whether the endpoint has lately refused the model or adapter as absent.
func (e *endpoint) saysAbsent(now time.Time, a Adapter) bool {
	until, ok := e.absent[a]
	return ok && now.Before(until)
}
