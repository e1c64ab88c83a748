package atmostonce

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/backing"
)

// memoryTable is a table whose next calls of Commit and Get can be made to fail.
type memoryTable struct {
	mu       sync.Mutex
	rows     map[string]backing.Row
	revision uint64
	// commits and gets are the errors of the next calls; a commit that fails with errAfterWrite took effect.
	commits, gets []error
	// down fails all calls.
	down error
}

var errAfterWrite = errors.New("the connection broke after the write")

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]backing.Row{}} }

func (m *memoryTable) Commit(_ context.Context, txn backing.Txn) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.down
	if len(m.commits) > 0 {
		err, m.commits = m.commits[0], m.commits[1:]
	}
	if err != nil && !errors.Is(err, errAfterWrite) {
		return 0, err
	}
	for _, c := range txn.Conditions {
		if m.rows[c.Key].Revision != c.Revision {
			return 0, &backing.ConflictError{Key: c.Key, Revision: m.rows[c.Key].Revision}
		}
	}
	m.revision++
	for _, p := range txn.Puts {
		m.rows[p.Key] = backing.Row{Key: p.Key, Revision: m.revision, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	return m.revision, err
}

func (m *memoryTable) Get(_ context.Context, key string) (backing.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.down
	if len(m.gets) > 0 {
		err, m.gets = m.gets[0], m.gets[1:]
	}
	row, ok := m.rows[key]
	if err == nil && !ok {
		err = backing.ErrNotFound
	}
	return row, err
}

func (m *memoryTable) List(_ context.Context, prefix string, _ uint64) (backing.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var listing backing.Listing
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			listing.Rows = append(listing.Rows, row)
		}
	}
	return listing, m.down
}

func (m *memoryTable) setDown(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = err
}

func (m *memoryTable) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

// notice is a request to send one penalty notice.
func notice(owner string) ClaimRequest {
	return ClaimRequest{Service: "ledger", Caller: "c", Key: "notice-1", Owner: owner, Fingerprint: 7, Deadline: time.Now().Add(time.Minute)}
}

func claim(t *testing.T, c *Claims, r ClaimRequest, want ClaimOutcome) Held {
	t.Helper()
	held, outcome, err := c.Claim(t.Context(), r)
	if err != nil || outcome != want {
		t.Fatalf("claim by %s: outcome %v, error %v, want outcome %v", r.Owner, outcome, err, want)
	}
	return held
}

func TestClaimAgainAfterTheFirstEnded(t *testing.T) {
	other := notice("second")
	other.Fingerprint = 8
	stranger := notice("second")
	stranger.Caller = "d"
	done := func(c *Claims, h Held) error {
		return c.Finish(t.Context(), h, ClaimDone, Answer{Status: 201, Body: []byte("sent")})
	}
	cases := []struct {
		name   string
		end    func(*Claims, Held) error
		second ClaimRequest
		want   ClaimOutcome
	}{
		{"still held", func(*Claims, Held) error { return nil }, notice("second"), ClaimInProgress},
		{"held under the same request identifier", func(*Claims, Held) error { return nil }, notice("first"), ClaimInProgress},
		{"done", done, notice("second"), ClaimAnswered},
		{"unknown", func(c *Claims, h Held) error { return c.Finish(t.Context(), h, ClaimUnknown, Answer{}) }, notice("second"), ClaimLost},
		{"freed", func(c *Claims, h Held) error { return c.Free(t.Context(), h) }, notice("second"), ClaimGranted},
		{"another request under the key", done, other, ClaimMismatch},
		{"another caller's key", done, stranger, ClaimGranted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			claims := NewClaims(newMemoryTable(), ClaimsOptions{})
			if err := c.end(claims, claim(t, claims, notice("first"), ClaimGranted)); err != nil {
				t.Fatal(err)
			}
			held := claim(t, claims, c.second, c.want)
			if c.want == ClaimAnswered && (held.Claim.Status != 201 || string(held.Claim.Body) != "sent" || !held.Claim.BodyKept) {
				t.Errorf("recorded answer %+v", held.Claim)
			}
		})
	}
}

