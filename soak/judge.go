package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The bounds that the checker enforces.
const (
	// recoveryPeriod is how long after the end of a fault its target still counts as affected.
	recoveryPeriod = 4 * time.Second
	// maxLeaveDelay is the time after which a leaving endpoint must get no new work, maxApplyDelay the time after which a new
	// configuration must be in force.
	maxLeaveDelay = 2 * time.Second
	maxApplyDelay = 2 * time.Second
	// responseSlack is how long after the request's timeout a client waits for the response. cancelSlack is how long after its
	// cancellation a request may still reach an endpoint.
	responseSlack = 500 * time.Millisecond
	cancelSlack   = 500 * time.Millisecond
	// readDelay is the time after which the gateway is assumed to have read a request that was sent.
	readDelay = 200 * time.Millisecond
	// limitGrace is the time after which all gateways must keep a limit that an endpoint has named. It may get at most
	// limitTolerance times what it names, plus extraLimited requests, within limitWindow.
	limitGrace     = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	extraLimited   = 5
	// At most loadTolerance times the configured rate of loads from the weight store, plus extraLoads, may start within
	// loadWindow.
	loadWindow    = 5 * time.Second
	loadTolerance = 1.1
	extraLoads    = 3
	// maxLateArrivals and maxUnexplainedCloses are the numbers of cases that are tolerated per run, because a request that
	// crosses a cancellation or a closing connection on the network cannot be told from a fault of the system.
	maxLateArrivals      = 3
	maxUnexplainedCloses = 3
)

// kind is the kind of a request. It determines its route and whether it may run more than once.
type kind int

// The kinds of requests: safe reads, writes that must not run twice, chat streams that may be resumed at another endpoint,
// chat streams that must not run twice, and probes of routes.
const (
	read kind = iota
	notice
	chat
	once
	probe
)

// repeatable reports whether a request may run more than once.
func (k kind) repeatable() bool { return k == read || k == chat || k == probe }

// record tracks one request.
type record struct {
	call    standin.Call
	kind    kind
	gateway string
	sentAt  time.Time
	// cancelledAt is when the client cancelled the request; zero if it did not.
	cancelledAt time.Time
	// runs are the ids of the incarnations that ran the request. arrivals is how often it arrived at an endpoint.
	runs     []string
	arrivals int
	// copies describe the copies of other answers that came where an answer to the request was due.
	copies []string
	// status is the status of the response; 0 before it.
	status int
	// version is the software version of the engine that was last to begin the stream.
	version string
}

// checker checks during the run that what clients and endpoints observe agrees with the system's guarantees.
type checker struct {
	began time.Time

	mu           sync.Mutex
	requests     map[string]*record
	endpoints    map[string]*incarnation
	faultPeriods map[string][]span
	storeLoads   []time.Time
	arrivals     map[string][]time.Time
	retries      map[string][]time.Time
	routes       map[string]*routeLifetime
	newestRoutes map[string]newestRoute
	// endedUnder holds the endpoints that have ended under each request that ends endpoints, and current is the incarnation that
	// each host runs.
	endedUnder map[string]map[string]bool
	current    map[string]string
	badParts   map[string]*badPart
	// The requests beside bad parts and while connections were skewed, and the others, of gateways without a fault.
	besideBad, notBesideBad, skewed, even tally
	lateArrivals                          int
	unexplainedCloses                     int
	violations                            []string
	counts                                map[string]int
	usage                                 []resources
}

// span is a period of time; its end is zero while it lasts.
type span struct{ begin, end time.Time }

// incarnation is one start of an endpoint.
type incarnation struct {
	host, service string
	// version is the version of the endpoint's software.
	version      string
	leavingSince time.Time
	holder       string
	// limit is the number of requests per second that the endpoint names; 0 while it names none. limitedSince is when it
	// first did, and limited holds the requests that have counted since.
	limit        float64
	limitedSince time.Time
	limited      []time.Time
}

// routeLifetime is when a route was added and removed, as acknowledged by the store.
type routeLifetime struct{ added, removed time.Time }

func newChecker() *checker {
	return &checker{
		began: time.Now(), requests: map[string]*record{}, endpoints: map[string]*incarnation{}, faultPeriods: map[string][]span{},
		arrivals: map[string][]time.Time{}, retries: map[string][]time.Time{}, routes: map[string]*routeLifetime{}, newestRoutes: map[string]newestRoute{}, counts: map[string]int{},
		endedUnder: map[string]map[string]bool{}, current: map[string]string{}, badParts: map[string]*badPart{},
	}
}

