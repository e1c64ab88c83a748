package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// tableSink keeps a table as a consumer sees it.
type tableSink struct {
	rows       map[string]string
	lost, back int
	// removedInOutage counts the rows removed while the store counted as unavailable.
	removedInOutage int
}

func (s *tableSink) Replace(rows []Row) {
	clear(s.rows)
	s.Apply(rows)
}

func (s *tableSink) Apply(rows []Row) {
	for _, r := range rows {
		delete(s.rows, r.Key)
		if r.Deleted && s.lost > s.back {
			s.removedInOutage++
		}
		if !r.Deleted {
			s.rows[r.Key] = string(r.Value)
		}
	}
}

func (s *tableSink) Unavailable(error) { s.lost++ }
func (s *tableSink) Available()        { s.back++ }

var start = time.Unix(1000, 0)

// A table reaches a gateway from its hub and from the store at the same time, late, twice and in any order, also from a hub
// that lags behind the last one. A row never goes back to an earlier value, a removed one never returns, and once the
// newest change is confirmed the table is complete.
func TestTwoSourcesNeverGoBack(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		current := make(map[string]Row)
		var history []Row
		var snapshots [][]Row
		revision := int64(0)
		for range 40 {
			revision++
			row := Row{Key: fmt.Sprint(r.IntN(6)), Value: []byte(fmt.Sprint(revision)), Revision: revision, Deleted: r.IntN(4) == 0}
			current[row.Key] = row
			if row.Deleted {
				delete(current, row.Key)
			}
			history = append(history, row)
			var all []Row
			for _, row := range current {
				all = append(all, row)
			}
			snapshots = append(snapshots, all)
		}
		sink := &tableSink{rows: make(map[string]string)}
		replica := NewReplica("t", sink)
		positions := [2]int64{}
		newest := make(map[string]int64)
		for range 120 {
			s := r.IntN(2)
			at := start.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			if positions[s] == 0 || r.IntN(10) == 0 {
				positions[s] = 1 + r.Int64N(revision)
				replica.Apply(Change{Replace: true, Rows: snapshots[positions[s]-1], Revision: positions[s], ConfirmedAt: at})
			} else {
				next := min(revision, positions[s]+r.Int64N(4))
				replica.Apply(Change{Rows: history[positions[s]:next], Base: positions[s], Revision: next, ConfirmedAt: at})
				positions[s] = next
			}
			for key, value := range sink.rows {
				var v int64
				_, _ = fmt.Sscan(value, &v)
				if v < newest[key] {
					t.Fatalf("seed %d: row %s went back from %d to %d", seed, key, newest[key], v)
				}
				newest[key] = v
			}
			position, _ := replica.position()
			if want := snapshots[max(position, 1)-1]; position > 0 && len(want) != len(sink.rows) {
				t.Fatalf("seed %d: %d rows at revision %d, want %d", seed, len(sink.rows), position, len(want))
			}
		}
		if !replica.Apply(Change{Replace: true, Rows: snapshots[revision-1], Revision: revision, ConfirmedAt: start}) {
			t.Fatalf("seed %d: the newest table is not taken", seed)
		}
	}
}

// A gap: a hub sends changes that follow a revision which the gateway has not reached. They must not be applied as if
// nothing were missing, nor count as a confirmation.
func TestChangesAfterAGapAreNotApplied(t *testing.T) {
	sink := &tableSink{rows: make(map[string]string)}
	replica := NewReplica("t", sink)
	if replica.Apply(Change{Base: 3, Revision: 4, Rows: []Row{{Key: "a", Revision: 4}}}) || len(sink.rows) > 0 {
		t.Error("a change was applied before the table was known")
	}
	replica.Apply(Change{Replace: true, Revision: 2})
	if replica.Apply(Change{Base: 3, Revision: 4, Rows: []Row{{Key: "a", Revision: 4}}}) || len(sink.rows) > 0 {
		t.Error("a change after a gap was applied")
	}
	if !replica.Apply(Change{Base: 2, Revision: 4, Rows: []Row{{Key: "a", Revision: 4}}}) || len(sink.rows) != 1 {
		t.Error("a change that follows was not applied")
	}
}

// Registrations lapse in an outage of the store, and the hub reports them removed once it is over. A gateway must know of the
// outage before it sees them removed; otherwise all endpoints are gone at once. An earlier message does not end an outage.
func TestOutageIsKnownBeforeItsRemovals(t *testing.T) {
	sink := &tableSink{rows: make(map[string]string)}
	replica := NewReplica("t", sink)
	replica.Apply(Change{Replace: true, Revision: 1, Rows: []Row{{Key: "a", Revision: 1}}, ConfirmedAt: start})
	replica.Apply(Change{Base: 1, Revision: 1, ConfirmedAt: start, Unavailable: true})
	replica.Apply(Change{Base: 1, Revision: 1, ConfirmedAt: start.Add(-time.Second)})
	if sink.lost != 1 || sink.back != 0 {
		t.Fatalf("lost %d times and back %d times, want one outage that lasts", sink.lost, sink.back)
	}
	replica.Apply(Change{Base: 1, Revision: 2, Rows: []Row{{Key: "a", Revision: 2, Deleted: true}}, ConfirmedAt: start.Add(time.Second)})
	if sink.back != 1 || sink.removedInOutage != 0 || len(sink.rows) != 0 {
		t.Errorf("back %d times, %d rows removed in the outage, want the end of the outage first", sink.back, sink.removedInOutage)
	}
	replica.setUnavailable(errors.New("silent"))
	replica.setUnavailable(errors.New("silent"))
	if sink.lost != 2 {
		t.Errorf("lost %d times, want each outage once", sink.lost)
	}
}

// Other tables change, so that the revision of a hub's table advances without rows. Its gateways must go on counting it as
// confirmed: they used to read the store themselves half of the time.
func TestRevisionAdvancesWithoutRows(t *testing.T) {
	hubSink, sink := &tableSink{rows: make(map[string]string)}, &tableSink{rows: make(map[string]string)}
	hub, replica := NewReplica("t", hubSink), NewReplica("t", sink)
	hub.OnChange(func(c Change) { replica.Apply(c) })
	hub.Apply(Change{Replace: true, Revision: 3, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: 2}}, ConfirmedAt: start})
	for i := range int64(5) {
		at := start.Add(time.Duration(i+1) * time.Second)
		hub.Apply(Change{Base: 3 + 10*i, Revision: 13 + 10*i, ConfirmedAt: at})
		status, _ := hub.Status()
		if !replica.Apply(status) || !replica.ConfirmedAt().Equal(at) {
			t.Fatalf("confirmed at %v, want %v", replica.ConfirmedAt(), at)
		}
	}
	hub.Apply(Change{Base: 53, Revision: 60, Rows: []Row{{Key: "a", Value: []byte("2"), Revision: 60}}, ConfirmedAt: start.Add(time.Minute)})
	if sink.rows["a"] != "2" {
		t.Errorf("row %q, want the hub's", sink.rows["a"])
	}
}
