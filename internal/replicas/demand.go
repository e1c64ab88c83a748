package replicas

import (
	"maps"
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
	releases map[string]map[Holder]confirmation
	peaks    map[string]*peak
	// sequence rises with each wish and each confirmation that says something new.
	sequence uint64
}

func newDemandBook(policy Policy) *demandBook {
	return &demandBook{
		policy:   policy,
		wants:    map[string]map[string]Want{},
		releases: map[string]map[Holder]confirmation{},
		peaks:    map[string]*peak{},
	}
}

// confirmationLife is how long a confirmation is kept for which no slot is known: a process may hear of it before it has
// read the row.
const confirmationLife = time.Minute

// confirmation is the highest revision that an engine has confirmed, and when it did.
type confirmation struct {
	revision uint64
	at       time.Time
}

// released takes in a confirmation and reports whether it says something new.
func (b *demandBook) released(now time.Time, r Release) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	holder := Holder{Engine: r.Engine, Host: r.Host}
	if b.releases[r.Model][holder].revision >= r.Revision {
		return false
	}
	if b.releases[r.Model] == nil {
		b.releases[r.Model] = map[Holder]confirmation{}
	}
	b.releases[r.Model][holder] = confirmation{revision: r.Revision, at: now}
	b.sequence++
	return true
}

// wantWindow is the time over which waiting and refused requests are added up.
const wantWindow = time.Second

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
	if now.Sub(w.window) >= wantWindow {
		w.window = now
		w.Waiting = 0
	}
	w.Waiting += waiting
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

// expire forgets the wishes that count for nothing any more.
func (b *demandBook) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	life := max(b.policy.AvoidFor, b.policy.ExtraHold)
	for model, wants := range b.wants {
		maps.DeleteFunc(wants, func(_ string, w Want) bool { return now.Sub(w.Last) >= life })
		if len(wants) == 0 {
			delete(b.wants, model)
		}
	}
}

// demand returns what is known of a model version, without the loaded replicas.
func (b *demandBook) demand(now time.Time, model string) Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d Demand
	for _, w := range b.wants[model] {
		d.Wants = append(d.Wants, w)
	}
	if p := b.peaks[model]; p != nil {
		d.Usage.Peak = max(p.current, p.previous)
		d.Usage.Known = now.Sub(p.start) >= b.policy.ExtraHold
	}
	return d
}

// confirmed returns the confirmations, and forgets those for which there is no slot any more.
func (b *demandBook) confirmed(now time.Time, rows map[string]RowView) map[string]map[Holder]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	copied := make(map[string]map[Holder]uint64, len(b.releases))
	for model, holders := range b.releases {
		for h, c := range holders {
			if SlotOf(rows[model].Row, h.Engine, h.Host) == nil && now.Sub(c.at) >= confirmationLife {
				delete(holders, h)
				continue
			}
			if copied[model] == nil {
				copied[model] = map[Holder]uint64{}
			}
			copied[model][h] = c.revision
		}
		if len(holders) == 0 {
			delete(b.releases, model)
		}
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
