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

// memoryTable is an in-memory table whose next calls of Commit and Get can be made to fail.
type memoryTable struct {
	mu       sync.Mutex
	rows     map[string]backing.Row
	revision uint64
	// commits and gets are the errors of the next calls. A commit that fails with errAfterWrite took effect.
	commits, gets []error
	// down is the error of all other calls, if set.
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

// noticeRequest returns the claim of a request to send one penalty notice.
func noticeRequest(owner string) ClaimRequest {
	return ClaimRequest{Service: "ledger", Caller: "c", Key: "notice-1", Owner: owner, Fingerprint: 7, Deadline: time.Now().Add(time.Minute)}
}

func mustClaim(t *testing.T, c *Claims, r ClaimRequest, want ClaimOutcome) ClaimRow {
	t.Helper()
	held, outcome, err := c.Claim(t.Context(), r)
	if err != nil || outcome != want {
		t.Fatalf("claim by %s: outcome %v, error %v, want outcome %v", r.Owner, outcome, err, want)
	}
	return held
}

func TestClaimAgainAfterTheFirstEnded(t *testing.T) {
	otherRequest := noticeRequest("second")
	otherRequest.Fingerprint = 8
	otherCaller := noticeRequest("second")
	otherCaller.Caller = "d"
	done := func(c *Claims, h ClaimRow) error {
		return c.Finish(t.Context(), h, ClaimDone, Response{Status: 201, Body: []byte("sent")})
	}
	cases := []struct {
		name   string
		end    func(*Claims, ClaimRow) error
		second ClaimRequest
		want   ClaimOutcome
	}{
		{"still held", func(*Claims, ClaimRow) error { return nil }, noticeRequest("second"), ClaimInProgress},
		{"held under the same request identifier", func(*Claims, ClaimRow) error { return nil }, noticeRequest("first"), ClaimInProgress},
		{"done", done, noticeRequest("second"), ClaimCompleted},
		{"unknown", func(c *Claims, h ClaimRow) error { return c.Finish(t.Context(), h, ClaimUnknown, Response{}) }, noticeRequest("second"), ClaimOutcomeUnknown},
		{"freed", func(c *Claims, h ClaimRow) error { return c.Free(t.Context(), h) }, noticeRequest("second"), ClaimGranted},
		{"another request under the key", done, otherRequest, ClaimMismatch},
		{"another caller's key", done, otherCaller, ClaimGranted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			claims := NewClaims(newMemoryTable(), ClaimsOptions{})
			if err := c.end(claims, mustClaim(t, claims, noticeRequest("first"), ClaimGranted)); err != nil {
				t.Fatal(err)
			}
			held := mustClaim(t, claims, c.second, c.want)
			if c.want == ClaimCompleted && (held.Claim.Status != 201 || string(held.Claim.Body) != "sent" || !held.Claim.BodyKept) {
				t.Errorf("recorded response %+v", held.Claim)
			}
		})
	}
}

// The response to a claim is lost before or after the write took effect, or the table is down. Claim must return the
// correct outcome, or fail within its time limit.
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
		{"rate limited, then accepted", []error{backing.ErrRateLimited, unavailable}, nil, nil, nil},
		{"outage", nil, nil, unavailable, ErrClaimUnavailable},
		{"outage after a lost response", []error{errAfterWrite}, nil, unavailable, ErrClaimUnknown},
		{"invalid call", []error{backing.ErrInvalid}, nil, nil, ErrClaimUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newMemoryTable()
				table.commits, table.gets, table.down = c.commits, c.gets, c.down
				claims := NewClaims(table, ClaimsOptions{})
				began := time.Now()
				held, _, err := claims.Claim(t.Context(), noticeRequest("first"))
				if !errors.Is(err, c.wantErr) {
					t.Fatalf("error %v, want %v", err, c.wantErr)
				}
				if took := time.Since(began); took > defaultTimeout+maxBackoff {
					t.Errorf("took %v", took)
				}
				if err == nil && held.Revision != table.rows[held.RowKey].Revision {
					t.Errorf("held at revision %d, but the row is at %d", held.Revision, table.rows[held.RowKey].Revision)
				}
			})
		})
	}
}

// A claim takes effect, but its response is lost and the table stays down beyond the time limit, so the caller is told
// that the request did not run. When the table is available again the key must become free, so that the caller can
// retry the request.
func TestRunFreesKeysThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		table.commits, table.down = []error{errAfterWrite}, backing.ErrUnavailable
		claims := NewClaims(table, ClaimsOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = claims.Run(ctx) }()
		if _, _, err := claims.Claim(ctx, noticeRequest("first")); !errors.Is(err, ErrClaimUnknown) {
			t.Fatalf("got error %v", err)
		}
		time.Sleep(3 * time.Second)
		table.setDown(nil)
		time.Sleep(3 * time.Second)
		mustClaim(t, claims, noticeRequest("second"), ClaimGranted)
		cancel()
		synctest.Wait()
	})
}

// The table is down while the response is to be recorded. Later callers must get an unknown outcome and must never run
// the request again.
func TestFinishThatFailsLeavesTheKeyHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		claims := NewClaims(table, ClaimsOptions{})
		held := mustClaim(t, claims, noticeRequest("first"), ClaimGranted)
		table.setDown(backing.ErrUnavailable)
		if err := claims.Finish(t.Context(), held, ClaimDone, Response{Status: 200}); !errors.Is(err, ErrClaimUnavailable) {
			t.Fatalf("got error %v", err)
		}
		table.setDown(nil)
		mustClaim(t, claims, noticeRequest("second"), ClaimInProgress)
	})
}

// Claims are deleted once they are older than the retention, whatever their state, and never earlier. A key that could
// be claimed again within the retention would let its request run twice.
func TestRunDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = time.Hour
		table := newMemoryTable()
		claims := NewClaims(table, ClaimsOptions{Retention: retention, SweepInterval: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = claims.Run(ctx) }()
		for _, key := range []string{"a", "b", "c"} {
			r := noticeRequest("first")
			r.Key = key
			mustClaim(t, claims, r, ClaimGranted)
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
