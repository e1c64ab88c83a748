package permits

import "time"

// smoothing is the weight of the newest observation in a moving average.
const smoothing = 0.25

// durations tracks the average load durations, per kind and per model version or adapter.
type durations struct {
	overall   [numKinds]time.Duration
	byModel   map[string]time.Duration
	maxModels int
}

// newDurations estimates the initial averages from the limits: the duration of a load at full speed.
func newDurations(opts Options) durations {
	d := durations{byModel: map[string]time.Duration{}, maxModels: opts.MaxPending}
	d.overall[weights] = opts.spacing() * time.Duration(max(1, opts.LoadsAtOnce))
	return d
}

// observe records the time for which a permit was held.
func (d *durations) observe(k kind, model string, took time.Duration) {
	d.overall[k] = average(d.overall[k], took)
	old, ok := d.byModel[model]
	switch {
	case ok:
		d.byModel[model] = average(old, took)
	case len(d.byModel) < d.maxModels:
		d.byModel[model] = took
	}
}

// expected returns the expected duration of a load of the model version or adapter.
func (d *durations) expected(k kind, model string) time.Duration {
	if t, ok := d.byModel[model]; ok {
		return t
	}
	return d.overall[k]
}

// average updates a moving average with a new observation.
func average(old, observed time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(observed-old))
}
