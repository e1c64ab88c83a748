// Package idle decides for how long an idle model version stays loaded.
package idle

import "time"

// Options are the settings of a Policy.
type Options struct {
	// ColdStartWeight is the cost of one second that a request waits for a cold start.
	ColdStartWeight float64
	// IdleWeight is the cost of one second in which a whole accelerator is held by an idle model.
	IdleWeight float64
	// Min and Max bound the time that an idle model stays loaded.
	Min, Max time.Duration
}

// Policy learns each model version's gaps between requests. It is not safe for concurrent use.
type Policy struct {
	opts Options
}

// NewPolicy returns a Policy that has seen no requests.
func NewPolicy(opts Options) *Policy {
	return &Policy{opts: opts}
}

// Observe notes the arrival of a request for a model version.
func (p *Policy) Observe(string, time.Time) {}

// Keep returns how long the model version stays loaded after its last request ended.
func (p *Policy) Keep(string, time.Time, time.Duration, float64) time.Duration {
	return p.opts.Min
}
