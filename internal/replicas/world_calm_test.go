package replicas

import (
	"fmt"
	"maps"
	"slices"

	"balsamsail/internal/replicas/replicaspb"
)

// quiesce ends all faults, runs until nothing changes and checks the final state.
func (sim *simulation) quiesce() {
	for len(sim.late) > 0 {
		sim.deliverLateWrite()
		sim.check()
	}
	sim.listNewHosts()
	quiet := 0
	const rounds, enough = 400, 5
	for round := 0; round < rounds && quiet < enough; round++ {
		quiet++
		if sim.quiesceRound() > 0 {
			quiet = 0
		}
		sim.check()
	}
	if quiet < enough {
		sim.recordUnsettled("still changing: %v", sim.decide(sim.deciders[0]))
	}
	sim.checkSettled()
}

func (sim *simulation) quiesceRound() int {
	changed := 0
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		changed += sim.quiesceEngine(sim.engines[name])
	}
	for _, d := range sim.deciders {
		sim.catchUp(d)
		for _, c := range sim.decide(d) {
			sim.propose(d, sim.resolveCondition(c), false)
			changed++
		}
	}
	sim.now = sim.now.Add(simPolicy().ExtraHold / 2)
	return changed
}

func (sim *simulation) quiesceEngine(e *simEngine) int {
	e.frozen, e.connected = false, true
	orders := len(e.orders)
	for len(e.orders) > 0 {
		e.deliver(0)
	}
	sim.startAgent(e)
	for _, row := range sim.rows {
		e.receiveRow(row)
	}
	sim.sendConfirmations(e, 1)
	return orders
}

// checkSettled checks that the rows match the declarations.
func (sim *simulation) checkSettled() {
	for _, row := range sim.rows {
		if _, declared := sim.models[row.Model]; !declared {
			sim.recordUnsettled("%s is not declared but still has a row: %s", row.Model, short(row))
		}
	}
	for model, spec := range sim.models {
		suitable := 0
		row := sim.rows[model]
		for _, e := range sim.engines {
			fits := sim.fits(spec, e)
			if fits {
				suitable++
			}
			if slot := SlotOf(row, e.Name, e.Host); slot != nil && !fits {
				sim.recordUnsettled("%s: %s must not have a slot: %s", model, e.Name, short(row))
			}
		}
		baseline, _ := simPolicy().bounds(spec)
		if want := min(baseline, suitable); len(row.GetSlots()) != want || releasing(row) {
			sim.recordUnsettled("%s: slots %q, want %d, with %d suitable engines", model, short(row), want, suitable)
		}
	}
}

func (sim *simulation) fits(spec ModelSpec, e *simEngine) bool {
	return !e.Leaving && !e.Drain && spec.Selector.Matches(e.Labels) && e.MemoryBytes >= spec.MemoryBytes
}

func releasing(row *replicaspb.Row) bool {
	return slices.ContainsFunc(row.GetSlots(), func(s *replicaspb.Slot) bool {
		return s.State == replicaspb.SlotState_RELEASING
	})
}

func (sim *simulation) recordUnsettled(format string, args ...any) {
	if sim.unsettled == "" {
		sim.unsettled = fmt.Sprintf(format, args...)
	}
}
