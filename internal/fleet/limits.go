package fleet

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"balsamsail/internal/crashes"
	"balsamsail/internal/routing"
)

const (
	// initialLimitShare is this gateway's share of the limits before the number of hubs is known: there are eight gateways at most in
	// a full mesh.
	initialLimitShare = 1.0 / 8
	// limitRecheckInterval is the time without an answer of an endpoint after which it may get a request although others have
	// room, to see whether it still names its limit.
	limitRecheckInterval = 5 * time.Second
	// limitPlacementTTL is the time without an answer after which a limit no longer counts where models are placed. Requests
	// still keep to it: the first one to a model that is placed there shows whether the need has ended.
	limitPlacementTTL = 30 * time.Second
	// limitNewsTTL is how long it is passed on that an endpoint names no limit any more.
	limitNewsTTL = 10 * time.Second
	// limitSkew is by how much an observation of another gateway must be later than this gateway's own to replace it. Ages
	// grow on their way by less; without it, two gateways could pass each other's old news back as later ones.
	limitSkew = 100 * time.Millisecond
	// permitTTL is how long a permit of the hub may be used.
	permitTTL = time.Second
	// permitRetryInterval is the time after which a permit that was not granted is asked for again.
	permitRetryInterval = 250 * time.Millisecond
)

// RateLimit is what an endpoint in need says of the requests that it takes from all gateways together.
type RateLimit struct {
	// Named is set while the endpoint names a limit; PerSecond is valid only then.
	Named bool
	// PerSecond is in requests per second.
	PerSecond float64
}

// ObservedLimit is what an endpoint has said of its limit.
type ObservedLimit struct {
	crashes.Process
	RateLimit
	// ObservedAt is when the answer arrived or, of an answer without a limit, when its request was sent.
	ObservedAt time.Time
}

// limitState is what a gateway knows of an endpoint's limit, and what it may send to the endpoint.
//
// The limit counts for all gateways together. It is divided among the hubs, each of which has a bucket; a gateway behind a
// hub asks it for a permit for each request. Each bucket holds one request at most, so that all together send no more than
// one a hub beyond the rate.
type limitState struct {
	RateLimit
	// observedAt is when the endpoint last said so, to any gateway, as in ObservedLimit; changedAt is when the limit last changed.
	observedAt, changedAt time.Time
	// bucket is this gateway's share while it is its own hub; nil while there is no limit.
	bucket *rate.Limiter
	// permits is the number of requests that the hub allows until permitsEnd, and askedAt when it was last asked for one.
	permits             int
	permitsEnd, askedAt time.Time
}

// OnLimitChange sets a function that is called, with locks held, when the known limit of an endpoint changes. It must not
// block. Call OnLimitChange before the first request.
func (f *Fleet) OnLimitChange(call func()) { f.onLimitChange = call }

// OnPermitWanted sets a function that is called, with locks held, when a request needs a permit of the hub. It must not
// block. Call OnPermitWanted before the first request.
func (f *Fleet) OnPermitWanted(call func()) { f.onPermitWanted = call }

// ObserveLimit records what an answer of the chosen endpoint, to a request sent at sentAt, says of its limit. It reports whether
// that has changed.
func (f *Fleet) ObserveLimit(now, sentAt time.Time, c Choice, limit RateLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.chosen(c)
	if e == nil {
		return false
	}
	o := ObservedLimit{RateLimit: limit, ObservedAt: now}
	if !limit.Named {
		// The endpoint may have begun its answer as soon as it had the request, before it named a limit in another answer.
		o.ObservedAt = sentAt
	}
	return !o.ObservedAt.Before(e.limit.observedAt) && f.setLimit(now, e, o)
}

// ApplyLimits applies what other gateways have observed, where it is later than what this one knows and not of another process.
func (f *Fleet) ApplyLimits(now time.Time, list []ObservedLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range list {
		e := f.endpoints[o.EndpointID]
		if e == nil || o.Started != 0 && e.started != 0 && o.Started != e.started {
			continue
		}
		if o.ObservedAt.After(e.limit.observedAt.Add(limitSkew)) {
			f.setLimit(now, e, o)
		}
	}
}

// setLimit reports whether the limit has changed. The lock must be held.
func (f *Fleet) setLimit(now time.Time, e *endpoint, o ObservedLimit) bool {
	e.limit.observedAt = o.ObservedAt
	if e.limit.RateLimit == o.RateLimit {
		return false
	}
	e.limit.RateLimit, e.limit.changedAt = o.RateLimit, now
	f.divideLimit(now, e)
	f.notify()
	if f.onLimitChange != nil {
		f.onLimitChange()
	}
	return true
}

// SetLimitShare sets this gateway's share of the limits of endpoints, which are divided among the gateways that are hubs.
func (f *Fleet) SetLimitShare(now time.Time, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if share == f.limitShare {
		return
	}
	f.limitShare = share
	for _, e := range f.endpoints {
		f.divideLimit(now, e)
	}
}

// spendReserve empties the bucket, whose reserve the endpoint has had by other ways: through this gateway before the limit was
// known, or with permits of the hub.
func (s *limitState) spendReserve(now time.Time) {
	if s.bucket != nil {
		s.bucket.AllowN(now, 1)
	}
}

