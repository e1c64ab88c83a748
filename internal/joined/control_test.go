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
	told    map[string]*wirepb.Replica
	woken   bool
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

// stir sends a batch after the time in which changes are gathered.
func (c *controlStream) stir() {
	if c.woken {
		return
	}
	c.woken = true
	c.agent.later(batchDelay, func() {
		c.woken = false
		c.write()
	})
}

func (c *controlStream) write() {
	up := c.pending
	c.pending = &wirepb.ControlUp{}
	up.Status = c.change(c.agent.status())
	_ = c.stream.write(atAgent, up)
}

// change leaves only those replicas in a status that differ from what was told before.
func (c *controlStream) change(status *wirepb.Status) *wirepb.Status {
	before := c.told
	c.told = map[string]*wirepb.Replica{}
	for _, r := range status.Replicas {
		c.told[r.Model] = r
	}
	if before == nil {
		status.Full = true
		return status
	}
	now := status.Replicas
	status.Replicas, status.Labels = nil, nil
	for _, r := range now {
		if !sameReplica(before[r.Model], r) {
			status.Replicas = append(status.Replicas, r)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(before)) {
		if c.told[model] == nil {
			status.Replicas = append(status.Replicas, &wirepb.Replica{Model: model})
		}
	}
	return status
}

func sameReplica(a, b *wirepb.Replica) bool {
	return a != nil && a.State == b.State && a.Running == b.Running && a.Queued == b.Queued && a.Revision == b.Revision &&
		(a.IdleMillis == 0) == (b.IdleMillis == 0) && slices.Equal(a.Adapters, b.Adapters)
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
			a.core.step(loading.PermitGiven{ID: p.Id, Expires: a.now().Add(micros(p.ValidMicros))})
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
