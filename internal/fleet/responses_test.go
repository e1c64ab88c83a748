package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/routing"
)

// threePlainEndpoints returns a view of three endpoints of a plain service.
func threePlainEndpoints() *Fleet {
	f := New("here", 1)
	var list []catalog.Endpoint
	for _, id := range []string{"p1", "p2", "p3"} {
		list = append(list, catalog.Endpoint{ID: id, Service: "plain", Address: id, Revision: 1})
	}
	f.SetEndpoints(list)
	return f
}

func plainRequest(repeatable bool) *Request {
	return &Request{Target: Target{Service: "plain"}, Repeatable: repeatable}
}

// completeRequest ends a request with a complete answer.
func completeRequest(f *Fleet, now time.Time, c Choice) {
	const took = 100 * time.Millisecond
	f.ObserveResponse(now, c, took)
	f.Observe(now, c, routing.OutcomeServed, took)
	f.Done(c, plainRequest(false))
}

// simulateLoad sends a request every 0.2 s for the given length of time, like one of several gateways. All endpoints
// but the unresponsive one answer after 0.1 s; clients of requests sent there disconnect after 1.5 s. It returns the
// number of these.
func simulateLoad(f *Fleet, unresponsive string, from time.Duration, length time.Duration, repeatable bool) int {
	const tick, answer, clientTimeout = 10 * time.Millisecond, 100 * time.Millisecond, 1500 * time.Millisecond
	open := make(map[time.Duration][]Choice)
	lost := 0
	for at := from; at < from+length+clientTimeout; at += tick {
		now := start.Add(at)
		for _, c := range open[at] {
			if c.ID == unresponsive {
				f.Done(c, plainRequest(repeatable))
			} else {
				completeRequest(f, now, c)
			}
		}
		if at >= from+length || at%(20*tick) != 0 {
			continue
		}
		if c, _, ok := f.Choose(now, plainRequest(repeatable)); ok && c.ID == unresponsive {
			lost++
			open[at+clientTimeout] = append(open[at+clientTimeout], c)
		} else if ok {
			open[at+answer] = append(open[at+answer], c)
		}
	}
	return lost
}

// Guards against losing requests to one of three endpoints of a plain service that stops responding. The requests may
// run only once, and their clients disconnect after 1.5 s. Until the endpoint's registration expired, and longer while
// the store was unavailable, each gateway kept sending requests there: a client that disconnects reveals nothing about
// the endpoint, and without requests in flight it looked idle.
func TestDarkEndpointLosesFewCalls(t *testing.T) {
	f := threePlainEndpoints()
	simulateLoad(f, "", 0, 2*time.Second, false)
	if lost := simulateLoad(f, "p2", 4*time.Second, 10*time.Second, false); lost == 0 || lost > 2 {
		t.Errorf("%d of 50 requests went to the unresponsive endpoint, want one or two", lost)
	}
}

// An unresponsive endpoint that is still listed recovers. Repeatable requests must detect this, one probe per second,
// and the endpoint must get its share again.
func TestEndpointThatSpeaksAgainIsUsedAgain(t *testing.T) {
	f := threePlainEndpoints()
	simulateLoad(f, "p2", 0, 3*time.Second, true)
	simulateLoad(f, "", 5*time.Second, 3*time.Second, true)
	shares := map[string]int{}
	for i := range 60 {
		now := start.Add(10*time.Second + time.Duration(i)*50*time.Millisecond)
		c, _, ok := f.Choose(now, plainRequest(false))
		if !ok {
			t.Fatal("no endpoint")
		}
		shares[c.ID]++
		completeRequest(f, now.Add(10*time.Millisecond), c)
	}
	if shares["p2"] == 0 {
		t.Errorf("requests by endpoint: %v, want some for p2", shares)
	}
}

// If a whole service is slow, or this gateway is cut off from it, no endpoint is better than another and requests must
// not be rejected.
func TestAllSilentEndpointsAreStillUsed(t *testing.T) {
	f := threePlainEndpoints()
	for range 6 {
		if _, _, ok := f.Choose(start, plainRequest(false)); !ok {
			t.Fatal("no endpoint")
		}
	}
	if _, _, ok := f.Choose(start.Add(2*time.Second), plainRequest(false)); !ok {
		t.Error("no endpoint chosen while all are unresponsive")
	}
}

// The endpoints of a service whose requests take two seconds must not count as unresponsive.
func TestSlowServiceIsNotSilent(t *testing.T) {
	f := threePlainEndpoints()
	for i := range 100 {
		f.ObserveResponse(start, choiceOf(f, []string{"p1", "p2", "p3"}[i%3]), 2*time.Second)
	}
	shares := map[string]int{}
	for i := range 60 {
		// No response arrives in between: the requests are still in flight.
		c, _, ok := f.Choose(start.Add(time.Duration(i)*30*time.Millisecond), plainRequest(false))
		if !ok {
			t.Fatal("no endpoint")
		}
		shares[c.ID]++
	}
	if len(shares) != 3 || min(shares["p1"], shares["p2"], shares["p3"]) < 12 {
		t.Errorf("requests by endpoint: %v over 1.8 s without a response, want about equal numbers", shares)
	}
}
