package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

const (
	get  = http.MethodGet
	post = http.MethodPost
)

// An endpoint fails a request in one of several ways, at one of its stages. The caller must get the complete response
// of one attempt, an aborted connection, or an error that states correctly whether the request may have run. Another
// endpoint may be tried only while that cannot make a request run twice that may run only once, and while no byte of a
// response has been sent to the caller.
func TestForward(t *testing.T) {
	full := func(x *fakeStream) { x.refused(wirepb.RefusalReason_QUEUE_FULL) }
	broken := func(x *fakeStream) {}
	long := strings.Repeat("x", maxHeldBytes)
	cases := []struct {
		name   string
		method string
		header http.Header
		// first is how the endpoint that is tried first handles the request; the others respond with "second".
		first func(x *fakeStream)
		want  string
		// offers is the total number of offers.
		offers    int
		configure func(*Options)
	}{
		{name: "answered", method: get, first: func(x *fakeStream) { x.respond("first") }, want: "200 first", offers: 1},
		{name: "an empty response", method: get, first: func(x *fakeStream) { x.head(http.StatusNoContent); x.trailer() }, want: "204 ", offers: 1},
		{name: "refused", method: get, first: full, want: "200 second", offers: 2},
		{name: "broken at once", method: get, first: broken, want: "200 second", offers: 2},
		{name: "broken when accepted", method: get, first: func(x *fakeStream) { x.accepted() }, want: "200 second", offers: 2},
		{name: "broken after the head", method: get, first: func(x *fakeStream) { x.head(200) }, want: "200 second", offers: 2},
		{name: "broken in the body", method: get, first: func(x *fakeStream) { x.head(200); x.body("fir") }, want: "200 second", offers: 2},
		{name: "broken in a long body", method: get, first: func(x *fakeStream) { x.head(200); x.body(long); x.body("more") }, want: "cut", offers: 1},
		{name: "broken in a streamed body", method: get, first: func(x *fakeStream) { x.head(200, eventStream); x.body("data") }, want: "cut", offers: 1},
		{name: "the agent reports a broken response", method: get, first: func(x *fakeStream) { x.head(200); x.body("fir"); x.failed(true) }, want: "200 second", offers: 2},
		{name: "the agent reports a broken streamed response", method: get, first: func(x *fakeStream) { x.head(200, eventStream); x.body("data"); x.failed(true) }, want: "cut", offers: 1},
		{name: "a checksum that does not match", method: get, first: func(x *fakeStream) { x.head(200); x.body("first"); x.trailerWith(5, 1) }, want: "200 second", offers: 2},
		{name: "a length that does not match", method: get, first: func(x *fakeStream) { x.head(200); x.body("first"); x.trailerWith(4, x.sum.Sum64()) }, want: "200 second", offers: 2},
		{name: "a checksum that does not match, of a streamed body", method: get, first: func(x *fakeStream) { x.head(200, eventStream); x.body("data"); x.trailerWith(4, 1) }, want: "cut", offers: 1},
		{name: "a trailer without a head", method: get, first: func(x *fakeStream) { x.trailer() }, want: "200 second", offers: 2},
		{name: "a body without a head", method: get, first: func(x *fakeStream) { x.body("first"); x.trailer() }, want: "200 second", offers: 2},
		{name: "a long body without a head", method: get, first: func(x *fakeStream) { x.body(long); x.body("more"); x.trailer() }, want: "200 second", offers: 2},
		{name: "an empty frame", method: get, first: func(x *fakeStream) { x.send(&wirepb.FromAgent{}) }, want: "200 second", offers: 2},
		{name: "another request's response", method: get, first: func(x *fakeStream) { x.id = "other"; x.respond("crossed") }, want: "200 second", offers: 2},
		{name: "another request's body", method: get, first: func(x *fakeStream) { x.head(200); x.id = "other"; x.body("crossed") }, want: "200 second", offers: 2},
		{name: "another request's part of a streamed body", method: get, first: func(x *fakeStream) {
			x.head(200, eventStream)
			x.body("data")
			x.id = "other"
			x.body("crossed")
			x.trailer()
		}, want: "cut", offers: 1},
		{name: "an invalid status", method: get, first: func(x *fakeStream) { x.head(42); x.body("first"); x.trailer() }, want: "200 second", offers: 2},
		{name: "silent", method: get, first: (*fakeStream).stall, want: "200 second", offers: 2},
		{name: "silent when accepted", method: get, first: func(x *fakeStream) { x.accepted(); x.stall() }, want: "200 second", offers: 2},
		{name: "no attempt left", method: get, first: broken, want: "502 outcome_unknown outcome_unknown", offers: 1, configure: func(o *Options) { o.MaxAttempts = 1 }},
		{name: "retry budget exhausted", method: get, first: broken, want: "502 outcome_unknown outcome_unknown", offers: 1,
			configure: func(o *Options) { o.Budget = routing.BudgetOptions{Burst: 0.5, FloorPerSecond: 1e-9, Share: 1e-9} }},

		{name: "two-step", method: post, first: func(x *fakeStream) { x.respond("first") }, want: "200 first", offers: 1},
		{name: "two-step, refused", method: post, first: full, want: "200 second", offers: 2},
		{name: "two-step, broken at once", method: post, first: broken, want: "200 second", offers: 2},
		{name: "two-step, broken when accepted", method: post, first: func(x *fakeStream) { x.accepted() }, want: "200 second", offers: 2},
		{name: "two-step, silent when accepted", method: post, first: func(x *fakeStream) { x.accepted(); x.stall() }, want: "200 second", offers: 2},
		{name: "two-step, refused after the commit", method: post, first: func(x *fakeStream) {
			x.committed()
			x.refused(wirepb.RefusalReason_LEAVING)
		}, want: "200 second", offers: 2},
		{name: "two-step, failed clean after the commit", method: post, first: func(x *fakeStream) { x.committed(); x.failed(false) }, want: "200 second", offers: 2},
		{name: "two-step, failed after the commit", method: post, first: func(x *fakeStream) { x.committed(); x.failed(true) }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, broken after the commit", method: post, first: func(x *fakeStream) { x.committed() }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, broken after the head", method: post, first: func(x *fakeStream) { x.committed(); x.head(200); x.body("fir") }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, a checksum that does not match", method: post, first: func(x *fakeStream) { x.committed(); x.head(200); x.body("first"); x.trailerWith(5, 1) },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, run without a commit", method: post, first: func(x *fakeStream) { x.head(200) }, want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, refused after the response started", method: post, first: func(x *fakeStream) { x.committed(); x.head(200); x.body("f"); full(x) },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, silent after the commit", method: post, header: http.Header{headerDeadline: {"200"}}, first: func(x *fakeStream) { x.committed(); x.stall() },
			want: "502 outcome_unknown outcome_unknown", offers: 1},
		{name: "two-step, the deadline passes before the commit", method: post, header: http.Header{headerDeadline: {"50"}}, first: func(x *fakeStream) { x.accepted(); x.stall() },
			want: "503 no_capacity not_run", offers: 1},
		{name: "refused at the deadline", method: get, header: http.Header{headerDeadline: {"50"}}, first: func(x *fakeStream) {
			x.accepted()
			x.next()
			x.refused(wirepb.RefusalReason_DEADLINE)
		}, want: "503 deadline not_run", offers: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2, configure: c.configure})
			turn := make(chan struct{}, 1)
			turn <- struct{}{}
			for _, a := range s.agents {
				a.setScript(func(x *fakeStream) {
					select {
					case <-turn:
						c.first(x)
					default:
						x.respond("second")
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
				t.Error("one endpoint was tried twice and the other not at all")
			}
			checkReply(t, got)
		})
	}
}

