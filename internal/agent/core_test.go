package agent

import (
	"strconv"
	"testing"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
)

// Callers, entries, the engine and the operators may act in any order. Each case runs a sequence of events at one core
// and checks the final outcome of every request: started, refused with a reason, or still waiting.
func TestCoreScripts(t *testing.T) {
	deadline, leaving, full := "DEADLINE", "LEAVING", "QUEUE_FULL"
	cases := []struct {
		name  string
		queue admission.Options
		run   func(r *coreHarness)
		want  map[string]string
		// orders is how many orders were sent.
		orders int
	}{
		{name: "first requests of an unloaded model share one load", run: func(r *coreHarness) {
			r.offer("1")
			r.offer("2")
			r.completeOrders()
			r.offer("3")
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": outcomeWaiting}, orders: 1},
		{name: "withdrawn while waiting, and the load ends later", run: func(r *coreHarness) {
			r.offer("1")
			r.cancel("1")
			r.completeOrders()
		}, want: map[string]string{"1": outcomeCancelled}, orders: 1},
		{name: "withdrawn before the load began", run: func(r *coreHarness) {
			r.withholdPermits = true
			r.offer("1")
			r.cancel("1")
			r.advance(time.Minute)
		}, want: map[string]string{"1": outcomeCancelled}},
		{name: "withdrawn just after the start", run: func(r *coreHarness) {
			r.offer("1")
			r.completeOrders()
			r.cancel("1")
			r.cancel("1")
		}, want: map[string]string{"1": outcomeFinished}, orders: 1},
		{name: "a finished request makes room for one, even if reported twice", run: func(r *coreHarness) {
			for i := range 5 {
				r.offer(strconv.Itoa(i))
			}
			r.completeOrders()
			r.finish("0")
			r.finish("0")
		}, want: map[string]string{"0": outcomeFinished, "1": outcomeStarted, "2": outcomeStarted, "3": outcomeWaiting, "4": outcomeWaiting}, orders: 1},
		{name: "requests with and without adapters share a replica's concurrency", run: func(r *coreHarness) {
			r.offer("1")
			r.offer("2", forModel("a@1", "x"))
			r.offer("3", forModel("b@1", ""))
			r.completeOrders()
			r.offer("4", forModel("a@1", "x"))
			r.offer("5", forModel("b@1", ""))
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": outcomeStarted, "4": outcomeWaiting, "5": outcomeStarted}, orders: 3},
		{name: "one identifier offered twice", run: func(r *coreHarness) {
			r.offer("1")
			r.offer("1")
			r.completeOrders()
		}, want: map[string]string{"1": outcomeStarted}, orders: 1},
		{name: "an interactive request displaces a batch request", queue: admission.Options{MaxWaiting: 1}, run: func(r *coreHarness) {
			r.offer("b", inBatch)
			r.offer("i")
			r.offer("j")
			r.completeOrders()
		}, want: map[string]string{"b": full, "i": outcomeStarted, "j": full}, orders: 1},
		{name: "a request is displaced when the load of another model is due", queue: admission.Options{MaxWaiting: 2}, run: func(r *coreHarness) {
			r.withholdPermits = true
			r.offer("1", forModel("b@1", ""))
			r.offer("2", inBatch)
			r.clock.now = r.clock.now.Add(10 * time.Second)
			r.offer("3")
			r.completeOrders()
		}, want: map[string]string{"1": outcomeStarted, "2": full, "3": outcomeWaiting}, orders: 1},
		{name: "a caller is limited to its share", queue: admission.Options{MaxPerCaller: 1}, run: func(r *coreHarness) {
			r.offer("1")
			r.offer("2")
			r.offer("3", func(q *admission.Request) { q.Caller = "other" })
		}, want: map[string]string{"1": outcomeWaiting, "2": full, "3": outcomeWaiting}, orders: 1},
		{name: "the deadline passes in the queue", run: func(r *coreHarness) {
			r.offer("1", withDeadline(time.Second))
			r.offer("2")
			r.advance(2 * time.Second)
			r.completeOrders()
		}, want: map[string]string{"1": deadline, "2": outcomeStarted}, orders: 1},
		{name: "the deadline passes behind running requests and one finishes", run: func(r *coreHarness) {
			r.offer("1")
			r.offer("2")
			r.completeOrders()
			r.offer("3", withDeadline(time.Second))
			r.offer("4")
			r.clock.now = r.clock.now.Add(2 * time.Second)
			r.finish("1")
		}, want: map[string]string{"1": outcomeFinished, "2": outcomeStarted, "3": deadline, "4": outcomeStarted}, orders: 1},
		{name: "a leaving endpoint finishes what runs and refuses what waits", run: func(r *coreHarness) {
			r.offer("1")
			r.offer("2")
			r.completeOrders()
			r.offer("3")
			r.offer("b", inBatch, forModel("b@1", ""))
			r.core.leave()
			r.core.leave()
			r.offer("4")
			r.finish("1")
		}, want: map[string]string{"1": outcomeFinished, "2": outcomeStarted, "3": leaving, "b": leaving, "4": leaving}, orders: 2},
		{name: "a load in flight when the endpoint leaves starts no request", run: func(r *coreHarness) {
			r.offer("1")
			r.core.leave()
			r.completeOrders()
		}, want: map[string]string{"1": leaving}, orders: 1},
		{name: "the load fails", run: func(r *coreHarness) {
			r.offer("1")
			r.completeOrder(endpoint.ErrLoadFailed)
		}, want: map[string]string{"1": "LOAD_FAILED"}, orders: 1},
		{name: "the slot is revoked", run: func(r *coreHarness) {
			r.offer("1")
			r.completeOrders()
			r.offer("2")
			r.offer("3")
			r.grant("a@1", false)
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": "NOT_GRANTED"}, orders: 1},
		{name: "the engine becomes unreachable", run: func(r *coreHarness) {
			r.offer("1")
			r.engine.unreachable = true
			r.completeOrder(endpoint.ErrOutcomeUnknown)
			r.offer("2")
			for range 10 {
				r.advance(time.Second)
			}
			r.offer("3")
		}, want: map[string]string{"1": "ENDPOINT_UNREACHABLE", "2": "ENDPOINT_UNREACHABLE", "3": "ENDPOINT_UNREACHABLE"}, orders: 1},
		{name: "targets that are not served here", run: func(r *coreHarness) {
			r.offer("1", forModel("c@1", ""))
			r.offer("2", forService("s"))
			r.offer("3", forModel("a@1", "y"))
		}, want: map[string]string{"1": "NOT_GRANTED", "2": "UNKNOWN_TARGET", "3": "UNKNOWN_TARGET"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCoreHarness(t.Fatalf, c.queue)
			c.run(r)
			r.check()
			for id, want := range c.want {
				if got := r.outcome(id); got != want {
					t.Errorf("outcome of %s is %s, want %s", id, got, want)
				}
			}
			if r.ordersSent != c.orders {
				t.Errorf("%d orders sent, want %d", r.ordersSent, c.orders)
			}
		})
	}
}

// Batch requests arrive one by one for models that are not loaded, and loading the model for each would cost a load
// each time. A held request must not miss its deadline, must not cause a load after it was withdrawn, and must start
// when another request gets the model loaded.
func TestHeldBatchRequests(t *testing.T) {
	const hold = 15 * time.Minute
	night := withDeadline(8 * time.Hour)
	cases := []struct {
		name   string
		run    func(r *coreHarness)
		want   map[string]string
		orders int
	}{
		{"one load serves all requests that arrived meanwhile", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.advance(hold / 2)
			r.offer("2", inBatch, night)
			r.advance(hold/2 - time.Second)
			if r.ordersSent != 0 {
				r.fail("a load was ordered before the end of the hold")
			}
			r.advance(time.Second)
			r.completeOrders()
		}, map[string]string{"1": outcomeStarted, "2": outcomeStarted}, 1},
		{"the load includes the adapters of the other requests", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.advance(hold / 2)
			r.offer("2", inBatch, night, forModel("a@1", "x"))
			r.advance(hold / 2)
			r.completeOrders()
		}, map[string]string{"1": outcomeStarted, "2": outcomeStarted}, 2},
		{"an interactive request ends the hold", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.offer("i")
			r.completeOrders()
		}, map[string]string{"1": outcomeStarted, "i": outcomeStarted}, 1},
		{"a load of another model does not end the hold", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.offer("2", inBatch, night, forModel("b@1", ""))
			r.advance(hold / 2)
			r.offer("i", forModel("b@1", ""))
			r.completeOrders()
		}, map[string]string{"1": outcomeWaiting, "2": outcomeStarted, "i": outcomeStarted}, 1},
		{"a withdrawn request causes no load", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.cancel("1")
			r.advance(2 * hold)
		}, map[string]string{"1": outcomeCancelled}, 0},
		{"the hold is shortened by the deadline", func(r *coreHarness) {
			r.offer("1", inBatch, withDeadline(11*time.Minute))
			r.advance(time.Minute)
			r.completeOrders()
		}, map[string]string{"1": outcomeStarted}, 1},
		{"no hold when the deadline is near", func(r *coreHarness) {
			r.offer("1", inBatch, withDeadline(time.Minute))
			r.completeOrders()
		}, map[string]string{"1": outcomeStarted}, 1},
		{"no hold when the model is loaded", func(r *coreHarness) {
			r.offer("i")
			r.completeOrders()
			r.offer("1", inBatch, night)
		}, map[string]string{"i": outcomeStarted, "1": outcomeStarted}, 1},
		{"the endpoint leaves", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.core.leave()
			r.advance(2 * hold)
		}, map[string]string{"1": "LEAVING"}, 0},
		{"the slot is revoked during the hold", func(r *coreHarness) {
			r.offer("1", inBatch, night)
			r.grant("a@1", false)
			r.advance(2 * hold)
		}, map[string]string{"1": "NOT_GRANTED"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCoreHarness(t.Fatalf, admission.Options{})
			r.core.maxBatchHold = hold
			c.run(r)
			r.check()
			for id, want := range c.want {
				if got := r.outcome(id); got != want {
					t.Errorf("outcome of %s is %s, want %s", id, got, want)
				}
			}
			if r.ordersSent != c.orders {
				t.Errorf("%d orders sent, want %d", r.ordersSent, c.orders)
			}
		})
	}
}

// The agent of a plain service has no loading machine: requests run while the service is up, up to the declared
// concurrency limit.
func TestServiceCore(t *testing.T) {
	r := newHarness(t.Fatalf, admission.Options{}, nil, fixedPolicy{})
	r.offer("early", forService("s"))
	r.declare()
	r.core.setServiceUp(true)
	r.offer("1", forService("s"))
	r.offer("2", forService("s"))
	r.offer("other", forService("o"))
	r.offer("model")
	r.core.step(loading.Tick{})
	r.core.setServiceUp(false)
	r.finish("1")
	r.offer("down", forService("s"))
	r.check()
	r.core.setServiceUp(true)
	r.advance(time.Millisecond)
	want := map[string]string{
		"early": "ENDPOINT_UNREACHABLE", "1": outcomeFinished, "2": outcomeStarted, "other": outcomeStarted,
		"model": "UNKNOWN_TARGET", "down": "ENDPOINT_UNREACHABLE",
	}
	for id, w := range want {
		if got := r.outcome(id); got != w {
			t.Errorf("outcome of %s is %s, want %s", id, got, w)
		}
	}
	r.check()
}
