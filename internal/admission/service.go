package admission

import "time"

const (
	// meanSmoothing and deviationSmoothing are the weights of a new sample. A conservative estimate lies
	// conservativeDeviations mean deviations above the mean. The weights are those of TCP's retransmission timer, which
	// uses 4 deviations.
	meanSmoothing          = 1.0 / 8
	deviationSmoothing     = 1.0 / 4
	conservativeDeviations = 2
	// initialDeviationFraction is the initial deviation as a fraction of the first sample.
	initialDeviationFraction = 0.25
	// maxServiceTargets bounds the targets for which ServiceTimes keeps estimates.
	maxServiceTargets = 4096
)

// ServiceTimes estimates how long the requests of each target take, from those that have ended. The mean total time
// determines how fast a queue moves; conservative estimates of the time to the first token and to the end determine
// whether a request meets its deadline. A target without samples uses the estimates of its model. It is not safe for
// concurrent use.
type ServiceTimes struct {
	targets timingsByKey[Target]
	pools   timingsByKey[poolKey]
}

// NewServiceTimes returns an estimator without samples.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{
		targets: timingsByKey[Target]{entries: make(map[Target]*timings)},
		pools:   timingsByKey[poolKey]{entries: make(map[poolKey]*timings)},
	}
}

// Observe records the time from the start of a request to its end.
func (s *ServiceTimes) Observe(target Target, whole time.Duration) {
	s.update(target, func(t *timings) { t.whole.observe(whole) })
}

// ObserveFirst records the time from the start of a request to its first token.
func (s *ServiceTimes) ObserveFirst(target Target, first time.Duration) {
	s.update(target, func(t *timings) { t.first.observe(first) })
}

// Decay reduces the estimates of a target by one eighth. It is called for estimates that cause requests to be refused
// although no request is ahead of them, and so are not corrected by new samples.
//
// Without it a single slow request, such as one that ran while its process was suspended, would cause all later
// requests with a shorter deadline to be refused at once. None would run, and no shorter time would ever be measured.
func (s *ServiceTimes) Decay(target Target) {
	s.update(target, func(t *timings) {
		t.first.decay()
		t.whole.decay()
	})
}

// Expected returns the mean total time of a target's requests, or 0 without samples.
func (s *ServiceTimes) Expected(target Target) time.Duration {
	return s.find(target, func(t *timings) *movingAverage { return &t.whole }).mean
}

// Fill sets the times of an estimate; those without samples become 0.
func (s *ServiceTimes) Fill(target Target, e *Estimate) {
	whole := s.find(target, func(t *timings) *movingAverage { return &t.whole })
	e.MeanServiceTime = whole.mean
	e.TotalTime = whole.conservative()
	e.TimeToFirstToken = s.find(target, func(t *timings) *movingAverage { return &t.first }).conservative()
}

// update applies a sample to the target and to its pool.
func (s *ServiceTimes) update(target Target, apply func(*timings)) {
	apply(s.pools.get(target.pool()))
	apply(s.targets.get(target))
}

// find returns the estimate of the target, or of its pool if the target has no samples.
func (s *ServiceTimes) find(target Target, field func(*timings) *movingAverage) movingAverage {
	if t := s.targets.entries[target]; t != nil && field(t).sampled {
		return *field(t)
	}
	if t := s.pools.entries[target.pool()]; t != nil {
		return *field(t)
	}
	return movingAverage{}
}

// timingsByKey holds the timings of a bounded number of keys. The oldest key is evicted first and starts without
// samples if it returns.
type timingsByKey[K comparable] struct {
	entries map[K]*timings
	order   []K
}

// get returns the timings of a key, creating them if necessary.
func (r *timingsByKey[K]) get(key K) *timings {
	if t := r.entries[key]; t != nil {
		return t
	}
	if len(r.order) >= maxServiceTargets {
		delete(r.entries, r.order[0])
		r.order = r.order[1:]
	}
	t := &timings{}
	r.entries[key] = t
	r.order = append(r.order, key)
	return t
}

// timings holds the time to the first token and the total time of a target or pool.
type timings struct{ first, whole movingAverage }

// movingAverage is an exponentially weighted moving average with its mean deviation.
type movingAverage struct {
	mean, deviation time.Duration
	sampled         bool
}

func (m *movingAverage) observe(d time.Duration) {
	if !m.sampled {
		*m = movingAverage{mean: d, deviation: time.Duration(float64(d) * initialDeviationFraction), sampled: true}
		return
	}
	diff := d - m.mean
	m.mean += time.Duration(float64(diff) * meanSmoothing)
	m.deviation += time.Duration(float64(diff.Abs()-m.deviation) * deviationSmoothing)
}

// decayDivisor is the divisor of the part by which each Decay reduces an estimate.
const decayDivisor = 8

func (m *movingAverage) decay() {
	m.mean -= m.mean / decayDivisor
	m.deviation -= m.deviation / decayDivisor
}

// conservative returns an estimate that few requests exceed.
func (m movingAverage) conservative() time.Duration {
	return m.mean + conservativeDeviations*m.deviation
}
