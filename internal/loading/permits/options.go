// Package permits shares the weight store's load budget among the agents that load from it.
//
// One entry, chosen by rendezvous hashing, is the issuer: it holds a Budget and grants the permits. The Budget is soft
// state in memory only, and a new issuer rebuilds it from the agents' reports. An inaccurate Budget, or two issuers at
// once, may put more loads in flight than the store serves at full speed, which slows loads down but is safe: no
// correctness property depends on permits.
package permits

import "time"

// Defaults of Options.
const (
	DefaultLease       = 15 * time.Second
	DefaultStartWithin = 2 * time.Second
	DefaultMinRetry    = 250 * time.Millisecond
	DefaultMaxPending  = 16384
)

// Options are the settings of a Budget. Zero values of the optional ones mean the defaults.
type Options struct {
	// LoadsPerSecond is the rate at which loads of weights may start; 0 means unlimited.
	LoadsPerSecond float64
	// LoadsAtOnce is the maximum number of concurrent loads of weights; 0 means unlimited.
	LoadsAtOnce int
	// MaxAdapterLoads is the maximum number of concurrent loads of adapters; 0 means unlimited.
	MaxAdapterLoads int
	// Lease is how long a permit or a report remains valid without a renewal by its agent (optional).
	Lease time.Duration
	// StartWithin is the time within which a permit must be used (optional).
	StartWithin time.Duration
	// MinRetry and MaxRetry bound the delay after which a denied agent retries (optional). MaxRetry should be below the
	// agents' permit timeout, so that an agent gets an answer before it considers the issuer dead.
	MinRetry, MaxRetry time.Duration
	// MaxPending bounds the waiting requests, and also the tracked agents and models (optional).
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

// spacing returns the minimum time between two starts of weights.
func (o Options) spacing() time.Duration {
	if o.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / o.LoadsPerSecond)
}
