package catalog

import (
	"maps"
	"time"
)

// returnGrace is how long an endpoint whose entry vanished during an outage of the store counts as listed after the
// store's return. Endpoints that live re-register within about two seconds; one that has not done so is gone. The platform's
// documentation gives the figure.
const returnGrace = 2 * time.Second

// Endpoint is one incarnation of an endpoint, as it registers itself.
type Endpoint struct {
	// ID names the incarnation; a restarted endpoint has a new one.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Leaving endpoints get no new work.
	Leaving bool
	// GoneAfter is when a leaving endpoint vanishes whatever it runs; zero where that is not known.
	GoneAfter time.Duration
	// Models are those that it held when it last registered; older than its agent's reports.
	Models []string
	// Revision is the store's commit counter of the entry.
	Revision int64
}

// Endpoints is the list of endpoints as a process knows it. It is not safe for concurrent use.
type Endpoints struct {
	listed map[string]Endpoint
	// lapsed holds endpoints whose entry vanished while the store was away, with the time until which they still count.
	lapsed map[string]lapsedEndpoint
	// away is set while the store does not answer.
	away bool
	// graceEnds is set for the time after an outage in which vanished entries may come back.
	graceEnds time.Time
}

type lapsedEndpoint struct {
	endpoint Endpoint
	until    time.Time
}

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{listed: make(map[string]Endpoint), lapsed: make(map[string]lapsedEndpoint)}
}

// StoreLost notes that the store does not answer.
func (e *Endpoints) StoreLost() { e.away = true }

// StoreBack notes that the store answers again.
func (e *Endpoints) StoreBack(now time.Time) {
	if e.away {
		e.away = false
		e.graceEnds = now.Add(returnGrace)
	}
}

// Put takes in a registration, unless a newer one is known.
func (e *Endpoints) Put(endpoint Endpoint) {
	if endpoint.Revision < e.listed[endpoint.ID].Revision {
		return
	}
	e.listed[endpoint.ID] = endpoint
	delete(e.lapsed, endpoint.ID)
}

// Remove takes out an endpoint whose entry was deleted at a revision.
//
// An entry that vanished while the store was away says nothing of the endpoint: its heartbeats could not be written. Taking
// it out at once would leave requests without an endpoint for two seconds after each outage; so it counts for returnGrace.
func (e *Endpoints) Remove(id string, now time.Time) {
	endpoint, ok := e.listed[id]
	if !ok {
		return
	}
	delete(e.listed, id)
	if now.Before(e.graceEnds) && !endpoint.Leaving {
		e.lapsed[id] = lapsedEndpoint{endpoint: endpoint, until: e.graceEnds}
	}
}

// Replace takes in the complete list as of a revision. Endpoints that are missing in it are treated like removed ones.
func (e *Endpoints) Replace(list []Endpoint, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, endpoint := range list {
		present[endpoint.ID] = true
		e.Put(endpoint)
	}
	for id := range maps.Clone(e.listed) {
		if !present[id] {
			e.Remove(id, now)
		}
	}
}

// Live returns the endpoints that count at a time.
func (e *Endpoints) Live(now time.Time) []Endpoint {
	all := make([]Endpoint, 0, len(e.listed)+len(e.lapsed))
	for _, endpoint := range e.listed {
		all = append(all, endpoint)
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

// NextChange returns when a lapsed endpoint stops counting, if there is one.
func (e *Endpoints) NextChange() (time.Time, bool) {
	var next time.Time
	for _, l := range e.lapsed {
		if next.IsZero() || l.until.Before(next) {
			next = l.until
		}
	}
	return next, !next.IsZero()
}
