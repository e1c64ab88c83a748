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

// tableRig is a stand-in table that counts the calls.
type tableRig struct {
	tb     testing.TB
	server *standin.Server
	table  backing.Table
}

func newTableRig(tb testing.TB) *tableRig {
	tb.Helper()
	server := standin.New(standin.Options{Table: standin.StoreLimits{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}})
	web := httptest.NewServer(server.Handler())
	tb.Cleanup(web.Close)
	return &tableRig{tb: tb, server: server, table: backing.NewHTTPTable(backing.Options{TableURL: web.URL}, nil)}
}

// calls are the table's calls that something took; a conflict is a write that had no effect.
type calls struct{ reads, writes, conflicts int }

// count returns the calls that an operation takes.
func (r *tableRig) count(operation func()) calls {
	before := r.server.Truth().Table
	operation()
	after := r.server.Truth().Table
	return calls{
		reads:     after.Reads - before.Reads,
		writes:    after.Writes - before.Writes,
		conflicts: after.Conflicts - before.Conflicts,
	}
}

func (r *tableRig) must(err error) {
	r.tb.Helper()
	if err != nil {
		r.tb.Fatal(err)
	}
}

func (r *tableRig) newStore() *declarations.Store {
	return declarations.NewStore(declarations.Options{PollInterval: time.Hour}, r.table, clock.Real{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
}

func (r *tableRig) edit(s *declarations.Store, i int) {
	r.tb.Helper()
	_, err := s.Edit(context.Background(), declarations.EditRequest{
		Change: declarations.PutObjects([]*pb.Object{declarations.EngineObject(&pb.Engine{
			Name:   engineName(0),
			Labels: map[string]string{"edit": strconv.Itoa(i)},
		})}, nil),
	})
	r.must(err)
}

// poll lets a store read the table until something holds; its next poll would be an hour later.
func (r *tableRig) poll(s *declarations.Store, until func() bool) {
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

// The sums of the page rest on how many calls of the table each event takes. A slice that begins to make another call an
// event would not be noticed at the size of a test, and would take the table's whole rate at the size to design for.
func TestTableCalls(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name string
		want calls
		run  func(r *tableRig) calls
	}{
		{"an edit by a process that has the newest revision", calls{reads: 1, writes: 1}, func(r *tableRig) calls {
			s := r.newStore()
			r.edit(s, 0)
			return r.count(func() { r.edit(s, 1) })
		}},
		{"an edit, and another process takes it in", calls{reads: 1 + 2, writes: 1}, func(r *tableRig) calls {
			near, far := r.newStore(), r.newStore()
			r.edit(near, 0)
			r.edit(far, 1)
			r.edit(near, 2)
			return r.count(func() {
				r.edit(near, 3)
				r.poll(far, func() bool { return far.Current().Revision() == near.Current().Revision() })
			})
		}},
		{"a poll of the declarations that finds nothing new", calls{reads: 1}, func(r *tableRig) calls {
			s := r.newStore()
			r.edit(s, 0)
			reads := r.server.Truth().Table.Reads
			return r.count(func() { r.poll(s, func() bool { return r.server.Truth().Table.Reads > reads }) })
		}},
		{"a change of grants", calls{writes: 1}, func(r *tableRig) calls {
			return r.count(func() {
				row, err := replicas.Propose(ctx, r.table, replicas.Change{Model: versionName(0), Next: rowOf(0, 2)})
				r.must(err)
				if row.Revision == 0 {
					t.Error("a row without a revision")
				}
			})
		}},
		{"a claim of a key and its answer", calls{writes: 2}, func(r *tableRig) calls {
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
		{"a repeated call with a key that ran", calls{reads: 1, conflicts: 1}, func(r *tableRig) calls {
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
			if got := c.run(newTableRig(t)); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// BenchmarkClaim gives the processor time of a claim with its answer, the table's side included, by the answer's bytes.
func BenchmarkClaim(b *testing.B) {
	sweep(b, "cpu-ns", []int{0, 1 << 10, 16 << 10}, func(b *testing.B, n int) float64 {
		rig := newTableRig(b)
		c := atmostonce.NewClaims(rig.table, atmostonce.ClaimsOptions{})
		answer := atmostonce.Response{Status: 200, ContentType: "application/json", Body: make([]byte, n)}
		ns := cpuPerOp(b, func(i int) {
			held, _, err := c.Claim(context.Background(), claimOf(strconv.Itoa(i)))
			rig.must(err)
			rig.must(c.Finish(context.Background(), held, atmostonce.ClaimDone, answer))
		})
		b.ReportMetric(float64(len(rig.server.Rows("claims/").Rows[0].Value)), "row-bytes")
		return ns
	})
}
