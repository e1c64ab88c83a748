package loading

import (
	"fmt"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// demand is a request that waits.
type demand struct {
	request string
	replica *replica
	// target is the model version or the adapter that the request needs.
	target   *holding
	deadline time.Time
	place    int
}

// run is a running request.
type run struct {
	replica *replica
	// adapter is nil for a request of the model alone.
	adapter *holding
}

// refusal says why waiting requests are refused.
type refusal struct {
	reason wirepb.RefusalReason
	detail string
	// wantsSlot asks for another slot elsewhere as well.
	wantsSlot bool
}

// The refusals.
var (
	refusalLeaving     = refusal{wirepb.RefusalReason_LEAVING, "the endpoint is leaving", false}
	refusalUnknown     = refusal{wirepb.RefusalReason_UNKNOWN_TARGET, "not declared", false}
	refusalNotReady    = refusal{wirepb.RefusalReason_NOT_READY, "the state of the engine or its slots is not known yet", false}
	refusalUnreachable = refusal{wirepb.RefusalReason_ENDPOINT_UNREACHABLE, "the engine does not answer", true}
	refusalNotGranted  = refusal{wirepb.RefusalReason_NOT_GRANTED, "no slot here", true}
	refusalNoMemory    = refusal{wirepb.RefusalReason_NO_MEMORY, "no memory that can be freed in time", true}
	refusalLoadFailed  = refusal{wirepb.RefusalReason_LOAD_FAILED, "the load failed", true}
	refusalLoadUnknown = refusal{wirepb.RefusalReason_LOAD_FAILED, "the result of an order is not known yet", true}
	refusalDeadline    = refusal{wirepb.RefusalReason_DEADLINE, "the deadline passed before the load ended", false}
)

const (
	// retrySoon is when to come back where no time is known.
	retrySoon = time.Second
	// wishGrace is how long after the expected end of a load the machine waits for callers that were told to come back.
	wishGrace = 5 * time.Second
)

// demanded takes in a waiting request: it is refused at once, or kept until it starts, is refused or goes away.
func (m *Machine) demanded(e Demanded) {
	m.demandGone(e.Request)
	if refused, retryAfter := m.refusalOf(e); refused != nil {
		m.refuseOne(e, *refused, retryAfter)
		return
	}
	r := m.replica(e.Model)
	target := &r.holding
	if e.Adapter != "" {
		target = m.adapterOf(r, e.Adapter)
	}
	if m.usable(target) {
		m.addDemand(e, r, target)
		return
	}
	if at, ok := m.readyAt(target, e.Deadline); ok && !e.Deadline.IsZero() && at.After(e.Deadline) {
		m.refuseLate(e, target, at)
		return
	}
	m.addDemand(e, r, target)
}

// refusalOf returns why a request cannot be served here at all, or nil.
func (m *Machine) refusalOf(e Demanded) (*refusal, time.Duration) {
	switch {
	case m.leaving:
		return &refusalLeaving, 0
	case m.unreachable():
		return &refusalUnreachable, retrySoon
	case !m.engine.known || m.slots.knowledge(e.Model) == slotUnknown:
		return &refusalNotReady, retrySoon
	case m.slots.knowledge(e.Model) == slotLost:
		return &refusalNotGranted, retrySoon
	}
	if h := m.find(e.Model, e.Adapter); h != nil && m.usable(h) {
		return nil, 0
	}
	return m.loadRefusal(e)
}

// loadRefusal returns why a request that needs a load cannot get it, or nil.
func (m *Machine) loadRefusal(e Demanded) (*refusal, time.Duration) {
	if !m.specsSeen {
		return &refusalNotReady, retrySoon
	}
	if _, ok := m.models[e.Model]; !ok {
		return &refusalUnknown, 0
	}
	if e.Adapter != "" && m.adapters[e.Adapter].Model != e.Model {
		return &refusalUnknown, 0
	}
	if !m.slots.read {
		return &refusalNotReady, retrySoon
	}
	if h := m.find(e.Model, ""); h != nil && h.state != loaded && m.now.Before(h.retryAt) {
		return &refusalLoadFailed, h.retryAt.Sub(m.now)
	}
	if h := m.find(e.Model, e.Adapter); h != nil && h.state != loaded && m.now.Before(h.retryAt) {
		return &refusalLoadFailed, h.retryAt.Sub(m.now)
	}
	return nil, 0
}

// refuseOne refuses a single request that is not kept.
func (m *Machine) refuseOne(e Demanded, why refusal, retryAfter time.Duration) {
	m.emit(RefuseDemand{
		Request:    e.Request,
		Model:      e.Model,
		Adapter:    e.Adapter,
		Reason:     why.reason,
		RetryAfter: retryAfter,
		Detail:     why.detail,
	})
	if why.wantsSlot {
		m.emit(WantSlot{Model: e.Model, Reason: why.reason})
	}
}

// refuseLate refuses a request whose deadline is before the expected end of the load. The load goes on or begins all the
// same, because the caller is told when to come back; else a model whose load takes longer than any caller waits would
// never be served.
func (m *Machine) refuseLate(e Demanded, target *holding, at time.Time) {
	why := refusalDeadline
	why.detail = fmt.Sprintf("ready in %v at the earliest", at.Sub(m.now).Round(time.Millisecond))
	m.refuseOne(e, why, at.Sub(m.now))
	m.wish(target, at.Add(wishGrace))
	m.wish(&target.replica.holding, at.Add(wishGrace))
	m.touch(target.replica)
}

// wish keeps a load wanted until a time.
func (m *Machine) wish(h *holding, until time.Time) { h.wishUntil = later(h.wishUntil, until) }

// addDemand keeps a waiting request.
func (m *Machine) addDemand(e Demanded, r *replica, target *holding) {
	d := &demand{request: e.Request, replica: r, target: target, deadline: e.Deadline, place: notPlaced}
	m.demands[e.Request] = d
	r.demands[e.Request] = d
	m.count(d, 1)
	r.earliest = earlier(r.earliest, e.Deadline)
	if !target.announced && !e.Deadline.IsZero() {
		m.deadlines.set(d)
	}
	m.touch(r)
}

// count adds to the waiting requests of a demand's model version and adapter.
func (m *Machine) count(d *demand, n int) {
	d.replica.waiting += n
	if d.target.isAdapter() {
		d.target.waiting += n
	}
}

// demandGone forgets a waiting request.
func (m *Machine) demandGone(request string) {
	if d := m.demands[request]; d != nil {
		m.forget(d)
	}
}

func (m *Machine) forget(d *demand) {
	r := d.replica
	delete(m.demands, d.request)
	delete(r.demands, d.request)
	m.deadlines.remove(d)
	m.count(d, -1)
	m.idleFrom(d.target)
	m.idleFrom(&r.holding)
	if !d.deadline.After(r.earliest) {
		r.earliestStale = true
	}
	m.touch(r)
}

// deadline returns the first deadline of the requests that wait for a replica; zero when none waits.
func (r *replica) deadline() time.Time {
	if !r.earliestStale && len(r.demands) > 0 {
		return r.earliest
	}
	r.earliestStale = false
	r.earliest = time.Time{}
	for _, d := range r.demands {
		r.earliest = earlier(r.earliest, d.deadline)
	}
	return r.earliest
}

// refuseWaiting refuses all requests that wait for a model version, its adapters included, or for one adapter.
func (m *Machine) refuseWaiting(h *holding, why refusal, retryAfter time.Duration) {
	if h.waiting == 0 {
		return
	}
	for _, d := range h.replica.demands {
		if !h.isAdapter() || d.target == h {
			m.forget(d)
		}
	}
	m.emit(RefuseDemand{
		Model:      h.replica.model,
		Adapter:    h.adapter,
		Reason:     why.reason,
		RetryAfter: retryAfter,
		Detail:     why.detail,
	})
	if why.wantsSlot {
		m.emit(WantSlot{Model: h.replica.model, Reason: why.reason})
	}
}

// expireDemands refuses the requests whose deadline has come. Those whose target is usable are left to the queue, which
// knows what can still be served.
func (m *Machine) expireDemands() {
	for {
		d, ok := m.deadlines.next(m.now)
		if !ok {
			return
		}
		if d.target.announced {
			continue
		}
		m.forget(d)
		m.wish(d.target, m.now.Add(retrySoon+wishGrace))
		m.wish(&d.replica.holding, m.now.Add(retrySoon+wishGrace))
		m.emit(RefuseDemand{
			Request:    d.request,
			Model:      d.replica.model,
			Adapter:    d.target.adapter,
			Reason:     refusalDeadline.reason,
			RetryAfter: retrySoon,
			Detail:     refusalDeadline.detail,
		})
	}
}

// startedRequest takes in that a request runs.
func (m *Machine) startedRequest(e Started) {
	m.demandGone(e.Request)
	if m.running[e.Request] != nil {
		return
	}
	r := m.replica(e.Model)
	x := &run{replica: r}
	r.running++
	if e.Adapter != "" {
		x.adapter = m.adapterOf(r, e.Adapter)
		x.adapter.running++
	}
	m.running[e.Request] = x
	m.touch(r)
}

// finished takes in that a request has ended.
func (m *Machine) finished(e Finished) {
	x := m.running[e.Request]
	if x == nil {
		return
	}
	delete(m.running, e.Request)
	x.replica.running--
	if x.adapter != nil {
		x.adapter.running--
		m.idleFrom(x.adapter)
	}
	m.idleFrom(&x.replica.holding)
	m.touch(x.replica)
}

// idleFrom notes when a holding became idle.
func (m *Machine) idleFrom(h *holding) {
	if h.running > 0 || h.waiting > 0 {
		return
	}
	h.idleSince = m.now
	if !h.isAdapter() {
		h.replica.keepUntil = time.Time{}
	}
}
