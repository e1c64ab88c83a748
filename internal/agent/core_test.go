package agent

import (
	"strconv"
	"testing"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
)

// Callers, entries, the engine and the operators act in any order. Each case tells what happens at one core and what
// every caller must have been told at its end: exactly one of started, refused with its reason, or still waiting.
func TestCoreScripts(t *testing.T) {
	deadline, leaving, full := "DEADLINE", "LEAVING", "QUEUE_FULL"
	cases := []struct {
		name  string
		queue admission.Options
		run   func(r *coreRig)
		want  map[string]string
		// orders is how many orders were given.
		orders int
	}{
		{name: "first requests of a sleeping model share one load", run: func(r *coreRig) {
			r.offer("1")
			r.offer("2")
			r.completeAll()
			r.offer("3")
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": outcomeWaiting}, orders: 1},
		{name: "withdrawn while waiting, and the load ends later", run: func(r *coreRig) {
			r.offer("1")
			r.cancel("1")
			r.completeAll()
		}, want: map[string]string{"1": outcomeCancelled}, orders: 1},
		{name: "withdrawn before the load began", run: func(r *coreRig) {
			r.withheld = true
			r.offer("1")
			r.cancel("1")
			r.pass(time.Minute)
		}, want: map[string]string{"1": outcomeCancelled}},
		{name: "withdrawn just after the turn came", run: func(r *coreRig) {
			r.offer("1")
			r.completeAll()
			r.cancel("1")
			r.cancel("1")
		}, want: map[string]string{"1": outcomeFinished}, orders: 1},
		{name: "an end makes room for the next, told twice for one only", run: func(r *coreRig) {
			for i := range 5 {
				r.offer(strconv.Itoa(i))
			}
			r.completeAll()
			r.finish("0")
			r.finish("0")
		}, want: map[string]string{"0": outcomeFinished, "1": outcomeStarted, "2": outcomeStarted, "3": outcomeWaiting, "4": outcomeWaiting}, orders: 1},
		{name: "a replica's requests share its places, with adapters or without", run: func(r *coreRig) {
			r.offer("1")
			r.offer("2", of("a@1", "x"))
			r.offer("3", of("b@1", ""))
			r.completeAll()
			r.offer("4", of("a@1", "x"))
			r.offer("5", of("b@1", ""))
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": outcomeStarted, "4": outcomeWaiting, "5": outcomeStarted}, orders: 3},
		{name: "one identifier is offered twice", run: func(r *coreRig) {
			r.offer("1")
			r.offer("1")
			r.completeAll()
		}, want: map[string]string{"1": outcomeStarted}, orders: 1},
		{name: "an interactive request takes the place of a batch one", queue: admission.Options{MaxWaiting: 1}, run: func(r *coreRig) {
			r.offer("b", batch)
			r.offer("i")
			r.offer("j")
			r.completeAll()
		}, want: map[string]string{"b": full, "i": outcomeStarted, "j": full}, orders: 1},
		{name: "the load of another model is due when one is displaced", queue: admission.Options{MaxWaiting: 2}, run: func(r *coreRig) {
			r.withheld = true
			r.offer("1", of("b@1", ""))
			r.offer("2", batch)
			r.clock.now = r.clock.now.Add(10 * time.Second)
			r.offer("3")
			r.completeAll()
		}, want: map[string]string{"1": outcomeStarted, "2": full, "3": outcomeWaiting}, orders: 1},
		{name: "a caller has its share only", queue: admission.Options{MaxPerCaller: 1}, run: func(r *coreRig) {
			r.offer("1")
			r.offer("2")
			r.offer("3", func(q *admission.Request) { q.Caller = "other" })
		}, want: map[string]string{"1": outcomeWaiting, "2": full, "3": outcomeWaiting}, orders: 1},
		{name: "the deadline passes in the queue", run: func(r *coreRig) {
			r.offer("1", due(time.Second))
			r.offer("2")
			r.pass(2 * time.Second)
			r.completeAll()
		}, want: map[string]string{"1": deadline, "2": outcomeStarted}, orders: 1},
		{name: "the deadline passes behind running requests, and one ends", run: func(r *coreRig) {
			r.offer("1")
			r.offer("2")
			r.completeAll()
			r.offer("3", due(time.Second))
			r.offer("4")
			r.clock.now = r.clock.now.Add(2 * time.Second)
			r.finish("1")
		}, want: map[string]string{"1": outcomeFinished, "2": outcomeStarted, "3": deadline, "4": outcomeStarted}, orders: 1},
		{name: "a leaving endpoint finishes what runs and refuses what waits", run: func(r *coreRig) {
			r.offer("1")
			r.offer("2")
			r.completeAll()
			r.offer("3")
			r.offer("b", batch, of("b@1", ""))
			r.core.leave()
			r.core.leave()
			r.offer("4")
			r.finish("1")
		}, want: map[string]string{"1": outcomeFinished, "2": outcomeStarted, "3": leaving, "b": leaving, "4": leaving}, orders: 2},
		{name: "a load under way when the endpoint leaves starts nothing", run: func(r *coreRig) {
			r.offer("1")
			r.core.leave()
			r.completeAll()
		}, want: map[string]string{"1": leaving}, orders: 1},
		{name: "the load fails", run: func(r *coreRig) {
			r.offer("1")
			r.complete(endpoint.ErrLoadFailed)
		}, want: map[string]string{"1": "LOAD_FAILED"}, orders: 1},
		{name: "the slot is taken away", run: func(r *coreRig) {
			r.offer("1")
			r.completeAll()
			r.offer("2")
			r.offer("3")
			r.grant("a@1", false)
		}, want: map[string]string{"1": outcomeStarted, "2": outcomeStarted, "3": "NOT_GRANTED"}, orders: 1},
		{name: "the engine falls silent", run: func(r *coreRig) {
			r.offer("1")
			r.engine.silent = true
			r.complete(endpoint.ErrOutcomeUnknown)
			r.offer("2")
			for range 10 {
				r.pass(time.Second)
			}
			r.offer("3")
		}, want: map[string]string{"1": "ENDPOINT_UNREACHABLE", "2": "ENDPOINT_UNREACHABLE", "3": "ENDPOINT_UNREACHABLE"}, orders: 1},
		{name: "what is not served here", run: func(r *coreRig) {
			r.offer("1", of("c@1", ""))
			r.offer("2", forService("s"))
			r.offer("3", of("a@1", "y"))
		}, want: map[string]string{"1": "NOT_GRANTED", "2": "UNKNOWN_TARGET", "3": "UNKNOWN_TARGET"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCoreRig(t.Fatalf, c.queue)
			c.run(r)
			r.check()
			for id, want := range c.want {
				if got := r.outcome(id); got != want {
					t.Errorf("%s is %s, want %s", id, got, want)
				}
			}
			if r.given != c.orders {
				t.Errorf("%d orders, want %d", r.given, c.orders)
			}
		})
	}
}

// The night's audits come one by one for models that sleep. Each that woke its model would cost a load; none that waits
// may miss its deadline for the sake of company, keep its model loading after it was withdrawn, or sleep on when somebody
// else wakes the model.
func TestHeldBatchRequests(t *testing.T) {
	const hold = 15 * time.Minute
	night := due(8 * time.Hour)
	cases := []struct {
		name   string
		run    func(r *coreRig)
		want   map[string]string
		orders int
	}{
		{"one wake serves all that came meanwhile", func(r *coreRig) {
			r.offer("1", batch, night)
			r.pass(hold / 2)
			r.offer("2", batch, night)
			r.pass(hold/2 - time.Second)
			if r.given != 0 {
				r.fail("woken early")
			}
			r.pass(time.Second)
			r.completeAll()
		}, map[string]string{"1": outcomeStarted, "2": outcomeStarted}, 1},
		{"the wake is for all that the others need", func(r *coreRig) {
			r.offer("1", batch, night)
			r.pass(hold / 2)
			r.offer("2", batch, night, of("a@1", "x"))
			r.pass(hold / 2)
			r.completeAll()
		}, map[string]string{"1": outcomeStarted, "2": outcomeStarted}, 2},
		{"a waiting caller wakes the model for them too", func(r *coreRig) {
			r.offer("1", batch, night)
			r.offer("i")
			r.completeAll()
		}, map[string]string{"1": outcomeStarted, "i": outcomeStarted}, 1},
		{"another model's wake does not", func(r *coreRig) {
			r.offer("1", batch, night)
			r.offer("2", batch, night, of("b@1", ""))
			r.pass(hold / 2)
			r.offer("i", of("b@1", ""))
			r.completeAll()
		}, map[string]string{"1": outcomeWaiting, "2": outcomeStarted, "i": outcomeStarted}, 1},
		{"withdrawn, it wakes nobody", func(r *coreRig) {
			r.offer("1", batch, night)
			r.cancel("1")
			r.pass(2 * hold)
		}, map[string]string{"1": outcomeCancelled}, 0},
		{"it is not held past what its deadline leaves", func(r *coreRig) {
			r.offer("1", batch, due(11*time.Minute))
			r.pass(time.Minute)
			r.completeAll()
		}, map[string]string{"1": outcomeStarted}, 1},
		{"no room before the deadline: it wakes at once", func(r *coreRig) {
			r.offer("1", batch, due(time.Minute))
			r.completeAll()
		}, map[string]string{"1": outcomeStarted}, 1},
		{"a loaded model serves it at once", func(r *coreRig) {
			r.offer("i")
			r.completeAll()
			r.offer("1", batch, night)
		}, map[string]string{"i": outcomeStarted, "1": outcomeStarted}, 1},
		{"the endpoint leaves", func(r *coreRig) {
			r.offer("1", batch, night)
			r.core.leave()
			r.pass(2 * hold)
		}, map[string]string{"1": "LEAVING"}, 0},
		{"the slot is gone by its time", func(r *coreRig) {
			r.offer("1", batch, night)
			r.grant("a@1", false)
			r.pass(2 * hold)
		}, map[string]string{"1": "NOT_GRANTED"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCoreRig(t.Fatalf, admission.Options{})
			r.core.longestHold = hold
			c.run(r)
			r.check()
			for id, want := range c.want {
				if got := r.outcome(id); got != want {
					t.Errorf("%s is %s, want %s", id, got, want)
				}
			}
			if r.given != c.orders {
				t.Errorf("%d orders, want %d", r.given, c.orders)
			}
		})
	}
}

// A plain service's agent has no machine: calls run while the service answers, as many at once as are declared.
func TestServiceCore(t *testing.T) {
	r := newRig(t.Fatalf, admission.Options{}, nil, steadyPolicy{})
	r.offer("early", forService("s"))
	r.declare()
	r.core.setUp(true)
	r.offer("1", forService("s"))
	r.offer("2", forService("s"))
	r.offer("other", forService("o"))
	r.offer("model")
	r.core.step(loading.Tick{})
	r.core.setUp(false)
	r.finish("1")
	r.offer("down", forService("s"))
	r.check()
	r.core.setUp(true)
	r.pass(time.Millisecond)
	want := map[string]string{
		"early": "ENDPOINT_UNREACHABLE", "1": outcomeFinished, "2": outcomeStarted, "other": outcomeStarted,
		"model": "UNKNOWN_TARGET", "down": "ENDPOINT_UNREACHABLE",
	}
	for id, w := range want {
		if got := r.outcome(id); got != w {
			t.Errorf("%s is %s, want %s", id, got, w)
		}
	}
	r.check()
}
