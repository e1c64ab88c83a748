package replicas

import (
	"context"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/timeline"
)

// committed takes in a change that the table has taken; row is nil when it was deleted.
func (m *Manager) committed(c Change, row *replicaspb.Row) {
	now := m.clock.Now()
	if row == nil {
		m.store.drop(now, c.Model, c.Expected)
	} else {
		m.store.put(now, row)
	}
	for _, s := range c.Steps {
		m.metrics.steps.WithLabelValues(string(s.Action), string(s.Reason)).Inc()
		m.timeline.Record(timeline.Event{
			Kind: kinds[s.Action], Model: c.Model, Endpoint: s.Engine, Detail: string(s.Reason),
		})
	}
	m.log.Info("grant changed", "model", c.Model, "revision", row.GetRevision(), "change", c.String())
}

// kinds are the time-line events of the actions.
var kinds = map[Action]timeline.Kind{
	Grant:        timeline.SlotGranted,
	StartRelease: timeline.SlotReleasing,
	Remove:       timeline.SlotRemoved,
}

// reread brings one row up to date after a conflict.
func (m *Manager) reread(ctx context.Context, model string) {
	stored, err := m.table.Get(ctx, Key(model))
	now := m.clock.Now()
	if errors.Is(err, backing.ErrNotFound) {
		if old := m.store.row(model); old != nil {
			m.store.drop(now, model, old.Revision)
		}
		return
	}
	if err != nil {
		return
	}
	row, err := DecodeRow(stored)
	if err != nil {
		m.log.Error("row of the table cannot be read", "key", stored.Key, "revision", stored.Revision, "error", err)
		return
	}
	m.store.put(now, row)
}
