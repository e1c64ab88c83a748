package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The bounds that the judge holds the system to.
const (
	// inTouch is how long before an event nothing must have disturbed what it concerns.
	inTouch = 4 * time.Second
	// leaveBound is the time after which an endpoint that is leaving gets no new work, and applyBound the one after which a
	// configuration is in force.
	leaveBound = 2 * time.Second
	applyBound = 2 * time.Second
	// answerSlack is how long after its patience a client's request may still be without an answer, and goneSlack how long
	// after a client has left its request may still reach an endpoint.
	answerSlack = 500 * time.Millisecond
	goneSlack   = 500 * time.Millisecond
	// unread is the time after which a request that was sent whole counts as read.
	unread = 200 * time.Millisecond
	// ceilingWindow and ceilingOver bound the loads from the weight store.
	ceilingWindow = 5 * time.Second
	ceilingOver   = 1.1
	ceilingExtra  = 3
	// lateArrivals and endedWithout are how many single cases are borne: what crosses on its way cannot be told
	// from what is wrong.
	lateArrivals = 3
	endedWithout = 3
)

// kind says what may be done with a request.
type kind int

// The kinds of requests.
const (
	read kind = iota
	notice
	chat
	once
	probe
)

// repeatable reports whether a request may run more than once.
func (k kind) repeatable() bool { return k == read || k == chat || k == probe }

// record is what is known of one request.
type record struct {
	call    standin.Call
	kind    kind
	gateway string
	sentAt  time.Time
	// leftAt is when the client gave it up.
	leftAt time.Time
	// runs are the incarnations that ran it, reached how many times it arrived.
	runs    []string
	reached int
	// status is the answer's, 0 before.
	status int
}

// judge checks what callers and endpoints see, while the run goes on.
type judge struct {
	began time.Time

	mu         sync.Mutex
	requests   map[string]*record
	endpoints  map[string]*incarnation
	disturbed  map[string][]span
	loads      []time.Time
	arrivals   map[string][]time.Time
	repeats    map[string][]time.Time
	routes     map[string]*routeLife
	newest     map[string]seen
	late       int
	cutOff     int
	violations []string
	counts     map[string]int
	used       []resources
}

// span is a time from begin to end; a zero end is still to come.
type span struct{ begin, end time.Time }

// incarnation is one start of an endpoint.
type incarnation struct {
	place, service string
	leavesAt       time.Time
	holder         string
}

// routeLife is when a route was added and removed, as acknowledged by the store.
type routeLife struct{ added, removed time.Time }

func newJudge() *judge {
	return &judge{
		began: time.Now(), requests: map[string]*record{}, endpoints: map[string]*incarnation{}, disturbed: map[string][]span{},
		arrivals: map[string][]time.Time{}, repeats: map[string][]time.Time{}, routes: map[string]*routeLife{}, newest: map[string]seen{}, counts: map[string]int{},
	}
}

// violate notes a broken promise. The caller holds mu.
func (j *judge) violate(rule, format string, args ...any) {
	const most = 200
	j.counts["broken: "+rule]++
	if len(j.violations) < most {
		j.violations = append(j.violations, fmt.Sprintf("%8.3f %s: %s", time.Since(j.began).Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// Violate notes a broken promise that something else than the judge has seen.
func (j *judge) Violate(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(rule, format, args...)
}

// disturb notes that something is disturbed from now on; the function that it returns ends that.
func (j *judge) disturb(subjects ...string) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	begin := time.Now()
	for _, s := range subjects {
		j.disturbed[s] = append(j.disturbed[s], span{begin: begin})
	}
	return sync.OnceFunc(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		for _, s := range subjects {
			for i := range j.disturbed[s] {
				if j.disturbed[s][i].begin.Equal(begin) && j.disturbed[s][i].end.IsZero() {
					j.disturbed[s][i].end = time.Now()
					break
				}
			}
		}
	})
}

// calm reports whether none of the subjects was disturbed from inTouch before a time until another. The caller holds mu.
func (j *judge) calm(from, to time.Time, subjects ...string) bool {
	for _, s := range subjects {
		for _, d := range j.disturbed[s] {
			if d.begin.Before(to) && (d.end.IsZero() || d.end.After(from.Add(-inTouch))) {
				return false
			}
		}
	}
	return true
}

// sent notes that a client sends a request.
func (j *judge) sent(r *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.call.ID] = r
	j.counts["requests"]++
}

// left notes that a client gives a request up.
func (j *judge) left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id].leftAt = time.Now()
}

// started notes a new incarnation at a place.
func (j *judge) started(id, place, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endpoints[id] = &incarnation{place: place, service: service}
}

// leaves notes that the store shows an endpoint as leaving.
func (j *judge) leaves(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endpoints[id].leavesAt = time.Now()
}

