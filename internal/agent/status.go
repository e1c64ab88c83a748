package agent

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/admission"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// loadReportInterval is the least time between two batches that tell of nothing but load. At some ten requests a second
// every start and end would otherwise send a batch to every entry, many times what the rest of the control takes. What
// follows from a choice of half a second old load is measured with the routing slice.
const loadReportInterval = 250 * time.Millisecond

// news is how a status differs from what an entry was last told.
type news int

const (
	// newsNone: nothing that the entry does not work out by itself.
	newsNone news = iota
	// newsLoad: only how many requests run or wait.
	newsLoad
	// newsState: anything else.
	newsState
)

// statusMemo remembers what an entry was last told, so that a batch carries only what changed.
type statusMemo struct {
	// last is the status that was last told, whole; nil before the first.
	last     *wirepb.Status
	replicas map[string]*wirepb.Replica
}

// compare says what a status holds that was not told.
func (m *statusMemo) compare(status *wirepb.Status) news {
	switch {
	case m.last == nil, !m.sameFixed(status), !sameState(m.last, status), len(status.Replicas) != len(m.replicas):
		return newsState
	}
	found := newsNone
	if !proto.Equal(m.last.Load, status.Load) {
		found = newsLoad
	}
	for _, r := range status.Replicas {
		found = max(found, replicaNews(m.replicas[r.Model], r))
	}
	return found
}

// sameState compares what may change at any time and matters at once.
func sameState(a, b *wirepb.Status) bool {
	return a.Leaving == b.Leaving && a.Ready == b.Ready && a.MemoryReservedBytes == b.MemoryReservedBytes &&
		a.DeclarationsRevision == b.DeclarationsRevision &&
		a.LoadsInFlight == b.LoadsInFlight && a.AdaptersInFlight == b.AdaptersInFlight
}

// sameFixed compares what hardly ever changes. The rest of it is fixed for the life of an agent.
func (m *statusMemo) sameFixed(status *wirepb.Status) bool {
	return m.last.MemoryBytes == status.MemoryBytes && slices.Equal(m.last.Cached, status.Cached)
}

// replicaNews compares a replica with what was told of it.
func replicaNews(told, now *wirepb.Replica) news {
	switch {
	case told == nil, told.State != now.State, told.Revision != now.Revision, !slices.Equal(told.Adapters, now.Adapters):
		return newsState
	case told.Running != now.Running, told.Queued != now.Queued, (told.IdleMillis == 0) != (now.IdleMillis == 0):
		return newsLoad
	default:
		// The entry works the idle time out by itself, from when it was told.
		return newsNone
	}
}

// change returns the status as it is sent. The first one is whole, and so is one in which something changed that hardly
// ever does; others leave out what is fixed and the replicas that were told as they are.
func (m *statusMemo) change(status *wirepb.Status) *wirepb.Status {
	previous := m.replicas
	whole := m.last == nil || !m.sameFixed(status)
	m.remember(status)
	if whole {
		status.Full = true
		return status
	}
	return &wirepb.Status{
		Leaving:              status.Leaving,
		Ready:                status.Ready,
		MemoryReservedBytes:  status.MemoryReservedBytes,
		DeclarationsRevision: status.DeclarationsRevision,
		Load:                 status.Load,
		Replicas:             changedReplicas(previous, m.replicas, status.Replicas),
		LoadsInFlight:        status.LoadsInFlight,
		AdaptersInFlight:     status.AdaptersInFlight,
	}
}

// changedReplicas returns the replicas that differ from those before, with an absent one for each that is gone.
func changedReplicas(before, after map[string]*wirepb.Replica, now []*wirepb.Replica) []*wirepb.Replica {
	var changed []*wirepb.Replica
	for _, r := range now {
		if replicaNews(before[r.Model], r) != newsNone {
			changed = append(changed, r)
		}
	}
	for model := range before {
		if after[model] == nil {
			changed = append(changed, &wirepb.Replica{Model: model})
		}
	}
	return changed
}

func (m *statusMemo) remember(status *wirepb.Status) {
	m.last = status
	m.replicas = make(map[string]*wirepb.Replica, len(status.Replicas))
	for _, r := range status.Replicas {
		m.replicas[r.Model] = r
	}
}

// status is the agent's whole state.
func (a *Agent) status() *wirepb.Status {
	status := a.core.status()
	status.Endpoint = a.options.Endpoint
	status.Kind = a.options.Kind
	status.FailureDomain = a.options.FailureDomain
	status.Labels = a.options.Labels
	status.Incarnation = a.options.Incarnation
	status.OperatorAddress = a.options.OperatorAddress
	status.DeclarationsRevision = a.receiver.Revision()
	return status
}

// status is the part of the agent's state that the core knows.
func (c *core) status() *wirepb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := &wirepb.Status{
		Leaving: c.leaving,
		Ready:   c.up,
		Load:    c.loadLocked(admission.Target{}),
	}
	if c.machine == nil {
		return status
	}
	s := c.machine.Status(c.clock.Now())
	status.Ready = s.Ready
	status.MemoryBytes = s.MemoryBytes
	status.MemoryReservedBytes = s.ReservedBytes
	status.LoadsInFlight = int32(s.LoadsInFlight)
	status.AdaptersInFlight = int32(s.AdaptersInFlight)
	status.Cached = s.Cached
	for _, r := range s.Replicas {
		status.Replicas = append(status.Replicas, &wirepb.Replica{
			Model:      r.Model,
			State:      r.State,
			Running:    int32(c.runningOf(admission.Target{Model: r.Model})),
			Queued:     int32(c.queuedOf(r.Model)),
			IdleMillis: r.IdleFor.Milliseconds(),
			Adapters:   r.Adapters,
			Revision:   r.Revision,
		})
	}
	return status
}

// rows are the rows of grants that the machine holds.
func (c *core) rows() []*replicaspb.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine == nil {
		return nil
	}
	return c.machine.Rows()
}

func (c *core) queuedOf(model string) int {
	n := 0
	for _, w := range c.waiting {
		if w.request.Target.Model == model {
			n++
		}
	}
	return n
}

// isReady reports whether the endpoint's state is known and offers are taken.
func (c *core) isReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine == nil {
		return c.up
	}
	return c.machine.Status(c.clock.Now()).Ready
}
