package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"balsamsail/internal/admission"
	"balsamsail/internal/endpoint"
)

// coreOp is one random thing that befalls a core; pick chooses among what is there.
type coreOp struct {
	kind coreOpKind
	pick int
}

type coreOpKind int

const (
	opOffer coreOpKind = iota
	opCancel
	opFinish
	opPass
	opDrift
	opComplete
	opSilence
	opRestart
	opGrant
	opPermits
	opLeave
)

// weights are how often each kind comes.
var weights = []int{opOffer: 40, opCancel: 10, opFinish: 20, opPass: 12, opDrift: 12, opComplete: 14, opSilence: 2, opRestart: 1, opGrant: 3, opPermits: 2, opLeave: 1}

func genCoreOps(leave bool) gopter.Gen {
	var kinds []any
	for kind, weight := range weights {
		if coreOpKind(kind) == opLeave && !leave {
			continue
		}
		for range weight {
			kinds = append(kinds, coreOpKind(kind))
		}
	}
	op := gopter.CombineGens(gen.OneConstOf(kinds...), gen.IntRange(0, 1<<20)).Map(func(v []any) coreOp {
		return coreOp{kind: v[0].(coreOpKind), pick: v[1].(int)}
	})
	return gen.SliceOfN(120, op)
}

// failProperty makes gopter show the operations that led here.
func failProperty(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// choose takes an item of a list by a random number.
func choose[T any](pick int, list ...T) T { return list[pick%len(list)] }

// withOutcome returns the requests that stand as told, in order.
func (r *coreRig) withOutcome(wanted string) []string {
	var ids []string
	for id := range r.requests {
		if r.outcome(id) == wanted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// do lets one random thing happen.
func (r *coreRig) do(op coreOp) {
	switch op.kind {
	case opOffer:
		r.offerRandom(op.pick)
	case opCancel:
		if ids := append(r.withOutcome(outcomeWaiting), r.withOutcome(outcomeStarted)...); len(ids) > 0 {
			r.cancel(choose(op.pick, ids...))
		}
	case opFinish:
		if ids := r.withOutcome(outcomeStarted); len(ids) > 0 {
			r.finish(choose(op.pick, ids...))
		}
	case opPass:
		r.pass(choose(op.pick, time.Millisecond, 20*time.Millisecond, 300*time.Millisecond, 2*time.Second, 10*time.Minute))
	case opDrift:
		// The core is not told at once that time has passed.
		r.clock.now = r.clock.now.Add(choose(op.pick, time.Millisecond, 20*time.Millisecond, time.Second))
	case opComplete:
		r.completeRandom(op.pick)
	case opSilence:
		r.engine.silent = !r.engine.silent
	case opRestart:
		r.engine.incarnation += "'"
		clear(r.engine.loaded)
	case opGrant:
		r.grant(choose(op.pick, "a@1", "b@1"), op.pick%3 > 0)
	case opPermits:
		r.withheld = !r.withheld
	case opLeave:
		r.core.leave()
	}
	r.answer()
}

func (r *coreRig) offerRandom(pick int) {
	changes := []request{
		choose(pick, of("a@1", ""), of("a@1", ""), of("b@1", ""), of("a@1", "x"), of("c@1", "")),
		choose(pick/5, due(20*time.Millisecond), due(time.Second), due(time.Minute), due(4*time.Hour)),
		func(q *admission.Request) { q.Caller = choose(pick/20, "x", "y", "z") },
	}
	if pick/60%3 == 0 {
		changes = append(changes, batch)
	}
	r.offers++
	r.offer(fmt.Sprintf("%04d", r.offers), changes...)
}

// completeRandom ends an order; one without a definite result may have been carried out.
func (r *coreRig) completeRandom(pick int) {
	if len(r.orders) == 0 {
		return
	}
	i := pick % len(r.orders)
	r.orders[0], r.orders[i] = r.orders[i], r.orders[0]
	err := choose(pick/8, nil, nil, nil, nil, endpoint.ErrLoadFailed, endpoint.ErrOutcomeUnknown, endpoint.ErrOutcomeUnknown, endpoint.ErrNoMemory)
	if err == endpoint.ErrOutcomeUnknown && pick/64%2 == 0 {
		r.carryOut(r.orders[0])
	}
	r.complete(err)
}

// empty ends all that waits and runs, and verifies that nothing of it stays behind.
func (r *coreRig) empty() {
	for _, id := range r.withOutcome(outcomeWaiting) {
		r.cancel(id)
	}
	for _, id := range r.withOutcome(outcomeStarted) {
		r.finish(id)
	}
	r.check()
	c := r.core
	if left := len(c.waiting) + len(c.held) + len(c.running) + len(c.busy) + c.queue.Len(); left > 0 {
		r.fail("%d things left behind: %v %v %v %v", left, c.waiting, c.held, c.running, c.busy)
	}
	for _, replica := range c.machine.Status(r.clock.now).Replicas {
		if replica.Running > 0 {
			r.fail("the machine counts %d running requests of %s", replica.Running, replica.Model)
		}
	}
}

// servesAgain verifies that after all faults a request for each model is served: an order that got lost between machine
// and engine would keep its model from ever loading.
func (r *coreRig) servesAgain() {
	r.engine.silent, r.withheld = false, false
	for _, model := range []string{"a@1", "b@1"} {
		r.grant(model, true)
		id := "last of " + model
		for try := 0; r.requests[id] == nil || r.outcome(id) != outcomeStarted; try++ {
			if try > 300 {
				r.fail("%s: %s; orders %v", id, r.outcomes[id], r.orders)
			}
			if o := r.outcomes[id]; r.requests[id] == nil || o != outcomeWaiting && o != "" {
				delete(r.requests, id)
				delete(r.outcomes, id)
				r.offer(id, of(model, ""), due(time.Hour))
			}
			r.completeAll()
			r.pass(5 * time.Second)
			r.completeAll()
		}
		r.finish(id)
	}
}

const propertyRuns = 100

// Requests come, are withdrawn, end and expire while loads end well or badly, the engine falls silent or restarts, slots
// come and go and, perhaps, the endpoint leaves. Whatever the order, each caller is told one thing, no replica runs more
// than it may, nothing starts late, and nothing stays behind: a place that leaks is lost to all later callers.
func TestCoreProperty(t *testing.T) {
	cases := []struct {
		name  string
		queue admission.Options
		hold  time.Duration
		leave bool
	}{
		{"roomy queue", admission.Options{MaxWaiting: 100}, 0, false},
		{"small queue", admission.Options{MaxWaiting: 4, MaxPerTarget: 3, MaxPerCaller: 2}, 0, false},
		{"held batch requests", admission.Options{MaxWaiting: 8}, 15 * time.Minute, false},
		{"leaving", admission.Options{MaxWaiting: 8}, 15 * time.Minute, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(int64(i + 1))
			parameters.MinSuccessfulTests = propertyRuns
			properties := gopter.NewProperties(parameters)
			properties.Property("nothing is told twice, runs beyond its limit, or stays behind", prop.ForAll(func(ops []coreOp) bool {
				r := newCoreRig(failProperty, c.queue)
				r.core.longestHold = c.hold
				for _, op := range ops {
					r.do(op)
					r.check()
				}
				r.empty()
				if !r.core.leaving {
					r.servesAgain()
				}
				return true
			}, genCoreOps(c.leave)))
			properties.TestingRun(t)
		})
	}
}
