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
	// deferred says that another process may have made the change while this one waited.
	deferred bool
}

func newTurns(step time.Duration, jitter func() float64) *turns {
	return &turns{step: step, jitter: jitter, due: map[string]turn{}}
}

// due is what a process is to do about the changes that it has decided.
type due struct {
	// ready are the changes to propose now.
	ready []Change
	// stale says that the rows must be read again first, to see what others have done while this process waited its turn: a
	// read costs the table less than a write that fails.
	stale bool
	// next is when the next change is due; zero when none is.
	next time.Time
}

// take returns what is due. The rows were last read at readAt.
func (t *turns) take(now, readAt time.Time, changes []Change, self string, live []string) due {
	t.forget(changes)
	var d due
	for _, c := range changes {
		turn := t.turn(now, c, self, live)
		switch {
		case now.Before(turn.at):
			d.next = earlier(turn.at, d.next)
		case turn.deferred && readAt.Before(turn.at):
			d.stale = true
		default:
			d.ready = append(d.ready, c)
		}
	}
	return d
}

// turn returns when a change is due; the first time that it is decided, its turn is settled.
func (t *turns) turn(now time.Time, c Change, self string, live []string) turn {
	settled, ok := t.due[c.Model]
	if !ok || settled.revision != c.Expected {
		delay := t.delay(c.Model, self, live)
		settled = turn{revision: c.Expected, at: now.Add(delay), deferred: delay > 0}
		t.due[c.Model] = settled
	}
	return settled
}

// proposed makes changes that were just proposed wait before they are proposed again, should they still be decided from
// the same rows: the declarations that they were decided from may be out of date, or the write may be on its way.
func (t *turns) proposed(now time.Time, changes []Change) {
	for _, c := range changes {
		wait := time.Duration((1 + t.jitter()) * float64(t.step))
		t.due[c.Model] = turn{revision: c.Expected, at: now.Add(wait), deferred: true}
	}
}

// reset makes every change that is still decided wait its turn again.
func (t *turns) reset() { clear(t.due) }

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
