package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/standin/control"
	standin "balsamsail/internal/standin/platform"
	"balsamsail/internal/wire/wirepb"
)

// A request with an idempotency key fails in some way, and its sender repeats it. The second one may run only if the
// first certainly did not run; otherwise its sender gets the recorded response or an unknown outcome.
func TestClaims(t *testing.T) {
	const unknownOutcome = "502 outcome_unknown outcome_unknown"
	cases := []struct {
		name string
		// first is how the endpoint handles the first call; leave disconnects its caller.
		first  func(x *fakeStream, caller *departingCaller)
		header http.Header
		// change modifies the second call.
		change func(c *call)
		want   string
		// offers is how many offers were made in all.
		offers int
	}{
		{name: "answered: the response is replayed", first: func(x *fakeStream, _ *departingCaller) { x.respond("first") }, want: "200 first", offers: 1},
		{name: "different body, same key", first: func(x *fakeStream, _ *departingCaller) { x.respond("first") },
			change: func(c *call) { c.body = "other" }, want: "422 idempotency_key_reused not_run", offers: 1},
		{name: "different path, same key", first: func(x *fakeStream, _ *departingCaller) { x.respond("first") },
			change: func(c *call) { c.path = "/ledger/other" }, want: "422 idempotency_key_reused not_run", offers: 1},
		{name: "another key", first: func(x *fakeStream, _ *departingCaller) { x.respond("first") }, change: func(c *call) { c.key = "other" }, want: "200 second", offers: 2},
		{name: "a response too large to keep", first: func(x *fakeStream, _ *departingCaller) { x.respond(strings.Repeat("x", 20<<10)) },
			want: "409 answer_not_kept ran", offers: 1},
		{name: "a streamed response", first: func(x *fakeStream, _ *departingCaller) {
			x.committed()
			x.head(200, eventStream)
			x.body("data")
			x.trailer()
		}, want: "409 answer_not_kept ran", offers: 1},
		{name: "refused", first: func(x *fakeStream, _ *departingCaller) { x.refused(wirepb.RefusalReason_QUEUE_FULL) }, want: "200 second", offers: 2},
		{name: "broken before the commit", first: func(x *fakeStream, _ *departingCaller) { x.accepted() }, want: "200 second", offers: 2},
		{name: "failed clean", first: func(x *fakeStream, _ *departingCaller) { x.committed(); x.failed(false) }, want: "200 second", offers: 2},
		{name: "broken after the commit", first: func(x *fakeStream, _ *departingCaller) { x.committed() }, want: unknownOutcome, offers: 1},
		{name: "failed", first: func(x *fakeStream, _ *departingCaller) { x.committed(); x.failed(true) }, want: unknownOutcome, offers: 1},
		{name: "truncated streamed response", first: func(x *fakeStream, _ *departingCaller) { x.committed(); x.head(200, eventStream); x.body("data") }, want: unknownOutcome, offers: 1},
		{name: "the caller disconnects in the queue", first: func(x *fakeStream, caller *departingCaller) { x.accepted(); caller.leave(); x.stall() }, want: "200 second", offers: 2},
		{name: "the caller disconnects, then it is answered", first: func(x *fakeStream, caller *departingCaller) {
			x.committed()
			caller.leave()
			caller.awaitSeen()
			x.head(200)
			x.body("late")
			x.trailer()
		}, want: unknownOutcome, offers: 1},
		{name: "the caller disconnects, then the call fails without having run", first: func(x *fakeStream, caller *departingCaller) {
			x.committed()
			caller.leave()
			caller.awaitSeen()
			x.failed(false)
		}, want: "200 second", offers: 2},
		{name: "the caller disconnects, then its stream breaks", first: func(x *fakeStream, caller *departingCaller) {
			x.committed()
			caller.leave()
			caller.awaitSeen()
		}, want: unknownOutcome, offers: 1},
		{name: "the caller disconnects within the response", first: func(x *fakeStream, caller *departingCaller) {
			x.committed()
			x.head(200, eventStream)
			x.body("data")
			caller.leave()
			for range 50 {
				x.body("more")
				time.Sleep(time.Millisecond)
			}
			x.trailer()
		}, want: unknownOutcome, offers: 1},
		{name: "the deadline passes before the commit", header: http.Header{headerDeadline: {"100"}}, first: func(x *fakeStream, _ *departingCaller) { x.accepted(); x.stall() },
			want: "200 second", offers: 2},
		{name: "the deadline passes, then the call fails without having run", header: http.Header{headerDeadline: {"100"}}, first: func(x *fakeStream, _ *departingCaller) {
			x.committed()
			time.Sleep(250 * time.Millisecond)
			x.failed(false)
		}, want: "200 second", offers: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1, configure: func(o *Options) { o.MaxAttempts = 1 }})
			agent := s.agents[0]
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			agent.setScript(func(x *fakeStream) {
				agent.setScript(func(x *fakeStream) { x.respond("second") })
				c.first(x, &departingCaller{leave: leave, seen: s.returned})
			})
			notice := call{method: post, key: "notice-1", body: "amount 120", header: c.header}
			first := s.send(ctx, notice)
			checkReply(t, first)
			again := call{method: post, key: "notice-1", body: "amount 120"}
			if c.change != nil {
				c.change(&again)
			}
			var got reply
			eventually(t, "the claim is not settled", func() bool {
				got = s.send(t.Context(), again)
				return got.problem.Code != CodeInProgress
			})
			checkReply(t, got)
			if got.text() != c.want {
				t.Errorf("after %s: got %s, want %s", first.text(), got.text(), c.want)
			}
			if n := len(agent.offered()); n != c.offers {
				t.Errorf("%d offers, want %d", n, c.offers)
			}
			if replayed := got.header.Get("Idempotent-Replayed") == "true"; replayed != (c.want == "200 first") {
				t.Errorf("replayed: %v", replayed)
			}
		})
	}
}

