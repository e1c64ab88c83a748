package replicas

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

const (
	propertySeeds = 2000
	propertySteps = 400
	propertySeed  = 20260101
)

// event is something that may happen in the simulation, with its weight.
type event struct {
	name   string
	weight int
	apply  func(*simulation)
}

// faultDivisor sets the rate of faults: a kind of fault affects one in faultDivisor engines at a time.
const faultDivisor = 4

var simEvents = []event{
	{"rows read", 6, func(sim *simulation) { sim.readRows(sim.anyDecider(), sim.rng.IntN(4) == 0) }},
	{"engine observed", 8, func(sim *simulation) { sim.observeEngine(sim.anyDecider(), sim.anyEngine().Name) }},
	{"process catches up", 12, func(sim *simulation) { sim.catchUp(sim.anyDecider()) }},
	{"host list read", 3, func(sim *simulation) { sim.anyDecider().hosts = sim.hosts }},
	{"declarations applied", 8, func(sim *simulation) { sim.anyDecider().declared = sim.declared }},
	{"decided", 20, (*simulation).decideAndPropose},
	{"paused process resumes", 3, (*simulation).proposeDelayed},
	{"late write arrives", 3, (*simulation).deliverLateWrite},
	{"rows pushed", 10, (*simulation).pushRows},
	{"late push arrives", 6, (*simulation).deliverPush},
	{"agent starts", 4, func(sim *simulation) { sim.startAgent(sim.engineWhere(canStart)) }},
	{"load ordered", 8, func(sim *simulation) { sim.engineWhere(canLoad).orderLoad(sim.rng) }},
	{"unload ordered", 2, func(sim *simulation) { sim.anyEngine().orderUnload(sim.anyModel()) }},
	{"order takes effect", 8, (*simulation).deliverOrder},
	{"release confirmed", 8, func(sim *simulation) { sim.sendConfirmations(sim.engineWhere(mustRelease), 0.5) }},
	{"slot requested", 8, func(sim *simulation) { sim.requestSlot(sim.anyEngine(), sim.anyModel()) }},
	{"time passes", 10, func(sim *simulation) { sim.now = sim.now.Add(time.Duration(sim.rng.IntN(20)) * time.Second) }},
	{"model redeclared", 3, func(sim *simulation) { sim.declare(sim.anyModel()) }},
	{"model undeclared", 1, func(sim *simulation) { delete(sim.models, sim.anyModel()); sim.publish() }},
	{"engine edited", 4, (*simulation).editEngine},
	{"link cut or restored", 3, func(sim *simulation) { sim.anyEngine().connected = sim.rng.IntN(faultDivisor) > 0 }},
	{"agent suspended or resumed", 3, func(sim *simulation) { sim.anyEngine().frozen = sim.rng.IntN(faultDivisor) == 0 }},
	{"agent restarted", 3, func(sim *simulation) { sim.restartAgent(sim.anyEngine()) }},
	{"process restarted", 1, func(sim *simulation) { sim.deciders[sim.rng.IntN(len(sim.deciders))] = sim.newDecider() }},
	{"host replaced", 1, func(sim *simulation) { sim.replaceHost(sim.anyEngine()) }},
	{"host list updated", 3, (*simulation).updateHostList},
}

func (sim *simulation) anyDecider() *simDecider { return sim.deciders[sim.rng.IntN(len(sim.deciders))] }
func (sim *simulation) anyEngine() *simEngine {
	return sim.engines[fmt.Sprintf("e%d", sim.rng.IntN(simEngineCount))]
}
func (sim *simulation) anyModel() string { return fmt.Sprintf("m%d@1", sim.rng.IntN(simModelCount)) }

func (sim *simulation) step() {
	total := 0
	for _, e := range simEvents {
		total += e.weight
	}
	at := sim.rng.IntN(total)
	for _, e := range simEvents {
		if at -= e.weight; at < 0 {
			sim.counts[e.name]++
			e.apply(sim)
			sim.check()
			return
		}
	}
}

func (sim *simulation) decideAndPropose() {
	d := sim.anyDecider()
	if _, complete := d.store.progress(); !complete {
		return
	}
	for _, c := range sim.decide(d) {
		switch sim.rng.IntN(6) {
		case 0:
			d.delayed = append(d.delayed, c)
		case 1:
		default:
			sim.propose(d, sim.resolveCondition(c), true)
		}
	}
}

// resolveCondition gives an unconditional change a condition that holds.
func (sim *simulation) resolveCondition(c Change) Change {
	if c.Expected == unconditional {
		c.Expected = sim.table.rows[Key(c.Model)].Revision
	}
	return c
}

func (sim *simulation) proposeDelayed() {
	d := sim.anyDecider()
	for _, c := range d.delayed {
		sim.propose(d, sim.resolveCondition(c), true)
	}
	d.delayed = nil
}

func (sim *simulation) deliverLateWrite() {
	if len(sim.late) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.late))
	txn := sim.late[i]
	sim.late = slices.Delete(sim.late, i, i+1)
	if _, err := sim.table.commit(txn); err == nil {
		sim.counts["late write committed"]++
	}
}

// pushRows makes a decider send its rows, current or stale, to the agents that it reaches.
func (sim *simulation) pushRows() {
	d := sim.anyDecider()
	for _, e := range sim.engines {
		if !e.connected {
			continue
		}
		for _, row := range d.store.rowsOf(e.Name) {
			if sim.rng.IntN(faultDivisor) == 0 {
				sim.pushes = append(sim.pushes, push{to: e, row: row})
				continue
			}
			e.receiveRow(row)
		}
	}
}

