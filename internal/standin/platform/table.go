package platform

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/backing"
	"balsamsail/internal/standin/control"
)

// table is a transactional table whose commits are numbered by one revision counter.
type table struct {
	store *store

	mu       sync.Mutex
	revision uint64
	rows     map[string]backing.Row
}

func (t *table) mount(r chi.Router) {
	r.Get("/table/row", t.get)
	r.Get("/table/rows", t.list)
	r.Post("/table/commit", t.commit)
}

func (t *table) get(w http.ResponseWriter, r *http.Request) {
	t.store.read(w, r, func() {
		t.mu.Lock()
		row, ok := t.rows[r.URL.Query().Get("key")]
		t.mu.Unlock()
		if !ok {
			control.WriteError(w, http.StatusNotFound, "not_found", "no such row")
			return
		}
		control.WriteJSON(w, http.StatusOK, row)
	})
}

func (t *table) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil && query.Get("after") != "" {
		control.WriteError(w, http.StatusBadRequest, "invalid", "after is not a revision")
		return
	}
	t.store.read(w, r, func() { control.WriteJSON(w, http.StatusOK, t.snapshot(query.Get("prefix"), after)) })
}

func (t *table) snapshot(prefix string, after uint64) backing.Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	listing := backing.Listing{Revision: t.revision, Rows: []backing.Row{}}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			listing.Rows = append(listing.Rows, row)
		}
	}
	slices.SortFunc(listing.Rows, func(a, b backing.Row) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

func (t *table) commit(w http.ResponseWriter, r *http.Request) {
	var txn backing.Txn
	if err := control.ReadJSON(r, &txn); err != nil {
		control.WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	t.store.write(w, r, func() func() {
		revision, conflict := t.apply(txn)
		if conflict != nil {
			return func() { control.WriteJSON(w, http.StatusConflict, conflict) }
		}
		return func() { control.WriteJSON(w, http.StatusOK, CommitAnswer{Revision: revision}) }
	})
}

// CommitAnswer is the response to a committed transaction.
type CommitAnswer struct {
	Revision uint64 `json:"revision"`
}

// apply executes a transaction and returns its revision, or the key and present revision of the row whose condition failed.
func (t *table) apply(txn backing.Txn) (uint64, *backing.Condition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range txn.Conditions {
		if current := t.rows[condition.Key].Revision; current != condition.Revision {
			t.store.count(func(c *StoreTruth) { c.Conflicts++ })
			return 0, &backing.Condition{Key: condition.Key, Revision: current}
		}
	}
	t.revision++
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	for _, put := range txn.Puts {
		t.rows[put.Key] = backing.Row{Key: put.Key, Revision: t.revision, Value: put.Value}
	}
	t.store.countWrite()
	return t.revision, nil
}

// Rows returns all rows of the table whose keys begin with prefix, bypassing faults and limits.
func (s *Server) Rows(prefix string) backing.Listing { return s.table.snapshot(prefix, 0) }

// objects is a store of immutable blobs.
type objects struct {
	store *store

	mu    sync.Mutex
	blobs map[string][]byte
}

func (o *objects) mount(r chi.Router) {
	r.Get("/objects/*", o.get)
	r.Put("/objects/*", o.put)
}

func (o *objects) get(w http.ResponseWriter, r *http.Request) {
	o.store.read(w, r, func() {
		o.mu.Lock()
		data, ok := o.blobs[chi.URLParam(r, "*")]
		o.mu.Unlock()
		if !ok {
			control.WriteError(w, http.StatusNotFound, "not_found", "no such object")
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.Write(data)
	})
}

func (o *objects) put(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "*")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o.store.write(w, r, func() func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if current, ok := o.blobs[name]; ok && !bytes.Equal(current, data) {
			o.store.count(func(t *StoreTruth) { t.Conflicts++ })
			return func() { control.WriteError(w, http.StatusConflict, "exists", "the object has other content") }
		}
		o.blobs[name] = data
		o.store.countWrite()
		return func() { w.WriteHeader(http.StatusNoContent) }
	})
}

// Object returns an object, bypassing faults and limits, or nil if it does not exist.
func (s *Server) Object(name string) []byte {
	s.objects.mu.Lock()
	defer s.objects.mu.Unlock()
	return s.objects.blobs[name]
}
