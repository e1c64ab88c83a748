package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Index holds the usable candidates of one target by tier and is updated with each load report, so that a choice among
// thousands of candidates takes a few random draws instead of a scan. It is not safe for concurrent use.
type Index struct {
	tiers     [tierCount][]Candidate
	positions map[string]position
}

// position is a candidate's position in the index.
type position struct {
	tier  Tier
	index int
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{positions: make(map[string]position)} }

// Put adds or replaces a candidate. It removes one that must not get requests.
func (x *Index) Put(c Candidate) {
	if !usable(&c, nil) {
		x.Remove(c.Endpoint)
		return
	}
	tier := TierOf(&c)
	if p, ok := x.positions[c.Endpoint]; ok && p.tier == tier {
		x.tiers[tier][p.index] = c
		return
	}
	x.Remove(c.Endpoint)
	x.positions[c.Endpoint] = position{tier: tier, index: len(x.tiers[tier])}
	x.tiers[tier] = append(x.tiers[tier], c)
}

// Remove removes a candidate.
func (x *Index) Remove(endpoint string) {
	p, ok := x.positions[endpoint]
	if !ok {
		return
	}
	delete(x.positions, endpoint)
	list := x.tiers[p.tier]
	last := len(list) - 1
	if p.index != last {
		list[p.index] = list[last]
		x.positions[list[p.index].Endpoint] = p
	}
	list[last] = Candidate{}
	x.tiers[p.tier] = list[:last]
}

// Len returns the number of candidates.
func (x *Index) Len() int { return len(x.positions) }

// Get returns a candidate, or nil if the endpoint isn't in the index. The pointer is valid until the next Put or
// Remove; the caller may change its Sent.
func (x *Index) Get(endpoint string) *Candidate {
	p, ok := x.positions[endpoint]
	if !ok {
		return nil
	}
	return &x.tiers[p.tier][p.index]
}

// PickIndexed is like Pick, but over an index. It takes the time of a few draws, and scans a tier only if all draws hit
// endpoints that were tried or ejected, or if the tier is cold.
func (r *Router) PickIndexed(now time.Time, x *Index, tried []string, class wirepb.Class) (Candidate, bool) {
	for tier, list := range x.tiers {
		if len(list) == 0 {
			continue
		}
		if c := r.pickInTier(now, Tier(tier), list, tried); c != nil {
			r.health.recordPick(now, c.Endpoint)
			return *c, true
		}
	}
	for _, list := range x.tiers {
		if i := r.pickFrom(now, list, tried, true); i >= 0 {
			return list[i], true
		}
	}
	return Candidate{}, false
}

// pickInTier returns the chosen candidate of one tier, or nil.
func (r *Router) pickInTier(now time.Time, tier Tier, list []Candidate, tried []string) *Candidate {
	if !tier.isCold() && len(list) > maxDraws {
		if c := r.draw(now, list, tried); c != nil {
			return c
		}
	}
	if i := r.pickFrom(now, list, tried, false); i >= 0 {
		return &list[i]
	}
	return nil
}

// draw returns the cheaper of two usable candidates drawn at random. If the draws hit only one, it returns that one,
// and nil if none.
func (r *Router) draw(now time.Time, list []Candidate, tried []string) *Candidate {
	var first *Candidate
	for range maxDraws {
		c := &list[r.random.IntN(len(list))]
		if c == first || !usable(c, tried) || !r.health.admits(now, c.Endpoint) {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if r.cheaper(now, c, first) {
			return c
		}
		return first
	}
	return first
}
