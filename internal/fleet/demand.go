package fleet

import (
	"time"

	"balsamsail/internal/control/controlpb"
)

// demand is the current demand of this gateway's requests for one target.
type demand struct {
	arrived int64
	running int
	waiting map[*Waiter]struct{}
	// target is the shortest first-event target among the requests so far.
	target time.Duration
}

// Waiter is a request that waits for a replica.
type Waiter struct{ since time.Time }

func (f *Fleet) demandOf(t Target) *demand {
	d := f.demand[t]
	if d == nil {
		d = &demand{waiting: make(map[*Waiter]struct{})}
		f.demand[t] = d
	}
	return d
}

// Arrived counts a new request and records its first-event target.
func (f *Fleet) Arrived(t Target, target time.Duration) {
	if t.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demandOf(t)
	d.arrived++
	if target > 0 && (d.target == 0 || target < d.target) {
		d.target = target
	}
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
	f.wantedAdapters[id][a] = true
	if f.onAdapterWanted != nil {
		f.onAdapterWanted(id)
	}
}

// Demand returns the demand of this gateway's requests.
func (f *Fleet) Demand(now time.Time) *controlpb.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	message := &controlpb.Demand{}
	for t, d := range f.demand {
		m := &controlpb.ModelDemand{
			Service:  t.Service,
			Model:    t.Model,
			Waiting:  int32(len(d.waiting)),
			Running:  int32(d.running),
			Arrived:  d.arrived,
			TargetMs: d.target.Milliseconds(),
		}
		for w := range d.waiting {
			m.OldestWaitMs = max(m.OldestWaitMs, now.Sub(w.since).Milliseconds())
		}
		message.Models = append(message.Models, m)
	}
	return message
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
	return message
}
