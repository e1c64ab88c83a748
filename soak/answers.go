package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"balsamsail/platform/standin"
)

// storeTarget is the fault target that stands for the store. Processes and endpoint hosts are targets under their own names.
const storeTarget = "store"

// storeLinkOf names the fault target of a gateway's link to the store, plannedStopOf that of the gateway's planned stop.
func storeLinkOf(gateway string) string   { return "store>" + gateway }
func plannedStopOf(gateway string) string { return "stop of " + gateway }

// checkOutcome checks how a request ended for its client.
func (c *checker) checkOutcome(r *record, e outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status = e.status
	c.countOutcome(r, e)
	c.countShare(r, e)
	switch {
	case e.cancelled:
	case e.status == 0:
		c.checkUnanswered(r, e)
	case e.status >= 200 && e.status < 300:
		c.checkSuccess(r, e)
	case standin.NotRun(e.status):
		if len(r.runs) > 0 {
			c.addViolationLocked("not run", "request %s was refused with %d after it had run at %v; copies sent before its answers: %q", r.call.ID, e.status, r.runs, r.copies)
		}
	case e.status < http.StatusInternalServerError:
		c.addViolationLocked("denied", "request %s to %s, which is always allowed, got %d from %s", r.call.ID, r.call.Path, e.status, r.gateway)
	}
}

// countOutcome updates the report's counts.
func (c *checker) countOutcome(r *record, e outcome) {
	name := fmt.Sprint(e.status)
	switch {
	case e.cancelled:
		name = "left by the client"
	case e.status == 0 && e.timedOut:
		name = "no answer in time"
	case e.status == 0 && !e.maybeSent:
		name = "not sent"
	case e.status == 0:
		name = "closed without an answer"
	case e.err != nil:
		name = "broken off"
	}
	c.counts["ended: "+name]++
	if e.status == http.StatusOK && e.err == nil && r.call.Model != "" {
		model, _, _ := strings.Cut(r.call.Model, "/")
		c.counts["served: "+model]++
	}
}

// checkUnanswered checks a request that got no response.
func (c *checker) checkUnanswered(r *record, e outcome) {
	now := time.Now()
	if !c.faultFree(r.sentAt, now, r.gateway) {
		return
	}
	switch {
	case e.timedOut && e.maybeSent:
		c.addViolationLocked("in time", "request %s had no answer from %s %v after its timeout of %v; it ran at %v",
			r.call.ID, r.gateway, responseSlack, r.call.Timeout, r.runs)
	case e.maybeSent && (r.arrivals > 0 || e.took > readDelay):
		c.unexplainedCloses++
		plannedStop := !c.faultFree(r.sentAt, now, plannedStopOf(r.gateway))
		if plannedStop || c.unexplainedCloses > maxUnexplainedCloses {
			c.addViolationLocked("lost", "request %s, which had arrived %d times at endpoints, lost its connection to %s after %v: %v (planned stop: %v)",
				r.call.ID, r.arrivals, r.gateway, e.took, e.err, plannedStop)
		}
	}
}

// checkSuccess checks a response with a 2xx status. One whose body broke off with an error does not count as successful: only
// the order of its events is checked, and that it was not cut by a planned stop.
func (c *checker) checkSuccess(r *record, e outcome) {
	if e.err == nil {
		if err := r.call.CheckSuccess(e.header, e.body); err != nil {
			c.addViolationLocked("whole", "the answer to request %s from %s, run at %v: %v", r.call.ID, r.gateway, r.runs, err)
		}
		return
	}
	if err := checkEventOrder(e.body, r.call.LastEvent+1); err != nil {
		c.addViolationLocked("order", "the stream of request %s: %v", r.call.ID, err)
	}
	now := time.Now()
	if e.timedOut || !c.faultFree(r.sentAt, now, r.gateway) || c.faultFree(r.sentAt, now, plannedStopOf(r.gateway)) {
		return
	}
	for _, id := range r.runs {
		if !c.faultFree(r.sentAt, now, c.endpoints[id].host) {
			return
		}
	}
	c.addViolationLocked("lost", "the stream of request %s was cut by the planned stop of %s after %v: %v", r.call.ID, r.gateway, e.took, e.err)
}

// checkEventOrder checks that the event ids of a stream that broke off count up from the next one without gaps.
func checkEventOrder(body []byte, next int) error {
	for line := range strings.Lines(string(body)) {
		id, ok := strings.CutPrefix(line, "id: ")
		if !ok || !strings.HasSuffix(id, "\n") {
			continue
		}
		if strings.TrimSpace(id) != fmt.Sprint(next) {
			return fmt.Errorf("got event %s, want %d", strings.TrimSpace(id), next)
		}
		next++
	}
	return nil
}

// routeToProbe returns the prefix of a route that was added or removed, or of one that was never declared.
func (c *checker) routeToProbe(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var prefixes []string
	for prefix := range c.routes {
		if strings.HasPrefix(prefix, addedPrefix) {
			prefixes = append(prefixes, prefix)
		}
	}
	if len(prefixes) == 0 || random.IntN(10) == 0 {
		return "/never-there/"
	}
	return prefixes[random.IntN(len(prefixes))]
}

// newestRoute is the most recently added route that a gateway has served since it was started for the start-th time.
type newestRoute struct {
	start int
	added time.Time
}

// checkProbe checks the outcome of a probe against the route's lifetime. start is the number of starts of the gateway so
// far: only within one of them may it not go back to an older configuration.
func (c *checker) checkProbe(r *record, e outcome, start int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status = e.status
	prefix := r.call.Path[:strings.LastIndex(r.call.Path, "/")+1]
	lifetime := c.routes[prefix]
	now := time.Now()
	served := e.status >= 200 && e.status < 300
	notFound := e.status == http.StatusNotFound
	last := c.newestRoutes[r.gateway]
	if served && lifetime != nil && (last.start != start || lifetime.added.After(last.added)) {
		c.newestRoutes[r.gateway] = newestRoute{start: start, added: lifetime.added}
		last = c.newestRoutes[r.gateway]
	}
	stable := c.faultFree(r.sentAt, now, storeTarget, storeLinkOf(r.gateway), r.gateway, plannedStopOf(r.gateway))
	switch {
	case lifetime == nil:
		if served {
			c.addViolationLocked("configuration", "%s answered %d on %s, which was never declared", r.gateway, e.status, prefix)
		}
	case served && !lifetime.removed.IsZero() && r.sentAt.Sub(lifetime.removed) > maxApplyDelay && stable:
		c.addViolationLocked("configuration", "%s still served %s %v after its removal", r.gateway, prefix, r.sentAt.Sub(lifetime.removed))
	case notFound && lifetime.removed.IsZero() && r.sentAt.Sub(lifetime.added) > maxApplyDelay && stable:
		c.addViolationLocked("configuration", "%s answered 404 on %s %v after it was added", r.gateway, prefix, r.sentAt.Sub(lifetime.added))
	case notFound && lifetime.removed.IsZero() && last.start == start && last.added.After(lifetime.added):
		c.addViolationLocked("configuration", "%s answered 404 on %s after it had served a newer route", r.gateway, prefix)
	}
}
