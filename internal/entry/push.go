package entry

import (
	"context"
	"time"

	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// pushRows sends each changed row to the agents of the engines that it names or named before.
func (c *coordinator) pushRows(ctx context.Context) {
	e := c.entry
	watch, stop := e.grants.Watch()
	defer stop()
	recipients := map[string]map[string]bool{}
	cursor := uint64(0)
	for {
		rows, deleted, next := e.grants.ChangedSince(cursor)
		cursor = next
		for _, row := range rows {
			c.pushRow(recipients, row)
		}
		for _, model := range deleted {
			delete(recipients, model)
		}
		if len(rows) > 0 {
			e.changes.broadcast()
		}
		select {
		case <-watch:
		case <-ctx.Done():
			return
		}
	}
}

// pushRow sends one row to the engines that it names now or named before.
func (c *coordinator) pushRow(recipients map[string]map[string]bool, row *replicaspb.Row) {
	previous := recipients[row.Model]
	current := map[string]bool{}
	for _, s := range row.Slots {
		current[s.Engine] = true
	}
	recipients[row.Model] = current
	down := &wirepb.ControlDown{Rows: []*replicaspb.Row{row}}
	for engine := range current {
		c.entry.members.Send(engine, down)
	}
	for engine := range previous {
		if !current[engine] {
			c.entry.members.Send(engine, down)
		}
	}
}

// pushPermits sends the agents the permits that the budget grants.
func (c *coordinator) pushPermits(ctx context.Context) {
	const maxWait = time.Second
	e := c.entry
	timer := e.clock.NewTimer(maxWait)
	defer timer.Stop()
	for {
		now := e.clock.Now()
		c.mu.Lock()
		grants := c.budget.Decide(now)
		next := c.budget.Next()
		c.mu.Unlock()
		for _, g := range grants {
			e.members.Send(g.Agent, &wirepb.ControlDown{Permits: []*wirepb.Permit{g.Permit}})
		}
		wait := maxWait
		if !next.IsZero() {
			wait = min(maxWait, max(time.Millisecond, next.Sub(now)))
		}
		timer.Reset(wait)
		select {
		case <-c.wake:
		case <-timer.C():
		case <-ctx.Done():
			return
		}
	}
}
