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

// controlStream is the control stream of one entry at its agent.
type controlStream struct {
	agent   *agent
	entry   string
	stream  *stream
	pending *wirepb.ControlUp
	// last is the status that was last told, with its replicas, and sentAt when.
	last   *wirepb.Status
	told   map[string]*wirepb.Replica
	sentAt time.Time
	// woken is set while changes are gathered, waiting while news of load wait for more of their kind.
	woken, waiting bool
}

// accept takes up a stream by its first message.
func (a *agent) accept(s *stream, first any) {
	end := &s.ends[atAgent]
	switch header := first.(type) {
	case *wirepb.StreamHeader:
		c := &controlStream{agent: a, entry: header.Entry, stream: s, pending: &wirepb.ControlUp{}}
		if a.w.without == guardStreams {
			a.streams = slices.DeleteFunc(a.streams, func(s *controlStream) bool { return s.entry == c.entry })
		}
		a.streams = append(a.streams, c)
		end.got = func(m any) { a.applyDown(c, m.(*wirepb.ControlDown)) }
		end.lost = func() { a.streams = slices.DeleteFunc(a.streams, func(s *controlStream) bool { return s == c }) }
		c.stir()
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

// loadReportInterval is the least time between two batches that tell of nothing but load.
const loadReportInterval = 250 * time.Millisecond

// stir sends a batch after the time in which changes are gathered, if there is news.
func (c *controlStream) stir() {
	if c.woken {
		return
	}
	c.woken = true
	c.agent.later(batchDelay, func() {
		c.woken = false
		found := c.compare(c.agent.status())
		wait := loadReportInterval - c.agent.now().Sub(c.sentAt)
		switch {
		case found == newsState || c.hasQueued() || found == newsLoad && wait <= 0:
			c.write()
		case found == newsLoad && !c.waiting:
			c.waiting = true
			c.agent.later(wait, func() {
				if c.waiting {
					c.write()
				}
			})
		}
	})
}

// hasQueued reports whether the next batch carries more than the agent's status.
func (c *controlStream) hasQueued() bool {
	p := c.pending
	return len(p.PermitRequests)+len(p.PermitsDone)+len(p.Releases)+len(p.Wanted) > 0 || p.Snapshot != nil || p.WantSnapshot
}

func (c *controlStream) write() {
	c.waiting = false
	up := c.pending
	c.pending = &wirepb.ControlUp{}
	up.Status = c.change(c.agent.status())
	c.sentAt = c.agent.now()
	_ = c.stream.write(atAgent, up)
}

// news is how a status differs from what an entry was last told.
type news int

const (
	newsNone news = iota
	newsLoad
	newsState
)

func (c *controlStream) compare(s *wirepb.Status) news {
	last := c.last
	if last == nil || !c.sameFixed(s) || last.Leaving != s.Leaving || last.Ready != s.Ready ||
		last.MemoryReservedBytes != s.MemoryReservedBytes || last.DeclarationsRevision != s.DeclarationsRevision ||
		last.LoadsInFlight != s.LoadsInFlight || last.AdaptersInFlight != s.AdaptersInFlight || len(s.Replicas) != len(c.told) {
		return newsState
	}
	found := newsNone
	if l, n := last.Load, s.Load; l.Running != n.Running || l.Queued != n.Queued || l.WaitMicros != n.WaitMicros {
		found = newsLoad
	}
	for _, r := range s.Replicas {
		found = max(found, replicaNews(c.told[r.Model], r))
	}
	return found
}

func (c *controlStream) sameFixed(s *wirepb.Status) bool {
	return c.last.MemoryBytes == s.MemoryBytes && slices.Equal(c.last.Cached, s.Cached)
}

func replicaNews(told, now *wirepb.Replica) news {
	switch {
	case told == nil, told.State != now.State, told.Revision != now.Revision, !slices.Equal(told.Adapters, now.Adapters):
		return newsState
	case told.Running != now.Running, told.Queued != now.Queued, (told.IdleMillis == 0) != (now.IdleMillis == 0):
		return newsLoad
	default:
		return newsNone
	}
}

// change leaves out of a status what is fixed and the replicas that were told as they are.
func (c *controlStream) change(status *wirepb.Status) *wirepb.Status {
	before := c.told
	whole := c.last == nil || !c.sameFixed(status)
	c.last, c.told = status, map[string]*wirepb.Replica{}
	for _, r := range status.Replicas {
		c.told[r.Model] = r
	}
	if whole {
		status.Full = true
		return status
	}
	changed := &wirepb.Status{
		Leaving: status.Leaving, Ready: status.Ready, MemoryReservedBytes: status.MemoryReservedBytes,
		DeclarationsRevision: status.DeclarationsRevision, Load: status.Load,
		LoadsInFlight: status.LoadsInFlight, AdaptersInFlight: status.AdaptersInFlight,
	}
	for _, r := range status.Replicas {
		if replicaNews(before[r.Model], r) != newsNone {
			changed.Replicas = append(changed.Replicas, r)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(before)) {
		if c.told[model] == nil {
			changed.Replicas = append(changed.Replicas, &wirepb.Replica{Model: model})
		}
	}
	return changed
}

// stir wakes the control streams' writers.
func (a *agent) stir() {
	for _, c := range a.streams {
		c.stir()
	}
}

func (a *agent) broadcast(add func(*wirepb.ControlUp)) {
	for _, c := range a.streams {
		add(c.pending)
		c.stir()
	}
}

// applyDown carries out one batch of an entry.
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
		c.stir()
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
			c.stir()
		}
	}
	revision := a.receiver.Revision()
	if revision < before {
		a.violated("P9", "%s goes back from revision %d to %d", a.name, before, revision)
	}
	if revision != before {
		a.declaredAt = a.at
		a.core.declare(a.receiver.Current())
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// issuer returns the entry that all agents with the same connections ask for permits, or nil.
func (a *agent) issuer() *controlStream {
	if len(a.streams) == 0 {
		return nil
	}
	return slices.MaxFunc(a.streams, func(x, y *controlStream) int {
		return cmp.Compare(xxhash.Sum64String("permits/"+x.entry), xxhash.Sum64String("permits/"+y.entry))
	})
}

// askPermit asks the issuer for a permit.
func (a *agent) askPermit(action loading.AskPermit) {
	c := a.issuer()
	if c == nil {
		return
	}
	c.pending.PermitRequests = append(c.pending.PermitRequests, &wirepb.PermitRequest{
		Id: action.ID, Kind: action.Kind, Model: action.Model, SlackMicros: action.Deadline.Sub(a.now()).Microseconds(),
	})
	c.stir()
}

// status is the agent's whole state.
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
		for _, w := range c.waiting {
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