// The table's answer to a claim is lost, before or after the write took effect, or the table is down. The claim must come
// to the one true outcome, or say within its patience that there is none.
func TestClaimWhenTheTableFails(t *testing.T) {
	unavailable, lost := backing.ErrUnavailable, backing.ErrOutcomeUnknown
	cases := []struct {
		name    string
		commits []error
		gets    []error
		down    error
		wantErr error
	}{
		{"lost after the write", []error{errAfterWrite}, nil, nil, nil},
		{"lost before the write", []error{lost}, nil, nil, nil},
		{"lost, and the read fails", []error{errAfterWrite}, []error{unavailable, unavailable}, nil, nil},
		{"refused over the rate, then taken", []error{backing.ErrRateLimited, unavailable}, nil, nil, nil},
		{"outage", nil, nil, unavailable, ErrClaimUnavailable},
		{"outage after a lost write", []error{errAfterWrite}, nil, unavailable, ErrClaimUnknown},
		{"malformed", []error{backing.ErrInvalid}, nil, nil, ErrClaimUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newMemoryTable()
				table.commits, table.gets, table.down = c.commits, c.gets, c.down
				claims := NewClaims(table, ClaimsOptions{})
				began := time.Now()
				held, _, err := claims.Claim(t.Context(), notice("first"))
				if !errors.Is(err, c.wantErr) {
					t.Fatalf("error %v, want %v", err, c.wantErr)
				}
				if took := time.Since(began); took > defaultPatience+lastPause {
					t.Errorf("took %v", took)
				}
				if err == nil && held.Revision != table.rows[held.RowKey].Revision {
					t.Errorf("held at revision %d, the row is at %d", held.Revision, table.rows[held.RowKey].Revision)
				}
			})
		})
	}
}

// A claim takes effect but its answer is lost and the table stays down past the patience: the caller hears "not run". When
// the table is back the key must become free, so that the caller can send the request after all.
func TestRunFreesKeysThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		table.commits, table.down = []error{errAfterWrite}, backing.ErrUnavailable
		claims := NewClaims(table, ClaimsOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = claims.Run(ctx) }()
		if _, _, err := claims.Claim(ctx, notice("first")); !errors.Is(err, ErrClaimUnknown) {
			t.Fatalf("error %v", err)
		}
		time.Sleep(3 * time.Second)
		table.setDown(nil)
		time.Sleep(3 * time.Second)
		claim(t, claims, notice("second"), ClaimGranted)
		cancel()
		synctest.Wait()
	})
}

// The answer to the recording of an answer is lost for good: later callers hear "outcome unknown", and nobody runs the
// request again, however often they ask.
func TestFinishThatFailsLeavesTheKeyHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		claims := NewClaims(table, ClaimsOptions{})
		held := claim(t, claims, notice("first"), ClaimGranted)
		table.setDown(backing.ErrUnavailable)
		if err := claims.Finish(t.Context(), held, ClaimDone, Answer{Status: 200}); !errors.Is(err, ErrClaimUnavailable) {
			t.Fatalf("error %v", err)
		}
		table.setDown(nil)
		claim(t, claims, notice("second"), ClaimInProgress)
	})
}

// Claims are deleted once they are older than the retention, whatever their state, and never earlier: a key that is
// claimed again within it would run its request twice.
func TestRunDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = time.Hour
		table := newMemoryTable()
		claims := NewClaims(table, ClaimsOptions{Retention: retention, SweepInterval: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = claims.Run(ctx) }()
		for _, key := range []string{"a", "b", "c"} {
			r := notice("first")
			r.Key = key
			claim(t, claims, r, ClaimGranted)
		}
		time.Sleep(retention)
		if n := table.len(); n != 3 {
			t.Errorf("%d claims left within the retention, want 3", n)
		}
		time.Sleep(skewAllowance + shards*time.Second + time.Minute)
		if n := table.len(); n != 0 {
			t.Errorf("%d claims left after the retention, want none", n)
		}
		cancel()
		synctest.Wait()
	})
}
