package agent

import (
	"context"
	"strconv"

	"balsamsail/internal/backing"
	"balsamsail/internal/loading"
	"balsamsail/internal/replicas"
)

// registrationPrefix is the key prefix of the table rows under which agents register.
const registrationPrefix = "agents/"

// runRowReads reads this engine's grants from the table at start and whenever the machine asks, retrying until the
// table answers.
func (a *Agent) runRowReads(ctx context.Context) {
	x := a.core.executor.(*orderExecutor)
	notify(x.readRows)
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.readRows:
		}
		read, err := a.readRows(ctx)
		if err != nil {
			a.logger.Warn("reading grants from the table failed; retrying", "error", err)
			a.sleep(ctx, a.options.TableRetryInterval)
			notify(x.readRows)
			continue
		}
		a.core.step(read)
	}
}

// readRows registers the agent and reads its grants.
//
// The registration is a write, so the revision of the subsequent listing is higher than every revision that an earlier
// agent of this endpoint can have read. Fencing tokens derived from it are therefore higher than all earlier ones. If
// the response to the write is lost, the listing may show a lower revision, so the whole read is repeated.
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
			// The grants of one model version. All others apply, and the next ones of this one arrive from the entries.
			a.logger.Error("cannot decode table row", "key", stored.Key, "error", err)
			continue
		}
		if replicas.SlotOf(row, a.options.Endpoint, a.options.Host) != nil {
			read.Rows = append(read.Rows, row)
		}
	}
	return read, nil
}
