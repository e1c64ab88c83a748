package agent

import (
	"context"
	"strconv"

	"balsamsail/internal/backing"
	"balsamsail/internal/loading"
	"balsamsail/internal/replicas"
)

// registrationPrefix begins the table rows by which agents register.
const registrationPrefix = "agents/"

// runRowReads reads this engine's grants from the table when the agent starts and whenever the machine asks, trying
// again until the table answers.
func (a *Agent) runRowReads(ctx context.Context) {
	x := a.core.perform.(*actions)
	nudge(x.rows)
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.rows:
		}
		read, err := a.readRows(ctx)
		if err != nil {
			a.logger.Warn("grants not read from the table", "error", err)
			a.wait(ctx, a.options.TableRetry)
			nudge(x.rows)
			continue
		}
		a.core.step(read)
	}
}

// readRows registers the agent and reads its grants.
//
// The registration is a write, so that the revision of the listing after it is above every revision that an earlier
// agent of this endpoint can have seen: fencing numbers derived from it are above all earlier ones. When its answer is
// lost the listing may show a lower revision, so the read is given up and done again.
func (a *Agent) readRows(ctx context.Context) (loading.RowsRead, error) {
	put := backing.Put{
		Key:   registrationPrefix + a.options.Endpoint,
		Value: []byte(strconv.FormatUint(a.options.Incarnation, 10)),
	}
	if _, err := a.table.Commit(ctx, backing.Txn{Puts: []backing.Put{put}}); err != nil {
		return loading.RowsRead{}, err
	}
	listing, err := a.table.List(ctx, replicas.KeyPrefix, 0)
	if err != nil {
		return loading.RowsRead{}, err
	}
	read := loading.RowsRead{Revision: listing.Revision}
	for _, stored := range listing.Rows {
		row, err := replicas.DecodeRow(stored)
		if err != nil {
			return loading.RowsRead{}, err
		}
		if replicas.SlotOf(row, a.options.Endpoint, a.options.Host) != nil {
			read.Rows = append(read.Rows, row)
		}
	}
	return read, nil
}
