package replicas

import (
	"maps"
	"sync"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// demandTracker collects the reports of agents: slot requests and confirmed releases. It also records the peak usage of
// model versions that have more slots than their baseline.
type demandTracker struct {
	mu           sync.Mutex
	policy       Policy
	slotRequests map[string]map[string]SlotRequest
	releases     map[string]map[Holder]confirmation
	peaks        map[string]*peak
	// sequence increases with each slot request and each confirmation that is new.
	sequence uint64
}

func newDemandTracker(policy Policy) *demandTracker {
	return &demandTracker{
		policy:       policy,
		slotRequests: map[string]map[string]SlotRequest{},
		releases:     map[string]map[Holder]confirmation{},
		peaks:        map[string]*peak{},
	}
}

// confirmationTTL is how long a confirmation without a known slot is kept: a process may receive it before it has read
// the row.
const confirmationTTL = time.Minute

// confirmation is the highest revision that an engine has confirmed, and the time when it did.
type confirmation struct {
	revision uint64
	at       time.Time
}

// addRelease records a confirmation and reports whether it is new.
func (t *demandTracker) addRelease(now time.Time, r Release) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	holder := Holder{Engine: r.Engine, Host: r.Host}
	if t.releases[r.Model][holder].revision >= r.Revision {
		return false
	}
	if t.releases[r.Model] == nil {
		t.releases[r.Model] = map[Holder]confirmation{}
	}
	t.releases[r.Model][holder] = confirmation{revision: r.Revision, at: now}
	t.sequence++
	return true
}

// slotRequestWindow is the period over which waiting and refused requests are summed.
const slotRequestWindow = time.Second

// addSlotRequest records a slot request.
func (t *demandTracker) addSlotRequest(now time.Time, engine, model string, reason wirepb.RefusalReason, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slotRequests[model] == nil {
		t.slotRequests[model] = map[string]SlotRequest{}
	}
	req := t.slotRequests[model][engine]
	if req.Reason != reason || now.Sub(req.Last) >= t.policy.SlotRequestTTL {
		req = SlotRequest{Engine: engine, Reason: reason, First: now}
	}
	if now.Sub(req.windowStart) >= slotRequestWindow {
		req.windowStart = now
		req.Waiting = 0
	}
	req.Waiting += waiting
	req.Last = now
	t.slotRequests[model][engine] = req
	t.sequence++
}

// recordUsage records a sample of a model version's usage.
func (t *demandTracker) recordUsage(now time.Time, model string, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peaks[model]
	if p == nil {
		p = &peak{start: now, rotated: now}
		t.peaks[model] = p
	}
	p.add(now, running, t.policy.ExtraHold)
}

// forgetUsage drops the usage of a model version that has no slots above its baseline.
func (t *demandTracker) forgetUsage(model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peaks, model)
}

// expire drops the slot requests that no longer affect any decision.
func (t *demandTracker) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ttl := max(t.policy.AvoidFor, t.policy.ExtraHold)
	for model, requests := range t.slotRequests {
		maps.DeleteFunc(requests, func(_ string, req SlotRequest) bool { return now.Sub(req.Last) >= ttl })
		if len(requests) == 0 {
			delete(t.slotRequests, model)
		}
	}
}

// demand returns the demand for a model version, without the loaded replicas.
func (t *demandTracker) demand(now time.Time, model string) Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var d Demand
	for _, req := range t.slotRequests[model] {
		d.SlotRequests = append(d.SlotRequests, req)
	}
	if p := t.peaks[model]; p != nil {
		d.Usage.Peak = max(p.current, p.previous)
		d.Usage.Known = now.Sub(p.start) >= t.policy.ExtraHold
	}
	return d
}

// confirmedRevisions returns the confirmed revisions, and drops expired ones that have no slot.
func (t *demandTracker) confirmedRevisions(now time.Time, rows map[string]RowView) map[string]map[Holder]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[string]map[Holder]uint64, len(t.releases))
	for model, holders := range t.releases {
		for h, c := range holders {
			if SlotOf(rows[model].Row, h.Engine, h.Host) == nil && now.Sub(c.at) >= confirmationTTL {
				delete(holders, h)
				continue
			}
			if copied[model] == nil {
				copied[model] = map[Holder]uint64{}
			}
			copied[model][h] = c.revision
		}
		if len(holders) == 0 {
			delete(t.releases, model)
		}
	}
	return copied
}

func (t *demandTracker) currentSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

// peak tracks the maximum sample over at least one window and at most two.
type peak struct {
	start, rotated    time.Time
	current, previous int
}

func (p *peak) add(now time.Time, sample int, window time.Duration) {
	if now.Sub(p.rotated) >= window {
		p.rotated = now
		p.previous = p.current
		p.current = 0
	}
	p.current = max(p.current, sample)
}
