package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

func goesOnAfter(event string) func(*standin.Arrival) {
	return func(a *standin.Arrival) { a.LastEvent = event }
}

// takeUp records a request that takes up the stream of another one.
func (w fixture) takeUp(first *record, id string) *record {
	r := &record{kind: chat, gateway: "gateway", call: first.call, sentAt: time.Now()}
	r.call.ID, r.call.Resumes, r.call.LastEvent = id, first.call.ID, 1
	w.recordSent(r)
	return r
}

// takeUpAll records streams that a client takes up while two engines have their version, and how many of them go on.
func (w fixture) takeUpAll(n, goOn int) {
	w.recordStarted("engine-3", "host-5", engineService, "v1")
	first := w.send(chat, 0)
	w.runAt(first, "engine")
	w.recordTakenUp(first, validResponse(first))
	for i := range n {
		r, e := w.takeUp(first, fmt.Sprint("again", i)), outcome{status: http.StatusServiceUnavailable, maybeSent: true}
		if i < goOn {
			e = validResponse(r)
		}
		w.recordTakenUp(r, e)
	}
	w.checkTakenUp()
}

// endUnder records that endpoints end under one request.
func (w fixture) endUnder(n int) {
	began := time.Now()
	for i := range n {
		w.recordEndedUnder("x", fmt.Sprint("i-", i), began, []*host{{name: "gateway"}})
	}
}

// Each rule on streams and on requests that end endpoints is violated once, and similar cases that are allowed are not reported.
func TestCheckerOfStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		rule   string
		events func(w fixture)
	}{
		{"an answer that goes on at another version", "version", func(w fixture) {
			r := w.send(chat, 0)
			w.runAt(r, "engine")
			w.runAt(r, "engine-v2", goesOnAfter("1"))
		}},
		{"an answer that begins again at another version", "", func(w fixture) {
			r := w.send(chat, 0)
			w.runAt(r, "engine")
			w.runAt(r, "engine-v2")
			w.runAt(r, "engine-v2", goesOnAfter("1"))
		}},
		{"a stream taken up at another version", "version", func(w fixture) {
			first := w.send(chat, 0)
			w.runAt(first, "engine")
			w.runAt(w.takeUp(first, "again"), "engine-v2", goesOnAfter("1"))
		}},
		{"a stream taken up at its version", "", func(w fixture) {
			first := w.send(chat, 0)
			w.runAt(first, "engine")
			w.runAt(w.takeUp(first, "again"), "engine", goesOnAfter("1"))
		}},
		{"most streams taken up are refused", "taken up", func(w fixture) { w.takeUpAll(minTakenUp, minTakenUp/2-1) }},
		{"half of the streams taken up go on", "", func(w fixture) { w.takeUpAll(minTakenUp, minTakenUp/2) }},
		{"a few streams taken up are refused", "", func(w fixture) { w.takeUpAll(minTakenUp-1, 0) }},
		{"a request that ends too many endpoints", "ended under", func(w fixture) { w.endUnder(maxEndedUnder + 1) }},
		{"a request that ends as many endpoints as it may", "", func(w fixture) { w.endUnder(maxEndedUnder) }},
		{"a request that ends one more while its gateway was killed", "", func(w fixture) {
			w.beginFault("gateway")()
			w.endUnder(maxEndedUnder + 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture()
			c.events(w)
			switch {
			case c.rule == "" && len(w.violations) > 0:
				t.Errorf("violations %v, want none", w.violations)
			case c.rule != "" && (len(w.violations) != 1 || !strings.Contains(w.violations[0], " "+c.rule+":")):
				t.Errorf("violations %v, want one of rule %q", w.violations, c.rule)
			}
		})
	}
}
