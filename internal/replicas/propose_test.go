package replicas

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
)

// firstChange returns a change that creates the row of m0@1.
func firstChange(t *testing.T, operation string) Change {
	t.Helper()
	s := newSite(models(1), engines(2, "north", "east"))
	changes := s.decide()
	if len(changes) != 1 {
		t.Fatalf("changes: %v", changes)
	}
	changes[0].Next.OperationId = operation
	return changes[0]
}

// The response to a write is lost and Propose reports an outcome without reading the row back: a grant is then reported
// as made, or as not made, while the table shows the opposite.
func TestProposeOutcomes(t *testing.T) {
	lost := backing.ErrOutcomeUnknown
	cases := []struct {
		name       string
		answer     error
		takeEffect bool
		raced      bool
		want       error
		stored     bool
	}{
		{name: "committed", stored: true},
		{name: "response lost after the write", answer: lost, takeEffect: true, stored: true},
		{name: "response lost, no write seen", answer: lost, want: ErrOutcomeUnknown},
		{name: "rate limited", answer: backing.ErrRateLimited, want: ErrUnavailable},
		{name: "table unavailable", answer: backing.ErrUnavailable, want: ErrUnavailable},
		{name: "malformed", answer: backing.ErrInvalid, want: ErrInvalid},
		{name: "another process wrote first", raced: true, want: ErrConflict, stored: true},
		{name: "response lost, another process wrote first", raced: true, answer: lost, want: ErrOutcomeUnknown, stored: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newMemoryTable()
			if c.raced {
				if _, err := Propose(context.Background(), table, firstChange(t, "other")); err != nil {
					t.Fatal(err)
				}
			}
			table.fault = func(backing.Txn) (error, bool) { return c.answer, c.takeEffect }
			row, err := Propose(context.Background(), table, firstChange(t, "own"))
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if c.want == nil && (row == nil || row.Revision == 0 || row.OperationId != "own") {
				t.Errorf("row returned: %v", row)
			}
			stored := table.row(t, "m0@1")
			if (stored != nil) != c.stored {
				t.Errorf("row stored: %q", short(stored))
			}
		})
	}
}
