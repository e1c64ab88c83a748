package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Stream numbers of the seeded random source; separate streams make the choice of targets independent of the arrivals.
const (
	arrivalStream = 1
	targetStream  = 2
)

// schedule generates the calls of a run one at a time. The same options generate the same calls.
type schedule struct {
	options  *Options
	arrivals *rand.Rand
	choices  *rand.Rand
	weight   float64
	index    int
	next     time.Duration
}

// newSchedule returns the schedule for checked options.
func newSchedule(options *Options) *schedule {
	s := &schedule{
		options:  options,
		arrivals: rand.New(rand.NewPCG(options.Seed, arrivalStream)),
		choices:  rand.New(rand.NewPCG(options.Seed, targetStream)),
	}
	for _, target := range options.Targets {
		s.weight += target.Weight
	}
	s.next = s.gap()
	return s
}

// call returns the next planned call, or false if there are no more.
func (s *schedule) call() (Call, bool) {
	at := time.Duration(0)
	if s.index >= s.options.Burst {
		if s.next >= s.options.Duration {
			return Call{}, false
		}
		at = s.next
		s.next += s.gap()
	}
	target := s.target()
	call := Call{
		Index:       s.index,
		Target:      &s.options.Targets[target],
		TargetIndex: target,
		At:          at,
		Message:     fmt.Sprintf("request %d of seed %d", s.index, s.options.Seed),
	}
	s.index++
	return call, true
}

// gap returns the time until the next arrival; if the rate is 0 it is the duration of the run, so that none occurs.
func (s *schedule) gap() time.Duration {
	if s.options.Rate == 0 {
		return s.options.Duration
	}
	gap := float64(time.Second) / s.options.Rate
	if s.options.Arrivals == ArrivalsPoisson {
		gap *= s.arrivals.ExpFloat64()
	}
	return time.Duration(gap)
}

// target picks a random target index, weighted by Target.Weight.
func (s *schedule) target() int {
	rest := s.choices.Float64() * s.weight
	for i := range s.options.Targets {
		rest -= s.options.Targets[i].Weight
		if rest < 0 {
			return i
		}
	}
	return len(s.options.Targets) - 1
}
