package replicas

import (
	"github.com/cespare/xxhash/v2"
)

// candidate is an engine that may get a slot of a model version.
type candidate struct {
	engine int
	score  float64
	// avoid says that the engine lately failed to serve the model version or has no room for it beside its warm ones.
	avoid bool
}

// candidates returns the engines that may get a slot of a draft's model version. They are valid until the next call.
func (r *run) candidates(spec *ModelSpec, d *draft) []candidate {
	hash := xxhash.Sum64String(spec.Model)
	avoided := r.avoided(spec.Model)
	turn := r.markHeld(d)
	found := r.found[:0]
	for _, i := range r.index.group(spec.Selector).members {
		if !r.eligible(spec, i) || r.held[i] == turn {
			continue
		}
		e := &r.index.engines[i]
		_, failed := avoided[e.Name]
		crowded := r.warm[i]+spec.MemoryBytes > e.MemoryBytes
		found = append(found, candidate{
			engine: i,
			score:  rendezvousScore(hash, r.index.hashes[i], float64(e.MemoryBytes)),
			avoid:  failed || crowded,
		})
	}
	r.found = found
	return found
}

// markHeld marks the engines of whose names one has a slot, in whatever state and on whatever host, or had one before this
// change: in no step from one row to the next does a RELEASING slot become GRANTED. It returns the number to compare the
// marks with.
func (r *run) markHeld(d *draft) uint32 {
	r.turn++
	for _, s := range d.row.GetSlots() {
		if i, ok := r.index.byName[s.Engine]; ok {
			r.held[i] = r.turn
		}
	}
	return r.turn
}

// eligible reports whether an engine of the model version's group may get a new slot.
//
// Its host must be in the host list as this process has read it. A slot of a host that the deciding process never saw
// there could not be told from one of a host that came, died and was dropped from the list while no process looked; it
// would count for ever.
func (r *run) eligible(spec *ModelSpec, engine int) bool {
	e := &r.index.engines[engine]
	return r.index.live[engine] && e.Reachable && e.MemoryBytes > 0 && e.MemoryBytes >= spec.MemoryBytes
}

// pick returns the index of the best candidate, or -1 when there is none: not one to be avoided, in the failure domain
// with the fewest slots of the model version, far below its share of the declared weights or at least not above it, highest
// by rendezvous hashing.
func (r *run) pick(spec *ModelSpec, found []candidate, domains map[string]int) int {
	best := -1
	var bestRank rank
	for i := range found {
		k := r.rank(spec, &found[i], domains)
		if best < 0 || k.before(bestRank) {
			best, bestRank = i, k
		}
	}
	return best
}

// fill is how an engine's load compares to its share of the declared weights.
type fill int

const (
	fillLow fill = iota
	fillEven
	fillHigh
)

// rank orders candidates; lower fields of higher places win.
type rank struct {
	avoid  bool
	domain int
	fill   fill
	// load counts only among engines over their share, score only among the others.
	load  float64
	score float64
}

func (r *run) rank(spec *ModelSpec, c *candidate, domains map[string]int) rank {
	e := &r.index.engines[c.engine]
	k := rank{avoid: c.avoid, domain: domains[e.FailureDomain], score: c.score, fill: r.fill(c.engine, spec.MemoryBytes)}
	if k.fill == fillHigh {
		k.load = float64(r.load[c.engine]) / float64(e.MemoryBytes)
	}
	return k
}

func (k rank) before(o rank) bool {
	if k.avoid != o.avoid {
		return o.avoid
	}
	if k.domain != o.domain {
		return k.domain < o.domain
	}
	if k.fill != o.fill {
		return k.fill < o.fill
	}
	if k.load != o.load {
		return k.load < o.load
	}
	return k.score > o.score
}

// fill returns how full an engine would be with need more.
func (r *run) fill(engine int, need int64) fill {
	share := r.share[engine]
	switch load := float64(r.load[engine] + need); {
	case load <= share/r.policy.MoveBound:
		return fillLow
	case r.over(engine, need, r.policy.PlaceBound):
		return fillHigh
	default:
		return fillEven
	}
}

// over reports whether an engine would hold more than bound times its share of the declared weights if it got need more.
// As weights do not split, one that comes as near to its share with them as without is not over it.
func (r *run) over(engine int, need int64, bound float64) bool {
	share := r.share[engine]
	load := float64(r.load[engine])
	return load+float64(need) > bound*share && load+float64(need)/2 > share
}

// domainCounts counts the slots of a draft that serve, by failure domain.
func domainCounts(d *draft) map[string]int {
	counts := map[string]int{}
	for _, s := range d.slots {
		if s.health == healthGood || s.health == healthFailing {
			counts[s.slot.FailureDomain]++
		}
	}
	return counts
}

// place grants up to n slots and returns how many it could.
func (r *run) place(spec *ModelSpec, d *draft, n int, reason Reason) int {
	if n <= 0 {
		return 0
	}
	found := r.candidates(spec, d)
	domains := domainCounts(d)
	granted := len(d.slots) - d.count(healthReleasing)
	for placed := range n {
		best := r.pick(spec, found, domains)
		if best < 0 {
			return placed
		}
		engine := found[best].engine
		e := &r.index.engines[engine]
		d.grant(e, engine, r.snapshot.Hosts, reason)
		r.load[engine] += spec.MemoryBytes
		if granted+placed < spec.Warm {
			r.warm[engine] += spec.MemoryBytes
		}
		domains[e.FailureDomain]++
		found[best] = found[len(found)-1]
		found = found[:len(found)-1]
	}
	return n
}
