package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

const (
	get  = http.MethodGet
	post = http.MethodPost
)

// An endpoint fails a request in one of the ways that endpoints have, at one of its stages. The caller must get the whole
// answer of one attempt, a visible cut, or an error that says truly whether the request may have run; another endpoint may
// be asked only while that cannot make it run twice, and no byte of an answer has gone to the caller.
func TestForward(t *testing.T) {
	full := func(x *exchangeStream) { x.refused(wirepb.RefusalReason_QUEUE_FULL) }
	broken := func(x *exchangeStream) {}
	long := strings.Repeat("x", holdBytes)
	cases := []struct {
		name   string
		method string
		header http.Header
		// first is what the endpoint that is asked first does; the others answer with "second".
		first func(x *exchangeStream)
		want  string
		// offers is how many offers were made in all.
		offers int
		change func(*Options)
	}{
		{name: "answered", method: get, first: func(x *exchangeStream) { x.whole("first") }, want: "200 first", offers: 1},
		{name: "an empty answer", method: get, first: func(x *exchangeStream) { x.head(http.StatusNoContent); x.trailer() }, want: "204 ", offers: 1},
		{name: "refused", method: get, first: full, want: "200 second", offers: 2},
		{name: "broken at once", method: get, first: broken, want: "200 second", offers: 2},
		{name: "broken when accepted", method: get, first: func(x *exchangeStream) { x.accepted() }, want: "200 second", offers: 2},
		{name: "broken after the head", method: get, first: func(x *exchangeStream) { x.head(200) }, want: "200 second", offers: 2},
		{name: "broken in the body", method: get, first: func(x *exchangeStream) { x.head(200); x.body("fir") }, want: "200 second", offers: 2},
		{name: "broken in a long body", method: get, first: func(x *exchangeStream) { x.head(200); x.body(long); x.body("more") }, want: "cut", offers: 1},
		{name: "broken in a streamed body", method: get, first: func(x *exchangeStream) { x.head(200, eventStream); x.body("data") }, want: "cut", offers: 1},
		{name: "the agent says that the answer broke", method: get, first: func(x *exchangeStream) { x.head(200); x.body("fir"); x.failed(true) }, want: "200 second", offers: 2},
		{name: "the agent says that a streamed answer broke", method: get, first: func(x *exchangeStream) { x.head(200, eventStream); x.body("data"); x.failed(true) }, want: "cut", offers: 1},
		{name: "a checksum that does not match", method: get, first: func(x *exchangeStream) { x.head(200); x.body("first"); x.trailerOf(5, 1) }, want: "200 second", offers: 2},
		{name: "a length that does not match", method: get, first: func(x *exchangeStream) { x.head(200); x.body("first"); x.trailerOf(4, x.sum.Sum64()) }, want: "200 second", offers: 2},
		{name: "a checksum that does not match, of a streamed body", method: get, first: func(x *exchangeStream) { x.head(200, eventStream); x.body("data"); x.trailerOf(4, 1) }, want: "cut", offers: 1},
		{name: "a trailer without a head", method: get, first: func(x *exchangeStream) { x.trailer() }, want: "200 second", offers: 2},
		{name: "a body without a head", method: get, first: func(x *exchangeStream) { x.body("first"); x.trailer() }, want: "200 second", offers: 2},
		{name: "a long body without a head", method: get, first: func(x *exchangeStream) { x.body(long); x.body("more"); x.trailer() }, want: "200 second", offers: 2},
		{name: "an empty frame", method: get, first: func(x *exchangeStream) { x.send(&wirepb.FromAgent{}) }, want: "200 second", offers: 2},
		{name: "another request's answer", method: get, first: func(x *exchangeStream) { x.id = "other"; x.whole("crossed") }, want: "200 second", offers: 2},
		{name: "another request's body", method: get, first: func(x *exchangeStream) { x.head(200); x.id = "other"; x.body("crossed") }, want: "200 second", offers: 2},
		{name: "another request's part of a streamed body", method: get, first: func(x *exchangeStream) {
			x.head(200, eventStream)
			x.body("data")
			x.id = "other"
			x.body("crossed")
			x.trailer()
		}, want: "cut", offers: 1},
		{name: "a status that is none", method: get, first: func(x *exchangeStream) { x.head(42); x.body("first"); x.trailer() }, want: "200 second", offers: 2},
		{name: "silent", method: get, first: (*exchangeStream).silent, want: "200 second", offers: 2},
		{name: "silent when accepted", method: get, first: func(x *exchangeStream) { x.accepted(); x.silent() }, want: "200 second", offers: 2},
		{name: "no attempt left", method: get, first: broken, want: "502 outcome_unknown outcome_unknown", offers: 1, change: func(o *Options) { o.MaxAttempts = 1 }},
		{name: "no retry left in the budget", method: get, first: broken, want: "502 outcome_unknown outcome_unknown", offers: 1,
			change: func(o *Options) { o.Budget = routing.BudgetOptions{Burst: 0.5, FloorPerSecond: 1e-9, Share: 1e-9} }},

		{name: "two steps", method: post, first: func(x *exchangeStream) { x.whole("first") }, want: "200 first", offers: 1},
		{name: "two steps, refused", method: post, first: full, want: "200 second", offers: 2},
		{name: "two steps, broken at once", method: post, first: broken, want: "200 second", offers: 2},
		{name: "two steps, broken when accepted", method: post, first: func(x *exchangeStream) { x.accepted() }, want: "200 second", offers: 2},
		{name: "two steps, silent when accepted", method: post, first: func(x *exchangeStream) { x.accepted(); x.silent() }, want: "200 second", offers: 2},
		{name: "two steps, refused after the commit", method: post, first: func(x *exchangeStream) {
			x.committed()
			x.refused(wirepb.RefusalReason_LEAVING)
		}, want: "200 second", offers: 2},
		{name: "two steps, failed clean after the commit", method: post, first: func(x *exchangeStream) { x.committed(); x.failed(false) }, want: "200 second", offers: 2},
		{name: "two steps, failed after the commit", method: post, first: func(x *exchangeStream) { x.committed(); x.failed(true) }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, broken after the commit", method: post, first: func(x *exchangeStream) { x.committed() }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, broken after the head", method: post, first: func(x *exchangeStream) { x.committed(); x.head(200); x.body("fir") }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, a checksum that does not match", method: post, first: func(x *exchangeStream) { x.committed(); x.head(200); x.body("first"); x.trailerOf(5, 1) },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, run without a commit", method: post, first: func(x *exchangeStream) { x.head(200) }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, not run by an agent that had begun to answer", method: post, first: func(x *exchangeStream) { x.committed(); x.head(200); x.body("f"); full(x) },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, silent after the commit", method: post, header: http.Header{headerDeadline: {"200"}}, first: func(x *exchangeStream) { x.committed(); x.silent() },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two steps, the deadline passes before", method: post, header: http.Header{headerDeadline: {"50"}}, first: func(x *exchangeStream) { x.accepted(); x.silent() },
			want: "503 no_capacity not_run", offers: 1},
		{name: "refused at the deadline", method: get, header: http.Header{headerDeadline: {"50"}}, first: func(x *exchangeStream) {
			x.accepted()
			x.next()
			x.refused(wirepb.RefusalReason_DEADLINE)
		}, want: "503 deadline not_run", offers: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2, change: c.change})
			turn := make(chan struct{}, 1)
			turn <- struct{}{}
			for _, a := range s.agents {
				a.answers(func(x *exchangeStream) {
					select {
					case <-turn:
						c.first(x)
					default:
						x.whole("second")
					}
				})
			}
			got := s.send(t.Context(), call{method: c.method, header: c.header})
			if got.text() != c.want {
				t.Errorf("got %s, want %s", got.text(), c.want)
			}
			if n := len(s.agents[0].offered()) + len(s.agents[1].offered()); n != c.offers {
				t.Errorf("%d offers, want %d", n, c.offers)
			}
			if c.offers == 2 && len(s.agents[0].offered()) != 1 {
				t.Error("one endpoint was asked twice and the other not")
			}
			checkReply(t, got)
		})
	}
}

