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

// event is something that may happen in the world, with its weight.
type event struct {
	name   string
	weight int
	happen func(*world)
}

// faulty is the part of the engines (one in so many) that a kind of fault holds at a time.
const faulty = 4

var worldEvents = []event{
	{"rows read", 6, func(w *world) { w.read(w.someDecider(), w.random.IntN(4) == 0) }},
	{"engine seen", 8, func(w *world) { w.look(w.someDecider(), w.someEngine().Name) }},
	{"process catches up", 12, func(w *world) { w.catchUp(w.someDecider()) }},
	{"host list read", 3, func(w *world) { w.someDecider().hosts = w.hosts }},
	{"declarations applied", 8, func(w *world) { w.someDecider().declared = w.declared }},
	{"decided", 20, (*world).decideAndPropose},
	{"paused process goes on", 3, (*world).proposeStashed},
	{"late write arrives", 3, (*world).deliverLate},
	{"rows pushed", 10, (*world).pushRows},
	{"late push arrives", 6, (*world).deliverPush},
	{"agent starts", 4, func(w *world) { w.beginAgent(w.engineThat(mayBegin)) }},
	{"load ordered", 8, func(w *world) { w.engineThat(mayLoad).loadAny(w.random) }},
	{"unload ordered", 2, func(w *world) { w.someEngine().unload(w.someModel()) }},
	{"order takes effect", 8, (*world).deliverOrder},
	{"release confirmed", 8, func(w *world) { w.confirmations(w.engineThat(mustTidy), 0.5) }},
	{"slot wanted", 8, func(w *world) { w.want(w.someEngine(), w.someModel()) }},
	{"time passes", 10, func(w *world) { w.now = w.now.Add(time.Duration(w.random.IntN(20)) * time.Second) }},
	{"model declared anew", 3, func(w *world) { w.declare(w.someModel()) }},
	{"model undeclared", 1, func(w *world) { delete(w.models, w.someModel()); w.publish() }},
	{"engine edited", 4, (*world).editEngine},
	{"link cut or mended", 3, func(w *world) { w.someEngine().linked = w.random.IntN(faulty) > 0 }},
	{"agent frozen or thawed", 3, func(w *world) { w.someEngine().frozen = w.random.IntN(faulty) == 0 }},
	{"agent restarted", 3, func(w *world) { w.restartAgent(w.someEngine()) }},
	{"process restarted", 1, func(w *world) { w.deciders[w.random.IntN(len(w.deciders))] = w.newDecider() }},
	{"host replaced", 1, func(w *world) { w.replaceHost(w.someEngine()) }},
	{"host list catches up", 3, (*world).forgetHost},
}

func (w *world) someDecider() *worldDecider { return w.deciders[w.random.IntN(len(w.deciders))] }
func (w *world) someEngine() *worldEngine {
	return w.engines[fmt.Sprintf("e%d", w.random.IntN(worldEngines))]
}
func (w *world) someModel() string { return fmt.Sprintf("m%d@1", w.random.IntN(worldModels)) }

func (w *world) step() {
	total := 0
	for _, e := range worldEvents {
		total += e.weight
	}
	at := w.random.IntN(total)
	for _, e := range worldEvents {
		if at -= e.weight; at < 0 {
			w.counts[e.name]++
			e.happen(w)
			w.check()
			return
		}
	}
}

func (w *world) decideAndPropose() {
	d := w.someDecider()
	if _, complete := d.store.progress(); !complete {
		return
	}
	for _, c := range w.decide(d) {
		switch w.random.IntN(6) {
		case 0:
			d.stashed = append(d.stashed, c)
		case 1:
		default:
			w.propose(d, w.conditioned(c), true)
		}
	}
}

// conditioned gives an unconditional change the condition that always holds.
func (w *world) conditioned(c Change) Change {
	if c.Expected == unconditional {
		c.Expected = w.table.rows[Key(c.Model)].Revision
	}
	return c
}

func (w *world) proposeStashed() {
	d := w.someDecider()
	for _, c := range d.stashed {
		w.propose(d, w.conditioned(c), true)
	}
	d.stashed = nil
}

func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.random.IntN(len(w.late))
	txn := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	if _, err := w.table.commit(txn); err == nil {
		w.counts["late write committed"]++
	}
}

// pushRows lets a decider send what it knows, old or new, to the agents that it reaches.
func (w *world) pushRows() {
	d := w.someDecider()
	for _, e := range w.engines {
		if !e.linked {
			continue
		}
		for _, row := range d.store.rowsOf(e.Name) {
			if w.random.IntN(faulty) == 0 {
				w.pushes = append(w.pushes, push{to: e, row: row})
				continue
			}
			e.see(row)
		}
	}
}

// deliverPush lets an old row reach an agent.
func (w *world) deliverPush() {
	if len(w.pushes) == 0 {
		return
	}
	i := w.random.IntN(len(w.pushes))
	w.pushes[i].to.see(w.pushes[i].row)
	w.pushes = slices.Delete(w.pushes, i, i+1)
}

