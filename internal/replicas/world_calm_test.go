package replicas

import (
	"fmt"
	"maps"
	"slices"

	"balsamsail/internal/replicas/replicaspb"
)

// calm ends all faults and lets the world settle; what is then wrong is noted.
func (w *world) calm() {
	for len(w.late) > 0 {
		w.deliverLate()
		w.check()
	}
	w.listNewHosts()
	quiet := 0
	const rounds, enough = 400, 5
	for round := 0; round < rounds && quiet < enough; round++ {
		quiet++
		if w.calmRound() > 0 {
			quiet = 0
		}
		w.check()
	}
	if quiet < enough {
		w.unsettledBy("still changing: %v", w.decide(w.deciders[0]))
	}
	w.checkSettled()
}

func (w *world) calmRound() int {
	changed := 0
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		changed += w.calmEngine(w.engines[name])
	}
	for _, d := range w.deciders {
		w.catchUp(d)
		for _, c := range w.decide(d) {
			w.propose(d, w.conditioned(c), false)
			changed++
		}
	}
	w.now = w.now.Add(worldPolicy().ExtraHold / 2)
	return changed
}

func (w *world) calmEngine(e *worldEngine) int {
	e.frozen, e.linked = false, true
	orders := len(e.orders)
	for len(e.orders) > 0 {
		e.deliver(0)
	}
	w.beginAgent(e)
	for _, row := range w.rows {
		e.see(row)
	}
	w.confirmations(e, 1)
	return orders
}

// checkSettled checks that the rows are what the declarations ask for.
func (w *world) checkSettled() {
	for _, row := range w.rows {
		if _, declared := w.models[row.Model]; !declared {
			w.unsettledBy("%s is not declared and still has a row: %s", row.Model, short(row))
		}
	}
	for model, spec := range w.models {
		able := 0
		row := w.rows[model]
		for _, e := range w.engines {
			fits := w.fits(spec, e)
			if fits {
				able++
			}
			if slot := SlotOf(row, e.Name, e.Host); slot != nil && !fits {
				w.unsettledBy("%s: %s has a slot and must not: %s", model, e.Name, short(row))
			}
		}
		home, _ := worldPolicy().bounds(spec)
		if want := min(home, able); len(row.GetSlots()) != want || releasing(row) {
			w.unsettledBy("%s: slots %q, want %d of %d able engines", model, short(row), want, able)
		}
	}
}

func (w *world) fits(spec ModelSpec, e *worldEngine) bool {
	return !e.Leaving && !e.Drain && spec.Selector.Matches(e.Labels) && e.MemoryBytes >= spec.MemoryBytes
}

func releasing(row *replicaspb.Row) bool {
	return slices.ContainsFunc(row.GetSlots(), func(s *replicaspb.Slot) bool {
		return s.State == replicaspb.SlotState_RELEASING
	})
}

func (w *world) unsettledBy(format string, args ...any) {
	if w.unsettled == "" {
		w.unsettled = fmt.Sprintf(format, args...)
	}
}
