// Package permits shares the weight store's load budget among the agents that load from it.
//
// One entry, picked by rendezvous hashing, holds a Budget and hands out the permits. The Budget is soft state: it lives
// in memory only, and a new issuer learns what runs from the agents' reports. A wrong view, or two issuers at once, puts
// more loads in flight than the store serves at full speed, which slows loads and breaks nothing; no property of the
// system rests on a permit.
package permits

import "time"

// Defaults of the settings.
const (
	DefaultLease       = 15 * time.Second
	DefaultStartWithin = 2 * time.Second
	DefaultMinRetry    = 250 * time.Millisecond
	DefaultMaxPending  = 16384
)

// Options are the settings of a Budget. Zero values of the optional ones mean the defaults.
type Options struct {
	// LoadsPerSecond is the rate at which loads of weights may start; 0 means no limit of the rate.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads of weights that may be in flight; 0 means no limit.
	LoadsAtOnce int
	// AdaptersInTransit is the number of adapters that may be in flight; 0 means no limit.
	AdaptersInTransit int
	// Lease is how long a permit or a report counts without a sign of life from its agent (optional).
	Lease time.Duration
	// StartWithin is the time in which a permit must be used (optional).
	StartWithin time.Duration
	// MinRetry and MaxRetry bound the time after which a denied agent asks again (optional). MaxRetry is below the
	// agents' patience, so that an agent hears from the issuer before it takes it for gone.
	MinRetry, MaxRetry time.Duration
	// MaxPending bounds the requests that wait, and also the agents and the models that are remembered (optional).
	MaxPending int
}

// withDefaults fills in the optional settings.
func (o Options) withDefaults() Options {
	if o.Lease <= 0 {
		o.Lease = DefaultLease
	}
	if o.StartWithin <= 0 {
		o.StartWithin = min(DefaultStartWithin, o.Lease)
	}
	if o.MinRetry <= 0 {
		o.MinRetry = DefaultMinRetry
	}
	if o.MaxRetry <= 0 {
		o.MaxRetry = o.Lease / 5
	}
	o.MaxRetry = max(o.MaxRetry, o.MinRetry)
	if o.MaxPending <= 0 {
		o.MaxPending = DefaultMaxPending
	}
	return o
}

// spacing returns the least time between two starts of weights.
func (o Options) spacing() time.Duration {
	if o.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / o.LoadsPerSecond)
}
