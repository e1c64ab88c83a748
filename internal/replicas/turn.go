package replicas

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// turns says when a process proposes what it has decided. The process that rendezvous hashing ranks first for a model
// version proposes at once; the others wait, longer by rank, for the change to have been made. Nothing rests on this: any
// number of processes may propose at any time, they only waste conflicts.
type turns struct {
	step time.Duration
	// jitter returns a number in [0, 1).
	jitter func() float64
	due    map[string]turn
}

// turn is a change that a process waits to propose.
type turn struct {
	revision uint64
	at       time.Time
}

func newTurns(step time.Duration, jitter func() float64) *turns {
	return &turns{step: step, jitter: jitter, due: map[string]turn{}}
}

// ready returns the changes to propose now and when the next one is due (zero: none is).
func (t *turns) ready(now time.Time, changes []Change, self string, live []string) ([]Change, time.Time) {
	t.forget(changes)
	var ready []Change
	var next time.Time
	for _, c := range changes {
		due, ok := t.due[c.Model]
		if !ok || due.revision != c.Expected {
			due = turn{revision: c.Expected, at: now.Add(t.delay(c.Model, self, live))}
			t.due[c.Model] = due
		}
		switch {
		case !now.Before(due.at):
			ready = append(ready, c)
		case next.IsZero() || due.at.Before(next):
			next = due.at
		}
	}
	return ready, next
}

// proposed makes changes that were just proposed wait before they are proposed again, should they still be decided from
// the same rows: the declarations that they were decided from may be out of date, or the write may be on its way.
func (t *turns) proposed(now time.Time, changes []Change) {
	for _, c := range changes {
		wait := time.Duration((1 + t.jitter()) * float64(t.step))
		t.due[c.Model] = turn{revision: c.Expected, at: now.Add(wait)}
	}
}

// forget drops the model versions for which no change is decided any more.
func (t *turns) forget(changes []Change) {
	decided := make(map[string]struct{}, len(changes))
	for _, c := range changes {
		decided[c.Model] = struct{}{}
	}
	for model := range t.due {
		if _, ok := decided[model]; !ok {
			delete(t.due, model)
		}
	}
}

func (t *turns) delay(model, self string, live []string) time.Duration {
	place := turnOf(model, self, live)
	if place == 0 {
		return 0
	}
	return time.Duration((float64(place) + t.jitter()) * float64(t.step))
}

// turnOf returns how many live processes come before self for a model version.
func turnOf(model, self string, live []string) int {
	hash := xxhash.Sum64String(model)
	own := mix(hash ^ mix(xxhash.Sum64String(self)))
	before := 0
	for _, name := range live {
		if name != self && mix(hash^mix(xxhash.Sum64String(name))) > own {
			before++
		}
	}
	return before
}
