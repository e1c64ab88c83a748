package fleet

import (
	"time"

	"balsamsail/internal/control/controlpb"
)

// relayTTL is how long the states that a hub has sent stay valid after its last message. It covers the time in which the
// loss of a hub is detected and another one takes its place.
const relayTTL = 4 * time.Second

// relayLoadInterval is the time after which the requests sent to an engine are contained in the loads that a hub relays:
// the agent's report, the hub's interval and the way.
const relayLoadInterval = 300 * time.Millisecond

// RelayedEngine is what one gateway tells another of an engine.
type RelayedEngine struct {
	ID string
	// State is the engine's state as of StateAge ago; nil while nothing but the load and the flags have changed. Its load is
	// not set.
	State    *EngineState
	StateAge time.Duration
	// CopiesUnchanged is set if State leaves out the copies of weights, because they have not changed.
	CopiesUnchanged bool
	Running, Queued int
	// Reported is set while there is an unexpired report of the engine's agent, HostDown while the host does not respond.
	Reported, HostDown bool
}

// relay is the hub from which a gateway gets the state of engines.
type relay struct {
	heardAt time.Time
	// loadsResetAt is when the counts of requests sent since the last load were last reset.
	loadsResetAt time.Time
}

func (r *relay) alive(now time.Time) bool { return now.Sub(r.heardAt) < relayTTL }

// RelayView returns what this gateway knows of the engines that have an agent.
func (f *Fleet) RelayView(now time.Time) []RelayedEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]RelayedEngine, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if e.state == nil {
			continue
		}
		list = append(list, RelayedEngine{
			ID:       e.ID,
			State:    e.state,
			StateAge: now.Sub(e.fullReportAt),
			Running:  e.state.Running,
			Queued:   e.state.Queued,
			Reported: e.reportFresh(now),
			HostDown: e.hostUnresponsive(now),
		})
	}
	return list
}

// StartRelay begins to take engines' states from a hub instead of from the agents. What the agents have said stays valid
// until the hub says otherwise.
func (f *Fleet) StartRelay(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay = &relay{heardAt: now, loadsResetAt: now}
	f.relaying = true
	clear(f.unlisted)
	for _, e := range f.endpoints {
		e.connected = false
		if e.relay != nil {
			e.relay = f.relay
		}
	}
}

// StopRelay begins to take engines' states from their agents. What the hub has said of an engine stays valid for a while,
// until its agent reports.
func (f *Fleet) StopRelay(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relaying = false
	for _, e := range f.endpoints {
		e.limit.spendReserve(now)
	}
}

// RelayAge returns the time since the hub's last message, or zero while the agents say of the engines.
func (f *Fleet) RelayAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.relaying {
		return 0
	}
	return now.Sub(f.relay.heardAt)
}

// ApplyRelayed applies what a hub says of engines. A call without engines says that nothing has changed.
func (f *Fleet) ApplyRelayed(now time.Time, list []RelayedEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.relaying {
		return
	}
	f.relay.heardAt = now
	if now.Sub(f.relay.loadsResetAt) >= relayLoadInterval {
		f.relay.loadsResetAt = now
		for _, e := range f.endpoints {
			if e.relay != nil {
				e.sentSinceLoad = 0
			}
		}
	}
	changed := false
	for _, r := range list {
		if e := f.endpoints[r.ID]; e != nil {
			changed = f.applyRelayed(now, e, r) || changed
		} else if r.State != nil {
			f.unlisted[r.ID] = unlistedEngine{RelayedEngine: r, heardAt: now}
		}
	}
	if changed {
		f.notify()
	}
}

// unlistedEngine is what a hub has said of an engine whose registration has not arrived yet. Its state is not sent again
// while it does not change, so without it the engine would get no work until then.
type unlistedEngine struct {
	RelayedEngine
	heardAt time.Time
}

// applyUnlisted applies what a hub said of an endpoint before its registration arrived. The lock must be held.
func (f *Fleet) applyUnlisted(e *endpoint) {
	if u, ok := f.unlisted[e.ID]; ok {
		delete(f.unlisted, e.ID)
		f.applyRelayed(u.heardAt, e, u.RelayedEngine)
	}
}

// applyRelayed reports whether more than the load has changed. The lock must be held.
func (f *Fleet) applyRelayed(now time.Time, e *endpoint, r RelayedEngine) bool {
	if r.State != nil && r.State.Started != 0 {
		if r.State.Started < e.started {
			return false
		}
		f.setStarted(e, r.State.Started)
	}
	changed := r.State != nil || e.relay == nil || e.relayReported != r.Reported || e.hostDown != r.HostDown
	e.relay, e.relayReported, e.hostDown, e.connected = f.relay, r.Reported, r.HostDown, false
	if r.State != nil {
		state := *r.State
		state.CommandAge += r.StateAge
		if r.CopiesUnchanged && e.state != nil {
			state.InMemory, state.OnDisk = e.state.InMemory, e.state.OnDisk
		}
		f.observeLoad(now, e, &state)
		e.setState(now, &state)
		clear(e.absent)
	}
	if e.state != nil {
		e.state.Running, e.state.Queued = r.Running, r.Queued
		e.reportedAt = now
		e.sentSinceLoad = 0
	}
	return changed
}

// WantedAdapters returns the adapters that requests of this gateway wait for, by engine, and clears them; requests that
// still wait request them again.
func (f *Fleet) WantedAdapters() map[string][]Adapter {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string][]Adapter, len(f.wantedAdapters))
	for id, adapters := range f.wantedAdapters {
		for a := range adapters {
			wanted[id] = append(wanted[id], a)
		}
	}
	clear(f.wantedAdapters)
	return wanted
}

// UsedAdapters returns the adapters that requests of this gateway use, by engine.
func (f *Fleet) UsedAdapters() map[string][]Adapter {
	f.mu.Lock()
	defer f.mu.Unlock()
	used := make(map[string][]Adapter)
	for id, e := range f.endpoints {
		for a := range e.adapters {
			used[id] = append(used[id], a)
		}
	}
	return used
}

// WantAdapters records that requests of another gateway wait for adapters at an engine.
func (f *Fleet) WantAdapters(id string, adapters []Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range adapters {
		f.requestAdapter(id, a)
	}
}

// SetRelayedUse records the adapters that requests of another gateway use, by engine; nil forgets them.
func (f *Fleet) SetRelayedUse(gateway string, used map[string][]Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if used == nil {
		delete(f.relayedUse, gateway)
		return
	}
	f.relayedUse[gateway] = used
}

// relayedAdapterUse returns the adapters that requests of other gateways use at an engine. The lock must be held.
func (f *Fleet) relayedAdapterUse(id string) []*controlpb.AdapterRef {
	var refs []*controlpb.AdapterRef
	for _, used := range f.relayedUse {
		for _, a := range used[id] {
			refs = append(refs, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
		}
	}
	return refs
}
