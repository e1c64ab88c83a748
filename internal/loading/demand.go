package loading

import "time"

// demand is a waiting request.
type demand struct {
	request string
	replica *replica
	// target is the model version or adapter that the request needs.
	target    *holding
	deadline  time.Time
	heapIndex int
}

// runningRequest is a request in progress.
type runningRequest struct {
	replica *replica
	// adapter is nil for a request that needs only the model.
	adapter *holding
}

// requestWaiting handles a waiting request: it is refused immediately, or tracked until it starts, is refused or is
// cancelled.
func (m *Machine) requestWaiting(e RequestWaiting) {
	m.requestGone(e.Request)
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

// want keeps a load wanted until the given time.
func (m *Machine) want(h *holding, until time.Time) { h.wantedUntil = later(h.wantedUntil, until) }

// addDemand tracks a waiting request.
func (m *Machine) addDemand(e RequestWaiting, r *replica, target *holding) {
	d := &demand{request: e.Request, replica: r, target: target, deadline: e.Deadline, heapIndex: notScheduled}
	m.demands[e.Request] = d
	r.demands[e.Request] = d
	m.addWaiting(d, 1)
	r.earliest = earlier(r.earliest, e.Deadline)
	if !target.announced && !e.Deadline.IsZero() {
		m.deadlines.set(d)
	}
	m.markDirty(r)
}

// addWaiting adds n to the waiting requests of a demand's model version and adapter.
func (m *Machine) addWaiting(d *demand, n int) {
	d.replica.waiting += n
	if d.target.isAdapter() {
		d.target.waiting += n
	}
}

// requestGone stops tracking a waiting request.
func (m *Machine) requestGone(request string) {
	if d := m.demands[request]; d != nil {
		m.removeDemand(d)
	}
}

func (m *Machine) removeDemand(d *demand) {
	r := d.replica
	delete(m.demands, d.request)
	delete(r.demands, d.request)
	m.deadlines.remove(d)
	m.addWaiting(d, -1)
	m.markIdle(d.target)
	m.markIdle(&r.holding)
	if !d.deadline.After(r.earliest) {
		r.earliestStale = true
	}
	m.markDirty(r)
}

// deadline returns the earliest deadline of the requests that wait for a replica; zero if none waits.
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

// expireDemands refuses the requests whose deadline has passed. Those whose target is usable are left to the request
// queue, which decides what can still be served.
func (m *Machine) expireDemands() {
	for {
		d, ok := m.deadlines.next(m.now)
		if !ok {
			return
		}
		if d.target.announced {
			continue
		}
		m.removeDemand(d)
		m.want(d.target, m.now.Add(defaultRetryAfter+returnGrace))
		m.want(&d.replica.holding, m.now.Add(defaultRetryAfter+returnGrace))
		m.emit(RefuseRequests{
			Request:    d.request,
			Model:      d.replica.model,
			Adapter:    d.target.adapter,
			Reason:     refusalDeadline.reason,
			RetryAfter: defaultRetryAfter,
			Detail:     refusalDeadline.detail,
		})
	}
}

// startedRequest handles the start of a request.
func (m *Machine) startedRequest(e Started) {
	m.requestGone(e.Request)
	if m.running[e.Request] != nil {
		return
	}
	r := m.replica(e.Model)
	run := &runningRequest{replica: r}
	r.running++
	if e.Adapter != "" {
		run.adapter = m.adapterOf(r, e.Adapter)
		run.adapter.running++
	}
	m.running[e.Request] = run
	m.markDirty(r)
}

// finished handles the end of a request.
func (m *Machine) finished(e Finished) {
	run := m.running[e.Request]
	if run == nil {
		return
	}
	delete(m.running, e.Request)
	run.replica.running--
	if run.adapter != nil {
		run.adapter.running--
		m.markIdle(run.adapter)
	}
	m.markIdle(&run.replica.holding)
	m.markDirty(run.replica)
}

// markIdle records when a holding became idle.
func (m *Machine) markIdle(h *holding) {
	if h.running > 0 || h.waiting > 0 {
		return
	}
	h.idleSince = m.now
	if !h.isAdapter() {
		h.replica.keepUntil = time.Time{}
	}
}
