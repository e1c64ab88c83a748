package entry

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// The link to an engine's agent breaks half-open between the head of a streamed response and its first bytes. The entry
// used to wait up to MaxResponseDuration for a body that had not started, and the caller got nothing until the
// connection was found dead.
func TestFrameWait(t *testing.T) {
	const left, maxAnswer = 2 * time.Second, time.Hour
	cases := []struct {
		name                   string
		streamed, head, first  bool
		running, noAlternative bool
		want                   time.Duration
	}{
		{"waiting, with an alternative", true, false, false, false, false, 200 * time.Millisecond},
		{"waiting, no alternative", true, false, false, false, true, left + deadlineGrace},
		{"running", true, false, false, true, false, left + deadlineGrace},
		{"streamed, head without bytes", true, true, false, true, false, left + deadlineGrace},
		{"streamed, first bytes", true, true, true, true, false, maxAnswer},
		{"not streamed, first bytes", false, true, true, true, false, left + deadlineGrace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &attempt{
				entry: &Entry{options: Options{MaxResponseDuration: maxAnswer}}, rq: &request{stream: c.streamed},
				out: newResponse(httptest.NewRecorder(), "r"), running: c.running, noAlternative: c.noAlternative,
			}
			if c.head {
				a.out.setHead(&wirepb.Head{Status: 200})
			}
			if c.first {
				a.firstByte = time.Millisecond
			}
			if got := a.frameTimeout(left); got != c.want {
				t.Errorf("timeout %v, want %v", got, c.want)
			}
		})
	}
}

// outageTable accepts one commit and is unavailable afterwards.
type outageTable struct {
	backing.Table
	commits atomic.Int32
}

func (o *outageTable) Commit(context.Context, backing.Txn) (uint64, error) {
	if o.commits.Add(1) == 1 {
		return 1, nil
	}
	return 0, backing.ErrUnavailable
}

func (o *outageTable) Get(context.Context, string) (backing.Row, error) {
	return backing.Row{}, backing.ErrUnavailable
}

// A call with an idempotency key is claimed, then the table goes down, and no endpoint takes the call. The caller used
// to get the response only after the entry had tried for a second to release the claim.
func TestFinalAnswerDoesNotWaitForTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &outageTable{}
		logger, registry := slog.New(slog.DiscardHandler), prometheus.NewRegistry()
		recorder := timeline.NewRecorder("entry-1", 16, timeline.NewHybridClock(time.Now))
		members := membership.NewManager(membership.DefaultOptions(), nil, clock.Real{}, logger, registry, recorder)
		e := New(Options{ID: "entry-1", MaxAttempts: 1}, Dependencies{
			Members:    members,
			Store:      declarations.NewStore(declarations.Options{}, table, clock.Real{}, logger, registry),
			Claims:     atmostonce.NewClaims(table, atmostonce.ClaimsOptions{}),
			Clock:      clock.Real{},
			Logger:     logger,
			Registerer: registry,
			Recorder:   recorder,
		})
		e.SetGrants(replicas.NewManager(replicas.DefaultOptions(), table, e.GrantInputs(), clock.Real{}, logger, registry, recorder))
		r := httptest.NewRequest("POST", "/ledger/notices", nil)
		r.Header.Set(headerIdempKey, "key")
		began := time.Now()
		rq := &request{
			id: "r", target: admission.Target{Service: "ledger"}, method: "POST", deadline: began.Add(time.Minute),
		}
		ended := e.forwardWithClaim(r, rq, newResponse(httptest.NewRecorder(), "r"))
		if ended.err == nil || ended.err.outcome != OutcomeNotRun {
			t.Fatalf("ended %+v", ended)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("the response was delayed by %v", took)
		}
		e.settling.Wait()
	})
}
