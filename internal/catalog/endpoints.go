package catalog

import (
	"maps"
	"time"
)

// reregisterGrace is how long an endpoint whose registration expired during an outage of the store stays in use after
// the store recovers. According to the platform's documentation running endpoints register again within about two
// seconds; one that has not done so by then is gone.
const reregisterGrace = 2 * time.Second

// Endpoint is one process of an endpoint, as it registered itself.
type Endpoint struct {
	// ID identifies the endpoint. A restarted endpoint has a new ID, or the same one with a later Started.
	ID string
	// Started is the Unix time in milliseconds at which the endpoint's process started; 0 if it is not stated.
	Started       int64
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the endpoint's software; versions have no order.
	Version string
	Slots   int
	// Leaving is set for endpoints that get no new work.
	Leaving bool
	// Remaining is the time until a leaving endpoint terminates, even if requests still run; zero if unknown.
	Remaining time.Duration
	// Models are the models loaded when the endpoint last registered; its agent's reports are more recent.
	Models []string
	// Revision is the revision of the store at which the registration was last written.
	Revision int64
}

// Endpoints is a process's local list of endpoints. It is not safe for concurrent use.
type Endpoints struct {
	listed map[string]Endpoint
	// lapsed holds endpoints whose registration expired during an outage of the store, with the time until which they
	// stay in use.
	lapsed map[string]lapsedEndpoint
	// storeDown is set while the store is unavailable.
	storeDown bool
	// ended holds the process starts of the endpoints that were removed lately.
	ended map[string]endedProcess
	// graceEnds is the end of the grace period after an outage during which endpoints may register again.
	graceEnds time.Time
}

type lapsedEndpoint struct {
	endpoint Endpoint
	until    time.Time
}

// endedProcess is the last process of an endpoint that was removed.
type endedProcess struct {
	started int64
	at      time.Time
}

// endedTTL is how long the process start of a removed endpoint is remembered: a write of an earlier process may reach the
// store some ten seconds late.
const endedTTL = time.Minute

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{listed: make(map[string]Endpoint), lapsed: make(map[string]lapsedEndpoint), ended: make(map[string]endedProcess)}
}

// StoreLost records that the store has become unavailable.
func (e *Endpoints) StoreLost() { e.storeDown = true }

// StoreBack records that the store is available again.
func (e *Endpoints) StoreBack(now time.Time) {
	if e.storeDown {
		e.storeDown = false
		e.graceEnds = now.Add(reregisterGrace)
	}
}

// Put stores a registration, unless a newer one is already stored. It returns false for a registration of an earlier
// process than one already known under the ID, which may reach the store late: the later process stays listed.
func (e *Endpoints) Put(endpoint Endpoint) bool {
	known := e.listed[endpoint.ID]
	if endpoint.Revision < known.Revision {
		return true
	}
	if endpoint.Started < max(known.Started, e.ended[endpoint.ID].started) {
		return false
	}
	e.listed[endpoint.ID] = endpoint
	delete(e.lapsed, endpoint.ID)
	delete(e.ended, endpoint.ID)
	return true
}

// Invalidate removes an endpoint whose row in the store was overwritten with something that is not a registration.
func (e *Endpoints) Invalidate(id string, now time.Time) {
	e.forget(id, now)
	delete(e.lapsed, id)
}

// forget removes an endpoint from the list and remembers its process for endedTTL.
func (e *Endpoints) forget(id string, now time.Time) {
	if started := e.listed[id].Started; started != 0 {
		e.ended[id] = endedProcess{started: started, at: now}
	}
	delete(e.listed, id)
	maps.DeleteFunc(e.ended, func(_ string, p endedProcess) bool { return now.Sub(p.at) > endedTTL })
}

// Remove removes an endpoint whose registration was deleted from the store.
//
// A registration that expired during an outage of the store does not mean that the endpoint is gone: its heartbeats
// could not be written. Removing it at once would leave requests without endpoints for two seconds after each outage, so it stays
// in use for reregisterGrace.
func (e *Endpoints) Remove(id string, now time.Time) {
	endpoint, ok := e.listed[id]
	if !ok {
		return
	}
	e.forget(id, now)
	if now.Before(e.graceEnds) && !endpoint.Leaving {
		e.lapsed[id] = lapsedEndpoint{endpoint: endpoint, until: e.graceEnds}
	}
}

// Replace replaces the list by a complete one read from the store. Endpoints missing from it are treated as removed. It
// returns the registrations that Put refused.
func (e *Endpoints) Replace(list []Endpoint, now time.Time) (refused []Endpoint) {
	present := make(map[string]bool, len(list))
	for _, endpoint := range list {
		present[endpoint.ID] = true
		if !e.Put(endpoint) {
			refused = append(refused, endpoint)
		}
	}
	for id := range maps.Clone(e.listed) {
		if !present[id] {
			e.Remove(id, now)
		}
	}
	return refused
}

// Live returns the endpoints that are in use at a time.
//
// Where most registrations state the start of their process, one that does not was not written by an endpoint, and is
// left out.
func (e *Endpoints) Live(now time.Time) []Endpoint {
	all := make([]Endpoint, 0, len(e.listed)+len(e.lapsed))
	stated := 0
	for _, endpoint := range e.listed {
		if endpoint.Started != 0 {
			stated++
		}
	}
	for _, endpoint := range e.listed {
		if endpoint.Started != 0 || 2*stated <= len(e.listed) {
			all = append(all, endpoint)
		}
	}
	for id, l := range e.lapsed {
		if !now.Before(l.until) {
			delete(e.lapsed, id)
			continue
		}
		all = append(all, l.endpoint)
	}
	return all
}

// NextChange returns when the next lapsed endpoint goes out of use, if there is one.
func (e *Endpoints) NextChange() (time.Time, bool) {
	var next time.Time
	for _, l := range e.lapsed {
		if next.IsZero() || l.until.Before(next) {
			next = l.until
		}
	}
	return next, !next.IsZero()
}
