package joined

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/admission"
	"balsamsail/internal/loading"
	"balsamsail/internal/wire/wirepb"
)

// controlStream is the agent's end of an entry's control stream.
type controlStream struct {
	agent   *agent
	entry   string
	stream  *stream
	pending *wirepb.ControlUp
	// lastStatus is the status that was last sent, lastReplicas its replicas, and sentAt the time.
	lastStatus   *wirepb.Status
	lastReplicas map[string]*wirepb.Replica
	sentAt       time.Time
	// writeScheduled is set while changes are being batched, loadWritePending while a change of load waits for the load
	// report interval.
	writeScheduled, loadWritePending bool
}

// accept accepts a new stream. Its first message determines its kind.
func (a *agent) accept(s *stream, first any) {
	end := &s.ends[atAgent]
	switch header := first.(type) {
	case *wirepb.StreamHeader:
		c := &controlStream{agent: a, entry: header.Entry, stream: s, pending: &wirepb.ControlUp{}}
		if a.w.disabledGuard == guardAllStreams {
			a.streams = slices.DeleteFunc(a.streams, func(s *controlStream) bool { return s.entry == c.entry })
		}
		a.streams = append(a.streams, c)
		end.onMessage = func(m any) { a.applyDown(c, m.(*wirepb.ControlDown)) }
		end.onClose = func() { a.streams = slices.DeleteFunc(a.streams, func(s *controlStream) bool { return s == c }) }
		c.scheduleWrite()
		c.heartbeat()
	case *wirepb.ToAgent:
		a.inflight++
		newExchange(a, s, header).serve()
	}
}

func (c *controlStream) heartbeat() {
	if c.stream.ends[atAgent].closed {
		return
	}
	c.write()
	c.agent.later(heartbeatInterval, c.heartbeat)
}

// loadReportInterval is the minimum time between two batches that contain only changes of load.
const loadReportInterval = 250 * time.Millisecond

// scheduleWrite sends a batch after the batch delay if there are changes.
func (c *controlStream) scheduleWrite() {
	if c.writeScheduled {
		return
	}
	c.writeScheduled = true
	c.agent.later(batchDelay, func() {
		c.writeScheduled = false
		change := c.compare(c.agent.status())
		wait := loadReportInterval - c.agent.now().Sub(c.sentAt)
		switch {
		case change == changeState || c.hasQueued() || change == changeLoad && wait <= 0:
			c.write()
		case change == changeLoad && !c.loadWritePending:
			c.loadWritePending = true
			c.agent.later(wait, func() {
				if c.loadWritePending {
					c.write()
				}
			})
		}
	})
}

// hasQueued reports whether the next batch contains more than the agent's status.
func (c *controlStream) hasQueued() bool {
	p := c.pending
	return len(p.PermitRequests)+len(p.PermitsDone)+len(p.Releases)+len(p.Wanted) > 0 || p.Snapshot != nil || p.WantSnapshot
}

func (c *controlStream) write() {
	c.loadWritePending = false
	up := c.pending
	c.pending = &wirepb.ControlUp{}
	up.Status = c.diff(c.agent.status())
	c.sentAt = c.agent.now()
	_ = c.stream.write(atAgent, up)
}

// statusChange is the kind of difference between a status and the one that was last sent.
type statusChange int

const (
	changeNone statusChange = iota
	changeLoad
	changeState
)

func (c *controlStream) compare(s *wirepb.Status) statusChange {
	last := c.lastStatus
	if last == nil || !c.sameStaticFields(s) || last.Leaving != s.Leaving || last.Ready != s.Ready ||
		last.MemoryReservedBytes != s.MemoryReservedBytes || last.DeclarationsRevision != s.DeclarationsRevision ||
		last.LoadsInFlight != s.LoadsInFlight || last.AdaptersInFlight != s.AdaptersInFlight || len(s.Replicas) != len(c.lastReplicas) {
		return changeState
	}
	change := changeNone
	if l, n := last.Load, s.Load; l.Running != n.Running || l.Queued != n.Queued || l.WaitMicros != n.WaitMicros {
		change = changeLoad
	}
	for _, r := range s.Replicas {
		change = max(change, replicaChange(c.lastReplicas[r.Model], r))
	}
	return change
}

func (c *controlStream) sameStaticFields(s *wirepb.Status) bool {
	return c.lastStatus.MemoryBytes == s.MemoryBytes && slices.Equal(c.lastStatus.Cached, s.Cached)
}

func replicaChange(old, current *wirepb.Replica) statusChange {
	switch {
	case old == nil, old.State != current.State, old.Revision != current.Revision, !slices.Equal(old.Adapters, current.Adapters):
		return changeState
	case old.Running != current.Running, old.Queued != current.Queued, (old.IdleMillis == 0) != (current.IdleMillis == 0):
		return changeLoad
	default:
		return changeNone
	}
}