// All agents are restarted one after the other. A request waits at one of them, and the alternative that existed when
// it was offered leaves in the meantime. When the wait for the first agent times out, no other endpoint can take the
// request, and the first agent responds a moment later. Cancelling the request used to end it as "outcome unknown" with
// most of its time left.
func TestWaitingRequestStaysWhenTheOtherEndpointLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{agents: 2})
	for i, a := range s.agents {
		a.setScript(func(x *fakeStream) {
			x.accepted()
			s.agents[1-i].stop()
			if x.stallFor(acceptedTimeout + 200*time.Millisecond) {
				x.respond("first")
			}
		})
	}
	if got := s.send(t.Context(), call{method: get}); got.text() != "200 first" {
		t.Errorf("got %s, want the response of the endpoint that stayed", got.text())
	}
}

// A request that may be repeated is withdrawn at one endpoint as it begins there, and the other endpoint is stopping or
// has no room. It must not end with an unknown outcome while its first endpoint serves.
func TestWithdrawnRequestGoesBackToItsEndpoint(t *testing.T) {
	cases := []struct {
		name string
		// second is how the other endpoint handles the request.
		second func(x *fakeStream)
	}{
		{"the other endpoint has no room", func(x *fakeStream) { x.refused(wirepb.RefusalReason_NO_MEMORY) }},
		{"the other endpoint is stopping", func(x *fakeStream) { x.refused(wirepb.RefusalReason_LEAVING) }},
		{"the other endpoint breaks off", func(x *fakeStream) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2})
			var offers atomic.Int32
			for _, a := range s.agents {
				a.setScript(func(x *fakeStream) {
					switch offers.Add(1) {
					case 1:
						x.accepted()
						x.failed(true)
					case 2:
						c.second(x)
					default:
						x.respond("served")
					}
				})
			}
			got := s.send(t.Context(), call{method: get, header: http.Header{headerDeadline: {"2000"}}})
			if got.text() != "200 served" {
				t.Errorf("got %s after %d offers, want the answer of a third attempt", got.text(), offers.Load())
			}
		})
	}
}

