package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/platform/standin"
)

// endUnderPart records that five endpoints have ended under the part "bad1" some time ago.
func (w fixture) endUnderPart(ago time.Duration) {
	w.setBadPart("bad1", true)
	for i := range badPartEnds {
		w.recordBadEnd("bad1", fmt.Sprint("i-", i))
	}
	p := w.badParts["bad1"]
	p.fifth, p.last = p.fifth.Add(-ago), p.last.Add(-ago)
}

// arriveWithPart records that requests with the part reach an engine.
func (w fixture) arriveWithPart(n int) {
	for range n {
		r := w.send(chat, 0)
		w.Arrived(standin.Arrival{At: time.Now(), RequestID: r.call.ID, Incarnation: "engine", Service: engineService, Prompt: "f00d:1,bad1:1,own:1"})
	}
}

// finish records how many of the requests of a kind were served.
func (w fixture) finish(k kind, served, refused int) {
	for i := range served + refused {
		r, e := w.send(k, 0), outcome{status: http.StatusServiceUnavailable}
		if i < served {
			e = validResponse(r)
		}
		w.checkOutcome(r, e)
	}
}

// Each rule on parts that end endpoints and on skewed connections is violated once, and similar cases that are allowed are not reported.
func TestCheckerOfPartsAndSkew(t *testing.T) {
	for _, c := range []struct {
		name   string
		rule   string
		events func(w fixture)
	}{
		{"too many requests with a part that is known", "bad part", func(w fixture) { w.endUnderPart(contactTime); w.arriveWithPart(maxBadArrivals + 1) }},
		{"as many as may", "", func(w fixture) { w.endUnderPart(contactTime); w.arriveWithPart(maxBadArrivals) }},
		{"more before all gateways must know it", "", func(w fixture) { w.endUnderPart(contactTime / 2); w.arriveWithPart(3 * maxBadArrivals) }},
		{"more from a gateway that was killed", "", func(w fixture) {
			w.endUnderPart(contactTime)
			w.beginFault("gateway")()
			w.arriveWithPart(3 * maxBadArrivals)
		}},
		{"most sound streams are refused beside a bad part", "beside a bad part", func(w fixture) {
			w.finish(chat, minCompared, 0)
			w.endUnderPart(2*contactTime + time.Second)
			w.finish(chat, minCompared/2-1, minCompared/2+1)
		}},
		{"half of the sound streams begin beside a bad part", "", func(w fixture) {
			w.finish(chat, minCompared, 0)
			w.endUnderPart(2*contactTime + time.Second)
			w.finish(chat, minCompared/2, minCompared/2)
		}},
		{"sound streams are refused while engines still end", "", func(w fixture) {
			w.finish(chat, minCompared, 0)
			w.endUnderPart(contactTime)
			w.finish(chat, 0, 2*minCompared)
		}},
		{"many requests are refused while connections are skewed", "skewed connections", func(w fixture) {
			w.finish(read, minCompared, 0)
			w.skewFor(contactTime + time.Second)
			w.finish(read, minCompared*3/4-1, minCompared/4+1)
		}},
		{"three quarters are served while connections are skewed", "", func(w fixture) {
			w.finish(read, minCompared, 0)
			w.skewFor(contactTime + time.Second)
			w.finish(read, minCompared*3/4, minCompared/4)
		}},
		{"requests are refused while connections are skewed and one of two endpoints is away", "skewed connections", func(w fixture) {
			w.recordStarted("pads-2", "host-6", padsService, "v1")
			w.finish(read, minCompared, 0)
			w.skewFor(contactTime + time.Second)
			w.beginFault("host-6")
			w.finish(read, minCompared*3/4-1, minCompared/4+1)
		}},
		{"requests are refused while connections are skewed and no endpoint is there", "", func(w fixture) {
			w.finish(read, minCompared, 0)
			w.skewFor(contactTime + time.Second)
			w.beginFault("host-2")
			w.finish(read, 0, 2*minCompared)
		}},
		{"requests are refused as connections begin to be skewed", "", func(w fixture) {
			w.finish(read, minCompared, 0)
			w.skewFor(contactTime / 2)
			w.finish(read, 0, 2*minCompared)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture()
			c.events(w)
			w.checkShares()
			switch {
			case c.rule == "" && len(w.violations) > 0:
				t.Errorf("violations %v, want none", w.violations)
			case c.rule != "" && (len(w.violations) != 1 || !strings.Contains(w.violations[0], " "+c.rule+":")):
				t.Errorf("violations %v, want one of rule %q", w.violations, c.rule)
			}
		})
	}
}

// skewFor records that connections have been skewed for some time.
func (w fixture) skewFor(d time.Duration) {
	w.beginFault(skewTarget)
	w.faultPeriods[skewTarget][0].begin = time.Now().Add(-d)
}