// addViolationLocked records a violation of a rule. The caller holds mu.
func (c *checker) addViolationLocked(rule, format string, args ...any) {
	const maxViolations = 200
	c.counts["broken: "+rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%8.3f %s: %s", time.Since(c.began).Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// addViolation records a violation that was found outside the checker.
func (c *checker) addViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

// beginFault marks targets as affected by a fault from now on. The function that it returns marks the end of the fault.
func (c *checker) beginFault(targets ...string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	begin := time.Now()
	for _, s := range targets {
		c.faultPeriods[s] = append(c.faultPeriods[s], span{begin: begin})
	}
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range targets {
			for i := range c.faultPeriods[s] {
				if c.faultPeriods[s][i].begin.Equal(begin) && c.faultPeriods[s][i].end.IsZero() {
					c.faultPeriods[s][i].end = time.Now()
					break
				}
			}
		}
	})
}

// faultFree reports whether none of the targets was affected by a fault between from and to, nor within recoveryPeriod
// before from. The caller holds mu.
func (c *checker) faultFree(from, to time.Time, targets ...string) bool {
	for _, s := range targets {
		for _, d := range c.faultPeriods[s] {
			if d.begin.Before(to) && (d.end.IsZero() || d.end.After(from.Add(-recoveryPeriod))) {
				return false
			}
		}
	}
	return true
}

// recordSent records that a client sends a request.
func (c *checker) recordSent(r *record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[r.call.ID] != nil {
		c.addViolationLocked("one ID", "the soak has sent two requests under the ID %s", r.call.ID)
	}
	c.requests[r.call.ID] = r
	c.counts["requests"]++
}

// recordCancelled records that a client cancels a request, which may not have been sent yet.
func (c *checker) recordCancelled(r *record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.cancelledAt = time.Now()
}

// recordStarted records a new incarnation on a host.
func (c *checker) recordStarted(id, host, service, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[id] = &incarnation{host: host, service: service, version: version}
	c.current[host] = id
}

// recordLimit records that an endpoint names a limit, in requests per second, or none any more.
func (c *checker) recordLimit(id string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		e.limit, e.limitedSince, e.limited = perSecond, time.Now(), nil
	}
}

// checkLimit checks that an endpoint gets no more requests than it names, from gateways without a fault. The caller holds mu.
func (c *checker) checkLimit(a standin.Arrival, gateway string) {
	e := c.endpoints[a.Incarnation]
	if e.limit == 0 || a.At.Sub(e.limitedSince) < limitGrace || !c.faultFree(e.limitedSince, a.At, gateway, e.host, plannedStopOf(gateway)) {
		return
	}
	e.limited = append(slices.DeleteFunc(e.limited, func(t time.Time) bool { return a.At.Sub(t) > limitWindow }), a.At)
	c.counts["requests at a limit"]++
	if allowed := limitTolerance*e.limit*limitWindow.Seconds() + extraLimited; float64(len(e.limited)) > allowed {
		c.addViolationLocked("limit", "%s got %d requests within %v, it named %v a second", a.Incarnation, len(e.limited), limitWindow, e.limit)
	}
}

// recordLeaving records that the store lists an endpoint as leaving.
func (c *checker) recordLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[id].leavingSince = time.Now()
}

// recordConfig records a configuration that the store has acknowledged.
func (c *checker) recordConfig(config standin.Config, when time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	for _, r := range config.Routes {
		present[r.Prefix] = true
		if c.routes[r.Prefix] == nil {
			c.routes[r.Prefix] = &routeLifetime{added: when}
		}
	}
	for prefix, lifetime := range c.routes {
		if !present[prefix] && lifetime.removed.IsZero() {
			lifetime.removed = when
		}
	}
}

// Arrived implements standin.Observer.
func (c *checker) Arrived(a standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.RequestID]
	if r == nil {
		c.addViolationLocked("asked", "%s got request %q, which no client sent", a.Incarnation, a.RequestID)
		return
	}
	r.arrivals++
	c.arrivals[a.Service] = append(c.arrivals[a.Service], a.At)
	if r.arrivals > 1 {
		c.retries[a.Service] = append(c.retries[a.Service], a.At)
	}
	if len(a.ReservedHeaders) > 0 {
		c.addViolationLocked("asked", "request %s carries %v, which its client set", a.RequestID, a.ReservedHeaders)
	}
	c.checkLimit(a, r.gateway)
	c.recordBadArrival(a, r)
	host := c.endpoints[a.Incarnation].host
	if !r.cancelledAt.IsZero() && a.At.Sub(r.cancelledAt) > cancelSlack && c.faultFree(r.sentAt, a.At, r.gateway, host) {
		c.lateArrivals++
		if c.lateArrivals > maxLateArrivals {
			c.addViolationLocked("left", "request %s reached %s %v after its client had cancelled it", a.RequestID, a.Incarnation, a.At.Sub(r.cancelledAt))
		}
	}
}

