package capacity

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/replicas"
	standin "balsamsail/internal/standin/platform"
)

// tableFixture is a stand-in table that counts calls.
type tableFixture struct {
	tb     testing.TB
	server *standin.Server
	table  backing.Table
}

func newTableFixture(tb testing.TB) *tableFixture {
	tb.Helper()
	server := standin.New(standin.Options{Table: standin.StoreLimits{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}})
	web := httptest.NewServer(server.Handler())
	tb.Cleanup(web.Close)
	return &tableFixture{tb: tb, server: server, table: backing.NewHTTPTable(backing.Options{TableURL: web.URL}, nil)}
}

// tableCalls counts calls to the table. A conflict is a write that was rejected.
type tableCalls struct{ reads, writes, conflicts int }

// count returns the number of table calls that an operation makes.
func (r *tableFixture) count(operation func()) tableCalls {
	before := r.server.Truth().Table
	operation()
	after := r.server.Truth().Table
	return tableCalls{
		reads:     after.Reads - before.Reads,
		writes:    after.Writes - before.Writes,
		conflicts: after.Conflicts - before.Conflicts,
	}
}

func (r *tableFixture) must(err error) {
	r.tb.Helper()
	if err != nil {
		r.tb.Fatal(err)
	}
}

func (r *tableFixture) newStore() *declarations.Store {
	return declarations.NewStore(declarations.Options{PollInterval: time.Hour}, r.table, clock.Real{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
}

func (r *tableFixture) edit(s *declarations.Store, i int) {
	r.tb.Helper()
	_, err := s.Edit(context.Background(), declarations.EditRequest{
		Change: declarations.PutObjects([]*pb.Object{declarations.EngineObject(&pb.Engine{
			Name:   engineName(0),
			Labels: map[string]string{"edit": strconv.Itoa(i)},
		})}, nil),
	})
	r.must(err)
}

// poll runs a store until a condition holds. The store reads the table once at its start, as its poll interval is an hour.
func (r *tableFixture) poll(s *declarations.Store, until func() bool) {
	r.tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	eventually(r.tb, 10*time.Second, "the table is read", until)
	cancel()
	<-done
}

func claimOf(key string) atmostonce.ClaimRequest {
	return atmostonce.ClaimRequest{Service: "ledger", Caller: "inspector", Key: key, Owner: "entry-1", Deadline: time.Now().Add(time.Minute)}
}

// TestTableCalls checks the number of table calls per operation, on which the estimates in docs/CAPACITY.md are based. One
// more call per operation would go unnoticed in small tests but could exhaust the table's rate limit at the target size.
func TestTableCalls(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name string
		want tableCalls
		run  func(r *tableFixture) tableCalls
	}{
		{"an edit by a process that has the newest revision", tableCalls{reads: 1, writes: 1}, func(r *tableFixture) tableCalls {
			s := r.newStore()
			r.edit(s, 0)
			return r.count(func() { r.edit(s, 1) })
		}},
		{"an edit and its delivery to another process", tableCalls{reads: 1 + 2, writes: 1}, func(r *tableFixture) tableCalls {
			local, remote := r.newStore(), r.newStore()
			r.edit(local, 0)
			r.edit(remote, 1)
			r.edit(local, 2)
			return r.count(func() {
				r.edit(local, 3)
				r.poll(remote, func() bool { return remote.Current().Revision() == local.Current().Revision() })
			})
		}},
		{"a poll of the declarations that finds nothing new", tableCalls{reads: 1}, func(r *tableFixture) tableCalls {
			s := r.newStore()
			r.edit(s, 0)
			reads := r.server.Truth().Table.Reads
			return r.count(func() { r.poll(s, func() bool { return r.server.Truth().Table.Reads > reads }) })
		}},
		{"a change of grants", tableCalls{writes: 1}, func(r *tableFixture) tableCalls {
			return r.count(func() {
				row, err := replicas.Propose(ctx, r.table, replicas.Change{Model: versionName(0), Next: rowOf(0, 2)})
				r.must(err)
				if row.Revision == 0 {
					t.Error("the proposed row has no revision")
				}
			})
		}},
		{"a claim of a key and its answer", tableCalls{writes: 2}, func(r *tableFixture) tableCalls {
			c := atmostonce.NewClaims(r.table, atmostonce.ClaimsOptions{})
			return r.count(func() {
				held, outcome, err := c.Claim(ctx, claimOf("a"))
				r.must(err)
				if outcome != atmostonce.ClaimGranted {
					t.Errorf("outcome %v", outcome)
				}
				r.must(c.Finish(ctx, held, atmostonce.ClaimDone, atmostonce.Response{Status: 200}))
			})
		}},
		{"a repeated call with a key that ran", tableCalls{reads: 1, conflicts: 1}, func(r *tableFixture) tableCalls {
			c := atmostonce.NewClaims(r.table, atmostonce.ClaimsOptions{})
			held, _, err := c.Claim(ctx, claimOf("a"))
			r.must(err)
			r.must(c.Finish(ctx, held, atmostonce.ClaimDone, atmostonce.Response{Status: 200}))
			return r.count(func() {
				_, outcome, err := c.Claim(ctx, claimOf("a"))
				r.must(err)
				if outcome != atmostonce.ClaimCompleted {
					t.Errorf("outcome %v", outcome)
				}
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.run(newTableFixture(t)); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// BenchmarkClaim measures the CPU time of a claim and its answer by the answer's size, including the stand-in table's.
func BenchmarkClaim(b *testing.B) {
	benchmarkSizes(b, "cpu-ns", []int{0, 1 << 10, 16 << 10}, func(b *testing.B, n int) float64 {
		fixture := newTableFixture(b)
		c := atmostonce.NewClaims(fixture.table, atmostonce.ClaimsOptions{})
		answer := atmostonce.Response{Status: 200, ContentType: "application/json", Body: make([]byte, n)}
		ns := cpuPerOp(b, func(i int) {
			held, _, err := c.Claim(context.Background(), claimOf(strconv.Itoa(i)))
			fixture.must(err)
			fixture.must(c.Finish(context.Background(), held, atmostonce.ClaimDone, answer))
		})
		b.ReportMetric(float64(len(fixture.server.Rows("claims/").Rows[0].Value)), "row-bytes")
		return ns
	})
}

// eventually waits until a condition holds.
func eventually(tb testing.TB, timeout time.Duration, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("timed out after %v waiting for: %s", timeout, what)
		}
	}
}
