package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

// world is a judge with one gateway, an engine and an endpoint of each plain service.
type world struct{ *judge }

func newWorld() world {
	w := world{newJudge()}
	w.started("engine", "place-1", engines)
	w.started("pads", "place-2", pads)
	w.started("ledger", "place-3", ledger)
	return w
}

// ask lets a client send a request some time ago.
func (w world) ask(k kind, ago time.Duration) *record {
	call := standin.Call{ID: "r", Method: http.MethodPost, Path: "/x", Patience: time.Second}
	if k == chat || k == once {
		call.Model, call.Events = "m", 2
	}
	r := &record{kind: k, gateway: "gateway", call: call, sentAt: time.Now().Add(-ago)}
	w.sent(r)
	return r
}

// run lets an incarnation run a request.
func (w world) run(r *record, id string, change ...func(*standin.Arrival)) {
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

// whole is a true answer to a request.
func whole(r *record) ending {
	e := ending{status: http.StatusOK, maybeSent: true, header: http.Header{}}
	e.header.Set(standin.HeaderRequestID, r.call.ID)
	e.header.Set(standin.HeaderSignature, standin.Signature(r.call.ID))
	e.body = standin.PlainBody(r.call.ID)
	if r.call.Model != "" {
		e.body = []byte(standin.Event(r.call.ID, 1) + standin.Event(r.call.ID, 2))
	}
	return e
}

// Each promise is broken once, as a caller or an endpoint would see it, and the judge must say so; beside each lies the case
// that looks alike and is allowed.
func TestJudge(t *testing.T) {
	closed := ending{maybeSent: true, took: time.Second, err: http.ErrServerClosed}
	cases := []struct {
		name  string
		rule  string
		seen  func(w world)
		count int
	}{
		{"served", "", func(w world) { r := w.ask(read, 0); w.run(r, "pads"); w.ended(r, whole(r)) }, 0},
		{"a stream served", "", func(w world) { r := w.ask(chat, 0); w.run(r, "engine"); w.ended(r, whole(r)) }, 0},
		{"nobody's request", "asked", func(w world) { w.Arrived(standin.Arrival{RequestID: "other", Incarnation: "pads"}) }, 1},
		{"a field that only the system sets", "asked", func(w world) {
			w.run(w.ask(read, 0), "pads", func(a *standin.Arrival) { a.Foreign = []string{"Pin"} })
		}, 1},
		{"another path", "unchanged", func(w world) { w.run(w.ask(read, 0), "pads", func(a *standin.Arrival) { a.Path = "/y" }) }, 1},
		{"another body", "unchanged", func(w world) { w.run(w.ask(read, 0), "pads", func(a *standin.Arrival) { a.Body = []byte("?") }) }, 1},
		{"a notice twice", "once", func(w world) { r := w.ask(notice, 0); w.run(r, "ledger"); w.run(r, "ledger") }, 1},
		{"a read twice", "", func(w world) { r := w.ask(read, 0); w.run(r, "pads"); w.run(r, "pads") }, 0},
		{"refused after it ran", "not run", func(w world) {
			r := w.ask(notice, 0)
			w.run(r, "ledger")
			w.ended(r, ending{status: http.StatusServiceUnavailable, maybeSent: true})
		}, 1},
		{"run after it was refused", "not run", func(w world) {
			r := w.ask(notice, 0)
			w.ended(r, ending{status: http.StatusTooManyRequests, maybeSent: true})
			w.run(r, "ledger")
		}, 1},
		{"unknown outcome after it ran", "", func(w world) {
			r := w.ask(notice, 0)
			w.run(r, "ledger")
			w.ended(r, ending{status: http.StatusBadGateway, maybeSent: true})
		}, 0},
		{"the wrong service", "route", func(w world) { w.run(w.ask(notice, 0), "pads") }, 1},
		{"half an answer that looks whole", "whole", func(w world) {
			r := w.ask(read, 0)
			e := whole(r)
			e.body = e.body[:10]
			w.ended(r, e)
		}, 1},
		{"another request's answer", "whole", func(w world) {
			r := w.ask(read, 0)
			e := whole(r)
			e.header.Set(standin.HeaderRequestID, "other")
			w.ended(r, e)
		}, 1},
		{"an event missing", "order", func(w world) {
			r := w.ask(chat, 0)
			e := whole(r)
			e.body, e.err = []byte(standin.Event("r", 1)+standin.Event("r", 3)), http.ErrServerClosed
			w.ended(r, e)
		}, 1},
		{"a stream that visibly broke off", "", func(w world) {
			r := w.ask(chat, 0)
			e := whole(r)
			e.body, e.err = []byte(standin.Event("r", 1)), http.ErrServerClosed
			w.ended(r, e)
		}, 0},
		{"a stream cut by a planned stop", "lost", func(w world) {
			r := w.ask(chat, 100*time.Millisecond)
			w.run(r, "engine")
			w.disturb(stopOf("gateway"))
			e := whole(r)
			e.body, e.err = []byte(standin.Event("r", 1)), http.ErrServerClosed
			w.ended(r, e)
		}, 1},
		{"not found", "denied", func(w world) { w.ended(w.ask(read, 0), ending{status: http.StatusNotFound}) }, 1},
		{"no answer in time", "in time", func(w world) { w.ended(w.ask(read, 2*time.Second), ending{timedOut: true, maybeSent: true}) }, 1},
		{"no answer of a frozen gateway", "", func(w world) {
			end := w.disturb("gateway")
			w.ended(w.ask(read, 2*time.Second), ending{timedOut: true, maybeSent: true})
			end()
		}, 0},
		{"closed by a planned stop", "lost", func(w world) {
			w.disturb(stopOf("gateway"))
			r := w.ask(read, time.Second)
			w.run(r, "pads")
			w.ended(r, closed)
		}, 1},
		{"closed a few times", "", func(w world) {
			for range endedWithout {
				r := w.ask(read, time.Second)
				w.run(r, "pads")
				w.ended(r, closed)
			}
		}, 0},
		{"closed again and again", "lost", func(w world) {
			for range endedWithout + 1 {
				r := w.ask(read, time.Second)
				w.run(r, "pads")
				w.ended(r, closed)
			}
		}, 1},
		{"work for an endpoint that left", "leaving", func(w world) {
			w.leaves("pads")
			w.endpoints["pads"].leavesAt = time.Now().Add(-3 * time.Second)
			w.run(w.ask(read, 0), "pads")
		}, 1},
		{"work for an endpoint that left while the store was away", "", func(w world) {
			w.leaves("pads")
			w.endpoints["pads"].leavesAt = time.Now().Add(-3 * time.Second)
			w.disturb(storeSubject)
			w.run(w.ask(read, 0), "pads")
		}, 0},
		{"late arrivals", "left", func(w world) {
			r := w.ask(read, 2*time.Second)
			r.leftAt = time.Now().Add(-time.Second)
			for range lateArrivals + 1 {
				w.run(r, "pads")
			}
		}, 1},
		{"too much in memory", "memory", func(w world) { w.Ordered(standin.OrderSeen{Incarnation: "engine", Overcommits: true}) }, 1},
		{"two holders", "one holder", func(w world) {
			w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "a"})
			w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "b"})
		}, 1},
		{"too many loads", "store loads", func(w world) {
			for range 17 {
				w.Ordered(standin.OrderSeen{Incarnation: "engine", Holder: "a", FromStore: true, At: time.Now()})
			}
		}, 1},
		{"too many repeats", "retry budget", func(w world) {
			r := w.ask(read, 0)
			for range 60 {
				w.run(r, "pads")
			}
			w.budget()
		}, 1},
		{"a removed route", "configuration", func(w world) {
			w.routes["/added-1/"] = &routeLife{added: time.Now().Add(-time.Minute), removed: time.Now().Add(-5 * time.Second)}
			w.probed(w.askFor("/added-1/p"), ending{status: http.StatusOK}, 1)
		}, 1},
		{"an added route is not known", "configuration", func(w world) {
			w.routes["/added-1/"] = &routeLife{added: time.Now().Add(-5 * time.Second)}
			w.probed(w.askFor("/added-1/p"), ending{status: http.StatusNotFound}, 1)
		}, 1},
		{"an added route is not known yet", "", func(w world) {
			w.routes["/added-1/"] = &routeLife{added: time.Now().Add(-time.Second)}
			w.probed(w.askFor("/added-1/p"), ending{status: http.StatusNotFound}, 1)
		}, 0},
		{"back to an older configuration", "configuration", func(w world) {
			w.routes["/added-1/"] = &routeLife{added: time.Now().Add(-1500 * time.Millisecond)}
			w.routes["/added-2/"] = &routeLife{added: time.Now().Add(-time.Second)}
			w.probed(w.askFor("/added-2/p"), ending{status: http.StatusOK}, 1)
			w.probed(w.askFor("/added-1/p"), ending{status: http.StatusNotFound}, 1)
		}, 1},
		{"a restarted gateway has yet to read it", "", func(w world) {
			w.routes["/added-1/"] = &routeLife{added: time.Now().Add(-1500 * time.Millisecond)}
			w.routes["/added-2/"] = &routeLife{added: time.Now().Add(-time.Second)}
			w.probed(w.askFor("/added-2/p"), ending{status: http.StatusOK}, 1)
			w.probed(w.askFor("/added-1/p"), ending{status: http.StatusNotFound}, 2)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			c.seen(w)
			if len(w.violations) != c.count || c.count > 0 && !strings.Contains(w.violations[0], " "+c.rule+":") {
				t.Errorf("broken: %v, want %d of %q", w.violations, c.count, c.rule)
			}
		})
	}
}

// askFor lets a prober ask for a path.
func (w world) askFor(path string) *record {
	r := &record{kind: probe, gateway: "gateway", call: standin.Call{ID: path, Path: path}, sentAt: time.Now()}
	w.sent(r)
	return r
}
