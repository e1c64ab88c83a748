package main

import (
	"time"

	"balsamsail/platform/standin"
)

const (
	// maxEndedUnder is the number of endpoints that may end under one request, in all tries of its client.
	maxEndedUnder = 3
	// minTakenUp is the number of streams taken up from which their share is checked: it must be minGoingOn of the share of new
	// streams that begin.
	minTakenUp = 12
	minGoingOn = 0.5
)

// checkVersion checks that a stream goes on only at the software version that began it. The caller holds mu.
func (c *checker) checkVersion(r *record, a standin.Arrival, e *incarnation) {
	if r.call.Model == "" {
		return
	}
	if a.LastEvent == "" {
		r.version = e.version
		return
	}
	first := r
	if r.call.Resumes != "" {
		first = c.requests[r.call.Resumes]
	}
	c.counts["streams that went on"]++
	if first.version != e.version {
		c.addViolationLocked("version", "stream of %s, begun at %s, goes on at %s (%s) as %s", first.call.ID, first.version, a.Incarnation, e.version, a.RequestID)
	}
}

// recordTakenUp records how a stream that a client took up ended, or a new stream. Only streams whose gateway had no fault count
// and, of those taken up, whose version has two engines.
func (c *checker) recordTakenUp(r *record, e outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.cancelled || !c.faultFree(r.sentAt, time.Now(), r.gateway, plannedStopOf(r.gateway), storeTarget, storeLinkOf(r.gateway)) {
		return
	}
	name := "new streams"
	if r.call.LastEvent > 0 {
		if c.enginesOf(c.requests[r.call.Resumes].version) < 2 {
			return
		}
		name = "streams taken up"
	}
	c.counts[name]++
	if e.status == 200 && len(e.body) > 0 {
		c.counts[name+" that brought events"]++
	}
}

// enginesOf returns the number of engines of a version that are there and without a fault. The caller holds mu.
func (c *checker) enginesOf(version string) int {
	return c.soundEndpoints(engineService, version, time.Now())
}

// soundEndpoints returns the number of a service's endpoints of a version that are there and have had no fault since a time; an empty
// version stands for all. The caller holds mu.
func (c *checker) soundEndpoints(service, version string, since time.Time) int {
	n := 0
	for id, e := range c.endpoints {
		if e.service == service && (version == "" || e.version == version) && e.leavingSince.IsZero() && c.current[e.host] == id && c.faultFree(since, time.Now(), e.host) {
			n++
		}
	}
	return n
}

// checkTakenUp checks the share of the streams taken up that went on.
func (c *checker) checkTakenUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, began := c.counts["streams taken up"], c.counts["new streams"]
	if all < minTakenUp || began == 0 {
		return
	}
	share := float64(c.counts["streams taken up that brought events"]) / float64(all)
	ofNew := float64(c.counts["new streams that brought events"]) / float64(began)
	if share < minGoingOn*ofNew {
		c.addViolationLocked("taken up", "%.2f of %d streams taken up went on, and %.2f of %d new ones began", share, all, ofNew, began)
	}
}

// recordEndedUnder records that an endpoint ends under a request that ends endpoints, given by its name. While a gateway has a
// fault, it may have lost what it knew, so that each may lose one endpoint more.
func (c *checker) recordEndedUnder(request, id string, began time.Time, gateways []*host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := maxEndedUnder
	for _, g := range gateways {
		if !c.faultFree(began, time.Now(), g.name, plannedStopOf(g.name)) {
			allowed++
		}
	}
	if c.endedUnder[request] == nil {
		c.endedUnder[request] = map[string]bool{}
	}
	c.endedUnder[request][id] = true
	c.counts["endpoints ended under a request"]++
	if n := len(c.endedUnder[request]); n > allowed {
		c.addViolationLocked("ended under", "%d endpoints have ended under %s, at most %d may", n, request, allowed)
	}
}
