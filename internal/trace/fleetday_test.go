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

// arrive takes in a request; a batch request for a cold model waits for company.
func (f *fleet) arrive(p *pending) {
	model := f.trace.Models[p.Model]
	slots := f.slots(p.Model)
	if p.Interactive {
		slots[0].policy.Observe(model.Name, f.now)
	}
	if !p.Interactive && f.holding && !slots[0].usable[model.Name] {
		until := held(model.Name, f.now, p.arrived.Add(p.Deadline), model.ColdStart)
		f.held[p.Model] = append(f.held[p.Model], p)
		f.at(until, func() { f.release(p.Model) })
		return
	}
	f.demand(p)
}

// release sends the held requests of a model.
func (f *fleet) release(model int) {
	waiting := f.held[model]
	delete(f.held, model)
	for _, p := range waiting {
		f.demand(p)
	}
}

// demand offers a request to the next engine that has not refused it.
func (f *fleet) demand(p *pending) {
	slots := f.slots(p.Model)
	if p.tried == len(slots) {
		p.done = true
		f.refused++
		if !p.Interactive {
			f.batchRefused++
		}
		return
	}
	n := slots[p.tried]
	p.tried++
	f.counter++
	p.id = strconv.Itoa(f.counter)
	name := f.trace.Models[p.Model].Name
	n.waiting[name] = append(n.waiting[name], p)
	f.step(n, loading.RequestWaiting{Request: p.id, Model: name, Deadline: p.arrived.Add(p.Deadline)})
	if n.usable[name] {
		f.startWaiting(n, name)
	}
}

// refuse takes refused requests on to the next engine.
func (f *fleet) refuse(n *node, a loading.RefuseRequests) {
	var refused []*pending
	n.waiting[a.Model] = slices.DeleteFunc(n.waiting[a.Model], func(p *pending) bool {
		if a.Request != "" && a.Request != p.id {
			return false
		}
		refused = append(refused, p)
		return true
	})
	for _, p := range refused {
		f.at(f.now, func() { f.demand(p) })
	}
}

// startWaiting starts all requests that wait for a usable model, and those held back for it.
func (f *fleet) startWaiting(n *node, model string) {
	if !n.usable[model] {
		return
	}
	waiting := n.waiting[model]
	delete(n.waiting, model)
	for _, p := range waiting {
		f.start(n, model, p)
		if len(f.held[p.Model]) > 0 {
			f.release(p.Model)
		}
	}
}

func (f *fleet) start(n *node, model string, p *pending) {
	h := n.models[model]
	f.account(h)
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
	f.at(f.now.Add(p.Work), func() {
		f.account(h)
		h.running--
		if !p.Interactive && f.now.After(p.arrived.Add(p.Deadline)) {
			f.result.BatchLate++
		}
		f.step(n, loading.Finished{Request: p.id})
	})
}

// shortestFleetTime is the index of the shortest fixed time that is played; those before it cost far more.
const shortestFleetTime = 3

// TestFleetDay plays one day through the real machines with their memory, the load budget and two slots a model, where
// models displace each other, and compares the policy with fixed times. A refused request counts as one that waited for
// its whole deadline.
func TestFleetDay(t *testing.T) {
	budgets := []permits.Options{{LoadsPerSecond: 2.5, LoadsAtOnce: 4}, {LoadsPerSecond: 5, LoadsAtOnce: 4}}
	for i, d := range deployments {
		for _, seed := range seeds[:2] {
			t.Run(fmt.Sprintf("%s seed %d", d.profile.Name, seed), func(t *testing.T) {
				t.Parallel()
				testFleet(t, Generate(d.profile, 1, seed), budgets[i], d.weight)
			})
		}
	}
}

// testFleet compares the policy with the fixed times on one trace.
func testFleet(t *testing.T, tr *Trace, budget permits.Options, weight float64) {
	best := math.Inf(1)
	for _, f := range fixedTimes[shortestFleetTime:] {
		best = min(best, playFleet(t, tr, budget, weight, name(f), func() loading.IdlePolicy { return f }))
	}
	policy := playFleet(t, tr, budget, weight, "policy", func() loading.IdlePolicy {
		return idle.NewPolicy(idle.Options{ColdStartWeight: weight, IdleWeight: 1})
	})
	t.Logf("policy costs %.1f%% less than the best fixed time", 100*(1-policy/best))
	if policy > best {
		t.Errorf("policy costs %.0f, the best fixed time %.0f", policy, best)
	}
}

// playFleet plays one trace with one policy on each engine, prints what came of it and returns its cost.
func playFleet(t *testing.T, tr *Trace, budget permits.Options, weight float64, name string, policy func() loading.IdlePolicy) float64 {
	t.Helper()
	f := newFleet(tr, budget, true, policy)
	r := f.run()
	refused := f.refused - f.batchRefused
	cost := r.Cost(weight, 1) + weight*float64(refused)*interactiveDeadline.Seconds()
	s := func(p float64) float64 { return r.Percentile(p).Seconds() }
	t.Logf("%-14s cold %5.2f%%, refused %d, first token p50 %.1f p95 %.1f p99 %.1f s, idle %.1f h, loads %d, batch late %d refused %d, cost %.0f",
		name, 100*float64(r.ColdRequests)/float64(len(r.Waits)), refused, s(0.5), s(0.95), s(0.99), r.IdleSeconds/3600, r.Wakes, r.BatchLate, f.batchRefused, cost)
	if f.overcommit > 0 {
		t.Errorf("%s: %d loads beyond the memory", name, f.overcommit)
	}
	return cost
}
