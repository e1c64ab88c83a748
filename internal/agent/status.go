package agent

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/admission"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// loadReportInterval is the minimum interval between two batches that carry only load. At about ten requests a second,
// every start and end would otherwise send a batch to every entry, many times the rest of the control traffic. The
// tests of package routing measure the effect of load reports that are half a second old.
const loadReportInterval = 250 * time.Millisecond

// statusChange classifies how a status differs from the one last sent to an entry.
type statusChange int

const (
	// changeNone means that nothing differs except idle times, which the entry computes itself.
	changeNone statusChange = iota
	// changeLoad means that only the numbers of running or queued requests differ, or whether a replica is idle.
	changeLoad
	// changeState means that anything else differs.
	changeState
)

// sentStatus records the status last sent to an entry, so that a batch carries only changes.
type sentStatus struct {
	// last is the complete status that was last sent; nil before the first.
	last     *wirepb.Status
	replicas map[string]*wirepb.Replica
}

// compare classifies the changes of a status since the last one sent.
func (s *sentStatus) compare(status *wirepb.Status) statusChange {
	switch {
	case s.last == nil, !s.sameStatic(status), !sameState(s.last, status), len(status.Replicas) != len(s.replicas):
		return changeState
	}
	change := changeNone
	if !proto.Equal(s.last.Load, status.Load) {
		change = changeLoad
	}
	for _, r := range status.Replicas {
		change = max(change, compareReplica(s.replicas[r.Model], r))
	}
	return change
}

// sameState compares the fields that may change at any time and must be reported at once.
func sameState(a, b *wirepb.Status) bool {
	return a.Leaving == b.Leaving && a.Ready == b.Ready && a.MemoryReservedBytes == b.MemoryReservedBytes &&
		a.DeclarationsRevision == b.DeclarationsRevision &&
		a.LoadsInFlight == b.LoadsInFlight && a.AdaptersInFlight == b.AdaptersInFlight
}

// sameStatic compares the fields that rarely change. All fields not compared here or in sameState, other than load and
// replicas, are constant for the lifetime of an agent.
func (s *sentStatus) sameStatic(status *wirepb.Status) bool {
	return s.last.MemoryBytes == status.MemoryBytes && slices.Equal(s.last.Cached, status.Cached)
}

// compareReplica classifies the changes of a replica since it was last sent.
func compareReplica(sent, now *wirepb.Replica) statusChange {
	switch {
	case sent == nil, sent.State != now.State, sent.Revision != now.Revision, !slices.Equal(sent.Adapters, now.Adapters):
		return changeState
	case sent.Running != now.Running, sent.Queued != now.Queued, (sent.IdleMillis == 0) != (now.IdleMillis == 0):
		return changeLoad
	default:
		// The entry computes the idle time from the value that was sent when the replica became idle.
		return changeNone
	}
}

// delta returns the status as it is sent. It is complete the first time and whenever a rarely changing field differs;
// otherwise it omits the constant fields and unchanged replicas.
func (s *sentStatus) delta(status *wirepb.Status) *wirepb.Status {
	previous := s.replicas
	whole := s.last == nil || !s.sameStatic(status)
	s.store(status)
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
		Replicas:             changedReplicas(previous, s.replicas, status.Replicas),
		LoadsInFlight:        status.LoadsInFlight,
		AdaptersInFlight:     status.AdaptersInFlight,
	}
}

// changedReplicas returns the replicas that differ from the previous ones, and one in state ABSENT for each that is
// gone.
func changedReplicas(before, after map[string]*wirepb.Replica, now []*wirepb.Replica) []*wirepb.Replica {
	var changed []*wirepb.Replica
	for _, r := range now {
		if compareReplica(before[r.Model], r) != changeNone {
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

func (s *sentStatus) store(status *wirepb.Status) {
	s.last = status
	s.replicas = make(map[string]*wirepb.Replica, len(status.Replicas))
	for _, r := range status.Replicas {
		s.replicas[r.Model] = r
	}
}

// status returns the agent's complete status.
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

// status returns the part of the agent's status that the core holds.
func (c *core) status() *wirepb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := &wirepb.Status{
		Leaving: c.leaving,
		Ready:   c.serviceUp,
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

// rows returns the rows of grants that the machine holds.
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

// isReady reports whether the endpoint's state has been read and offers are accepted.
func (c *core) isReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine == nil {
		return c.serviceUp
	}
	return c.machine.Status(c.clock.Now()).Ready
}