// declared notes a configuration that the store has acknowledged.
func (j *judge) declared(c standin.Config, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	present := map[string]bool{}
	for _, r := range c.Routes {
		present[r.Prefix] = true
		if j.routes[r.Prefix] == nil {
			j.routes[r.Prefix] = &routeLife{added: when}
		}
	}
	for prefix, life := range j.routes {
		if !present[prefix] && life.removed.IsZero() {
			life.removed = when
		}
	}
}

// Arrived implements standin.Observer.
func (j *judge) Arrived(a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[a.RequestID]
	if r == nil {
		j.violate("asked", "%s got request %q, which no client sent", a.Incarnation, a.RequestID)
		return
	}
	r.reached++
	j.arrivals[a.Service] = append(j.arrivals[a.Service], a.At)
	if r.reached > 1 {
		j.repeats[a.Service] = append(j.repeats[a.Service], a.At)
	}
	if len(a.Foreign) > 0 {
		j.violate("asked", "request %s bears %v, which its client set", a.RequestID, a.Foreign)
	}
	place := j.endpoints[a.Incarnation].place
	if !r.leftAt.IsZero() && a.At.Sub(r.leftAt) > goneSlack && j.calm(r.sentAt, a.At, r.gateway, place) {
		j.late++
		if j.late > lateArrivals {
			j.violate("left", "request %s reached %s %v after its client had left", a.RequestID, a.Incarnation, a.At.Sub(r.leftAt))
		}
	}
}

// Ran implements standin.Observer.
func (j *judge) Ran(a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[a.RequestID]
	if r == nil {
		return
	}
	e := j.endpoints[a.Incarnation]
	r.runs = append(r.runs, a.Incarnation)
	if a.Path != r.call.Path || a.Method != r.call.Method || a.Model != r.call.Model || string(a.Body) != string(r.call.Body) {
		j.violate("unchanged", "request %s ran as %s %s %s with %d bytes", a.RequestID, a.Method, a.Path, a.Model, len(a.Body))
	}
	if len(r.runs) > 1 && !r.kind.repeatable() {
		j.violate("once", "request %s ran at %v", a.RequestID, r.runs)
	}
	if standin.NotRun(r.status) {
		j.violate("not run", "request %s was refused with %d and ran at %s afterwards", a.RequestID, r.status, a.Incarnation)
	}
	if want := j.serviceOf(r); want != "" && want != e.service {
		j.violate("route", "request %s for %s ran at %s, an endpoint of %s", a.RequestID, want, a.Incarnation, e.service)
	}
	if !e.leavesAt.IsZero() && r.sentAt.Sub(e.leavesAt) > leaveBound && j.calm(e.leavesAt, a.At, r.gateway, e.place, storeSubject, storeOf(r.gateway)) {
		j.violate("leaving", "request %s ran at %s, which had been leaving for %v", a.RequestID, a.Incarnation, a.At.Sub(e.leavesAt))
	}
}

// serviceOf is the service that a request's route leads to.
func (j *judge) serviceOf(r *record) string {
	switch r.kind {
	case read, probe:
		return pads
	case notice:
		return ledger
	}
	return engines
}

// Ended implements standin.Observer.
func (j *judge) Ended(a standin.Arrival, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if whole {
		j.counts["answers made"]++
	}
}

// Ordered implements standin.Observer.
func (j *judge) Ordered(o standin.OrderSeen) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["orders"]++
	if o.Overcommits {
		j.violate("memory", "order %v exceeds what the engine holds", o)
	}
	e := j.endpoints[o.Incarnation]
	if e.holder != "" && e.holder != o.Holder {
		j.violate("one holder", "order %v, and one of %s before", o, e.holder)
	}
	e.holder = o.Holder
	if !o.FromStore {
		return
	}
	j.counts["loads from the store"]++
	j.loads = append(j.loads, o.At)
	window := slices.DeleteFunc(slices.Clone(j.loads), func(t time.Time) bool { return o.At.Sub(t) > ceilingWindow })
	if most := int(loadsPerSecond*ceilingWindow.Seconds()*ceilingOver) + ceilingExtra; len(window) > most && j.calm(window[0], o.At, storeSubject) {
		j.violate("store loads", "%d loads began within %v", len(window), ceilingWindow)
	}
}

// budget checks that repeated sendings stayed within the budget that all gateways share.
func (j *judge) budget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, repeats := range j.repeats {
		for i, first := range repeats {
			n := 0
			for _, t := range repeats[i:] {
				if t.Sub(first) <= retryWindow {
					n++
				}
			}
			requests := 0
			for _, t := range j.arrivals[service] {
				if t.After(first.Add(-retryWindow)) && t.Before(first.Add(retryWindow)) {
					requests++
				}
			}
			if allowed := retryShare*float64(requests) + retryExtra; float64(n) > allowed {
				j.violate("retry budget", "%d repeated sendings to %s within %v, %.0f allowed", n, service, retryWindow, allowed)
				break
			}
		}
	}
}