// All agents are restarted in turn. A request waits at one of them, and the other, which was ready when the request was
// offered, leaves meanwhile. The request's patience with the first one ends, nobody else can take it, and the first one
// answers a moment later. Withdrawn, the request ended as "outcome unknown" with most of its time left.
func TestWaitingRequestStaysWhenTheOtherEndpointLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{agents: 2})
	for i, a := range s.agents {
		a.answers(func(x *exchangeStream) {
			x.accepted()
			s.agents[1-i].leave()
			if x.silentFor(patienceOfAccepted + 200*time.Millisecond) {
				x.whole("first")
			}
		})
	}
	if got := s.send(t.Context(), call{method: get}); got.text() != "200 first" {
		t.Errorf("got %s, want the answer of the endpoint that stayed", got.text())
	}
}

// patienceOfAccepted is how long an accepted request waits while another endpoint could take it: the floor of
// routing.PatienceFor, since the agents here tell no wait.
const patienceOfAccepted = time.Second

// checkReply verifies what every answer must carry: the request's identifier, and with an error its outcome and, where it
// may be tried again, when.
func checkReply(t *testing.T, r reply) {
	t.Helper()
	if r.cut {
		return
	}
	if r.header.Get(headerRequestID) == "" {
		t.Error("no request identifier")
	}
	if r.problem.Code == "" {
		return
	}
	if r.problem.RequestID != r.header.Get(headerRequestID) || r.header.Get(headerOutcome) != string(r.problem.Outcome) || r.problem.Message == "" {
		t.Errorf("header %v, document %+v", r.header, r.problem)
	}
	mayRetry := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable || r.problem.Code == CodeInProgress
	if mayRetry != (r.header.Get(headerRetry) != "") || mayRetry != (r.problem.RetryAfterMS > 0) {
		t.Errorf("%d %s: Retry-After %q, %d ms", r.status, r.problem.Code, r.header.Get(headerRetry), r.problem.RetryAfterMS)
	}
}

