package replicas

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
)

// Guards against a row that cannot be read counting as an empty one, or as one that was deleted: its grants would be given again.
func TestRowThatCannotBeRead(t *testing.T) {
	value, err := EncodeRow(&replicaspb.Row{Model: "m", Slots: []*replicaspb.Slot{{Engine: "e"}}})
	if err != nil {
		t.Fatal(err)
	}
	s := newRowStore()
	now := time.Unix(1000, 0)
	s.applyListing(now, backing.Listing{Revision: 1, Rows: []backing.Row{{Key: Key("m"), Revision: 1, Value: value}}}, true)
	odd := backing.Row{Key: Key("m"), Err: errors.New("odd")}
	if corrupt := s.applyListing(now, backing.Listing{Revision: 2, Rows: []backing.Row{odd}}, true); len(corrupt) != 1 {
		t.Errorf("corrupt rows %v, want one", corrupt)
	}
	if row := s.row("m"); len(row.GetSlots()) != 1 {
		t.Errorf("row %v, want the one that was read before", row)
	}
}