// divideLimit sets the rate of this gateway's share. The lock must be held.
func (f *Fleet) divideLimit(now time.Time, e *endpoint) {
	if !e.limit.Named {
		e.limit.bucket, e.limit.permits = nil, 0
		return
	}
	share := rate.Limit(e.limit.PerSecond * f.limitShare)
	if e.limit.bucket == nil {
		e.limit.bucket = rate.NewLimiter(share, 1)
		e.limit.spendReserve(now)
		return
	}
	e.limit.bucket.SetLimitAt(now, share)
}

// Limits returns the limits that endpoints name, and those that have lately ended.
func (f *Fleet) Limits(now time.Time) []ObservedLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ObservedLimit
	for id, e := range f.endpoints {
		ended := !e.limit.Named && !e.limit.changedAt.IsZero() && now.Sub(e.limit.changedAt) < limitNewsTTL
		if e.limit.Named || ended {
			list = append(list, ObservedLimit{
				Process: crashes.Process{EndpointID: id, Started: e.started}, RateLimit: e.limit.RateLimit, ObservedAt: e.limit.observedAt,
			})
		}
	}
	return list
}

// splitByLimit separates the candidates that name a limit from the others. Requests go to the others as long as one of them
// has room: the limited ones keep what they take for requests that nobody else can serve. One that has said nothing for some
// time counts among the others for a request that it may get: nothing else would show the end of its need.
func (f *Fleet) splitByLimit(now time.Time, candidates []routing.Candidate) (unlimited, limited []routing.Candidate) {
	isNamed := func(c routing.Candidate) bool { return f.endpoints[c.Endpoint].limit.Named }
	if !slices.ContainsFunc(candidates, isNamed) {
		return candidates, nil
	}
	for _, c := range candidates {
		if isNamed(c) && !f.recheckLimit(now, f.endpoints[c.Endpoint]) {
			limited = append(limited, c)
		} else {
			unlimited = append(unlimited, c)
		}
	}
	return unlimited, limited
}

// recheckLimit reports whether an endpoint that names a limit may get a request to see whether it still does. The lock must
// be held.
func (f *Fleet) recheckLimit(now time.Time, e *endpoint) bool {
	if now.Sub(e.limit.observedAt) < limitRecheckInterval {
		return false
	}
	if f.permitted(now, e) {
		return true
	}
	f.wantPermit(now, e)
	return false
}

// pickLimited chooses among candidates that name a limit, after no other could be chosen.
func (f *Fleet) pickLimited(now time.Time, limited []routing.Candidate, req *Request, others picked) picked {
	untried := slices.DeleteFunc(limited, func(c routing.Candidate) bool { return slices.Contains(req.Tried, c.Endpoint) })
	if len(untried) == 0 {
		return others
	}
	allowed := slices.DeleteFunc(slices.Clone(untried), func(c routing.Candidate) bool { return !f.permitted(now, f.endpoints[c.Endpoint]) })
	if len(allowed) > 0 {
		if p := f.pick(now, allowed, req, AllTried); p.ok || !others.room {
			return p
		}
		return others
	}
	for _, c := range untried {
		f.wantPermit(now, f.endpoints[c.Endpoint])
	}
	if !others.room || others.reason == AllTried {
		others.reason = EnginesFull
	}
	return others
}

// permitted reports whether a request may be sent to an endpoint now. The lock must be held.
func (f *Fleet) permitted(now time.Time, e *endpoint) bool {
	switch {
	case !e.limit.Named:
		return true
	case f.relaying:
		return e.limit.permits > 0 && now.Before(e.limit.permitsEnd)
	}
	return e.limit.bucket.TokensAt(now) >= 1
}

// usePermit counts a request that is sent to an endpoint. The lock must be held.
func (f *Fleet) usePermit(now time.Time, e *endpoint) {
	switch {
	case !e.limit.Named:
	case f.relaying:
		e.limit.permits--
	default:
		e.limit.bucket.AllowN(now, 1)
	}
}

// wantPermit records that a request needs a permit of the hub. The lock must be held.
func (f *Fleet) wantPermit(now time.Time, e *endpoint) {
	if !f.relaying || now.Sub(e.limit.askedAt) < permitRetryInterval {
		return
	}
	e.limit.askedAt = now
	f.wantedPermits[e.ID] = true
	if f.onPermitWanted != nil {
		f.onPermitWanted()
	}
}

// WantedPermits returns the endpoints for which requests need permits of the hub, and clears them; requests that still
// wait ask again.
func (f *Fleet) WantedPermits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.wantedPermits))
	for id := range f.wantedPermits {
		ids = append(ids, id)
	}
	clear(f.wantedPermits)
	return ids
}

// AddPermits records permits of the hub, one for each of the given endpoints.
func (f *Fleet) AddPermits(now time.Time, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		e := f.endpoints[id]
		if e == nil || !e.limit.Named {
			continue
		}
		if !now.Before(e.limit.permitsEnd) {
			e.limit.permits = 0
		}
		e.limit.permits++
		e.limit.permitsEnd, e.limit.askedAt = now.Add(permitTTL), time.Time{}
		f.notify()
	}
}

// TakePermit takes a request to an endpoint out of this gateway's share, for a gateway that it is the hub of. It reports
// whether there was one left.
func (f *Fleet) TakePermit(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	return e != nil && (!e.limit.Named || e.limit.bucket.AllowN(now, 1))
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

// RegisterMetrics registers the metrics of a gateway's view of the endpoints.
func RegisterMetrics(r prometheus.Registerer, f *Fleet) error {
	return r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "balsamsail_fleet_limited_endpoints", Help: "Endpoints that name a limit on the requests that they take.",
	}, func() float64 { return float64(f.LimitedEndpoints()) }))
}
