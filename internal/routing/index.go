package routing

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Index holds the usable candidates of one target by tier, kept up to date as reports come, so that a choice among
// thousands takes a few random draws and no scan. It is not safe for concurrent use.
type Index struct {
	tiers  [tierCount][]Candidate
	places map[string]place
}

// place is where a candidate stands.
type place struct {
	tier  Tier
	index int
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{places: make(map[string]place)} }

// Put adds a candidate or replaces what is known of it. One that may get no request is taken out.
func (x *Index) Put(c Candidate) {
	if !usable(&c, nil) {
		x.Remove(c.Endpoint)
		return
	}
	tier := TierOf(&c)
	if p, ok := x.places[c.Endpoint]; ok && p.tier == tier {
		x.tiers[tier][p.index] = c
		return
	}
	x.Remove(c.Endpoint)
	x.places[c.Endpoint] = place{tier: tier, index: len(x.tiers[tier])}
	x.tiers[tier] = append(x.tiers[tier], c)
}

// Remove takes a candidate out.
func (x *Index) Remove(endpoint string) {
	p, ok := x.places[endpoint]
	if !ok {
		return
	}
	delete(x.places, endpoint)
	list := x.tiers[p.tier]
	last := len(list) - 1
	if p.index != last {
		list[p.index] = list[last]
		x.places[list[p.index].Endpoint] = p
	}
	list[last] = Candidate{}
	x.tiers[p.tier] = list[:last]
}

// Len returns the number of candidates.
func (x *Index) Len() int { return len(x.places) }

// Get returns what is known of a candidate, or nil. It is valid until the next Put or Remove, and its Sent may be changed.
func (x *Index) Get(endpoint string) *Candidate {
	p, ok := x.places[endpoint]
	if !ok {
		return nil
	}
	return &x.tiers[p.tier][p.index]
}

// PickIndexed is Pick over an index. It takes the time of a few draws, and scans a tier only when all draws met endpoints
// that were tried or ejected, or when the tier is cold.
func (r *Router) PickIndexed(now time.Time, x *Index, tried []string, class wirepb.Class) (Candidate, bool) {
	for tier, list := range x.tiers {
		if len(list) == 0 {
			continue
		}
		if c := r.pickInTier(now, Tier(tier), list, tried); c != nil {
			r.health.picked(now, c.Endpoint)
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

// pickInTier returns the choice within one tier, or nil.
func (r *Router) pickInTier(now time.Time, tier Tier, list []Candidate, tried []string) *Candidate {
	if !tier.isCold() && len(list) > draws {
		if c := r.draw(now, list, tried); c != nil {
			return c
		}
	}
	if i := r.pickFrom(now, list, tried, false); i >= 0 {
		return &list[i]
	}
	return nil
}

// draw returns the cheaper of two candidates drawn at random, or nil when too many draws met none that may be used.
func (r *Router) draw(now time.Time, list []Candidate, tried []string) *Candidate {
	var first *Candidate
	for range draws {
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
