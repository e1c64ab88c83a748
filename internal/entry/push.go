package entry

import (
	"context"
	"time"

	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// pushRows sends changed rows to the agents that they name or have named.
func (c *coordinator) pushRows(ctx context.Context) {
	e := c.entry
	watch, stop := e.grants.Watch()
	defer stop()
	named := map[string]map[string]bool{}
	point := uint64(0)
	for {
		rows, deleted, next := e.grants.Changed(point)
		point = next
		for _, row := range rows {
			c.pushRow(named, row)
		}
		for _, model := range deleted {
			delete(named, model)
		}
		if len(rows) > 0 {
			e.changes.announce()
		}
		select {
		case <-watch:
		case <-ctx.Done():
			return
		}
	}
}

// pushRow sends one row to the engines that it names now or named before.
func (c *coordinator) pushRow(named map[string]map[string]bool, row *replicaspb.Row) {
	before := named[row.Model]
	now := map[string]bool{}
	for _, s := range row.Slots {
		now[s.Engine] = true
	}
	named[row.Model] = now
	down := &wirepb.ControlDown{Rows: []*replicaspb.Row{row}}
	for engine := range now {
		c.entry.members.Send(engine, down)
	}
	for engine := range before {
		if !now[engine] {
			c.entry.members.Send(engine, down)
		}
	}
}

// pushPermits answers the agents' asking for permits.
func (c *coordinator) pushPermits(ctx context.Context) {
	const longest = time.Second
	e := c.entry
	timer := e.clock.NewTimer(longest)
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
		wait := longest
		if !next.IsZero() {
			wait = min(longest, max(time.Millisecond, next.Sub(now)))
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
