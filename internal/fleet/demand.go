package fleet

import (
	"time"

	"balsamsail/internal/control/controlpb"
)

// demand is what this gateway's requests for one target do now.
type demand struct {
	arrived int64
	running int
	waiting map[*Waiter]struct{}
	// target is the tightest target for a first event among the requests that have come.
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

// Arrived counts a request with a target for its first event.
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

// Running counts a request that is at an engine, or takes it out of the count.
func (f *Fleet) Running(t Target, change int) {
	if t.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demandOf(t).running += change
}

// Wait counts a request that waits for a replica, until StopWaiting is called.
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

// StopWaiting ends what Wait began.
func (f *Fleet) StopWaiting(t Target, w *Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.demandOf(t).waiting, w)
}

// wantAdapter notes that a request needs an adapter at an engine. The lock is held.
func (f *Fleet) wantAdapter(id string, a Adapter) {
	if f.wanted[id] == nil {
		f.wanted[id] = make(map[Adapter]bool)
	}
	f.wanted[id][a] = true
	if f.onWanted != nil {
		f.onWanted(id)
	}
}

// Demand returns what this gateway's requests ask for.
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

// AgentMessage returns what an endpoint's agent should know, but for the engine's class. The wishes for adapters are taken
// out: requests that still wait repeat them.
func (f *Fleet) AgentMessage(id string) *controlpb.ToAgent {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return nil
	}
	message := &controlpb.ToAgent{EndpointId: id, EndpointRevision: e.Revision}
	for a := range f.wanted[id] {
		message.Wanted = append(message.Wanted, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
	}
	delete(f.wanted, id)
	for a := range e.adapters {
		message.Used = append(message.Used, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
	}
	return message
}
