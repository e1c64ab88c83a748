package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

// fixture is a checker that has recorded an engine and an endpoint of each plain service.
type fixture struct{ *checker }

func newFixture() fixture {
	w := fixture{newChecker()}
	w.recordStarted("engine", "host-1", engineService, "v1")
	w.recordStarted("engine-v2", "host-4", engineService, "v2")
	w.recordStarted("pads", "host-2", padsService, "v1")
	w.recordStarted("ledger", "host-3", ledgerService, "v1")
	return w
}

// send records a request that a client sent the given time ago.
func (w fixture) send(k kind, ago time.Duration) *record {
	call := standin.Call{ID: fmt.Sprint("r", len(w.requests)), Method: http.MethodPost, Path: "/x", Timeout: time.Second}
	if k == chat || k == once {
		call.Model, call.Events = "m", 2
	}
	r := &record{kind: k, gateway: "gateway", call: call, sentAt: time.Now().Add(-ago)}
	w.recordSent(r)
	return r
}

// runAt records that an incarnation received and ran a request.
func (w fixture) runAt(r *record, id string, change ...func(*standin.Arrival)) {
	a := standin.Arrival{
		At: time.Now(), RequestID: r.call.ID, Incarnation: id, Service: w.endpoints[id].service,
		Method: r.call.Method, Path: r.call.Path, Model: r.call.Model, Body: r.call.Body,
	}
	for _, c := range change {
		c(&a)
	}
	w.Arrived(a)
	w.Ran(a)
}

// validResponse returns the complete and correct response to a request.
func validResponse(r *record) outcome {
	e := outcome{status: http.StatusOK, maybeSent: true, header: http.Header{}}
	e.header.Set(standin.HeaderRequestID, r.call.ID)
	e.header.Set(standin.HeaderSignature, standin.Signature(r.call.ID))
	e.body = standin.PlainBody(r.call.ID)
	if r.call.Model != "" {
		e.body = []byte(standin.Event(r.call.ID, 1) + standin.Event(r.call.ID, 2))
	}
	return e
}

