package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamsail/internal/routing"
	"balsamsail/internal/waiting"
)

// rateWindow is the time constant of the rate of arrivals.
const rateWindow = 2 * time.Second

// rateMeter is an exponentially decaying rate of events.
type rateMeter struct {
	// window is the time over which the rate is averaged; 0 means rateWindow.
	window time.Duration
	// decayed is the sum of the events, each decayed since it occurred, as of at.
	decayed   float64
	since, at time.Time
}

func (m *rateMeter) add(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	m.decayed = m.decayed*m.decay(now.Sub(m.at)) + 1
	m.at = now
}

// rate returns the events per second, averaged over the window or since the first event if that is less.
func (m *rateMeter) rate(now time.Time) float64 {
	if m.since.IsZero() {
		return 0
	}
	window := cmp.Or(m.window, rateWindow).Seconds() * (1 - m.decay(max(now.Sub(m.since), minRateWindow)))
	return m.decayed * m.decay(now.Sub(m.at)) / window
}

// minRateWindow is the shortest time over which a rate is averaged.
const minRateWindow = 300 * time.Millisecond

func (m *rateMeter) decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / cmp.Or(m.window, rateWindow).Seconds())
}

// placeWaiter is a request that waits for a place in an engine's batch.
type placeWaiter struct {
	adapter string
	since   time.Time
	onTime  time.Time
}

// goesBefore reports whether a request gets a place before another: those that can still be on time first, the one that
// has to begin soonest before the others, and then the late ones in the order of their arrival.
func (w *placeWaiter) goesBefore(other *placeWaiter, now time.Time) bool {
	onTime, otherOnTime := now.Before(w.onTime), now.Before(other.onTime)
	switch {
	case onTime != otherOnTime:
		return onTime
	case onTime:
		return w.onTime.Before(other.onTime)
	}
	return w.since.Before(other.since)
}

// WaitForPlace adds a request to those that wait for a place until StopWaitingForPlace is called.
func (f *Fleet) WaitForPlace(req *Request, arrived time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	req.place = &placeWaiter{adapter: req.Adapter, since: arrived, onTime: req.OnTime}
	f.demandOf(req.Target).places[req.place] = struct{}{}
}

// StopWaitingForPlace removes a request from those that wait for a place.
func (f *Fleet) StopWaitingForPlace(req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.place == nil {
		return
	}
	delete(f.demandOf(req.Target).places, req.place)
	req.place = nil
	f.notify()
}

// Queue describes the requests that wait for a place at the replicas of a request's model, as seen from the request.
func (f *Fleet) Queue(now time.Time, req *Request) waiting.Queue {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demandOf(req.Target)
	q := waiting.Queue{Arriving: d.arrivals.rate(now)}
	if !d.fullSince.IsZero() {
		q.FullFor = now.Sub(d.fullSince)
		q.Served = float64(d.servedWhileFull) / max(q.FullFor.Seconds(), minFullSeconds)
	}
	self := req.asWaiter(now)
	for w := range d.places {
		if w == self || w.adapter != self.adapter || !w.goesBefore(self, now) {
			continue
		}
		q.Ahead++
		if now.Before(w.onTime) {
			q.AheadOnTime++
		}
	}
	if engines, loading := f.loadingEngines(now, req.Target); loading {
		q.NextReplica = waiting.ModelReadyIn(engines, f.store(req.Service))
	}
	return q
}

// asWaiter returns the request as one that waits for a place, also if it has not begun to wait.
func (req *Request) asWaiter(now time.Time) *placeWaiter {
	if req.place != nil {
		return req.place
	}
	return &placeWaiter{adapter: req.Adapter, since: now, onTime: req.OnTime}
}

// queueDivisor gives the part of an engine's batch that may queue there, so that a place that gets free is taken before
// the gateways hear of it.
const queueDivisor = 8

// withRoom returns the candidates that have room in their batches and for the prompt, and reports whether the request may
// take a place now: there are more places than waiting requests that go before it.
//
// An engine with a full batch queues further requests. Under more load than its replicas can serve, the queue of a model
// grew until each request waited there for as long as its client did: nearly none was served, and none was refused.
func (f *Fleet) withRoom(now time.Time, candidates []routing.Candidate, req *Request) ([]routing.Candidate, bool) {
	if req.Model == "" || req.Resuming {
		return candidates, true
	}
	places := 0
	free := slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
		e := f.endpoints[c.Endpoint]
		room := e.promptRoom(now, req)
		if e.Slots > 0 {
			room = min(room, e.Slots+e.Slots/queueDivisor-c.Running-c.Queued-e.sentSinceLoad)
		}
		places += max(0, room)
		return room <= 0
	})
	if len(free) == 0 {
		return nil, false
	}
	self := req.asWaiter(now)
	for w := range f.demandOf(req.Target).places {
		if w != self && w.adapter == self.adapter && w.goesBefore(self, now) {
			places--
		}
	}
	return free, places > 0
}

