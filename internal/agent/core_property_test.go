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

// coreOp is a random operation on a core; pick selects among the possible arguments.
type coreOp struct {
	kind coreOpKind
	pick int
}

type coreOpKind int

const (
	opOffer coreOpKind = iota
	opCancel
	opFinish
	opAdvance
	opAdvanceUnnoticed
	opComplete
	opToggleEngine
	opRestart
	opGrant
	opTogglePermits
	opLeave
)

// weights are the relative frequencies of the kinds.
var weights = []int{opOffer: 40, opCancel: 10, opFinish: 20, opAdvance: 12, opAdvanceUnnoticed: 12, opComplete: 14, opToggleEngine: 2, opRestart: 1, opGrant: 3, opTogglePermits: 2, opLeave: 1}

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

// failProperty panics, so that gopter prints the operations that led to the failure.
func failProperty(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// choose selects an item of a list by a random number.
func choose[T any](pick int, list ...T) T { return list[pick%len(list)] }

// withOutcome returns the sorted IDs of the requests with an outcome.
func (r *coreHarness) withOutcome(wanted string) []string {
	var ids []string
	for id := range r.requests {
		if r.outcome(id) == wanted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// apply executes one random operation.
func (r *coreHarness) apply(op coreOp) {
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
	case opAdvance:
		r.advance(choose(op.pick, time.Millisecond, 20*time.Millisecond, 300*time.Millisecond, 2*time.Second, 10*time.Minute))
	case opAdvanceUnnoticed:
		// Time passes without a timer event at the core.
		r.clock.now = r.clock.now.Add(choose(op.pick, time.Millisecond, 20*time.Millisecond, time.Second))
	case opComplete:
		r.completeRandomOrder(op.pick)
	case opToggleEngine:
		r.engine.unreachable = !r.engine.unreachable
	case opRestart:
		r.engine.incarnation += "'"
		clear(r.engine.loaded)
	case opGrant:
		r.grant(choose(op.pick, "a@1", "b@1"), op.pick%3 > 0)
	case opTogglePermits:
		r.withholdPermits = !r.withholdPermits
	case opLeave:
		r.core.leave()
	}
	r.answerPending()
}

func (r *coreHarness) offerRandom(pick int) {
	changes := []requestOption{
		choose(pick, forModel("a@1", ""), forModel("a@1", ""), forModel("b@1", ""), forModel("a@1", "x"), forModel("c@1", "")),
		choose(pick/5, withDeadline(20*time.Millisecond), withDeadline(time.Second), withDeadline(time.Minute), withDeadline(4*time.Hour)),
		func(q *admission.Request) { q.Caller = choose(pick/20, "x", "y", "z") },
	}
	if pick/60%3 == 0 {
		changes = append(changes, inBatch)
	}
	r.offerCount++
	r.offer(fmt.Sprintf("%04d", r.offerCount), changes...)
}

// completeRandomOrder ends an order; one with an unknown outcome may have been executed.
func (r *coreHarness) completeRandomOrder(pick int) {
	if len(r.orders) == 0 {
		return
	}
	i := pick % len(r.orders)
	r.orders[0], r.orders[i] = r.orders[i], r.orders[0]
	err := choose(pick/8, nil, nil, nil, nil, endpoint.ErrLoadFailed, endpoint.ErrOutcomeUnknown, endpoint.ErrOutcomeUnknown, endpoint.ErrNoMemory)
	if err == endpoint.ErrOutcomeUnknown && pick/64%2 == 0 {
		r.applyOrder(r.orders[0])
	}
	r.completeOrder(err)
}

// endAll ends all waiting and running requests and verifies that the core holds no state of them any more.
func (r *coreHarness) endAll() {
	for _, id := range r.withOutcome(outcomeWaiting) {
		r.cancel(id)
	}
	for _, id := range r.withOutcome(outcomeStarted) {
		r.finish(id)
	}
	r.check()
	c := r.core
	if left := len(c.waiting) + len(c.held) + len(c.running) + len(c.runningByTarget) + c.queue.Len(); left > 0 {
		r.fail("%d entries leaked: waiting %v, held %v, running %v, counts %v", left, c.waiting, c.held, c.running, c.runningByTarget)
	}
	for _, replica := range c.machine.Status(r.clock.now).Replicas {
		if replica.Running > 0 {
			r.fail("the machine counts %d running requests of %s", replica.Running, replica.Model)
		}
	}
}

// checkRecovers verifies that after all faults a request for each model is served: an order lost between machine and
// engine would prevent its model from ever being loaded.
func (r *coreHarness) checkRecovers() {
	r.engine.unreachable, r.withholdPermits = false, false
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
				r.offer(id, forModel(model, ""), withDeadline(time.Hour))
			}
			r.completeOrders()
			r.advance(5 * time.Second)
			r.completeOrders()
		}
		r.finish(id)
	}
}

const propertyRuns = 100

// Requests are offered, withdrawn, finished and expired while loads succeed or fail, the engine becomes unreachable or
// restarts, slots are granted and revoked and, in some cases, the endpoint leaves. In any order of events each request
// must get exactly one outcome, no replica may exceed its concurrency limit, nothing may start after its deadline, and
// no state may leak: leaked concurrency is lost to all later requests.
func TestCoreProperty(t *testing.T) {
	cases := []struct {
		name  string
		queue admission.Options
		hold  time.Duration
		leave bool
	}{
		{"large queue", admission.Options{MaxWaiting: 100}, 0, false},
		{"small queue", admission.Options{MaxWaiting: 4, MaxPerTarget: 3, MaxPerCaller: 2}, 0, false},
		{"held batch requests", admission.Options{MaxWaiting: 8}, 15 * time.Minute, false},
		{"leaving", admission.Options{MaxWaiting: 8}, 15 * time.Minute, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(int64(i + 1))
			parameters.MinSuccessfulTests = propertyRuns
			properties := gopter.NewProperties(parameters)
			properties.Property("one outcome for each request, limits are kept, and nothing leaks", prop.ForAll(func(ops []coreOp) bool {
				r := newCoreHarness(failProperty, c.queue)
				r.core.maxBatchHold = c.hold
				for _, op := range ops {
					r.apply(op)
					r.check()
				}
				r.endAll()
				if !r.core.leaving {
					r.checkRecovers()
				}
				return true
			}, genCoreOps(c.leave)))
			properties.TestingRun(t)
		})
	}
}