// deliverPush delivers a delayed row to an agent.
func (sim *simulation) deliverPush() {
	if len(sim.pushes) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.pushes))
	sim.pushes[i].to.receiveRow(sim.pushes[i].row)
	sim.pushes = slices.Delete(sim.pushes, i, i+1)
}

// engineWhere returns a random engine that meets a condition, or any random engine if none does.
func (sim *simulation) engineWhere(meets func(*simEngine) bool) *simEngine {
	first := sim.rng.IntN(simEngineCount)
	for i := range simEngineCount {
		if e := sim.engines[fmt.Sprintf("e%d", (first+i)%simEngineCount)]; meets(e) {
			return e
		}
	}
	return sim.anyEngine()
}

func canStart(e *simEngine) bool  { return !e.ready && len(e.orders) == 0 }
func canLoad(e *simEngine) bool   { return len(e.loadable()) > 0 }
func hasOrders(e *simEngine) bool { return len(e.orders) > 0 }

// mustRelease reports whether an agent has a slot that it must release.
func mustRelease(e *simEngine) bool {
	for model := range e.rows {
		if e.active() && e.slot(model).GetState() == replicaspb.SlotState_RELEASING {
			return true
		}
	}
	return false
}

func (sim *simulation) deliverOrder() {
	if e := sim.engineWhere(hasOrders); len(e.orders) > 0 {
		e.deliver(sim.rng.IntN(len(e.orders)))
	}
}

func (sim *simulation) editEngine() {
	e := sim.anyEngine()
	switch sim.rng.IntN(4) {
	case 0:
		e.Drain = sim.rng.IntN(faultDivisor) == 0
	case 1:
		e.MemoryBytes = int64(20+sim.rng.IntN(80)) * gibibyte
	case 2:
		if sim.rng.IntN(3) == 0 {
			e.Leaving = true
			sim.listHost(e.Host, backing.HostLeaving)
		}
	default:
		e.Labels = map[string]string{"pool": []string{"a", "b"}[sim.rng.IntN(2)]}
	}
}

func (sim *simulation) restartAgent(e *simEngine) {
	e.restartAgent()
	if sim.disabledGuard == guardRowsFirst {
		e.ready = true
	}
}

func (sim *simulation) startAgent(e *simEngine) {
	floor := sim.table.revision
	if sim.disabledGuard == guardRowsFloor {
		floor = 0
	}
	e.start(sim.rows, floor)
}

// replaceHost makes a host fail and replaces it by another one with an engine of the same name. The host list names the
// new host at once or later.
func (sim *simulation) replaceHost(e *simEngine) {
	e.alive = false
	sim.listHost(e.Host, backing.HostGone)
	view := e.EngineView
	view.Host = sim.newID("h")
	view.Leaving = false
	sim.engines[e.Name] = newSimEngine(view, sim.disabledGuard == guardHostInSlot)
	if sim.rng.IntN(2) == 0 {
		sim.listHost(view.Host, backing.HostLive)
	}
}

// updateHostList drops a gone host from the host list, or adds new hosts if there is none.
func (sim *simulation) updateHostList() {
	for _, host := range slices.Sorted(maps.Keys(sim.hosts.States)) {
		if sim.hosts.States[host] == backing.HostGone {
			sim.listHost(host, "")
			return
		}
	}
	sim.listNewHosts()
}

func (sim *simulation) listNewHosts() {
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		host := sim.engines[name].Host
		if _, listed := sim.hosts.States[host]; !listed {
			sim.listHost(host, backing.HostLive)
		}
	}
}

// runSimulation runs random steps, then ends the faults and waits for a stable state.
func runSimulation(seed int64, steps int, disabled guard) *simulation {
	sim := newSimulation(seed, disabled)
	for range steps {
		sim.step()
		if sim.violation != "" {
			return sim
		}
	}
	sim.quiesce()
	return sim
}

// The test guards against an engine that holds a model version without a slot, and against more replicas than the
// operator's maximum, after entries raced each other, a write arrived late, an agent was frozen or restarted, a host
// was replaced or an operator edited the declarations in between. Once the faults end, no model version may be short of
// replicas or stay on a wrong engine.
func TestGrantsHoldUnderRacesAndFaults(t *testing.T) {
	counts := map[string]int{}
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertySeeds
	properties := gopter.NewProperties(parameters)
	properties.Property("loaded replicas are among the slots, slots within the maximum, and both settle", prop.ForAll(
		func(seed int64, steps int) string {
			sim := runSimulation(seed, steps, guardNone)
			for name, n := range sim.counts {
				counts[name] += n
			}
			return sim.violation + sim.unsettled
		},
		gen.Int64(), gen.IntRange(propertySteps/4, propertySteps),
	))
	properties.TestingRun(t)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%-24s %d", name, counts[name])
	}
}

// TestGrantsHoldUnderRacesAndFaults would pass vacuously if its simulation could not show what the guards prevent: with
// any one of them disabled it must find a violation.
func TestEachGuardIsNeeded(t *testing.T) {
	guards := []guard{
		guardConfirmation, guardConfirmedRevision, guardReleasingCounts, guardCondition, guardHead, guardUnlisted,
		guardHostInSlot, guardRowsFirst, guardRowsFloor,
	}
	const seeds = 2000
	for _, g := range guards {
		t.Run(string(g), func(t *testing.T) {
			for seed := range int64(seeds) {
				if sim := runSimulation(seed, propertySteps, g); sim.violation != "" {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Errorf("no violation in %d seeds", seeds)
		})
	}
}
