package trace

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"

	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/loading/permits"
)

// arrive handles an arriving request. A batch request for a model that is not loaded is held, to share a load with others.
func (f *fleet) arrive(p *pendingRequest) {
	model := f.trace.Models[p.Model]
	slots := f.slots(p.Model)
	if p.Interactive {
		slots[0].policy.Observe(model.Name, f.now)
	}
	if !p.Interactive && f.holdBatch && !slots[0].usable[model.Name] {
		until := batchHold(model.Name, f.now, p.arrived.Add(p.Deadline), model.ColdStart)
		f.heldRequests[p.Model] = append(f.heldRequests[p.Model], p)
		f.schedule(until, func() { f.release(p.Model) })
		return
	}
	f.offer(p)
}

// release offers the held requests of a model to its engines.
func (f *fleet) release(model int) {
	waiting := f.heldRequests[model]
	delete(f.heldRequests, model)
	for _, p := range waiting {
		f.offer(p)
	}
}

// offer sends a request to its model's next engine, or counts it as refused if both engines have refused it.
func (f *fleet) offer(p *pendingRequest) {
	slots := f.slots(p.Model)
	if p.attempts == len(slots) {
		p.done = true
		f.refused++
		if !p.Interactive {
			f.batchRefused++
		}
		return
	}
	n := slots[p.attempts]
	p.attempts++
	f.counter++
	p.id = strconv.Itoa(f.counter)
	name := f.trace.Models[p.Model].Name
	n.waiting[name] = append(n.waiting[name], p)
	f.step(n, loading.RequestWaiting{Request: p.id, Model: name, Deadline: p.arrived.Add(p.Deadline)})
	if n.usable[name] {
		f.startWaiting(n, name)
	}
}

// refuse offers refused requests to the next engine. A refusal without a request ID covers all waiting requests of a model.
func (f *fleet) refuse(n *node, a loading.RefuseRequests) {
	var refused []*pendingRequest
	n.waiting[a.Model] = slices.DeleteFunc(n.waiting[a.Model], func(p *pendingRequest) bool {
		if a.Request != "" && a.Request != p.id {
			return false
		}
		refused = append(refused, p)
		return true
	})
	for _, p := range refused {
		f.schedule(f.now, func() { f.offer(p) })
	}
}

// startWaiting starts all requests that wait for a usable model and releases its held requests.
func (f *fleet) startWaiting(n *node, model string) {
	if !n.usable[model] {
		return
	}
	waiting := n.waiting[model]
	delete(n.waiting, model)
	for _, p := range waiting {
		f.start(n, model, p)
		if len(f.heldRequests[p.Model]) > 0 {
			f.release(p.Model)
		}
	}
}

func (f *fleet) start(n *node, model string, p *pendingRequest) {
	h := n.models[model]
	f.accountIdle(h)
	h.running++
	f.step(n, loading.Started{Request: p.id, Model: model})
	if p.Interactive {
		wait := f.now.Sub(p.arrived)
		f.result.Waits = append(f.result.Waits, wait+firstToken)
		if wait > 0 {
			f.result.ColdRequests++
			f.result.ColdWait += wait
		}
	}
	f.schedule(f.now.Add(p.ServiceTime), func() {
		f.accountIdle(h)
		h.running--
		if !p.Interactive && f.now.After(p.arrived.Add(p.Deadline)) {
			f.result.BatchLate++
		}
		f.step(n, loading.Finished{Request: p.id})
	})
}

// firstFleetTTL is the index of the shortest fixed keep-alive time that is simulated; shorter ones cost far more.
const firstFleetTTL = 3

// TestFleetDay simulates one day with limited engine memory, the load budget and two slots per model, so that models evict
// each other. It checks that the policy costs no more than the best fixed keep-alive time. A refused interactive request
// counts as one that waited until its deadline.
func TestFleetDay(t *testing.T) {
	budgets := []permits.Options{{LoadsPerSecond: 2.5, LoadsAtOnce: 4}, {LoadsPerSecond: 5, LoadsAtOnce: 4}}
	for i, d := range deployments {
		for _, seed := range seeds[:2] {
			t.Run(fmt.Sprintf("%s seed %d", d.profile.Name, seed), func(t *testing.T) {
				t.Parallel()
				testFleetPolicy(t, Generate(d.profile, 1, seed), budgets[i], d.weight)
			})
		}
	}
}

// testFleetPolicy compares the policy with the fixed keep-alive times on one trace.
func testFleetPolicy(t *testing.T, tr *Trace, budget permits.Options, weight float64) {
	best := math.Inf(1)
	for _, f := range fixedTTLs[firstFleetTTL:] {
		best = min(best, simulateFleet(t, tr, budget, weight, policyName(f), func() loading.IdlePolicy { return f }))
	}
	policy := simulateFleet(t, tr, budget, weight, "policy", func() loading.IdlePolicy {
		return idle.NewPolicy(idle.Options{ColdStartWeight: weight, IdleWeight: 1})
	})
	t.Logf("policy costs %.1f%% less than the best fixed keep-alive time", 100*(1-policy/best))
	if policy > best {
		t.Errorf("policy costs %.0f, the best fixed keep-alive time %.0f", policy, best)
	}
}

// simulateFleet simulates one trace with a separate policy for each engine, logs the result and returns its cost.
func simulateFleet(t *testing.T, tr *Trace, budget permits.Options, weight float64, name string, policy func() loading.IdlePolicy) float64 {
	t.Helper()
	f := newFleet(tr, budget, true, policy)
	r := f.run()
	refused := f.refused - f.batchRefused
	cost := r.Cost(weight, 1) + weight*float64(refused)*interactiveDeadline.Seconds()
	s := func(p float64) float64 { return r.Percentile(p).Seconds() }
	t.Logf("%-14s cold %5.2f%%, refused %d, first token p50 %.1f p95 %.1f p99 %.1f s, idle %.1f h, loads %d, batch late %d refused %d, cost %.0f",
		name, 100*float64(r.ColdRequests)/float64(len(r.Waits)), refused, s(0.5), s(0.95), s(0.99), r.IdleSeconds/3600, r.Loads, r.BatchLate, f.batchRefused, cost)
	if f.overcommit > 0 {
		t.Errorf("%s: %d loads exceeded the engine's memory", name, f.overcommit)
	}
	return cost
}
