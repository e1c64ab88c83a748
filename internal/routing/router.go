package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Options are the settings of a Router.
type Options struct {
	// Seed seeds the choices.
	Seed uint64
	// FailureDomain is the entry's own, preferred as a tie-break.
	FailureDomain string
}

// Observation is what the entry saw of one attempt.
type Observation struct {
	Endpoint string
	Outcome  Outcome
	// Expected is the wait that the candidate reported when it was picked, and FirstByte the time from the offer to the
	// first byte of the answer; 0 when none came.
	Expected, FirstByte time.Duration
	// Cold is set when the request waited for a load; its time says nothing of the endpoint's speed.
	Cold bool
}

// Router chooses endpoints. It is not safe for concurrent use.
type Router struct {
	options Options
	random  *rand.Rand
}

// NewRouter returns a router that has observed nothing yet.
func NewRouter(options Options) *Router {
	return &Router{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
}

// Pick returns the index of the candidate that should serve the next attempt of a request; tried names the endpoints of
// the attempts before. It returns false when no candidate may be used.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []string, class wirepb.Class) (int, bool) {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || !c.Reachable || slices.Contains(tried, c.Endpoint) {
			continue
		}
		if best < 0 || before(c, &candidates[best]) {
			best = i
		}
	}
	return best, best >= 0
}

func before(a, b *Candidate) bool {
	if ta, tb := tierOf(a), tierOf(b); ta != tb {
		return ta < tb
	}
	if tierOf(a) >= TierLoading {
		return a.SlotIndex < b.SlotIndex
	}
	return a.Wait < b.Wait
}

// Observe notes the end of an attempt.
func (r *Router) Observe(now time.Time, o Observation) {}

// Forget drops what was observed of an endpoint that is gone.
func (r *Router) Forget(endpoint string) {}

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
	tierCount
)

func tierOf(c *Candidate) Tier {
	switch {
	case c.State == wirepb.ReplicaState_LOADED && c.HasAdapter:
		return TierAdapter
	case c.State == wirepb.ReplicaState_LOADED:
		return TierLoaded
	case c.State == wirepb.ReplicaState_LOADING:
		return TierLoading
	default:
		return TierAbsent
	}
}
