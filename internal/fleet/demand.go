package fleet

import (
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	modeldemand "balsamsail/internal/demand"
)

// demand is the current demand of this gateway's requests for one target.
type demand struct {
	arrived int64
	running int
	waiting map[*Waiter]struct{}
	// places are the requests that wait for a place in an engine's batch.
	places map[*placeWaiter]struct{}
	// arrivals is the rate at which requests have arrived.
	arrivals rateMeter
	// fullSince is since when the replicas have been full, zero if they are not, and servedWhileFull the number of requests
	// that have got a place in that time. replicas is the number of replicas at the last request.
	fullSince       time.Time
	servedWhileFull int
	replicas        int
	// target is the shortest first-event target among the requests so far.
	target time.Duration
}

// Waiter is a request that waits for a replica.
type Waiter struct{ since time.Time }

func (f *Fleet) demandOf(t Target) *demand {
	d := f.demand[t]
	if d == nil {
		d = &demand{waiting: make(map[*Waiter]struct{}), places: make(map[*placeWaiter]struct{})}
		f.demand[t] = d
	}
	return d
}

// maxNameBytes bounds the name of a model or adapter; the store's keys have at most 200 bytes.
const maxNameBytes = 200

// maxAdapterNames bounds the adapters that are remembered for an engine because requests have named them; an engine has a dozen places.
const maxAdapterNames = 256

// Knows reports whether a request may be for a model with an adapter: the configuration declares the model, or an engine of the service has
// it. What is kept by the names that requests carry has to be bounded by what operators and engines name.
func (f *Fleet) Knows(class *catalog.EngineClass, t Target, adapter string) bool {
	if class == nil || t.Model == "" {
		return true
	}
	if len(t.Model) > maxNameBytes || len(adapter) > maxNameBytes {
		return false
	}
	if _, ok := class.Models[t.Model]; ok {
		return true
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.Service == t.Service && e.hasModel(now, t.Model) {
			return true
		}
	}
	return false
}

// Arrived counts a new request and records its first-event target.
func (f *Fleet) Arrived(now time.Time, t Target, target time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demandOf(t)
	d.arrived++
	d.arrivals.add(now)
	f.lastArrivals.add(now)
	if target > 0 && (d.target == 0 || target < d.target) {
		d.target = target
	}
}

// ArrivalRate returns the rate, in 1/s, at which requests for a service have lately arrived.
func (f *Fleet) ArrivalRate(now time.Time, service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0.0
	for t, d := range f.demand {
		if t.Service == service {
			total += d.arrivals.rate(now)
		}
	}
	return total
}

// arrivalsWindow is short enough to follow clients that move to another gateway within the second.
const arrivalsWindow = time.Second

// TotalArrivalRate returns the rate, in 1/s, at which requests have arrived in the last second.
func (f *Fleet) TotalArrivalRate(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastArrivals.rate(now)
}

// Running adjusts the number of requests that are at an engine.
func (f *Fleet) Running(t Target, change int) {
	if t.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demandOf(t).running += change
}

// Wait counts a request as waiting for a replica until StopWaiting is called.
func (f *Fleet) Wait(t Target, now time.Time) *Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Waiter{since: now}
	f.demandOf(t).waiting[w] = struct{}{}
	if f.onWaiting != nil {
		f.onWaiting()
	}
	return w
}

// StopWaiting removes a waiter that Wait returned.
func (f *Fleet) StopWaiting(t Target, w *Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.demandOf(t).waiting, w)
}

// requestAdapter records that a request needs an adapter at an engine. The lock must be held.
func (f *Fleet) requestAdapter(id string, a Adapter) {
	if f.wantedAdapters[id] == nil {
		f.wantedAdapters[id] = make(map[Adapter]bool)
	}
	if len(f.wantedAdapters[id]) >= maxAdapterNames {
		return
	}
	f.wantedAdapters[id][a] = true
	if f.onAdapterWanted != nil {
		f.onAdapterWanted(id)
	}
}

// Demand returns the demand of this gateway's requests for models.
func (f *Fleet) Demand(now time.Time) []modeldemand.Model {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]modeldemand.Model, 0, len(f.demand))
	for t, d := range f.demand {
		if t.Model == "" {
			continue
		}
		m := modeldemand.Model{
			Target:           modeldemand.Target{Service: t.Service, Model: t.Model, Version: t.Version},
			Waiting:          len(d.waiting),
			Running:          d.running,
			Arrived:          d.arrived,
			FirstEventTarget: d.target,
		}
		for w := range d.waiting {
			m.OldestWait = max(m.OldestWait, now.Sub(w.since))
		}
		list = append(list, m)
	}
	return list
}

// AgentMessage returns the message to an endpoint's agent, without the engine class. It clears the requested adapters;
// requests that still wait request them again.
func (f *Fleet) AgentMessage(id string) *controlpb.ToAgent {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return nil
	}
	message := &controlpb.ToAgent{EndpointId: id, EndpointRevision: e.Revision}
	for a := range f.wantedAdapters[id] {
		message.Wanted = append(message.Wanted, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
	}
	delete(f.wantedAdapters, id)
	for a := range e.adapters {
		message.Used = append(message.Used, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
	}
	message.Used = append(message.Used, f.relayedAdapterUse(id)...)
	return message
}
