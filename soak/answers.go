package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"balsamsail/platform/standin"
)

// The subjects that faults disturb beside processes and places, which bear their own names.
const storeSubject = "store"

// storeOf is the path from a gateway to the store, stopOf the gateway's planned stop.
func storeOf(gateway string) string { return "store>" + gateway }
func stopOf(gateway string) string  { return "stop of " + gateway }

// ended judges how a request ended for its client.
func (j *judge) ended(r *record, e ending) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.status = e.status
	j.count(r, e)
	switch {
	case e.left:
	case e.status == 0:
		j.unanswered(r, e)
	case e.status >= 200 && e.status < 300:
		j.success(r, e)
	case standin.NotRun(e.status):
		if len(r.runs) > 0 {
			j.violate("not run", "request %s was refused with %d after it had run at %v", r.call.ID, e.status, r.runs)
		}
	case e.status < http.StatusInternalServerError:
		j.violate("denied", "request %s to %s, which is always allowed, got %d of %s", r.call.ID, r.call.Path, e.status, r.gateway)
	}
}

// count keeps the figures that the report shows.
func (j *judge) count(r *record, e ending) {
	name := fmt.Sprint(e.status)
	switch {
	case e.left:
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
	j.counts["ended: "+name]++
	if e.status == http.StatusOK && e.err == nil && r.call.Model != "" {
		model, _, _ := strings.Cut(r.call.Model, "/")
		j.counts["served: "+model]++
	}
}

// unanswered judges a request without an answer.
func (j *judge) unanswered(r *record, e ending) {
	now := time.Now()
	if !j.calm(r.sentAt, now, r.gateway) {
		return
	}
	switch {
	case e.timedOut && e.maybeSent:
		j.violate("in time", "request %s had no answer of %s %v after its patience of %v; it ran at %v",
			r.call.ID, r.gateway, answerSlack, r.call.Patience, r.runs)
	case e.maybeSent && (r.reached > 0 || e.took > unread):
		j.cutOff++
		planned := !j.calm(r.sentAt, now, stopOf(r.gateway))
		if planned || j.cutOff > endedWithout {
			j.violate("lost", "request %s, which had arrived %d times at endpoints, lost its connection to %s after %v: %v (planned stop: %v)",
				r.call.ID, r.reached, r.gateway, e.took, e.err, planned)
		}
	}
}

// success judges a successful answer. One that visibly broke off is none.
func (j *judge) success(r *record, e ending) {
	if e.err == nil {
		if err := r.call.CheckSuccess(e.header, e.body); err != nil {
			j.violate("whole", "the answer to request %s of %s, run at %v: %v", r.call.ID, r.gateway, r.runs, err)
		}
		return
	}
	if err := inOrder(e.body); err != nil {
		j.violate("order", "the stream of request %s: %v", r.call.ID, err)
	}
	now := time.Now()
	if e.timedOut || !j.calm(r.sentAt, now, r.gateway) || j.calm(r.sentAt, now, stopOf(r.gateway)) {
		return
	}
	for _, id := range r.runs {
		if !j.calm(r.sentAt, now, j.endpoints[id].place) {
			return
		}
	}
	j.violate("lost", "the stream of request %s was cut by the planned stop of %s after %v: %v", r.call.ID, r.gateway, e.took, e.err)
}

// inOrder checks the events of a stream that broke off.
func inOrder(body []byte) error {
	next := 1
	for line := range strings.Lines(string(body)) {
		id, ok := strings.CutPrefix(line, "id: ")
		if !ok || !strings.HasSuffix(id, "\n") {
			continue
		}
		if strings.TrimSpace(id) != fmt.Sprint(next) {
			return fmt.Errorf("event %s came where %d was due", strings.TrimSpace(id), next)
		}
		next++
	}
	return nil
}

// routeToProbe names a route that was added or removed, or one that was never there.
func (j *judge) routeToProbe(random *rand.Rand) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var known []string
	for prefix := range j.routes {
		if strings.HasPrefix(prefix, addedPrefix) {
			known = append(known, prefix)
		}
	}
	if len(known) == 0 || random.IntN(10) == 0 {
		return "/never-there/"
	}
	return known[random.IntN(len(known))]
}

// seen is the newest route that one start of a gateway is known to have in force.
type seen struct {
	start int
	added time.Time
}

// probed judges how a probe of a route ended; start counts the starts of the gateway.
func (j *judge) probed(r *record, e ending, start int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.status = e.status
	prefix := r.call.Path[:strings.LastIndex(r.call.Path, "/")+1]
	life := j.routes[prefix]
	now := time.Now()
	known := e.status >= 200 && e.status < 300
	unknown := e.status == http.StatusNotFound
	last := j.newest[r.gateway]
	if known && life != nil && (last.start != start || life.added.After(last.added)) {
		j.newest[r.gateway] = seen{start: start, added: life.added}
		last = j.newest[r.gateway]
	}
	steady := j.calm(r.sentAt, now, storeSubject, storeOf(r.gateway), r.gateway, stopOf(r.gateway))
	switch {
	case life == nil:
		if known {
			j.violate("configuration", "%s answered %d on %s, which was never declared", r.gateway, e.status, prefix)
		}
	case known && !life.removed.IsZero() && r.sentAt.Sub(life.removed) > applyBound && steady:
		j.violate("configuration", "%s still served %s %v after its removal", r.gateway, prefix, r.sentAt.Sub(life.removed))
	case unknown && life.removed.IsZero() && r.sentAt.Sub(life.added) > applyBound && steady:
		j.violate("configuration", "%s did not know %s %v after it was added", r.gateway, prefix, r.sentAt.Sub(life.added))
	case unknown && life.removed.IsZero() && last.start == start && last.added.After(life.added):
		j.violate("configuration", "%s did not know %s, after it had a newer route in force", r.gateway, prefix)
	}
}
