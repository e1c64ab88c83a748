package replicas

import (
	"context"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/timeline"
)

// applyCommitted applies a committed change to the local view; row is nil if the row was deleted.
func (m *Manager) applyCommitted(c Change, row *replicaspb.Row) {
	now := m.clock.Now()
	if row == nil {
		m.store.drop(now, c.Model, c.Expected)
	} else {
		m.store.put(now, row)
	}
	for _, s := range c.Steps {
		m.metrics.steps.WithLabelValues(string(s.Action), string(s.Reason)).Inc()
		m.timeline.Record(timeline.Event{
			Kind: eventKinds[s.Action], Model: c.Model, Endpoint: s.Engine, Detail: string(s.Reason),
		})
	}
	m.log.Info("row change committed", "model", c.Model, "revision", row.GetRevision(), "change", c.String())
}

// eventKinds maps actions to timeline event kinds.
var eventKinds = map[Action]timeline.Kind{
	Grant:        timeline.SlotGranted,
	StartRelease: timeline.SlotReleasing,
	Remove:       timeline.SlotRemoved,
}

// reread updates one row from the table after a conflict.
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
		m.log.Error("cannot decode table row", "key", stored.Key, "revision", stored.Revision, "error", err)
		return
	}
	m.store.put(now, row)
}
