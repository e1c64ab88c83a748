package test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// clusterSlots is a semaphore that bounds the clusters running at once, because each has some fifteen processes.
var clusterSlots = sync.OnceValue(func() chan struct{} { return make(chan struct{}, *maxClusters) })

// acquireClusterSlot waits until one more cluster may run, and frees its slot at the end of the test.
func acquireClusterSlot(t *testing.T) {
	t.Helper()
	clusterSlots() <- struct{}{}
	t.Cleanup(func() { <-clusterSlots() })
}

// The times of a scenario.
const (
	recoveryTimeout = 15 * time.Second
	// pairOffset is the time between the injections of two failures of a pair.
	pairOffset = 400 * time.Millisecond
)

// TestFailures injects each failure of the table alone, under a steady load of chat requests, service calls and edits
// of two operators, and checks the properties that must always hold against the ground truth of the stand-ins.
func TestFailures(t *testing.T) {
	for _, f := range allFailures() {
		t.Run(f.name, func(t *testing.T) { runScenario(t, f) })
	}
}

func allFailures() []failure {
	var all []failure
	for _, list := range [][]failure{processFailures(), linkFailures(), platformFailures(), endpointFailures(), operatorFailures()} {
		all = append(all, list...)
	}
	return all
}

// TestFailurePairs does the same with two overlapping failures: the chosen pairs, or every pair with -long.
func TestFailurePairs(t *testing.T) {
	byName := map[string]failure{}
	for _, f := range allFailures() {
		byName[f.name] = f
	}
	for _, pair := range pairs() {
		first, second := byName[pair.first], byName[pair.second]
		if first.inject == nil || second.inject == nil {
			t.Fatalf("no such pair of failures: %v", pair)
		}
		t.Run(first.name+" + "+second.name, func(t *testing.T) { runScenario(t, first, second) })
	}
}

// pair holds the names of two failures of the table.
type pair struct{ first, second string }

// pairs returns the pairs to run: chosenPairs, or with -long all pairs that can be combined.
func pairs() []pair {
	if !*allPairs {
		return chosenPairs
	}
	var list []pair
	all := allFailures()
	for i, first := range all {
		for _, second := range all[i+1:] {
			if !first.excludes(second) {
				list = append(list, pair{first.name, second.name})
			}
		}
	}
	return list
}

// chosenPairs are pairs in which one failure disturbs the recovery from the other.
var chosenPairs = []pair{
	{"agent killed, its engine does not fence", "engine-3 delays orders"},
	{"agent frozen, its engine does not fence", "table down"},
	{"agent killed, its engine fences", "table loses answers"},
	{"agent killed, its engine fences", "engine-1 delays orders"},
	{"entry killed", "table loses answers"},
	{"entry killed", "agent of a service killed"},
	{"entry frozen", "table delays writes"},
	{"entry frozen", "agent killed, its engine fences"},
	{"engine restarted", "agent-engine-1>engine-1 cut"},
	{"engine restarted twice, it does not fence", "engine-3 delays orders"},
	{"engine restarted", "weight store down"},
	{"table hangs", "agent killed, its engine does not fence"},
	{"table down", "entry killed"},
	{"table delays writes", "table loses answers"},
	{"engine-1 crosses answers", "entry-2>engine-1 mute"},
	{"services hang after running", "entry-1>ledger-1 cut"},
	{"services cut after running", "table loses answers"},
	{"host list down", "agent killed, its engine fences"},
}

// runScenario injects failures, pairOffset apart, heals them in the same order, waits until the system serves again,
// and checks all properties.
func runScenario(t *testing.T, failures ...failure) {
	t.Parallel()
	acquireClusterSlot(t)
	r := startRun(t)
	var ends []time.Time
	for i, f := range failures {
		if i > 0 {
			time.Sleep(pairOffset)
		}
		t.Logf("%s: inject %q: %s", time.Now().Format(clockFormat), f.name, f.description)
		f.inject(r.cluster)
		ends = append(ends, time.Now().Add(f.duration))
	}
	for i, f := range failures {
		time.Sleep(time.Until(ends[i]))
		f.heal(r.cluster)
		t.Logf("%s: healed %q", time.Now().Format(clockFormat), f.name)
	}
	r.awaitRecovery()
	r.finish().check()
}

// awaitRecovery waits until all entries and agents are ready, every kind of request is served again, and every entry
// serves every model.
func (r *run) awaitRecovery() {
	c := r.cluster
	c.t.Helper()
	for _, e := range c.entries {
		e.process.awaitReady()
	}
	for _, e := range c.endpoints {
		if !e.gone {
			e.agent.awaitReady()
		}
	}
	r.workload.awaitServed(5, recoveryTimeout)
	caller := newCaller()
	for _, target := range targets {
		for _, entry := range c.entries {
			request := request{
				kind:        chatWhole,
				model:       target.model,
				engineModel: target.engineModel,
				deadline:    chatDeadline,
				tokens:      shortAnswer,
			}
			attempt := 0
			eventually(c.t, recoveryTimeout, entry.name+" serves "+target.model, func() bool {
				attempt++
				request.marker = fmt.Sprintf("recovery-%s-%s-%d", target.model, entry.name, attempt)
				x := caller.do(entry.name, entry.callersURL(), request)
				r.workload.record(x)
				return x.served()
			})
		}
	}
}
