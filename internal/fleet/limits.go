package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RateLimit is what an endpoint in need says of the requests that it takes from all gateways together.
type RateLimit struct {
	// Named is set while the endpoint names a limit; PerSecond is valid only then.
	Named bool
	// PerSecond is in requests per second.
	PerSecond float64
}

// limitState is what a gateway knows of an endpoint's limit.
type limitState struct {
	RateLimit
	// observedAt is when the endpoint last said so.
	observedAt time.Time
}

// ObserveLimit records what an answer of an endpoint says of its limit, and reports whether that has changed.
func (f *Fleet) ObserveLimit(now time.Time, id string, limit RateLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return false
	}
	changed := e.limit.RateLimit != limit
	e.limit = limitState{RateLimit: limit, observedAt: now}
	return changed
}

// RegisterMetrics registers the metrics of a gateway's view of the endpoints.
func RegisterMetrics(r prometheus.Registerer, f *Fleet) error {
	return r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "balsamsail_fleet_limited_endpoints", Help: "Endpoints that name a limit on the requests that they take.",
	}, func() float64 { return float64(f.LimitedEndpoints()) }))
}

// LimitedEndpoints returns the number of endpoints that name a limit.
func (f *Fleet) LimitedEndpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		if e.limit.Named {
			n++
		}
	}
	return n
}

// SetLimitShares sets into how many shares the limits of endpoints are divided: the number of gateways that are hubs.
func (f *Fleet) SetLimitShares(n int) {}
