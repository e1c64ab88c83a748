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

// A penalty notice is sent under an idempotency key, something happens on the way, and its sender sends it again. The
// second one must run only if the first certainly did not; else its sender gets the recorded answer, or is told that the
// outcome is unknown.
func TestClaims(t *testing.T) {
	const unknownOutcome = "502 outcome_unknown outcome_unknown"
	cases := []struct {
		name string
		// first is what the endpoint does with the first call; leave lets its caller go away.
		first  func(x *exchangeStream, leave func())
		header http.Header
		// change makes the second call another one.
		change func(c *call)
		want   string
		// offers is how many offers were made in all.
		offers int
	}{
		{name: "answered: the answer is replayed", first: func(x *exchangeStream, _ func()) { x.whole("first") }, want: "200 first", offers: 1},
		{name: "another body under the key", first: func(x *exchangeStream, _ func()) { x.whole("first") },
			change: func(c *call) { c.body = "other" }, want: "422 idempotency_key_reused not_run", offers: 1},
		{name: "another path under the key", first: func(x *exchangeStream, _ func()) { x.whole("first") },
			change: func(c *call) { c.path = "/ledger/other" }, want: "422 idempotency_key_reused not_run", offers: 1},
		{name: "another key", first: func(x *exchangeStream, _ func()) { x.whole("first") }, change: func(c *call) { c.key = "other" }, want: "200 second", offers: 2},
		{name: "an answer that is too large to be kept", first: func(x *exchangeStream, _ func()) { x.whole(strings.Repeat("x", 20<<10)) },
			want: "409 answer_not_kept ran", offers: 1},
		{name: "an answer that was not held back", first: func(x *exchangeStream, _ func()) {
			x.committed()
			x.head(200, eventStream)
			x.body("data")
			x.trailer()
		}, want: "409 answer_not_kept ran", offers: 1},
		{name: "refused", first: func(x *exchangeStream, _ func()) { x.refused(wirepb.RefusalReason_QUEUE_FULL) }, want: "200 second", offers: 2},
		{name: "broken before the commit", first: func(x *exchangeStream, _ func()) { x.accepted() }, want: "200 second", offers: 2},
		{name: "failed clean", first: func(x *exchangeStream, _ func()) { x.committed(); x.failed(false) }, want: "200 second", offers: 2},
		{name: "broken after the commit", first: func(x *exchangeStream, _ func()) { x.committed() }, want: unknownOutcome, offers: 1},
		{name: "failed", first: func(x *exchangeStream, _ func()) { x.committed(); x.failed(true) }, want: unknownOutcome, offers: 1},
		{name: "cut within a streamed answer", first: func(x *exchangeStream, _ func()) { x.committed(); x.head(200, eventStream); x.body("data") }, want: unknownOutcome, offers: 1},
		{name: "the caller leaves in the queue", first: func(x *exchangeStream, leave func()) { x.accepted(); leave(); x.silent() }, want: "200 second", offers: 2},
		{name: "the caller leaves, then it is answered", first: func(x *exchangeStream, leave func()) {
			x.committed()
			leave()
			time.Sleep(20 * time.Millisecond)
			x.head(200)
			x.body("late")
			x.trailer()
		}, want: unknownOutcome, offers: 1},
		{name: "the caller leaves, then it turns out not to have run", first: func(x *exchangeStream, leave func()) {
			x.committed()
			leave()
			time.Sleep(20 * time.Millisecond)
			x.failed(false)
		}, want: "200 second", offers: 2},
		{name: "the caller leaves, then its stream breaks", first: func(x *exchangeStream, leave func()) {
			x.committed()
			leave()
			time.Sleep(20 * time.Millisecond)
		}, want: unknownOutcome, offers: 1},
		{name: "the caller leaves within the answer", first: func(x *exchangeStream, leave func()) {
			x.committed()
			x.head(200, eventStream)
			x.body("data")
			leave()
			for range 50 {
				x.body("more")
				time.Sleep(time.Millisecond)
			}
			x.trailer()
		}, want: unknownOutcome, offers: 1},
		{name: "the deadline passes before the commit", header: http.Header{headerDeadline: {"100"}}, first: func(x *exchangeStream, _ func()) { x.accepted(); x.silent() },
			want: "200 second", offers: 2},
		{name: "the deadline passes, then it turns out not to have run", header: http.Header{headerDeadline: {"100"}}, first: func(x *exchangeStream, _ func()) {
			x.committed()
			time.Sleep(250 * time.Millisecond)
			x.failed(false)
		}, want: "200 second", offers: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1, change: func(o *Options) { o.MaxAttempts = 1 }})
			agent := s.agents[0]
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			agent.answers(func(x *exchangeStream) {
				agent.answers(func(x *exchangeStream) { x.whole("second") })
				c.first(x, leave)
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

// A notice is sent twice at once. Only one runs; the other's sender is told that it is under way, and later gets its
// answer. The answer is recorded behind the one that the first sender gets, so that right after it the key may still be under
// way: with each such word comes the time to come back.
func TestClaimInProgress(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	begun, end := make(chan struct{}), make(chan struct{})
	s.agents[0].answers(func(x *exchangeStream) {
		close(begun)
		<-end
		x.whole("first")
	})
	notice := call{method: post, key: "notice-1"}
	first := s.sending(t.Context(), notice)
	<-begun
	second := s.send(t.Context(), notice)
	if second.text() != "409 in_progress outcome_unknown" {
		t.Errorf("while under way: %s", second.text())
	}
	checkReply(t, second)
	close(end)
	if got := within(t, first, "no answer"); got.text() != "200 first" {
		t.Errorf("the first: %s", got.text())
	}
	var afterwards reply
	eventually(t, "the answer is not recorded", func() bool {
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

// The table fails while notices come. Without a claim a notice must not run, and its sender must hear so quickly; a lost
// answer of the claim is no reason to refuse, and none to run it twice. Calls that need no claim go on.
func TestClaimsInAnOutage(t *testing.T) {
	const refused = "503 claims_unavailable not_run"
	cases := []struct {
		name   string
		faults standin.StoreFaults
		want   string
		offers int
	}{
		{"outage", standin.StoreFaults{Outage: true}, refused, 0},
		{"no answers at all", standin.StoreFaults{Hang: true}, refused, 0},
		{"the claim's answer is lost", standin.StoreFaults{LoseAfter: control.Chance{Next: 1}}, "200 answer", 1},
		{"the claim is lost", standin.StoreFaults{LoseBefore: control.Chance{Next: 1}}, "200 answer", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1})
			s.agents[0].answers(func(x *exchangeStream) { x.whole("answer") })
			s.platform.Faults().Update(func(f *standin.Faults) { f.Table = c.faults })
			began := time.Now()
			got := s.send(t.Context(), call{method: post, key: "notice-1"})
			if took := time.Since(began); got.text() != c.want || took > patience/4 {
				t.Errorf("got %s after %v, want %s", got.text(), took, c.want)
			}
			checkReply(t, got)
			if n := len(s.agents[0].offered()); n != c.offers {
				t.Errorf("%d offers, want %d", n, c.offers)
			}
			if got := s.send(t.Context(), call{method: get, key: "notice-1"}); got.text() != "200 answer" {
				t.Errorf("a call that may be repeated: %s", got.text())
			}
			s.platform.Faults().Update(func(f *standin.Faults) { f.Table = standin.StoreFaults{} })
			eventually(t, "the key stays claimed", func() bool {
				return s.send(t.Context(), call{method: post, key: "notice-1"}).text() == "200 answer"
			})
		})
	}
}
