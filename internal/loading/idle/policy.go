// Package idle decides how long an idle model version stays loaded, and how long a batch request may be held before it
// triggers a load of a cold one.
//
// The policy keeps a histogram of the gaps between requests of each model version, like the hybrid histogram policy of
// "Serverless in the Wild: Characterizing and Optimizing the Serverless Workload at a Large Cloud Provider" (Shahrad et
// al., USENIX ATC 2020). It differs in two points. The keep-alive time is not a percentile of the gaps but the time of
// least expected cost under the operator's two weights, so that a model that loads slowly or is small is kept longer.
// And for a model with few requests it uses the gaps of all models as a prior instead of a fixed time, so that a policy
// that lost its history with its host recovers quickly.
package idle

import (
	"time"

	"balsamsail/internal/loading"
)

// Defaults of Options.
const (
	DefaultMax       = 24 * time.Hour
	DefaultHalfLife  = 7 * 24 * time.Hour
	DefaultMaxModels = 4096
)

// priorStrength is the weight of a prior in gaps. The prior of a model is the distribution over all models, and the
// prior of that distribution is defaultHazards.
const priorStrength = 2

// Options are the settings of a Policy. Only the ratio of the two weights affects the result; both zero mean the
// defaults.
type Options struct {
	// ColdStartWeight is the cost of one second that a request waits for a cold start.
	ColdStartWeight float64
	// IdleWeight is the cost of one second in which an idle model occupies a whole accelerator.
	IdleWeight float64
	// Min and Max bound the time that an idle model stays loaded; a zero Max means the default.
	Min, Max time.Duration
	// HalfLife is the age at which the weight of an observed gap is halved (optional).
	HalfLife time.Duration
	// MaxModels bounds the number of model versions with a history (optional).
	MaxModels int
}

// withDefaults fills in the optional settings.
func (o Options) withDefaults() Options {
	if o.Max <= 0 {
		o.Max = DefaultMax
	}
	if o.HalfLife <= 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.MaxModels <= 0 {
		o.MaxModels = DefaultMaxModels
	}
	o.Max = max(o.Max, o.Min)
	return o
}

// history is the request history of one model version.
type history struct {
	gaps histogram
	last time.Time
}

// Policy records the gaps between requests of each model version. It is a state machine without clock or I/O and is not
// safe for concurrent use.
type Policy struct {
	opts   Options
	models map[string]*history
	// all counts the gaps of all model versions.
	all histogram
}

var _ loading.IdlePolicy = (*Policy)(nil)

// NewPolicy returns a Policy without any history.
func NewPolicy(opts Options) *Policy {
	p := &Policy{opts: opts.withDefaults(), models: map[string]*history{}}
	p.SetWeights(opts.ColdStartWeight, opts.IdleWeight)
	return p
}

// Observe records the arrival of a request for a model version whose caller is waiting. Requests that may be held must
// not be passed to it, as they do not predict when the next interactive request arrives.
func (p *Policy) Observe(model string, now time.Time) {
	h := p.models[model]
	if h == nil {
		p.evictOldest()
		p.models[model] = &history{last: now}
		return
	}
	gap := now.Sub(h.last)
	h.gaps.add(gap, now, p.opts.HalfLife)
	p.all.add(gap, now, p.opts.HalfLife)
	h.last = now
}

// evictOldest drops the history of the model version that was requested least recently if the limit is reached.
func (p *Policy) evictOldest() {
	if len(p.models) < p.opts.MaxModels {
		return
	}
	var oldest string
	for model, h := range p.models {
		if oldest == "" || h.last.Before(p.models[oldest].last) {
			oldest = model
		}
	}
	delete(p.models, oldest)
}

// Keep returns how long the model version stays loaded after its last request ended at now. The result is the same for
// later values of now until the next request is observed, so it may be queried again while the model is idle.
func (p *Policy) Keep(model string, now time.Time, coldStart time.Duration, memoryShare float64) time.Duration {
	coldStartCost := p.opts.ColdStartWeight * coldStart.Seconds()
	idleRate := p.opts.IdleWeight * memoryShare
	if idleRate <= 0 {
		return p.opts.Max
	}
	hz := p.all.hazards(defaultHazards(), priorStrength)
	h := p.models[model]
	if h != nil {
		hz = h.gaps.hazards(hz, priorStrength)
	}
	keep := min(max(hz.cheapestKeep(coldStartCost, idleRate), p.opts.Min), p.opts.Max)
	if h != nil && now.Sub(h.last) > keep {
		// The last interactive request is older than the keep time, so only held requests have used the model since.
		return p.opts.Min
	}
	return keep
}