// Guards against an answer of "outcome unknown" to a request that certainly did not run: it was withdrawn while it waited, and
// the agent's confirmation arrives while other endpoints are tried.
func TestLateConfirmationOfAWithdrawalCounts(t *testing.T) {
	const unknown = "502 outcome_unknown outcome_unknown"
	confirm := func(x *fakeStream) { x.refused(wirepb.RefusalReason_CANCELLED) }
	cases := []struct {
		name string
		// end is what the agent sends for a withdrawn request, and late how long after the withdrawal.
		end  func(x *fakeStream)
		late time.Duration
		want string
	}{
		{"confirmed at once", confirm, 0, "503 no_capacity not_run"},
		{"confirmed late", confirm, 2 * cancelConfirmTimeout, "503 no_capacity not_run"},
		{"confirmed after the last attempt", confirm, 13 * cancelConfirmTimeout, "503 no_capacity not_run"},
		{"it had begun to run", func(x *fakeStream) { x.failed(true) }, 2 * cancelConfirmTimeout, unknown},
		{"the response has begun", func(x *fakeStream) { x.head(http.StatusOK); confirm(x) }, 2 * cancelConfirmTimeout, unknown},
		{"for another request", func(x *fakeStream) { x.id = "other"; confirm(x) }, 2 * cancelConfirmTimeout, unknown},
		{"never confirmed", (*fakeStream).stall, 0, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2})
			var offers atomic.Int32
			for _, a := range s.agents {
				a.setScript(func(x *fakeStream) {
					if offers.Add(1) > 1 {
						x.refused(wirepb.RefusalReason_NO_MEMORY)
						return
					}
					x.accepted()
					if x.next().GetCancel() != nil {
						time.Sleep(c.late)
						c.end(x)
					}
				})
			}
			got := s.send(t.Context(), call{method: get, header: http.Header{headerDeadline: {"3000"}}})
			if got.text() != c.want || offers.Load() < 2 {
				t.Errorf("got %s after %d offers, want %s", got.text(), offers.Load(), c.want)
			}
			checkReply(t, got)
		})
	}
}

// Guards against a request that is withdrawn in the moment in which it starts: it must stay at its endpoint, which serves it.
func TestStartedRequestIsNotWithdrawn(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{agents: 2})
	var offers atomic.Int32
	for _, a := range s.agents {
		a.setScript(func(x *fakeStream) {
			if offers.Add(1) > 1 {
				x.refused(wirepb.RefusalReason_NO_MEMORY)
				return
			}
			x.accepted()
			if !x.next().GetCancel().GetUnlessStarted() {
				return
			}
			x.ready()
			if x.stallFor(3 * cancelConfirmTimeout) {
				x.respond("first")
			}
		})
	}
	got := s.send(t.Context(), call{method: get, header: http.Header{headerDeadline: {"2000"}}})
	if got.text() != "200 first" || offers.Load() != 1 {
		t.Errorf("got %s after %d offers, want the answer of the first endpoint", got.text(), offers.Load())
	}
}

