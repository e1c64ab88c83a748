package agent

import (
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/wire/wirepb"
)

// statusMemo remembers what an entry was last told, so that a batch carries only what changed.
type statusMemo struct {
	told     bool
	replicas map[string]*wirepb.Replica
}

// change returns the status with only the replicas that differ from what was told before; the first one is whole.
func (m *statusMemo) change(status *wirepb.Status) *wirepb.Status {
	if !m.told {
		m.told = true
		m.remember(status.Replicas)
		status.Full = true
		return status
	}
	previous := m.replicas
	now := status.Replicas
	m.remember(now)
	status.Replicas = nil
	status.Labels = nil
	for _, r := range now {
		if !sameReplica(previous[r.Model], r) {
			status.Replicas = append(status.Replicas, r)
		}
	}
	for model := range previous {
		if m.replicas[model] == nil {
			status.Replicas = append(status.Replicas, &wirepb.Replica{Model: model})
		}
	}
	return status
}

func (m *statusMemo) remember(replicas []*wirepb.Replica) {
	m.replicas = make(map[string]*wirepb.Replica, len(replicas))
	for _, r := range replicas {
		m.replicas[r.Model] = r
	}
}

// sameReplica compares all but the idle time, which the entry works out by itself from when it was told.
func sameReplica(a, b *wirepb.Replica) bool {
	if a == nil {
		return false
	}
	if (a.IdleMillis == 0) != (b.IdleMillis == 0) {
		return false
	}
	idle := b.IdleMillis
	b.IdleMillis = a.IdleMillis
	same := proto.Equal(a, b)
	b.IdleMillis = idle
	return same
}
