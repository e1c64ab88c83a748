// Package idle decides for how long an idle model version stays loaded, and for how long a batch request may wait for
// others before it wakes a cold one.
//
// The policy learns a histogram of the gaps between requests of each model version, as the hybrid histogram policy of
// "Serverless in the Wild: Characterizing and Optimizing the Serverless Workload at a Large Cloud Provider" (Shahrad et
// al., USENIX ATC 2020) does. It differs in two points. The keep-alive time is not a percentile of the gaps but the time
// of least expected cost under the operator's two weights, so that a slow load or a small model is kept for longer. And a
// model with few requests borrows from the gaps of all models, instead of a fixed time, so that a policy that lost its
// memory with its host starts well.
package idle

import (
	"time"

	"balsamsail/internal/loading"
)

// Defaults of the settings.
const (
	DefaultMax       = 24 * time.Hour
	DefaultHalfLife  = 7 * 24 * time.Hour
	DefaultMaxModels = 4096
)

// priorStrength is how many gaps weigh as much as what was known before: for a model what all models do, and for all
// models what is assumed of a gap of which nothing is known.
const priorStrength = 2

// Options are the settings of a Policy. Only the ratio of the two weights matters for the choice; both zero mean the
// defaults.
type Options struct {
	// ColdStartWeight is the cost of one second that a request waits for a cold start.
	ColdStartWeight float64
	// IdleWeight is the cost of one second in which a whole accelerator is held by an idle model.
	IdleWeight float64
	// Min and Max bound the time that an idle model stays loaded; a zero Max means the default.
	Min, Max time.Duration
	// HalfLife is the time after which an observed gap counts half (optional).
	HalfLife time.Duration
	// MaxModels bounds the model versions that are remembered (optional).
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

// history is what is known of one model version.
type history struct {
	gaps histogram
	last time.Time
}

// Policy learns each model version's gaps between requests. It is a state machine without clock or I/O and not safe for
// concurrent use.
type Policy struct {
	opts   Options
	models map[string]*history
	// all holds the gaps of all model versions.
	all histogram
}

var _ loading.IdlePolicy = (*Policy)(nil)

// NewPolicy returns a Policy that has seen no requests.
func NewPolicy(opts Options) *Policy {
	p := &Policy{opts: opts.withDefaults(), models: map[string]*history{}}
	p.SetWeights(opts.ColdStartWeight, opts.IdleWeight)
	return p
}

// Observe notes the arrival of a request for a model version whose caller waits. Requests that may be held back are not
// told to the policy, as they don't say when the next caller comes.
func (p *Policy) Observe(model string, now time.Time) {
	h := p.models[model]
	if h == nil {
		p.makeRoom()
		p.models[model] = &history{last: now}
		return
	}
	gap := now.Sub(h.last)
	h.gaps.add(gap, now, p.opts.HalfLife)
	p.all.add(gap, now, p.opts.HalfLife)
	h.last = now
}

// makeRoom forgets the model version whose last request is the longest ago, if there are too many.
func (p *Policy) makeRoom() {
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

// Keep returns how long the model version stays loaded after its last request ended, which is at now. The answer doesn't
// change with now until the next request is observed, so it may also be asked for again while the model is idle.
func (p *Policy) Keep(model string, now time.Time, coldStart time.Duration, memoryShare float64) time.Duration {
	coldStartCost := p.opts.ColdStartWeight * coldStart.Seconds()
	idleRate := p.opts.IdleWeight * memoryShare
	if idleRate <= 0 {
		return p.opts.Max
	}
	hz := p.all.hazards(unknown(), priorStrength)
	h := p.models[model]
	if h != nil {
		hz = h.gaps.hazards(hz, priorStrength)
	}
	keep := min(max(hz.cheapestKeep(coldStartCost, idleRate), p.opts.Min), p.opts.Max)
	if h != nil && now.Sub(h.last) > keep {
		// The last caller was here longer ago than the model is worth keeping: only held requests woke it.
		return p.opts.Min
	}
	return keep
}
