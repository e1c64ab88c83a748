package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

const (
	defaultFailuresToEject = 3
	defaultEjectFor        = time.Second
	defaultMaxEjectFor     = 30 * time.Second
	// minReportHalfLife and maxReportHalfLife bound the age at which a report has half its weight. Between them the
	// half-life is the typical time to the first byte, because by then the load has changed.
	minReportHalfLife = 50 * time.Millisecond
	maxReportHalfLife = 5 * time.Second
	// tieTolerance is the relative difference up to which two costs count as equal.
	tieTolerance = 0.05
	// maxDraws bounds the random draws from a large tier before it is scanned.
	maxDraws = 12
)

// Options are the settings of a Router.
type Options struct {
	// Seed seeds the random choices.
	Seed uint64
	// FailureDomain is the entry's own failure domain, which is preferred on a tie.
	FailureDomain string
	// FailuresToEject is the number of consecutive failures after which an endpoint is ejected (0: 3).
	FailuresToEject int
	// EjectFor is the duration of the first ejection (0: 1 s); it doubles with each failed probe, up to MaxEjectFor (0:
	// 30 s).
	EjectFor, MaxEjectFor time.Duration
}

// Router chooses endpoints. It is not safe for concurrent use.
//
// Among candidates that have loaded the model it draws two at random and takes the one with the lower expected cost. If
// many entries all took the least loaded candidate by the same stale reports, they would overload it; the better of two
// random choices spreads the requests and still avoids busy candidates.
type Router struct {
	options Options
	random  *rand.Rand
	health  healthTracker
}

// NewRouter returns a router without observations.
func NewRouter(options Options) *Router {
	options.FailuresToEject = cmp.Or(options.FailuresToEject, defaultFailuresToEject)
	options.EjectFor = cmp.Or(options.EjectFor, defaultEjectFor)
	options.MaxEjectFor = cmp.Or(options.MaxEjectFor, defaultMaxEjectFor)
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &Router{options: options, random: random, health: newHealthTracker(options, random)}
}

// Tier groups candidates by how soon they can start a request; lower tiers are preferred.
type Tier int

// The tiers.
const (
	// TierAdapter: the model and the adapter are loaded, or the model is and no adapter was requested.
	TierAdapter Tier = iota
	// TierLoaded: the model is loaded, but not the adapter.
	TierLoaded
	// TierLoading: the model is being loaded.
	TierLoading
	// TierAbsent: the candidate has a slot and would have to load the model.
	TierAbsent
	// TierUncertain: the model is being unloaded, or the result of an order is unknown.
	TierUncertain
	tierCount
)

// TierOf returns a candidate's tier.
func TierOf(c *Candidate) Tier {
	switch c.State {
	case wirepb.ReplicaState_LOADED:
		if c.HasAdapter {
			return TierAdapter
		}
		return TierLoaded
	case wirepb.ReplicaState_LOADING:
		return TierLoading
	case wirepb.ReplicaState_ABSENT:
		return TierAbsent
	default:
		return TierUncertain
	}
}

// isCold reports whether the tier's candidates are chosen in the order of their slots. All entries then choose the same
// one, so that a burst of first requests shares one load.
func (t Tier) isCold() bool { return t >= TierLoading }

// usable reports whether a candidate may get a new request.
func usable(c *Candidate, tried []string) bool {
	return !c.Leaving && c.Reachable && !slices.Contains(tried, c.Endpoint)
}

// Pick returns the index of the candidate for the next attempt of a request; tried lists the endpoints of its earlier
// attempts. It returns false if no candidate is usable. It takes time linear in the number of candidates.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []string, class wirepb.Class) (int, bool) {
	if i := r.pickFrom(now, candidates, tried, false); i >= 0 {
		return i, true
	}
	// All remaining candidates are ejected; trying one that may have recovered is better than a refusal.
	i := r.pickFrom(now, candidates, tried, true)
	return i, i >= 0
}

func (r *Router) pickFrom(now time.Time, candidates []Candidate, tried []string, includeEjected bool) int {
	best := tierCount
	first, second, eligible := -1, -1, 0
	for i := range candidates {
		c := &candidates[i]
		tier := TierOf(c)
		if tier > best || !usable(c, tried) || !includeEjected && !r.health.admits(now, c.Endpoint) {
			continue
		}
		if tier < best {
			best, first, second, eligible = tier, -1, -1, 0
		}
		eligible++
		if tier.isCold() {
			if first < 0 || c.SlotIndex < candidates[first].SlotIndex {
				first = i
			}
			continue
		}
		first, second = r.reservoir(first, second, i, eligible)
	}
	if second >= 0 && r.cheaper(now, &candidates[second], &candidates[first]) {
		first = second
	}
	if first >= 0 {
		r.health.recordPick(now, candidates[first].Endpoint)
	}
	return first
}

// reservoir keeps a uniform random sample of two of the candidates seen so far; i is the index of the latest one and
// seen their number.
func (r *Router) reservoir(first, second, i, seen int) (int, int) {
	switch seen {
	case 1:
		return i, -1
	case 2:
		return first, i
	}
	switch r.random.IntN(seen) {
	case 0:
		return i, second
	case 1:
		return first, i
	default:
		return first, second
	}
}

// cheaper reports whether a is preferred to b.
func (r *Router) cheaper(now time.Time, a, b *Candidate) bool {
	average := (a.Wait + b.Wait) / 2
	costA, costB := r.cost(now, a, average), r.cost(now, b, average)
	if math.Abs(costA-costB) > tieTolerance*max(costA, costB) {
		return costA < costB
	}
	localA := a.FailureDomain == r.options.FailureDomain
	localB := b.FailureDomain == r.options.FailureDomain
	if localA != localB {
		return localA
	}
	return costA < costB
}

// cost is the expected time to the first byte, weighted by the number of requests that share the endpoint. The weight
// of the reported load decays with the report's age; the average reported wait makes up for the rest.
func (r *Router) cost(now time.Time, c *Candidate, average time.Duration) float64 {
	age := max(0, now.Sub(c.ReportedAt))
	halfLife := min(max(r.health.typicalFirstByte, minReportHalfLife), maxReportHalfLife)
	weight := math.Exp2(-float64(age) / float64(halfLife))
	wait := weight*float64(c.Wait) + (1-weight)*float64(average)
	others := weight * float64(max(0, c.Running+c.Queued-c.Sent))
	sharing := 1 + float64(c.Sent) + others
	return (wait + float64(r.health.typicalFirstByte)) * sharing * r.health.slowness(now, c.Endpoint)
}

// Observe records the outcome of an attempt.
func (r *Router) Observe(now time.Time, o Observation) { r.health.observe(now, o) }

// Forget drops the observations of an endpoint that no longer exists.
func (r *Router) Forget(endpoint string) { r.health.forget(endpoint) }
