package loading

import "time"

// fixedPolicy keeps each idle replica for the same time.
type fixedPolicy time.Duration

func (fixedPolicy) Observe(string, time.Time) {}

func (p fixedPolicy) Keep(string, time.Time, time.Duration, float64) time.Duration {
	return time.Duration(p)
}
