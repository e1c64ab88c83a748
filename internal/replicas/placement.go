package replicas

import (
	"github.com/cespare/xxhash/v2"
)

// candidate is an engine that may get a slot of a model version.
type candidate struct {
	engine int
	score  float64
	// avoid is true if the engine recently failed to serve the model version, or if its warm models leave too little
	// memory for it.
	avoid bool
}

// candidates returns the engines that may get a slot of a draft's model version. The result is valid until the next
// call.
func (r *decisionRun) candidates(spec *ModelSpec, d *draft) []candidate {
	hash := xxhash.Sum64String(spec.Model)
	avoided := r.avoided(spec.Model)
	mark := r.markHeld(d)
	found := r.candidateBuf[:0]
	for _, i := range r.index.group(spec.Selector).members {
		if !r.eligible(spec, i) || r.held[i] == mark {
			continue
		}
		e := &r.index.engines[i]
		_, failed := avoided[e.Name]
		lacksMemory := r.warm[i]+spec.MemoryBytes > e.MemoryBytes
		found = append(found, candidate{
			engine: i,
			score:  rendezvousScore(hash, r.index.hashes[i], float64(e.MemoryBytes)),
			avoid:  failed || lacksMemory,
		})
	}
	r.candidateBuf = found
	return found
}

// markHeld marks the engines whose names have a slot in the row as stored, in any state and on any host. Engines whose
// slots were removed in this change are included, so that no single row change turns a RELEASING slot into a GRANTED
// one. It returns the value that identifies the marks of this call.
func (r *decisionRun) markHeld(d *draft) uint32 {
	r.mark++
	for _, s := range d.row.GetSlots() {
		if i, ok := r.index.byName[s.Engine]; ok {
			r.held[i] = r.mark
		}
	}
	return r.mark
}

// eligible reports whether an engine of the model version's group may get a new slot.
//
// The host list as read by this process must name the engine's host as live. Without a version of the list that named
// the host, a host that is not listed yet could not be distinguished from one that died and was dropped from the list
// unnoticed, and the slot would count forever.
func (r *decisionRun) eligible(spec *ModelSpec, engine int) bool {
	e := &r.index.engines[engine]
	return r.index.live[engine] && e.Reachable && e.MemoryBytes > 0 && e.MemoryBytes >= spec.MemoryBytes
}

// pick returns the index of the best candidate, or -1 if there is none. It prefers, in this order, candidates that are
// not to be avoided, the failure domain with the fewest slots of the model version, engines far below their fair share
// and then those not above it, and the highest rendezvous score.
func (r *decisionRun) pick(spec *ModelSpec, found []candidate, domains map[string]int) int {
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

// fill classifies an engine's load relative to its fair share.
type fill int

const (
	fillLow fill = iota
	fillEven
	fillHigh
)

// rank orders candidates. Fields are compared in order; lower values win, except for score.
type rank struct {
	avoid  bool
	domain int
	fill   fill
	// load is compared only among engines above their fair share, score only among the others.
	load  float64
	score float64
}

func (r *decisionRun) rank(spec *ModelSpec, c *candidate, domains map[string]int) rank {
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

// fill classifies the load that an engine would have with need more bytes.
func (r *decisionRun) fill(engine int, need int64) fill {
	share := r.share[engine]
	switch load := float64(r.load[engine] + need); {
	case load <= share/r.policy.MoveBound:
		return fillLow
	case r.exceedsShare(engine, need, r.policy.PlaceBound):
		return fillHigh
	default:
		return fillEven
	}
}

// exceedsShare reports whether an engine's load would exceed bound times its fair share with need more bytes. Slots
// cannot be split, so an engine whose load with the slot is no further above its share than its load without it is
// below does not exceed it.
func (r *decisionRun) exceedsShare(engine int, need int64, bound float64) bool {
	share := r.share[engine]
	load := float64(r.load[engine])
	return load+float64(need) > bound*share && load+float64(need)/2 > share
}

// domainCounts counts the serving slots of a draft by failure domain.
func domainCounts(d *draft) map[string]int {
	counts := map[string]int{}
	for _, s := range d.slots {
		if s.health == healthGood || s.health == healthFailing {
			counts[s.slot.FailureDomain]++
		}
	}
	return counts
}

// place grants up to n slots and returns how many it granted.
func (r *decisionRun) place(spec *ModelSpec, d *draft, n int, reason Reason) int {
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