// diff returns the status without static fields and unchanged replicas, or the full status if a static field has changed.
func (c *controlStream) diff(status *wirepb.Status) *wirepb.Status {
	before := c.lastReplicas
	full := c.lastStatus == nil || !c.sameStaticFields(status)
	c.lastStatus, c.lastReplicas = status, map[string]*wirepb.Replica{}
	for _, r := range status.Replicas {
		c.lastReplicas[r.Model] = r
	}
	if full {
		status.Full = true
		return status
	}
	changed := &wirepb.Status{
		Leaving: status.Leaving, Ready: status.Ready, MemoryReservedBytes: status.MemoryReservedBytes,
		DeclarationsRevision: status.DeclarationsRevision, Load: status.Load,
		LoadsInFlight: status.LoadsInFlight, AdaptersInFlight: status.AdaptersInFlight,
	}
	for _, r := range status.Replicas {
		if replicaChange(before[r.Model], r) != changeNone {
			changed.Replicas = append(changed.Replicas, r)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(before)) {
		if c.lastReplicas[model] == nil {
			changed.Replicas = append(changed.Replicas, &wirepb.Replica{Model: model})
		}
	}
	return changed
}

// scheduleWrites schedules a write on all control streams.
func (a *agent) scheduleWrites() {
	for _, c := range a.streams {
		c.scheduleWrite()
	}
}

func (a *agent) broadcast(add func(*wirepb.ControlUp)) {
	for _, c := range a.streams {
		add(c.pending)
		c.scheduleWrite()
	}
}

// applyDown applies a batch from an entry.
func (a *agent) applyDown(c *controlStream, down *wirepb.ControlDown) {
	a.applyDeclarations(c, down)
	for _, row := range down.Rows {
		a.core.step(loading.RowSeen{Row: row})
	}
	for _, p := range down.Permits {
		if p.ValidMicros > 0 {
			a.core.step(loading.PermitGranted{ID: p.Id, Expires: a.now().Add(micros(p.ValidMicros))})
		} else {
			a.core.step(loading.PermitDenied{ID: p.Id, RetryAt: a.now().Add(micros(p.RetryAfterMicros))})
		}
	}
	if down.HostState == wirepb.HostState_HOST_LEAVING {
		a.leave()
	}
	if down.WantState {
		c.pending.Snapshot = a.receiver.Snapshot()
		c.scheduleWrite()
	}
}

func (a *agent) applyDeclarations(c *controlStream, down *wirepb.ControlDown) {
	before := a.receiver.Revision()
	if down.Snapshot != nil {
		a.receiver.ApplySnapshot(down.Snapshot)
	}
	for _, d := range down.Deltas {
		if _, gap := a.receiver.ApplyDelta(d); gap {
			c.pending.WantSnapshot = true
			c.scheduleWrite()
		}
	}
	revision := a.receiver.Revision()
	if revision < before {
		a.violated("P9", "%s went back from revision %d to %d", a.name, before, revision)
	}
	if revision != before {
		a.declaredAt = a.elapsed
		a.core.declare(a.receiver.Current())
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// permitIssuer returns the control stream of the entry that grants permits, or nil if there is none. Agents with the same
// connections choose the same entry.
func (a *agent) permitIssuer() *controlStream {
	if len(a.streams) == 0 {
		return nil
	}
	return slices.MaxFunc(a.streams, func(x, y *controlStream) int {
		return cmp.Compare(xxhash.Sum64String("permits/"+x.entry), xxhash.Sum64String("permits/"+y.entry))
	})
}

// requestPermit requests a permit from the issuer.
func (a *agent) requestPermit(action loading.AskPermit) {
	c := a.permitIssuer()
	if c == nil {
		return
	}
	c.pending.PermitRequests = append(c.pending.PermitRequests, &wirepb.PermitRequest{
		Id: action.ID, Kind: action.Kind, Model: action.Model, SlackMicros: action.Deadline.Sub(a.now()).Microseconds(),
	})
	c.scheduleWrite()
}

// status returns the agent's full status.
func (a *agent) status() *wirepb.Status {
	c := a.core
	status := &wirepb.Status{
		Endpoint: a.host.endpoint, Kind: a.host.kind, FailureDomain: a.host.domain, Labels: a.host.labels(),
		DeclarationsRevision: a.receiver.Revision(), Leaving: c.leaving, Ready: c.up, Load: c.load(admission.Target{}),
	}
	if c.machine == nil {
		return status
	}
	s := c.machine.Status(a.now())
	status.Ready, status.Cached = s.Ready, s.Cached
	status.MemoryBytes, status.MemoryReservedBytes = s.MemoryBytes, s.ReservedBytes
	status.LoadsInFlight, status.AdaptersInFlight = int32(s.LoadsInFlight), int32(s.AdaptersInFlight)
	for _, r := range s.Replicas {
		queued := 0
		for _, w := range c.queued {
			if w.request.Target.Model == r.Model {
				queued++
			}
		}
		status.Replicas = append(status.Replicas, &wirepb.Replica{
			Model: r.Model, State: r.State, Running: int32(c.runningOf(admission.Target{Model: r.Model})),
			Queued: int32(queued), IdleMillis: r.IdleFor.Milliseconds(), Adapters: r.Adapters, Revision: r.Revision,
		})
	}
	return status
}