// Guards against a request that is withdrawn from an endpoint which would serve it, for the sake of one that has just refused it.
func TestRefusalIsNoAlternative(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{agents: 2, configure: func(o *Options) { o.MaxAttempts = 6 }})
	var first atomic.Pointer[fakeAgent]
	var withdrawn atomic.Int32
	for _, a := range s.agents {
		a.setScript(func(x *fakeStream) {
			switch {
			case first.CompareAndSwap(nil, a):
				x.accepted()
				x.failed(true)
			case first.Load() != a:
				x.refused(wirepb.RefusalReason_NO_MEMORY)
			default:
				x.accepted()
				if !x.stallFor(acceptedTimeout + 500*time.Millisecond) {
					withdrawn.Add(1)
					x.refused(wirepb.RefusalReason_CANCELLED)
					return
				}
				x.respond("served")
			}
		})
	}
	got := s.send(t.Context(), call{method: get, header: http.Header{headerDeadline: {"6000"}}})
	if got.text() != "200 served" || withdrawn.Load() > 0 {
		t.Errorf("got %s, withdrawn %d times, want the answer of the endpoint that had not refused", got.text(), withdrawn.Load())
	}
}

// acceptedTimeout is how long an accepted request waits while another endpoint could take it: the minimum of
// routing.StageTimeout, because the fake agents report no expected wait.
const acceptedTimeout = time.Second

// checkReply checks what every response must carry: the request identifier and, for an error, its outcome and, if the
// request may be retried, the delay before a retry.
func checkReply(t *testing.T, r reply) {
	t.Helper()
	if r.truncated {
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

// No endpoint takes a request, for the same reason or for several, or there is no endpoint. The response must state
// "not run" and the delay before a retry.
func TestAllRefuse(t *testing.T) {
	refuse := func(reason wirepb.RefusalReason) func(x *fakeStream) {
		return func(x *fakeStream) { x.refused(reason) }
	}
	cases := []struct {
		name   string
		agents int
		script func(x *fakeStream)
		want   string
		// retry is Retry-After.
		retry string
	}{
		{"full queues", 2, refuse(wirepb.RefusalReason_QUEUE_FULL), "429 overloaded not_run", "2"},
		{"deadline cannot be met", 2, refuse(wirepb.RefusalReason_DEADLINE), "503 deadline not_run", "2"},
		{"unreachable services", 2, refuse(wirepb.RefusalReason_ENDPOINT_UNREACHABLE), "503 no_capacity not_run", "2"},
		{"an unknown reason", 2, refuse(99), "503 not_ready not_run", "2"},
		{"busy engines", 2, func(x *fakeStream) {
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
				a.setScript(c.script)
			}
			for _, method := range []string{get, post} {
				got := s.send(t.Context(), call{method: method})
				if got.text() != c.want || got.header.Get(headerRetry) != c.retry {
					t.Errorf("%s: got %s with Retry-After %s, want %s with %s", method, got.text(), got.header.Get(headerRetry), c.want, c.retry)
				}
				checkReply(t, got)
			}
		})
	}
}

// Several callers disconnect while they wait at a healthy endpoint. That must not count as failures of the endpoint,
// which would eject it for all other callers.
func TestCallersThatLeaveDoNotEject(t *testing.T) {
	const leaving = 6
	s := newSite(t, siteOptions{agents: 2})
	accepted := make(chan struct{}, 1)
	patient, other := s.agents[0], s.agents[1]
	patient.setScript(func(x *fakeStream) {
		x.accepted()
		accepted <- struct{}{}
		x.stall()
	})
	other.setScript(func(x *fakeStream) { x.respond("other") })
	for left := 0; left < leaving; {
		ctx, leave := context.WithCancel(t.Context())
		got := s.sending(ctx, call{method: get})
		select {
		case <-accepted:
			left++
		case <-got:
		case <-time.After(testTimeout):
			t.Fatal("no offer")
		}
		leave()
	}
	eventually(t, "the request of a disconnected caller is still in flight", func() bool {
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		return s.entry.limiter.InFlight() == 0
	})
	patient.setScript(func(x *fakeStream) { x.respond("patient") })
	chosen := 0
	for range 40 {
		if s.send(t.Context(), call{method: get}).body == "patient" {
			chosen++
		}
	}
	if chosen == 0 {
		t.Error("the endpoint was ejected")
	}
}