// minFullSeconds bounds the time, in seconds, by which the requests served while the replicas are full are divided.
const minFullSeconds = 0.1

// noteFull records whether the given number of replicas was full when a request asked for a place. A further replica
// changes how many requests can be served, so the record starts again.
func (d *demand) noteFull(now time.Time, full bool, replicas int) {
	switch {
	case !full && len(d.places) == 0:
		d.fullSince = time.Time{}
	case full && (d.fullSince.IsZero() || replicas > d.replicas):
		d.fullSince, d.servedWhileFull = now, 0
	}
	d.replicas = replicas
}

// storeTracker observes the loads from a service's weight store.
type storeTracker struct {
	slowdown float64
	// fullSpeed is the highest number of concurrent loads of which one ran at full speed.
	fullSpeed int
}

// slowdownWeight is the weight of a new sample of the weight store's slowdown, and fullSpeedRatio the ratio of the actual
// to the nominal time up to which a load ran at full speed.
const (
	slowdownWeight = 0.4
	fullSpeedRatio = 1.15
)

func (f *Fleet) store(service string) waiting.Store {
	s := f.stores[service]
	if s == nil {
		return waiting.Store{Slowdown: 1}
	}
	return waiting.Store{Slowdown: s.slowdown, FullSpeed: s.fullSpeed}
}

// observeLoad records the end of a load from the weight store when an engine's report shows it.
func (f *Fleet) observeLoad(now time.Time, e *endpoint, next *EngineState) {
	before := e.state
	if before == nil || before.Loading == "" || next.Loading == before.Loading || !e.loadsFromStore() || before.Started != next.Started {
		return
	}
	class := f.config.EngineClass(e.Service)
	if _, loaded := next.Models[before.Loading]; !loaded || class == nil || class.Models[before.Loading].StoreLoadTime <= 0 {
		return
	}
	took := before.CommandAge + now.Sub(e.fullReportAt)
	ratio := took.Seconds() / class.Models[before.Loading].StoreLoadTime.Seconds()
	s := f.stores[e.Service]
	if s == nil {
		s = &storeTracker{slowdown: 1}
		f.stores[e.Service] = s
	}
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	if ratio <= fullSpeedRatio {
		s.fullSpeed = max(s.fullSpeed, f.storeLoads(now, e.Service))
	}
}

// storeLoads returns the number of loads from a service's weight store that are under way.
func (f *Fleet) storeLoads(now time.Time, service string) int {
	n := 0
	for _, e := range f.endpoints {
		if e.Service == service && e.reportFresh(now) && e.loadsFromStore() {
			n++
		}
	}
	return n
}

// loadsFromStore reports whether the engine loads a model of which its host has no copy.
func (e *endpoint) loadsFromStore() bool {
	s := e.state
	return s != nil && s.Loading != "" && !s.InMemory[s.Loading] && !s.OnDisk[s.Loading]
}

// ReadyIn estimates the time until an engine has loaded a model that none has loaded now.
func (f *Fleet) ReadyIn(now time.Time, t Target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines, _ := f.loadingEngines(now, t)
	if class := f.config.EngineClass(t.Service); len(engines) == 0 && class != nil {
		// No agent has reported yet, or all engines are leaving: the next one has no copies.
		return class.Models[t.Model].StoreLoadTime
	}
	return waiting.ModelReadyIn(engines, f.store(t.Service))
}

// loadingEngines returns the engines that may load a model, and reports whether one of them is loading it.
func (f *Fleet) loadingEngines(now time.Time, t Target) (engines []waiting.Engine, loading bool) {
	class := f.config.EngineClass(t.Service)
	if class == nil {
		return nil, false
	}
	for _, e := range f.endpoints {
		if e.Service != t.Service || e.Leaving || !e.responsive(now) || !e.reportFresh(now) || t.Version != "" && e.Version != t.Version {
			continue
		}
		s := e.state
		if e.hasModel(now, t.Model) {
			if until, ok := e.absent[Adapter{Model: t.Model}]; ok && now.Before(until) {
				// Its next report, or the end of absentTTL, tells whether the model is still loaded.
				engines = append(engines, waiting.Engine{LoadTime: until.Sub(now)})
			}
			continue
		}
		engine := waiting.Engine{Busy: s.Busy || s.Loading != "", Loading: s.Loading == t.Model, StoreLoad: e.loadsFromStore()}
		engine.LoadTime, engine.FromStore = s.loadTime(class.Models[t.Model])
		if s.Loading != "" {
			engine.Age = s.CommandAge + now.Sub(e.fullReportAt)
			engine.Nominal, _ = s.loadTime(class.Models[s.Loading])
		}
		engines, loading = append(engines, engine), loading || engine.Loading
	}
	return engines, loading
}
