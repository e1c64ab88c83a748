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
	// minReportHalfLife and maxReportHalfLife bound the age at which half of a report is still believed. In between it is
	// the typical time to the first byte: by then the load has changed.
	minReportHalfLife = 50 * time.Millisecond
	maxReportHalfLife = 5 * time.Second
	// tieShare is the part by which two costs may differ and still be a tie.
	tieShare = 0.05
	// draws bounds the random draws for candidates of a large set before it is scanned.
	draws = 12
)

// Options are the settings of a Router.
type Options struct {
	// Seed seeds the choices.
	Seed uint64
	// FailureDomain is the entry's own, preferred as a tie-break.
	FailureDomain string
	// FailuresToEject is how many failures in a row take an endpoint out of the choice (0: 3).
	FailuresToEject int
	// EjectFor is how long the first time (0: 1 s); it doubles with each failed probe up to MaxEjectFor (0: 30 s).
	EjectFor, MaxEjectFor time.Duration
}

// Router chooses endpoints. It is not safe for concurrent use.
//
// Among loaded candidates it draws two at random and takes the one with the lower expected cost. Many entries that all
// took the least loaded by the same late reports would flood it; two random choices spread and still avoid the busy ones.
type Router struct {
	options Options
	random  *rand.Rand
	health  healthBook
}

// NewRouter returns a router that has observed nothing yet.
func NewRouter(options Options) *Router {
	options.FailuresToEject = cmp.Or(options.FailuresToEject, defaultFailuresToEject)
	options.EjectFor = cmp.Or(options.EjectFor, defaultEjectFor)
	options.MaxEjectFor = cmp.Or(options.MaxEjectFor, defaultMaxEjectFor)
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &Router{options: options, random: random, health: newHealthBook(options, random)}
}

// Tier groups candidates by how soon they can begin; a lower one goes first.
type Tier int

// The tiers.
const (
	// TierAdapter holds the model and the adapter, or no adapter was asked for.
	TierAdapter Tier = iota
	// TierLoaded holds the model without the adapter.
	TierLoaded
	// TierLoading loads the model.
	TierLoading
	// TierAbsent has a slot and would load the model.
	TierAbsent
	// TierDoubtful unloads the model or does not know what became of an order.
	TierDoubtful
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
		return TierDoubtful
	}
}

// isCold reports whether the tier's candidates go in the order of their slots. All entries then choose the same one, so
// that a burst of first requests joins one load.
func (t Tier) isCold() bool { return t >= TierLoading }

// usable reports whether a candidate may get a new request at all.
func usable(c *Candidate, tried []string) bool {
	return !c.Leaving && c.Reachable && !slices.Contains(tried, c.Endpoint)
}

// Pick returns the index of the candidate that should serve the next attempt of a request; tried names the endpoints of
// the attempts before. It returns false when no candidate may be used. It takes time in proportion to the candidates.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []string, class wirepb.Class) (int, bool) {
	if i := r.pickFrom(now, candidates, tried, false); i >= 0 {
		return i, true
	}
	// All that are left were ejected: the chance that one works again is better than no answer.
	i := r.pickFrom(now, candidates, tried, true)
	return i, i >= 0
}

func (r *Router) pickFrom(now time.Time, candidates []Candidate, tried []string, ejectedToo bool) int {
	best := tierCount
	first, second, eligible := -1, -1, 0
	for i := range candidates {
		c := &candidates[i]
		tier := TierOf(c)
		if tier > best || !usable(c, tried) || !ejectedToo && !r.health.admits(now, c.Endpoint) {
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
		r.health.picked(now, candidates[first].Endpoint)
	}
	return first
}

// reservoir keeps two of the candidates seen so far, each pair with the same chance; i is the one seen as number seen.
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

// cheaper reports whether a should be chosen before b.
func (r *Router) cheaper(now time.Time, a, b *Candidate) bool {
	average := (a.Wait + b.Wait) / 2
	costA, costB := r.cost(now, a, average), r.cost(now, b, average)
	if math.Abs(costA-costB) > tieShare*max(costA, costB) {
		return costA < costB
	}
	nearA := a.FailureDomain == r.options.FailureDomain
	nearB := b.FailureDomain == r.options.FailureDomain
	if nearA != nearB {
		return nearA
	}
	return costA < costB
}

// cost is the expected time to the first byte, weighted by how many requests share the endpoint. What was reported counts
// less the older it is, and the average of the wait in its place.
func (r *Router) cost(now time.Time, c *Candidate, average time.Duration) float64 {
	age := max(0, now.Sub(c.ReportedAt))
	halfLife := min(max(r.health.typical, minReportHalfLife), maxReportHalfLife)
	trust := math.Exp2(-float64(age) / float64(halfLife))
	wait := trust*float64(c.Wait) + (1-trust)*float64(average)
	others := trust * float64(max(0, c.Running+c.Queued-c.Sent))
	sharing := 1 + float64(c.Sent) + others
	return (wait + float64(r.health.typical)) * sharing * r.health.slowness(now, c.Endpoint)
}

// Observe notes the end of an attempt.
func (r *Router) Observe(now time.Time, o Observation) { r.health.observe(now, o) }

// Forget drops what was observed of an endpoint that is gone.
func (r *Router) Forget(endpoint string) { r.health.forget(endpoint) }
