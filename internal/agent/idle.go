package agent

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// idleMeter accumulates, for each model version, the time in which loaded replicas had no running request.
type idleMeter struct {
	last time.Time
}

// observe adds the time since the last observation for the replicas that are loaded and idle now.
func (m *idleMeter) observe(now time.Time, status *wirepb.Status, add func(model string, seconds float64)) {
	passed := now.Sub(m.last)
	first := m.last.IsZero()
	m.last = now
	if first || passed <= 0 {
		return
	}
	for _, r := range status.Replicas {
		if r.State == wirepb.ReplicaState_LOADED && r.Running == 0 {
			add(r.Model, passed.Seconds())
		}
	}
}