// Two requests with the same idempotency key are sent at once. Only one runs; the other gets "in progress", and later
// the recorded response. The response is recorded after the first caller has received it, so that the key may still be
// in progress for a moment; each "in progress" response must have Retry-After.
func TestClaimInProgress(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	begun, end := make(chan struct{}), make(chan struct{})
	s.agents[0].setScript(func(x *fakeStream) {
		close(begun)
		<-end
		x.respond("first")
	})
	notice := call{method: post, key: "notice-1"}
	first := s.sending(t.Context(), notice)
	<-begun
	second := s.send(t.Context(), notice)
	if second.text() != "409 in_progress outcome_unknown" {
		t.Errorf("while in progress: %s", second.text())
	}
	checkReply(t, second)
	close(end)
	if got := receive(t, first, "no response"); got.text() != "200 first" {
		t.Errorf("the first: %s", got.text())
	}
	var afterwards reply
	eventually(t, "the response is not recorded", func() bool {
		afterwards = s.send(t.Context(), notice)
		checkReply(t, afterwards)
		return afterwards.text() != "409 in_progress outcome_unknown"
	})
	if afterwards.text() != "200 first" || afterwards.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("afterwards: %s, replayed %q", afterwards.text(), afterwards.header.Get("Idempotent-Replayed"))
	}
	if n := len(s.agents[0].offered()); n != 1 {
		t.Errorf("%d offers", n)
	}
}

// The table fails. A request with an idempotency key must not run without a claim, and its sender must get the refusal
// quickly. If only the table's response to the claim is lost, the request must be neither refused nor run twice. Calls
// that need no claim are not affected.
func TestClaimsInAnOutage(t *testing.T) {
	const refused = "503 claims_unavailable not_run"
	cases := []struct {
		name   string
		faults standin.StoreFaults
		want   string
		offers int
	}{
		{"outage", standin.StoreFaults{Outage: true}, refused, 0},
		{"no replies at all", standin.StoreFaults{Hang: true}, refused, 0},
		{"the reply to the claim is lost", standin.StoreFaults{LoseAfter: control.Chance{Next: 1}}, "200 answer", 1},
		{"the claim request is lost", standin.StoreFaults{LoseBefore: control.Chance{Next: 1}}, "200 answer", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1})
			s.agents[0].setScript(func(x *fakeStream) { x.respond("answer") })
			s.platform.Faults().Update(func(f *standin.Faults) { f.Table = c.faults })
			began := time.Now()
			got := s.send(t.Context(), call{method: post, key: "notice-1"})
			if took := time.Since(began); got.text() != c.want || took > testTimeout/4 {
				t.Errorf("got %s after %v, want %s", got.text(), took, c.want)
			}
			checkReply(t, got)
			if n := len(s.agents[0].offered()); n != c.offers {
				t.Errorf("%d offers, want %d", n, c.offers)
			}
			if got := s.send(t.Context(), call{method: get, key: "notice-1"}); got.text() != "200 answer" {
				t.Errorf("an idempotent call: %s", got.text())
			}
			s.platform.Faults().Update(func(f *standin.Faults) { f.Table = standin.StoreFaults{} })
			eventually(t, "the key stays claimed", func() bool {
				return s.send(t.Context(), call{method: post, key: "notice-1"}).text() == "200 answer"
			})
		})
	}
}
