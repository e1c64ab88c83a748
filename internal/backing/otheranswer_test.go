package backing

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
)

// startFixedTable returns a client of a table service that gives the answers in their order.
func startFixedTable(t *testing.T, status int, bodies ...string) Table {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if _, err := w.Write([]byte(bodies[0])); err != nil {
			t.Error(err)
		}
		bodies = bodies[1:]
	}))
	t.Cleanup(server.Close)
	return NewHTTPTable(Options{TableURL: server.URL}, nil)
}

// Guards against a commit whose outcome is taken from the answer to another call, so that a claim or a grant is used that does not exist.
func TestCommitIsNotDecidedByAnotherAnswer(t *testing.T) {
	txn := Txn{Conditions: []Condition{{Key: "k", Revision: 5}}, Puts: []Put{{Key: "k"}}}
	commit := func(table Table, txn Txn) error {
		_, err := table.Commit(t.Context(), txn)
		return err
	}
	if err := commit(startFixedTable(t, http.StatusOK, `{"revision":6}`), txn); err != nil {
		t.Errorf("a commit failed: %v", err)
	}
	if err := commit(startFixedTable(t, http.StatusOK, `{"revision":5}`), txn); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("a revision that a condition names: error %v, want an unknown outcome", err)
	}
	table := startFixedTable(t, http.StatusOK, `{"revision":9}`, `{"revision":9}`)
	if first, second := commit(table, Txn{Puts: txn.Puts}), commit(table, Txn{Puts: txn.Puts}); first != nil || !errors.Is(second, ErrOutcomeUnknown) {
		t.Errorf("the revision of the commit before: errors %v, %v, want none and an unknown outcome", first, second)
	}
	table = startFixedTable(t, http.StatusOK, `{"revision":9,"rows":[]}`, `{"revision":8}`)
	if _, err := table.List(t.Context(), "", 0); err != nil {
		t.Fatal(err)
	}
	if err := commit(table, txn); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("a revision from before a listing: error %v, want an unknown outcome", err)
	}
	for _, body := range []string{`{"key":"other","revision":7}`, `{"key":"k","revision":5}`} {
		if err := commit(startFixedTable(t, http.StatusConflict, body), txn); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("conflict %s: error %v, want an unknown outcome", body, err)
		}
	}
	var conflict *ConflictError
	if err := commit(startFixedTable(t, http.StatusConflict, `{"key":"k","revision":7}`), txn); !errors.As(err, &conflict) {
		t.Errorf("a conflict: error %v", err)
	}
}

// Guards against rows of another call that count as those that were asked for.
func TestReadIsNotAnsweredByAnotherAnswer(t *testing.T) {
	if _, err := startFixedTable(t, http.StatusOK, `{"key":"other","revision":7}`).Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("row of another key: error %v", err)
	}
	for name, body := range map[string]string{
		"another prefix":      `{"revision":9,"rows":[{"key":"b/1","revision":8}]}`,
		"rows from before":    `{"revision":9,"rows":[{"key":"a/1","revision":5}]}`,
		"an earlier revision": `{"revision":4,"rows":[]}`,
	} {
		if listing, err := startFixedTable(t, http.StatusOK, body).List(t.Context(), "a/", 5); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: listing %+v, error %v", name, listing, err)
		}
	}
}

// Guards against a table that nobody can read because one of its rows has a field of another type, and against that row counting as one
// that does not exist.
func TestListingWithAnOddRow(t *testing.T) {
	const good = `{"key":"a/1","revision":7,"value":"b25l"}`
	for name, odd := range map[string]string{
		"value of another type":    `{"key":"a/2","revision":8,"value":{"x":1}}`,
		"value that is not base64": `{"key":"a/2","revision":8,"value":"?"}`,
		"negative revision":        `{"key":"a/2","revision":-8,"value":"b25l"}`,
		"revision of another type": `{"key":"a/2","revision":"8"}`,
	} {
		listing, err := startFixedTable(t, http.StatusOK, `{"revision":9,"rows":[`+good+`,`+odd+`]}`).List(t.Context(), "a/", 5)
		if err != nil || len(listing.Rows) != 2 {
			t.Errorf("%s: %d rows, error %v, want both rows", name, len(listing.Rows), err)
			continue
		}
		if one, two := listing.Rows[0], listing.Rows[1]; one.Err != nil || string(one.Value) != "one" || two.Key != "a/2" || two.Err == nil || two.Value != nil {
			t.Errorf("%s: rows %+v, want the first one whole and an error for the other", name, listing.Rows)
		}
	}
	for _, odd := range []string{`{"key":5,"revision":8}`, `{"revision":"8"}`, `7`} {
		if _, err := startFixedTable(t, http.StatusOK, `{"revision":9,"rows":[`+good+`,`+odd+`]}`).List(t.Context(), "a/", 5); !errors.Is(err, ErrUnavailable) {
			t.Errorf("row %s, which has no key: error %v, want that the listing cannot be used", odd, err)
		}
	}
}
