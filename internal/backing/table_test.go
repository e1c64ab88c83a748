package backing_test

import (
	"errors"
	"slices"
	"testing"

	"balsamsail/internal/backing"
	standin "balsamsail/internal/standin/platform"
)

// Transactions must take effect as a whole or not at all. If two operators edit a row that both read at revision 1, the
// second to commit must get a conflict with the row's current revision, and must change nothing, including the rows
// whose conditions held.
func TestTransactions(t *testing.T) {
	cases := []struct {
		name string
		txn  backing.Txn
		want *backing.ConflictError
		keys []string
	}{
		{"unconditional", put("c", "v"), nil, []string{"a", "b", "c"}},
		{
			name: "conditions hold",
			txn: backing.Txn{
				Conditions: []backing.Condition{{Key: "a", Revision: 1}, {Key: "c"}},
				Puts:       []backing.Put{{Key: "c"}},
				Deletes:    []string{"a"},
			},
			keys: []string{"b", "c"},
		},
		{
			name: "second condition fails",
			txn: backing.Txn{
				Conditions: []backing.Condition{{Key: "a", Revision: 1}, {Key: "b", Revision: 1}},
				Puts:       []backing.Put{{Key: "c"}},
				Deletes:    []string{"a"},
			},
			want: &backing.ConflictError{Key: "b", Revision: 2},
			keys: []string{"a", "b"},
		},
		{
			name: "row exists but must be absent",
			txn:  backing.Txn{Conditions: []backing.Condition{{Key: "a"}}, Puts: []backing.Put{{Key: "a"}}},
			want: &backing.ConflictError{Key: "a", Revision: 1},
			keys: []string{"a", "b"},
		},
		{
			name: "row is absent but must exist",
			txn:  backing.Txn{Conditions: []backing.Condition{{Key: "c", Revision: 1}}},
			want: &backing.ConflictError{Key: "c"},
			keys: []string{"a", "b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clients := newClients(t, standin.Options{})
			mustCommit(t, clients, put("a", "1"))
			mustCommit(t, clients, put("b", "2"))
			revision, err := clients.table.Commit(t.Context(), c.txn)
			var conflict *backing.ConflictError
			if errors.As(err, &conflict) != (c.want != nil) || (conflict != nil && *conflict != *c.want) {
				t.Fatalf("got %v, want conflict %v", err, c.want)
			}
			if c.want == nil && revision != 3 {
				t.Errorf("revision %d, want 3", revision)
			}
			listing, err := clients.table.List(t.Context(), "", 0)
			if err != nil {
				t.Fatal(err)
			}
			if got := keysOf(listing); !slices.Equal(got, c.keys) {
				t.Errorf("rows %v, want %v", got, c.keys)
			}
		})
	}
}

func mustCommit(t *testing.T, c clients, txn backing.Txn) uint64 {
	t.Helper()
	revision, err := c.table.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func keysOf(listing backing.Listing) []string {
	var keys []string
	for _, row := range listing.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

func TestTableReads(t *testing.T) {
	c := newClients(t, standin.Options{})
	const odd = "p/a b&c=%2F+é"
	mustCommit(t, c, put(odd, "\x00\xff"))
	mustCommit(t, c, put("p/z", ""))
	last := mustCommit(t, c, put("q", "v"))
	row, err := c.table.Get(t.Context(), odd)
	if err != nil || string(row.Value) != "\x00\xff" || row.Revision != 1 {
		t.Errorf("got %+v, %v", row, err)
	}
	_, err = c.table.Get(t.Context(), "absent")
	checkError(t, err, backing.ErrNotFound)
	listing, err := c.table.List(t.Context(), "p/", 1)
	if err != nil || listing.Revision != last || !slices.Equal(keysOf(listing), []string{"p/z"}) {
		t.Errorf("got %+v, %v", listing, err)
	}
}

func TestObjects(t *testing.T) {
	c := newClients(t, standin.Options{})
	const name = "traces/day 1/a?b#c"
	for range 2 {
		if err := c.objects.PutObject(t.Context(), name, []byte("data")); err != nil {
			t.Fatal(err)
		}
	}
	data, err := c.objects.GetObject(t.Context(), name)
	if err != nil || string(data) != "data" {
		t.Errorf("got %q, %v", data, err)
	}
	checkError(t, c.objects.PutObject(t.Context(), name, []byte("other")), backing.ErrInvalid)
	_, err = c.objects.GetObject(t.Context(), "absent")
	checkError(t, err, backing.ErrNotFound)
}
