package loading

import (
	"cmp"
	"slices"
)

// roomAnswer says whether there is room for a load.
type roomAnswer int

const (
	roomNow roomAnswer = iota
	// roomSoon: when the unloads that are under way have ended.
	roomSoon
	roomNever
)

// room shares the memory among the wanted loads of one plan, the most urgent first.
type room struct {
	m *Machine
	// taken is what the ledger has reserved and what more urgent loads of this plan have claimed.
	taken size
	// leaving is the part of taken that unloads under way will free.
	leaving size
	// spoken are the idle holdings that make room for a load of this plan.
	spoken map[*holding]bool
}

func (m *Machine) newRoom() *room {
	room := &room{m: m, taken: m.reserved(), spoken: map[*holding]bool{}}
	for _, r := range m.replicas {
		room.noteLeaving(r)
	}
	return room
}

func (x *room) noteLeaving(r *replica) {
	whole := r.state == unloading
	if whole {
		x.leaving = x.leaving.plus(r.taken())
	}
	for _, a := range r.adapters {
		if a.state == unloading || whole && a.state == loaded {
			x.leaving = x.leaving.plus(a.taken())
		}
	}
}

// claim looks for room for a load and takes it from less urgent ones. With act set it orders the unloads that the load
// needs.
func (x *room) claim(h *holding, act bool) roomAnswer {
	need := x.m.sizeOf(h).minus(h.taken())
	need = size{max(0, need.bytes), max(0, need.kvFloor)}
	total := x.taken.plus(need)
	if x.m.fits(total) {
		x.taken = total
		return roomNow
	}
	victims, ok := x.victims(h, total.minus(x.leaving))
	if !ok {
		return roomNever
	}
	x.taken = total
	for _, v := range victims {
		x.spoken[v] = true
		x.leaving = x.leaving.plus(x.m.takenWith(v))
		if act && x.m.canOrder() {
			x.m.giveUnload(v)
		}
	}
	return roomSoon
}

// victims chooses idle holdings whose unload makes a size fit: the longest idle for the time that they are kept first,
// and no more than needed.
func (x *room) victims(wanted *holding, total size) ([]*holding, bool) {
	if x.m.fits(total) {
		return nil, true
	}
	chosen := []*holding{}
	for _, v := range x.m.evictable(wanted) {
		if x.spoken[v] || x.spoken[&v.replica.holding] {
			continue
		}
		chosen = append(chosen, v)
		total = total.minus(x.m.takenWith(v))
		if x.m.fits(total) {
			return x.spare(chosen, total), true
		}
	}
	return nil, false
}

// spare takes back the choice of those without whose unload the size fits as well.
func (x *room) spare(chosen []*holding, total size) []*holding {
	return slices.DeleteFunc(chosen, func(v *holding) bool {
		without := total.plus(x.m.takenWith(v))
		if !x.m.fits(without) {
			return false
		}
		total = without
		return true
	})
}

// takenWith returns what a holding takes together with what goes with it.
func (m *Machine) takenWith(h *holding) size {
	total := h.taken()
	if h.isAdapter() {
		return total
	}
	for _, a := range h.replica.adapters {
		if a.state == loaded {
			total = total.plus(a.taken())
		}
	}
	return total
}

// evictable returns what may be unloaded to make room for a load, best first. Adapters make room for adapters before
// model versions do, and the other way round.
func (m *Machine) evictable(wanted *holding) []*holding {
	models, adapters := []*holding{}, []*holding{}
	for _, r := range m.replicas {
		if r != wanted.replica && m.mayEvict(&r.holding) && !m.warm(r) && !r.adapterOrder() {
			models = append(models, &r.holding)
		}
		for _, a := range r.adapters {
			if m.mayEvict(a) && r.state == loaded && r.order == nil {
				adapters = append(adapters, a)
			}
		}
	}
	slices.SortFunc(models, func(a, b *holding) int {
		return cmp.Or(-cmp.Compare(m.idleShare(a), m.idleShare(b)), cmp.Compare(a.replica.model, b.replica.model))
	})
	slices.SortFunc(adapters, func(a, b *holding) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.adapter, b.adapter))
	})
	if wanted.isAdapter() {
		return append(adapters, models...)
	}
	return append(models, adapters...)
}

// mayEvict reports whether a loaded holding is idle and not kept for anyone.
func (m *Machine) mayEvict(h *holding) bool {
	return h.state == loaded && h.isIdle() && m.mayOrder(h) &&
		!m.now.Before(h.unloadAt) && !m.now.Before(h.wishUntil)
}

// idleShare returns how long a replica has been idle in relation to how long it would be kept.
func (m *Machine) idleShare(h *holding) float64 {
	keep := m.keepTime(h.replica)
	return float64(m.now.Sub(h.idleSince)+1) / float64(keep+1)
}
