package loading

import (
	"fmt"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// refusal is a reason for refusing waiting requests.
type refusal struct {
	reason wirepb.RefusalReason
	detail string
	// wantsSlot also asks for a slot on another engine.
	wantsSlot bool
}

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
	// defaultRetryAfter is the retry delay if the time of readiness is unknown.
	defaultRetryAfter = time.Second
	// returnGrace is how long after the expected end of a load the machine waits for callers that were given a retry
	// delay.
	returnGrace = 5 * time.Second
)

// refusalOf returns the reason why a request cannot be served by this engine, or nil.
func (m *Machine) refusalOf(e RequestWaiting) (*refusal, time.Duration) {
	switch {
	case m.leaving:
		return &refusalLeaving, 0
	case m.unreachable():
		return &refusalUnreachable, defaultRetryAfter
	case !m.engine.known || m.slots.status(e.Model) == slotUnknown:
		return &refusalNotReady, defaultRetryAfter
	case m.slots.status(e.Model) == slotLost:
		return &refusalNotGranted, defaultRetryAfter
	}
	if h := m.find(e.Model, e.Adapter); h != nil && m.usable(h) {
		return nil, 0
	}
	return m.loadRefusal(e)
}

// loadRefusal returns the reason why a request cannot get the load it needs, or nil.
func (m *Machine) loadRefusal(e RequestWaiting) (*refusal, time.Duration) {
	if !m.specsKnown {
		return &refusalNotReady, defaultRetryAfter
	}
	if _, ok := m.models[e.Model]; !ok {
		return &refusalUnknown, 0
	}
	if e.Adapter != "" && m.adapters[e.Adapter].Model != e.Model {
		return &refusalUnknown, 0
	}
	if !m.slots.read {
		return &refusalNotReady, defaultRetryAfter
	}
	if h := m.find(e.Model, ""); h != nil && h.state != loaded && m.now.Before(h.retryAt) {
		return &refusalLoadFailed, h.retryAt.Sub(m.now)
	}
	if h := m.find(e.Model, e.Adapter); h != nil && h.state != loaded && m.now.Before(h.retryAt) {
		return &refusalLoadFailed, h.retryAt.Sub(m.now)
	}
	return nil, 0
}

// refuseOne refuses a single request that is not tracked.
func (m *Machine) refuseOne(e RequestWaiting, why refusal, retryAfter time.Duration) {
	m.emit(RefuseRequests{
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

// refuseLate refuses a request whose deadline is before the expected end of the load. The load starts or continues
// nevertheless, because the caller gets a retry delay; otherwise a model whose load takes longer than any caller waits
// would never be served.
func (m *Machine) refuseLate(e RequestWaiting, target *holding, at time.Time) {
	why := refusalDeadline
	why.detail = fmt.Sprintf("ready in %v at the earliest", at.Sub(m.now).Round(time.Millisecond))
	m.refuseOne(e, why, at.Sub(m.now))
	m.want(target, at.Add(returnGrace))
	m.want(&target.replica.holding, at.Add(returnGrace))
	m.markDirty(target.replica)
}

// refuseWaiting refuses all requests that wait for a model version, including its adapters, or for one adapter.
func (m *Machine) refuseWaiting(h *holding, why refusal, retryAfter time.Duration) {
	if h.waiting == 0 {
		return
	}
	for _, d := range h.replica.demands {
		if !h.isAdapter() || d.target == h {
			m.removeDemand(d)
		}
	}
	m.emit(RefuseRequests{
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