// Each rule is violated once, as a client or an endpoint would observe it, and the checker must report it. Similar cases that
// are allowed must not be reported.
func TestChecker(t *testing.T) {
	closed := outcome{maybeSent: true, took: time.Second, err: http.ErrServerClosed}
	cases := []struct {
		name   string
		rule   string
		events func(w fixture)
		count  int
	}{
		{"served", "", func(w fixture) { r := w.send(read, 0); w.runAt(r, "pads"); w.checkOutcome(r, validResponse(r)) }, 0},
		{"a stream served", "", func(w fixture) { r := w.send(chat, 0); w.runAt(r, "engine"); w.checkOutcome(r, validResponse(r)) }, 0},
		{"a request that no client sent", "asked", func(w fixture) { w.Arrived(standin.Arrival{RequestID: "other", Incarnation: "pads"}) }, 1},
		{"two requests under one ID", "one ID", func(w fixture) { r := w.send(read, 0); w.recordSent(&record{kind: read, call: r.call}) }, 1},
		{"a reserved header field set by the client", "asked", func(w fixture) {
			w.runAt(w.send(read, 0), "pads", func(a *standin.Arrival) { a.ReservedHeaders = []string{"Pin"} })
		}, 1},
		{"another path", "unchanged", func(w fixture) { w.runAt(w.send(read, 0), "pads", func(a *standin.Arrival) { a.Path = "/y" }) }, 1},
		{"another body", "unchanged", func(w fixture) { w.runAt(w.send(read, 0), "pads", func(a *standin.Arrival) { a.Body = []byte("?") }) }, 1},
		{"a notice twice", "once", func(w fixture) { r := w.send(notice, 0); w.runAt(r, "ledger"); w.runAt(r, "ledger") }, 1},
		{"a read twice", "", func(w fixture) { r := w.send(read, 0); w.runAt(r, "pads"); w.runAt(r, "pads") }, 0},
		{"refused after it ran", "not run", func(w fixture) {
			r := w.send(notice, 0)
			w.runAt(r, "ledger")
			w.checkOutcome(r, outcome{status: http.StatusServiceUnavailable, maybeSent: true})
		}, 1},
		{"run after it was refused", "not run", func(w fixture) {
			r := w.send(notice, 0)
			w.checkOutcome(r, outcome{status: http.StatusTooManyRequests, maybeSent: true})
			w.runAt(r, "ledger")
		}, 1},
		{"unknown outcome after it ran", "", func(w fixture) {
			r := w.send(notice, 0)
			w.runAt(r, "ledger")
			w.checkOutcome(r, outcome{status: http.StatusBadGateway, maybeSent: true})
		}, 0},
		{"the wrong service", "route", func(w fixture) { w.runAt(w.send(notice, 0), "pads") }, 1},
		{"a truncated answer without an error", "whole", func(w fixture) {
			r := w.send(read, 0)
			e := validResponse(r)
			e.body = e.body[:10]
			w.checkOutcome(r, e)
		}, 1},
		{"another request's answer", "whole", func(w fixture) {
			r := w.send(read, 0)
			e := validResponse(r)
			e.header.Set(standin.HeaderRequestID, "other")
			w.checkOutcome(r, e)
		}, 1},
		{"an event missing", "order", func(w fixture) {
			r := w.send(chat, 0)
			e := validResponse(r)
			e.body, e.err = []byte(standin.Event("r", 1)+standin.Event("r", 3)), http.ErrServerClosed
			w.checkOutcome(r, e)
		}, 1},
		{"a stream that visibly broke off", "", func(w fixture) {
			r := w.send(chat, 0)
			e := validResponse(r)
			e.body, e.err = []byte(standin.Event("r", 1)), http.ErrServerClosed
			w.checkOutcome(r, e)
		}, 0},
		{"a stream cut by a planned stop", "lost", func(w fixture) {
			r := w.send(chat, 100*time.Millisecond)
			w.runAt(r, "engine")
			w.beginFault(plannedStopOf("gateway"))
			e := validResponse(r)
			e.body, e.err = []byte(standin.Event("r", 1)), http.ErrServerClosed
			w.checkOutcome(r, e)
		}, 1},
		{"not found", "denied", func(w fixture) { w.checkOutcome(w.send(read, 0), outcome{status: http.StatusNotFound}) }, 1},
		{"no answer in time", "in time", func(w fixture) { w.checkOutcome(w.send(read, 2*time.Second), outcome{timedOut: true, maybeSent: true}) }, 1},
		{"no answer of a frozen gateway", "", func(w fixture) {
			end := w.beginFault("gateway")
			w.checkOutcome(w.send(read, 2*time.Second), outcome{timedOut: true, maybeSent: true})
			end()
		}, 0},
		{"closed by a planned stop", "lost", func(w fixture) {
			w.beginFault(plannedStopOf("gateway"))
			r := w.send(read, time.Second)
			w.runAt(r, "pads")
			w.checkOutcome(r, closed)
		}, 1},
		{"tolerated number of closes", "", func(w fixture) {
			for range maxUnexplainedCloses {
				r := w.send(read, time.Second)
				w.runAt(r, "pads")
				w.checkOutcome(r, closed)
			}
		}, 0},
		{"more closes than tolerated", "lost", func(w fixture) {
			for range maxUnexplainedCloses + 1 {
				r := w.send(read, time.Second)
				w.runAt(r, "pads")
				w.checkOutcome(r, closed)
			}
		}, 1},
		{"work for a leaving endpoint", "leaving", func(w fixture) {
			w.recordLeaving("pads")
			w.endpoints["pads"].leavingSince = time.Now().Add(-3 * time.Second)
			w.runAt(w.send(read, 0), "pads")
		}, 1},
		{"work for a leaving endpoint while the store was unavailable", "", func(w fixture) {
			w.recordLeaving("pads")
			w.endpoints["pads"].leavingSince = time.Now().Add(-3 * time.Second)
			w.beginFault(storeTarget)
			w.runAt(w.send(read, 0), "pads")
		}, 0},
		{"late arrivals", "left", func(w fixture) {
			r := w.send(read, 2*time.Second)
			r.cancelledAt = time.Now().Add(-time.Second)
			for range maxLateArrivals + 1 {
				w.runAt(r, "pads")
			}
		}, 1},
		{"memory overcommitted", "memory", func(w fixture) { w.Ordered(standin.OrderSeen{Incarnation: "engine", Overcommits: true}) }, 1},
		{"two holders", "one holder", func(w fixture) {
			w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "a"})
			w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "b"})
		}, 1},
		{"too many loads", "store loads", func(w fixture) {
			for range 17 {
				w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "a", FromStore: true, At: time.Now()})
			}
		}, 1},
		{"too many retries", "retry budget", func(w fixture) {
			r := w.send(read, 0)
			for range 60 {
				w.runAt(r, "pads")
			}
			w.checkRetryBudget()
		}, 1},
		{"a removed route", "configuration", func(w fixture) {
			w.routes["/added-1/"] = &routeLifetime{added: time.Now().Add(-time.Minute), removed: time.Now().Add(-5 * time.Second)}
			w.checkProbe(w.sendProbe("/added-1/p"), outcome{status: http.StatusOK}, 1)
		}, 1},
		{"an added route is not in force in time", "configuration", func(w fixture) {
			w.routes["/added-1/"] = &routeLifetime{added: time.Now().Add(-5 * time.Second)}
			w.checkProbe(w.sendProbe("/added-1/p"), outcome{status: http.StatusNotFound}, 1)
		}, 1},
		{"an added route is not in force yet", "", func(w fixture) {
			w.routes["/added-1/"] = &routeLifetime{added: time.Now().Add(-time.Second)}
			w.checkProbe(w.sendProbe("/added-1/p"), outcome{status: http.StatusNotFound}, 1)
		}, 0},
		{"more requests than the endpoint has named", "limit", func(w fixture) { w.runLimited(limitGrace+time.Second, 12) }, 1},
		{"as many as are tolerated", "", func(w fixture) { w.runLimited(limitGrace+time.Second, 11) }, 0},
		{"more, right after the endpoint has named it", "", func(w fixture) { w.runLimited(limitGrace-time.Second, 12) }, 0},
		{"more, from a gateway that was frozen", "", func(w fixture) {
			w.beginFault("gateway")()
			w.runLimited(limitGrace+time.Second, 12)
		}, 0},
		{"back to an older configuration", "configuration", func(w fixture) {
			w.routes["/added-1/"] = &routeLifetime{added: time.Now().Add(-1500 * time.Millisecond)}
			w.routes["/added-2/"] = &routeLifetime{added: time.Now().Add(-time.Second)}
			w.checkProbe(w.sendProbe("/added-2/p"), outcome{status: http.StatusOK}, 1)
			w.checkProbe(w.sendProbe("/added-1/p"), outcome{status: http.StatusNotFound}, 1)
		}, 1},
		{"a restarted gateway has not read the configuration yet", "", func(w fixture) {
			w.routes["/added-1/"] = &routeLifetime{added: time.Now().Add(-1500 * time.Millisecond)}
			w.routes["/added-2/"] = &routeLifetime{added: time.Now().Add(-time.Second)}
			w.checkProbe(w.sendProbe("/added-2/p"), outcome{status: http.StatusOK}, 1)
			w.checkProbe(w.sendProbe("/added-1/p"), outcome{status: http.StatusNotFound}, 2)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture()
			c.events(w)
			if len(w.violations) != c.count || c.count > 0 && !strings.Contains(w.violations[0], " "+c.rule+":") {
				t.Errorf("violations %v, want %d of rule %q", w.violations, c.count, c.rule)
			}
		})
	}
}

// runLimited records that an endpoint named a limit of one request a second some time ago, and got a number of requests now.
func (w fixture) runLimited(ago time.Duration, n int) {
	w.recordLimit("pads", 1)
	w.endpoints["pads"].limitedSince = time.Now().Add(-ago)
	for range n {
		w.runAt(w.send(read, 0), "pads")
	}
}

// sendProbe records a probe of a path.
func (w fixture) sendProbe(path string) *record {
	r := &record{kind: probe, gateway: "gateway", call: standin.Call{ID: path, Path: path}, sentAt: time.Now()}
	w.recordSent(r)
	return r
}