// No endpoint takes a request, for the same reason or several, or there is none. The answer says "not run", and when to
// come back.
func TestAllRefuse(t *testing.T) {
	refuse := func(reason wirepb.RefusalReason) func(x *exchangeStream) {
		return func(x *exchangeStream) { x.refused(reason) }
	}
	cases := []struct {
		name   string
		agents int
		script func(x *exchangeStream)
		want   string
		// retry is Retry-After.
		retry string
	}{
		{"full queues", 2, refuse(wirepb.RefusalReason_QUEUE_FULL), "429 overloaded not_run", "2"},
		{"too late", 2, refuse(wirepb.RefusalReason_DEADLINE), "503 deadline not_run", "2"},
		{"unreachable services", 2, refuse(wirepb.RefusalReason_ENDPOINT_UNREACHABLE), "503 no_capacity not_run", "2"},
		{"a reason of a later version", 2, refuse(99), "503 not_ready not_run", "2"},
		{"busy engines", 2, func(x *exchangeStream) {
			f := &wirepb.Failed{Reason: wirepb.FailureReason_ENDPOINT_REFUSED}
			x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: f}})
		}, "429 overloaded not_run", "1"},
		{"no endpoint", 0, nil, "503 no_capacity not_run", "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: c.agents})
			for _, a := range s.agents {
				a.answers(c.script)
			}
			for _, method := range []string{get, post} {
				got := s.send(t.Context(), call{method: method})
				if got.text() != c.want || got.header.Get(headerRetry) != c.retry {
					t.Errorf("%s: got %s after %s, want %s after %s", method, got.text(), got.header.Get(headerRetry), c.want, c.retry)
				}
				checkReply(t, got)
			}
		})
	}
}

// Callers in a row lose patience and hang up on a healthy endpoint. Their going says nothing of it; counted as its failures
// it would be out of the choice for all others.
func TestCallersThatLeaveDoNotEject(t *testing.T) {
	const leaving = 6
	s := newSite(t, siteOptions{agents: 2})
	at := make(chan struct{}, 1)
	patient, other := s.agents[0], s.agents[1]
	patient.answers(func(x *exchangeStream) {
		x.accepted()
		at <- struct{}{}
		x.silent()
	})
	other.answers(func(x *exchangeStream) { x.whole("other") })
	for left := 0; left < leaving; {
		ctx, leave := context.WithCancel(t.Context())
		got := s.sending(ctx, call{method: get})
		select {
		case <-at:
			left++
		case <-got:
		case <-time.After(patience):
			t.Fatal("no offer")
		}
		leave()
	}
	eventually(t, "a request of a caller that left is in flight for ever", func() bool {
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		return s.entry.limiter.InFlight() == 0
	})
	patient.answers(func(x *exchangeStream) { x.whole("patient") })
	chosen := 0
	for range 40 {
		if s.send(t.Context(), call{method: get}).body == "patient" {
			chosen++
		}
	}
	if chosen == 0 {
		t.Error("the endpoint is out of the choice")
	}
}
