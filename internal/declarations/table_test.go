package declarations

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
)

// memTable is an in-memory table. Its hooks run before a call and may make it fail.
type memTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]backing.Row

	// beforeRead makes a read fail if it returns an error.
	beforeRead func(ctx context.Context) error
	// beforeCommit determines the result of a commit itself if it returns true.
	beforeCommit func(ctx context.Context, txn backing.Txn) (bool, error)

	reads, lists, commits int
}

func newMemTable() *memTable { return &memTable{rows: map[string]backing.Row{}} }

func (t *memTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := t.admitRead(ctx, &t.reads); err != nil {
		return backing.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

func (t *memTable) List(ctx context.Context, prefix string, after uint64) (backing.Listing, error) {
	if err := t.admitRead(ctx, &t.lists); err != nil {
		return backing.Listing{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listing := backing.Listing{Revision: t.revision}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after {
			listing.Rows = append(listing.Rows, row)
		}
	}
	slices.SortFunc(listing.Rows, func(a, b backing.Row) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

func (t *memTable) admitRead(ctx context.Context, count *int) error {
	t.mu.Lock()
	*count++
	before := t.beforeRead
	t.mu.Unlock()
	if before == nil {
		return nil
	}
	return before(ctx)
}

func (t *memTable) Commit(ctx context.Context, txn backing.Txn) (uint64, error) {
	t.mu.Lock()
	t.commits++
	before := t.beforeCommit
	t.mu.Unlock()
	if before != nil {
		if handled, err := before(ctx, txn); handled {
			return 0, err
		}
	}
	return t.apply(txn)
}

// apply executes a transaction without the hooks.
func (t *memTable) apply(txn backing.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if has := t.rows[c.Key].Revision; has != c.Revision {
			return 0, &backing.ConflictError{Key: c.Key, Revision: has}
		}
	}
	t.revision++
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	for _, put := range txn.Puts {
		t.rows[put.Key] = backing.Row{Key: put.Key, Revision: t.revision, Value: put.Value}
	}
	return t.revision, nil
}

// content decodes the table's rows.
func (t *memTable) content() *tableContent {
	listing, _ := t.List(context.Background(), tablePrefix, 0)
	content, err := decodeContent(listing.Rows)
	if err != nil {
		panic(err)
	}
	return content
}

// Guards against a declaration that cannot be read counting as an empty one, and against one row of another kind making all unreadable.
func TestDeclarationThatCannotBeRead(t *testing.T) {
	odd := func(key string) []backing.Row { return []backing.Row{{Key: key, Err: errors.New("odd")}} }
	for _, key := range []string{headKey, logKey(7), objectPrefix + "model/m"} {
		if _, err := decodeContent(odd(key)); !errors.Is(err, ErrMalformedRow) {
			t.Errorf("row %s: error %v, want a malformed row", key, err)
		}
	}
	if _, err := decodeContent(odd(tablePrefix + "note")); err != nil {
		t.Errorf("row of no declaration: %v", err)
	}
}