// Ran implements standin.Observer.
func (c *checker) Ran(a standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[a.RequestID]
	if r == nil {
		return
	}
	e := c.endpoints[a.Incarnation]
	r.runs = append(r.runs, a.Incarnation)
	if a.Path != r.call.Path || a.Method != r.call.Method || a.Model != r.call.Model || string(a.Body) != string(r.call.Body) {
		c.addViolationLocked("unchanged", "request %s ran as %s %s %s with %d bytes", a.RequestID, a.Method, a.Path, a.Model, len(a.Body))
	}
	c.checkVersion(r, a, e)
	if len(r.runs) > 1 && !r.kind.repeatable() {
		c.addViolationLocked("once", "request %s ran at %v; copies sent before its answers: %q", a.RequestID, r.runs, r.copies)
	}
	if standin.NotRun(r.status) {
		c.addViolationLocked("not run", "request %s was refused with %d and ran at %s afterwards; copies sent before its answers: %q", a.RequestID, r.status, a.Incarnation, r.copies)
	}
	if want := c.serviceOf(r); want != "" && want != e.service {
		c.addViolationLocked("route", "request %s for %s ran at %s, an endpoint of %s", a.RequestID, want, a.Incarnation, e.service)
	}
	if !e.leavingSince.IsZero() && r.sentAt.Sub(e.leavingSince) > maxLeaveDelay && c.faultFree(e.leavingSince, a.At, r.gateway, e.host, storeTarget, storeLinkOf(r.gateway)) {
		c.addViolationLocked("leaving", "request %s ran at %s, which had been leaving for %v", a.RequestID, a.Incarnation, a.At.Sub(e.leavingSince))
	}
}

// serviceOf returns the service of a request's route.
func (c *checker) serviceOf(r *record) string {
	switch r.kind {
	case read, probe:
		return padsService
	case notice:
		return ledgerService
	}
	return engineService
}

// Ended implements standin.Observer.
func (c *checker) Ended(a standin.Arrival, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.counts["answers made"]++
	}
}

// Repeated implements standin.Observer.
func (c *checker) Repeated(p standin.Repeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, to := "answer", "another request"
	if standin.NotRun(p.Status) {
		answer = "rejection"
	}
	if p.DueID == p.RequestID && p.DueID != "" {
		to = "the same request"
	}
	if p.Idle {
		to += ", on an idle connection"
	}
	if p.Idle && p.DueID != "" {
		to += ", crossed by a request"
	}
	c.counts[fmt.Sprintf("copies: %s of %s", answer, to)]++
	if r := c.requests[p.DueID]; r != nil {
		r.copies = append(r.copies, fmt.Sprintf("%d of %s", p.Status, to))
	}
}

// Ordered implements standin.Observer.
func (c *checker) Ordered(o standin.OrderSeen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["orders"]++
	if o.Overcommits {
		c.addViolationLocked("memory", "order %v exceeds the engine's memory", o)
	}
	e := c.endpoints[o.Incarnation]
	if e.holder != "" && e.holder != o.Holder {
		c.addViolationLocked("one holder", "order %v, after one from holder %s", o, e.holder)
	}
	e.holder = o.Holder
	if !o.FromStore {
		return
	}
	c.counts["loads from the store"]++
	c.storeLoads = append(c.storeLoads, o.At)
	window := slices.DeleteFunc(slices.Clone(c.storeLoads), func(t time.Time) bool { return o.At.Sub(t) > loadWindow })
	if maxLoads := int(loadsPerSecond*loadWindow.Seconds()*loadTolerance) + extraLoads; len(window) > maxLoads && c.faultFree(window[0], o.At, storeTarget) {
		c.addViolationLocked("store loads", "%d loads began within %v", len(window), loadWindow)
	}
}

// checkRetryBudget checks that the retries to each service stayed within the budget that all gateways share.
func (c *checker) checkRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, retries := range c.retries {
		for i, first := range retries {
			n := 0
			for _, t := range retries[i:] {
				if t.Sub(first) <= retryWindow {
					n++
				}
			}
			requests := 0
			for _, t := range c.arrivals[service] {
				if t.After(first.Add(-retryWindow)) && t.Before(first.Add(retryWindow)) {
					requests++
				}
			}
			if allowed := retryRatio*float64(requests) + retryExtra; float64(n) > allowed {
				c.addViolationLocked("retry budget", "%d retries to %s within %v, %.0f allowed", n, service, retryWindow, allowed)
				break
			}
		}
	}
}
