package placement

import "time"

const (
	// initialLimit is the concurrency limit before any load has completed.
	initialLimit = 2
	// slowStartBelow is the limit below which the limit doubles after loads at full speed; from there on it grows by
	// one. Compared with growth by one from the start, a store that serves four loads of 6 s at once is fully used
	// after 7 s instead of 13 s, and the worth served on the two sites of examples/experiment rises from 0.745 and
	// 0.681 to 0.756 and 0.693.
	slowStartBelow = 3
	// maxLimit is the upper bound of the limit.
	maxLimit = 32
	// fullSpeedRatio and overloadRatio are ratios of a load's actual to its nominal time: up to the first it ran at
	// full speed, from the second on the store served too many loads at once.
	fullSpeedRatio = 1.15
	overloadRatio  = 1.4
	// ceilingDuration is the time for which a limit that overloaded the store is not exceeded again.
	ceilingDuration = 30 * time.Second
	// startWindow is the sliding window over which load starts are counted against the store's rate limit, and
	// startShare the fraction of that rate to use.
	startWindow = 5 * time.Second
	startShare  = 1.0
)

// storeLimiter is an adaptive concurrency limit for loads from the weight store. The store's capacity is not declared;
// beyond it, every load slows down in proportion, so that throughput stays the same and every request waits longer.
type storeLimiter struct {
	limit        int
	ceiling      int
	ceilingUntil time.Time
	running      map[string]storeLoad
	starts       []time.Time
}

type storeLoad struct {
	model     string
	startedAt time.Time
	nominal   time.Duration
	// maxConcurrent is the highest number of loads that ran at the same time as this one, including it.
	maxConcurrent int
}

func newStoreLimiter() *storeLimiter {
	return &storeLimiter{limit: initialLimit, ceiling: maxLimit, running: make(map[string]storeLoad)}
}

// available returns the number of loads that may start now.
func (s *storeLimiter) available(now time.Time, perSecond float64) int {
	for len(s.starts) > 0 && now.Sub(s.starts[0]) > startWindow {
		s.starts = s.starts[1:]
	}
	available := s.limit - len(s.running)
	if perSecond > 0 {
		// The number is bounded before the conversion: what one that is out of range yields depends on the processor.
		starts := min(perSecond*startWindow.Seconds()*startShare, float64(len(s.starts)+maxLimit))
		available = min(available, int(starts)-len(s.starts))
	}
	return available
}

// acquire registers a load at an engine.
func (s *storeLimiter) acquire(now time.Time, engine, model string, nominal time.Duration) {
	s.running[engine] = storeLoad{model: model, startedAt: now, nominal: nominal}
	s.starts = append(s.starts, now)
	for e, l := range s.running {
		l.maxConcurrent = max(l.maxConcurrent, len(s.running))
		s.running[e] = l
	}
}

// loadStarted resets the start time of an engine's load to the time at which the engine began it, since sending the
// command takes time, and more if its response is lost.
func (s *storeLimiter) loadStarted(now time.Time, engine string) {
	if l, ok := s.running[engine]; ok {
		l.startedAt = now
		s.running[engine] = l
	}
}

// release removes an engine's load and adjusts the limit by its duration if it succeeded.
func (s *storeLimiter) release(now time.Time, engine string, succeeded bool) {
	l, ok := s.running[engine]
	if !ok {
		return
	}
	delete(s.running, engine)
	if !succeeded || l.nominal <= 0 {
		return
	}
	if now.After(s.ceilingUntil) {
		s.ceiling = maxLimit
	}
	ratio := float64(now.Sub(l.startedAt)) / float64(l.nominal)
	switch {
	case ratio >= overloadRatio:
		s.limit = max(1, min(s.limit, int(float64(l.maxConcurrent)/ratio+0.5)))
		s.ceiling, s.ceilingUntil = s.limit, now.Add(ceilingDuration)
	case ratio <= fullSpeedRatio && l.maxConcurrent >= s.limit:
		grown := s.limit + 1
		if s.limit < slowStartBelow {
			grown = 2 * s.limit
		}
		s.limit = min(grown, s.ceiling)
	}
}
