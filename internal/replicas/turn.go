package replicas

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// proposalSchedule determines when a process proposes the changes that it has decided. The process that rendezvous
// hashing ranks first for a model version proposes at once; the others wait, in order of rank, to give it time to do
// so. Correctness does not depend on this: any number of processes may propose at any time, at the cost of conflicts.
type proposalSchedule struct {
	rankDelay time.Duration
	// jitter returns a number in [0, 1).
	jitter  func() float64
	pending map[string]scheduledProposal
}

// scheduledProposal is the time at which a process may propose a change.
type scheduledProposal struct {
	revision uint64
	at       time.Time
	// deferred is true if another process may have made the change during the delay.
	deferred bool
}

func newProposalSchedule(rankDelay time.Duration, jitter func() float64) *proposalSchedule {
	return &proposalSchedule{rankDelay: rankDelay, jitter: jitter, pending: map[string]scheduledProposal{}}
}

// dueProposals is the result of proposalSchedule.due.
type dueProposals struct {
	// ready are the changes to propose now.
	ready []Change
	// stale means that the rows must be read again first, because another process may have written during the delay. A
	// read is cheaper for the table than a write that fails.
	stale bool
	// next is when the next change is due; zero if none is.
	next time.Time
}

// due returns the changes that are due. readAt is when the rows were last read.
func (s *proposalSchedule) due(now, readAt time.Time, changes []Change, self string, live []string) dueProposals {
	s.prune(changes)
	var d dueProposals
	for _, c := range changes {
		scheduled := s.schedule(now, c, self, live)
		switch {
		case now.Before(scheduled.at):
			d.next = earlier(scheduled.at, d.next)
		case scheduled.deferred && readAt.Before(scheduled.at):
			d.stale = true
		default:
			d.ready = append(d.ready, c)
		}
	}
	return d
}

// schedule returns when a change is due. The time is set when the change is first decided.
func (s *proposalSchedule) schedule(now time.Time, c Change, self string, live []string) scheduledProposal {
	scheduled, ok := s.pending[c.Model]
	if !ok || scheduled.revision != c.Expected {
		delay := s.delay(c.Model, self, live)
		scheduled = scheduledProposal{revision: c.Expected, at: now.Add(delay), deferred: delay > 0}
		s.pending[c.Model] = scheduled
	}
	return scheduled
}

// postpone delays the next proposal of changes that were just proposed, in case they are decided again from the same
// rows: the declarations they were decided from may be out of date, or the write may still be in flight.
func (s *proposalSchedule) postpone(now time.Time, changes []Change) {
	for _, c := range changes {
		wait := time.Duration((1 + s.jitter()) * float64(s.rankDelay))
		s.pending[c.Model] = scheduledProposal{revision: c.Expected, at: now.Add(wait), deferred: true}
	}
}

// reset schedules all changes anew.
func (s *proposalSchedule) reset() { clear(s.pending) }

// prune drops the model versions that no longer have a change to propose.
func (s *proposalSchedule) prune(changes []Change) {
	decided := make(map[string]struct{}, len(changes))
	for _, c := range changes {
		decided[c.Model] = struct{}{}
	}
	for model := range s.pending {
		if _, ok := decided[model]; !ok {
			delete(s.pending, model)
		}
	}
}

func (s *proposalSchedule) delay(model, self string, live []string) time.Duration {
	rank := proposerRank(model, self, live)
	if rank == 0 {
		return 0
	}
	return time.Duration((float64(rank) + s.jitter()) * float64(s.rankDelay))
}

// proposerRank returns how many live processes rank before self for a model version.
func proposerRank(model, self string, live []string) int {
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
