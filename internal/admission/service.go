package admission

import "time"

// ServiceTimes learns from ended requests of one target how long they take. It is not safe for concurrent use.
type ServiceTimes struct {
	first, whole moving
}

// smoothing is the weight of a new sample in the moving mean and deviation, and deviations how many mean deviations
// above the mean a cautious time lies; both as in TCP's retransmission timer.
const (
	meanSmoothing      = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	cautiousDeviations = 2
)

// moving is a moving mean with its mean deviation.
type moving struct {
	mean, deviation time.Duration
	known           bool
}

func (m *moving) observe(d time.Duration) {
	if !m.known {
		m.mean, m.deviation, m.known = d, d/4, true
		return
	}
	off := d - m.mean
	m.mean += time.Duration(float64(off) * meanSmoothing)
	m.deviation += time.Duration(float64(off.Abs()-m.deviation) * deviationSmoothing)
}

func (m *moving) cautious() time.Duration {
	return m.mean + cautiousDeviations*m.deviation
}

// NewServiceTimes returns an estimator that believes the given times until it has seen samples (0: nothing known).
func NewServiceTimes(first, whole time.Duration) *ServiceTimes {
	s := &ServiceTimes{}
	if first > 0 {
		s.first.observe(first)
	}
	if whole > 0 {
		s.whole.observe(whole)
	}
	return s
}

// ObserveFirst notes the time from the start of a request to its first token.
func (s *ServiceTimes) ObserveFirst(d time.Duration) { s.first.observe(d) }

// ObserveWhole notes the time from the start of a request to its end.
func (s *ServiceTimes) ObserveWhole(d time.Duration) { s.whole.observe(d) }

// Fill sets the times of an estimate from what was learnt.
func (s *ServiceTimes) Fill(e *Estimate) {
	e.Service = s.whole.mean
	e.First = s.first.cautious()
	e.Whole = s.whole.cautious()
}
