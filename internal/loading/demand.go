package loading

import "time"

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