// engineThat returns some engine that meets a condition, or just some engine when none does.
func (w *world) engineThat(meets func(*worldEngine) bool) *worldEngine {
	first := w.random.IntN(worldEngines)
	for i := range worldEngines {
		if e := w.engines[fmt.Sprintf("e%d", (first+i)%worldEngines)]; meets(e) {
			return e
		}
	}
	return w.someEngine()
}

func mayBegin(e *worldEngine) bool { return !e.ready && len(e.orders) == 0 }
func mayLoad(e *worldEngine) bool  { return len(e.loadable()) > 0 }
func ordered(e *worldEngine) bool  { return len(e.orders) > 0 }

// mustTidy reports whether an agent knows of a slot that it must give up.
func mustTidy(e *worldEngine) bool {
	for model := range e.rows {
		if e.acts() && e.slot(model).GetState() == replicaspb.SlotState_RELEASING {
			return true
		}
	}
	return false
}

func (w *world) deliverOrder() {
	if e := w.engineThat(ordered); len(e.orders) > 0 {
		e.deliver(w.random.IntN(len(e.orders)))
	}
}

func (w *world) editEngine() {
	e := w.someEngine()
	switch w.random.IntN(4) {
	case 0:
		e.Drain = w.random.IntN(faulty) == 0
	case 1:
		e.MemoryBytes = int64(20+w.random.IntN(80)) * gibibyte
	case 2:
		if w.random.IntN(3) == 0 {
			e.Leaving = true
			w.listHost(e.Host, backing.HostLeaving)
		}
	default:
		e.Labels = map[string]string{"pool": []string{"a", "b"}[w.random.IntN(2)]}
	}
}

func (w *world) restartAgent(e *worldEngine) {
	e.restartAgent()
	if w.broken == guardRowsFirst {
		e.ready = true
	}
}

func (w *world) beginAgent(e *worldEngine) {
	floor := w.table.revision
	if w.broken == guardRowsFloor {
		floor = 0
	}
	e.begin(w.rows, floor)
}

// replaceHost lets a host die; another one with an engine of the same name takes its place. The host list learns of
// either at once or later.
func (w *world) replaceHost(e *worldEngine) {
	e.alive = false
	w.listHost(e.Host, backing.HostGone)
	view := e.EngineView
	view.Host = w.newID("h")
	view.Leaving = false
	w.engines[e.Name] = newWorldEngine(view, w.broken == guardHostInSlot)
	if w.random.IntN(2) == 0 {
		w.listHost(view.Host, backing.HostLive)
	}
}

// forgetHost lets the list drop a gone host, or learn of a new one.
func (w *world) forgetHost() {
	for _, host := range slices.Sorted(maps.Keys(w.hosts.States)) {
		if w.hosts.States[host] == backing.HostGone {
			w.listHost(host, "")
			return
		}
	}
	w.listNewHosts()
}

func (w *world) listNewHosts() {
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		host := w.engines[name].Host
		if _, listed := w.hosts.States[host]; !listed {
			w.listHost(host, backing.HostLive)
		}
	}
}

// runWorld lets steps happen and then calms the world.
func runWorld(seed int64, steps int, broken guard) *world {
	w := newWorld(seed, broken)
	for range steps {
		w.step()
		if w.broke != "" {
			return w
		}
	}
	w.calm()
	return w
}

// An engine holds a model version that no row allows it, or more replicas exist than the operator's maximum, after some
// entries raced each other, a write arrived late, an agent was frozen or restarted, a host was replaced or an operator
// edited the declarations in between. Once the faults stop, a model version is short of replicas or stays on a wrong
// engine.
func TestGrantsHoldUnderRacesAndFaults(t *testing.T) {
	counts := map[string]int{}
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertySeeds
	properties := gopter.NewProperties(parameters)
	properties.Property("loaded replicas are among the slots, slots within the maximum, and both settle", prop.ForAll(
		func(seed int64, steps int) string {
			w := runWorld(seed, steps, guardNone)
			for name, n := range w.counts {
				counts[name] += n
			}
			return w.broke + w.unsettled
		},
		gen.Int64(), gen.IntRange(propertySteps/4, propertySteps),
	))
	properties.TestingRun(t)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%-24s %d", name, counts[name])
	}
}

// The test above would pass for a wrong reason if its world could not show what the guards prevent: with any one of them
// left out it must find a violation.
func TestEachGuardIsNeeded(t *testing.T) {
	guards := []guard{
		guardConfirmation, guardConfirmedRevision, guardReleasingCounts, guardCondition, guardHead, guardUnlisted,
		guardHostInSlot, guardRowsFirst, guardRowsFloor,
	}
	const seeds = 2000
	for _, g := range guards {
		t.Run(string(g), func(t *testing.T) {
			for seed := range int64(seeds) {
				if w := runWorld(seed, propertySteps, g); w.broke != "" {
					t.Logf("seed %d: %s", seed, w.broke)
					return
				}
			}
			t.Errorf("no violation in %d seeds", seeds)
		})
	}
}
