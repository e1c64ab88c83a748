package admission

import "time"

const (
	// meanSmoothing and deviationSmoothing are the weights of a new sample, and cautiousDeviations is how many mean
	// deviations above the mean a cautious time lies; as in the retransmission timer of TCP, but for the last.
	meanSmoothing      = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	cautiousDeviations = 2
	// firstDeviation is the share of the first sample that is taken for the deviation.
	firstDeviation = 0.25
	// maxServiceTargets bounds the targets that ServiceTimes remembers.
	maxServiceTargets = 4096
)

// ServiceTimes learns from the ended requests of each target how long they take: the mean whole time says how fast a
// queue moves, and cautious times to the first token and to the end say whether a request makes its deadline. A target
// that was not seen yet is judged by the others of its model. It is not safe for concurrent use.
type ServiceTimes struct {
	targets remembered[Target]
	pools   remembered[poolKey]
}

// NewServiceTimes returns an estimator that knows nothing yet.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{
		targets: remembered[Target]{known: make(map[Target]*timings)},
		pools:   remembered[poolKey]{known: make(map[poolKey]*timings)},
	}
}

// Observe notes the time from the start of a request to its end.
func (s *ServiceTimes) Observe(target Target, whole time.Duration) {
	s.update(target, func(t *timings) { t.whole.observe(whole) })
}

// ObserveFirst notes the time from the start of a request to its first token.
func (s *ServiceTimes) ObserveFirst(target Target, first time.Duration) {
	s.update(target, func(t *timings) { t.first.observe(first) })
}

// Fade makes the times of a target a part shorter. It is for times that no request has confirmed of late: those by which
// requests are refused although nothing is before them.
//
// Without it a single slow request, such as one that ran while its process was frozen, would have every later one with a
// shorter deadline refused at once; none would run, and no shorter time would ever be seen.
func (s *ServiceTimes) Fade(target Target) {
	s.update(target, func(t *timings) {
		t.first.fade()
		t.whole.fade()
	})
}

// Expected returns the mean whole time of a target's requests, 0 when nothing is known.
func (s *ServiceTimes) Expected(target Target) time.Duration {
	return s.find(target, func(t *timings) *moving { return &t.whole }).mean
}

// Fill sets the times of an estimate; those of which nothing is known become 0.
func (s *ServiceTimes) Fill(target Target, e *Estimate) {
	whole := s.find(target, func(t *timings) *moving { return &t.whole })
	e.Service = whole.mean
	e.Whole = whole.cautious()
	e.First = s.find(target, func(t *timings) *moving { return &t.first }).cautious()
}

// update applies a sample to the target and to its pool.
func (s *ServiceTimes) update(target Target, apply func(*timings)) {
	apply(s.pools.get(target.pool()))
	apply(s.targets.get(target))
}

// find returns what is known of the target, or else of its pool.
func (s *ServiceTimes) find(target Target, field func(*timings) *moving) moving {
	if t := s.targets.known[target]; t != nil && field(t).known {
		return *field(t)
	}
	if t := s.pools.known[target.pool()]; t != nil {
		return *field(t)
	}
	return moving{}
}

// remembered holds the timings of a bounded number of keys; the oldest key goes first, and is learnt again if need be.
type remembered[K comparable] struct {
	known map[K]*timings
	order []K
}

// get returns the timings of a key, new ones for a new key.
func (r *remembered[K]) get(key K) *timings {
	if t := r.known[key]; t != nil {
		return t
	}
	if len(r.order) >= maxServiceTargets {
		delete(r.known, r.order[0])
		r.order = r.order[1:]
	}
	t := &timings{}
	r.known[key] = t
	r.order = append(r.order, key)
	return t
}

// timings are the two times of a target or pool.
type timings struct{ first, whole moving }

// moving is a moving mean with its mean deviation.
type moving struct {
	mean, deviation time.Duration
	known           bool
}

func (m *moving) observe(d time.Duration) {
	if !m.known {
		*m = moving{mean: d, deviation: time.Duration(float64(d) * firstDeviation), known: true}
		return
	}
	off := d - m.mean
	m.mean += time.Duration(float64(off) * meanSmoothing)
	m.deviation += time.Duration(float64(off.Abs()-m.deviation) * deviationSmoothing)
}

// fadeShare is the part of a time that goes with each Fade.
const fadeShare = 8

func (m *moving) fade() {
	m.mean -= m.mean / fadeShare
	m.deviation -= m.deviation / fadeShare
}

// cautious returns a time that a request seldom exceeds.
func (m moving) cautious() time.Duration {
	return m.mean + cautiousDeviations*m.deviation
}
