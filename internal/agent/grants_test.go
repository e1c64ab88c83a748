package agent

import (
	"context"
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
)

// listedTable is a table that takes each commit and lists the same rows.
type listedTable struct {
	backing.Table
	rows []backing.Row
}

func (t listedTable) Commit(context.Context, backing.Txn) (uint64, error) { return 1, nil }

func (t listedTable) List(context.Context, string, uint64) (backing.Listing, error) {
	return backing.Listing{Revision: 2, Rows: t.rows}, nil
}

// Guards against an agent that gets none of its grants because the row of one model version cannot be read.
func TestGrantsBesideARowThatCannotBeRead(t *testing.T) {
	value, err := replicas.EncodeRow(&replicaspb.Row{Model: "m", Slots: []*replicaspb.Slot{{Engine: "e", Host: "h"}}})
	if err != nil {
		t.Fatal(err)
	}
	good := backing.Row{Key: replicas.Key("m"), Revision: 1, Value: value}
	for name, odd := range map[string]backing.Row{
		"of another type":  {Key: replicas.Key("x"), Err: errors.New("odd")},
		"of another model": {Key: replicas.Key("x"), Revision: 1, Value: value},
		"of other bytes":   {Key: replicas.Key("x"), Revision: 1, Value: []byte("\xff\xff\xff")},
	} {
		a := &Agent{options: Options{Endpoint: "e", Host: "h"}, table: listedTable{rows: []backing.Row{odd, good}}, logger: slog.New(slog.DiscardHandler)}
		if read, err := a.readRows(t.Context()); err != nil || len(read.Rows) != 1 {
			t.Errorf("row %s: %d grants, error %v, want one", name, len(read.Rows), err)
		}
	}
}
