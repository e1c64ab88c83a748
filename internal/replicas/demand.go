package replicas

import (
	"sync"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// demandBook gathers what agents say: wishes for slots and confirmed releases. It also keeps the peak use of model
// versions that have more slots than while idle.
type demandBook struct {
	mu       sync.Mutex
	policy   Policy
	wants    map[string]map[string]Want
	releases map[string]map[Holder]uint64
	peaks    map[string]*peak
	// sequence rises with each wish and each confirmation that says something new.
	sequence uint64
}

func newDemandBook(policy Policy) *demandBook {
	return &demandBook{
		policy:   policy,
		wants:    map[string]map[string]Want{},
		releases: map[string]map[Holder]uint64{},
		peaks:    map[string]*peak{},
	}
}

// released takes in a confirmation and reports whether it says something new.
func (b *demandBook) released(r Release) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	holder := Holder{Engine: r.Engine, Host: r.Host}
	if b.releases[r.Model][holder] >= r.Revision {
		return false
	}
	if b.releases[r.Model] == nil {
		b.releases[r.Model] = map[Holder]uint64{}
	}
	b.releases[r.Model][holder] = r.Revision
	b.sequence++
	return true
}

// wanted takes in a wish.
func (b *demandBook) wanted(now time.Time, engine, model string, reason wirepb.RefusalReason, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wants[model] == nil {
		b.wants[model] = map[string]Want{}
	}
	w := b.wants[model][engine]
	if w.Reason != reason || now.Sub(w.Last) >= b.policy.WantLife {
		w = Want{Engine: engine, Reason: reason, First: now}
	}
	w.Waiting = waiting
	w.Last = now
	b.wants[model][engine] = w
	b.sequence++
}

// sample notes the use of a model version.
func (b *demandBook) sample(now time.Time, model string, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peaks[model]
	if p == nil {
		p = &peak{start: now, turned: now}
		b.peaks[model] = p
	}
	p.add(now, running, b.policy.ExtraHold)
}

// unsample forgets the use of a model version that has no slots to take back.
func (b *demandBook) unsample(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peaks, model)
}

// demand returns what is known of a model version, without the loaded replicas.
func (b *demandBook) demand(now time.Time, model string) Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d Demand
	for engine, w := range b.wants[model] {
		if now.Sub(w.Last) >= max(b.policy.AvoidFor, b.policy.ExtraHold) {
			delete(b.wants[model], engine)
			continue
		}
		d.Wants = append(d.Wants, w)
	}
	if len(b.wants[model]) == 0 {
		delete(b.wants, model)
	}
	if p := b.peaks[model]; p != nil {
		d.Usage.Peak = max(p.current, p.previous)
		d.Usage.Known = now.Sub(p.start) >= b.policy.ExtraHold
	}
	return d
}

// confirmed returns the releases of the model versions that have a row and forgets all others.
func (b *demandBook) confirmed(rows map[string]RowView) map[string]map[Holder]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	copied := make(map[string]map[Holder]uint64, len(b.releases))
	for model, holders := range b.releases {
		row := rows[model].Row
		kept := map[Holder]uint64{}
		for h, revision := range holders {
			if SlotOf(row, h.Engine, h.Host) != nil {
				kept[h] = revision
			}
		}
		if len(kept) == 0 {
			delete(b.releases, model)
			continue
		}
		b.releases[model] = kept
		copied[model] = kept
	}
	return copied
}

func (b *demandBook) at() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sequence
}

// peak keeps the greatest sample of at least one window and at most two.
type peak struct {
	start, turned     time.Time
	current, previous int
}

func (p *peak) add(now time.Time, sample int, window time.Duration) {
	if now.Sub(p.turned) >= window {
		p.turned = now
		p.previous = p.current
		p.current = 0
	}
	p.current = max(p.current, sample)
}
