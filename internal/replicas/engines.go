package replicas

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/backing"
)

// engineIndex holds data derived from a set of engines, computed once per set.
type engineIndex struct {
	engines []EngineView
	byName  map[string]int
	hashes  []uint64
	groups  map[string]*group
	// live marks the engines whose hosts are live in version liveVersion of the host list.
	live        []bool
	liveVersion uint64
	// mostUnreachable is true if more than half of the engines are unreachable.
	mostUnreachable bool
}

// group is the set of engines that match a selector and may get slots: neither leaving nor drained.
type group struct {
	members  []int
	isMember []bool
	memory   int64
	domains  map[string]struct{}
	// density is the ratio of the declared memory of the group's slots to the memory of its members.
	density float64
}

func newEngineIndex(engines []EngineView) *engineIndex {
	x := &engineIndex{
		engines: engines,
		byName:  make(map[string]int, len(engines)),
		hashes:  make([]uint64, len(engines)),
		groups:  map[string]*group{},
		live:    make([]bool, len(engines)),
	}
	unreachable := 0
	for i := range engines {
		x.byName[engines[i].Name] = i
		x.hashes[i] = xxhash.Sum64String(engines[i].Name)
		if !engines[i].Reachable {
			unreachable++
		}
	}
	x.mostUnreachable = 2*unreachable > len(engines)
	return x
}

// group returns the group of a selector.
func (x *engineIndex) group(s Selector) *group {
	key := s.String()
	if g, ok := x.groups[key]; ok {
		return g
	}
	g := &group{isMember: make([]bool, len(x.engines)), domains: map[string]struct{}{}}
	for i := range x.engines {
		e := &x.engines[i]
		if e.Leaving || e.Drain || !s.Matches(e.Labels) {
			continue
		}
		g.members = append(g.members, i)
		g.isMember[i] = true
		g.memory += e.MemoryBytes
		if e.Reachable {
			g.domains[e.FailureDomain] = struct{}{}
		}
	}
	x.groups[key] = g
	return g
}

// holder returns the index of the engine that holds a slot, or -1 if it is unknown. An engine of the same name on
// another host is not the holder.
func (x *engineIndex) holder(engine, host string) int {
	i, ok := x.byName[engine]
	if !ok || x.engines[i].Host != host {
		return -1
	}
	return i
}

// setHosts applies a version of the host list. Version 0 is always applied again.
func (x *engineIndex) setHosts(hosts HostsView) {
	if x.liveVersion == hosts.Version && hosts.Version > 0 {
		return
	}
	x.liveVersion = hosts.Version
	for i := range x.engines {
		x.live[i] = hosts.States[x.engines[i].Host] == backing.HostLive
	}
}

func (x *engineIndex) resetDensities() {
	for _, g := range x.groups {
		g.density = 0
	}
}

// addShares adds to each engine's fair share its part of the load of every group that it belongs to.
func (x *engineIndex) addShares(shares []float64) {
	for _, g := range x.groups {
		if g.density == 0 {
			continue
		}
		for _, i := range g.members {
			shares[i] += g.density * float64(x.engines[i].MemoryBytes)
		}
	}
}

// rendezvousScore is the weighted rendezvous hash of a model version and an engine. Each engine has the highest score
// for a fraction of all model versions proportional to its weight. The order of two engines does not depend on any
// third, so adding or removing an engine changes the choice only where that engine has the highest score.
func rendezvousScore(model, engine uint64, weight float64) float64 {
	const mantissa = 53
	h := mix(model ^ mix(engine))
	u := (float64(h>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(u)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
