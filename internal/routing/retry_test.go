package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"balsamsail/internal/wire/wirepb"
)

func TestDecide(t *testing.T) {
	unknown := Attempt{Outcome: OutcomeUnknown}
	committed := Attempt{Outcome: OutcomeUnknown, Committed: true}
	full := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_QUEUE_FULL, RetryAfter: time.Second}
	noMemory := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_NO_MEMORY}
	leaving := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_LEAVING, RetryAfter: time.Second}
	request := func(change func(*RequestState)) RequestState {
		s := RequestState{Deadline: start.Add(10 * time.Second), HasUntried: true, MaxAttempts: 3, Budget: NewRetryBudget(BudgetOptions{})}
		if change != nil {
			change(&s)
		}
		return s
	}
	idempotent := func(s *RequestState) { s.Idempotent = true }
	cases := []struct {
		name    string
		state   RequestState
		attempt Attempt
		want    VerdictKind
		wait    time.Duration
	}{
		{"served", request(nil), Attempt{Outcome: OutcomeServed}, VerdictDone, 0},
		{"failed after bytes of the answer were forwarded", request(idempotent), Attempt{Outcome: OutcomeTruncated}, VerdictAbort, 0},
		{"outcome unknown after the answer has begun", request(func(s *RequestState) { s.Idempotent, s.AnswerBegun = true, true }), unknown, VerdictAbort, 0},
		{"idempotent, outcome unknown", request(idempotent), unknown, VerdictRetry, 0},
		{"idempotent, outcome unknown, no untried candidate", request(func(s *RequestState) { s.Idempotent, s.HasUntried = true, false }), unknown, VerdictRetry, minRetryAfter},
		{"idempotent, outcome unknown, budget empty for a second", request(func(s *RequestState) {
			s.Idempotent, s.Budget = true, emptyBudget(start)
		}), unknown, VerdictRetry, time.Second},
		{"idempotent, outcome unknown, budget empty for longer than half of the time left", request(func(s *RequestState) {
			s.Idempotent, s.Budget, s.Deadline = true, emptyBudget(start), start.Add(time.Second)
		}), unknown, VerdictUnknown, 0},
		{"refused with a long Retry-After, after an attempt with an unknown outcome", request(func(s *RequestState) {
			s.Idempotent, s.MayHaveRun, s.Attempts, s.HasUntried, s.Deadline = true, true, 1, false, start.Add(time.Second)
		}), full, VerdictRetry, 500 * time.Millisecond},
		{"leaving, after an attempt with an unknown outcome, too little time to wait", request(func(s *RequestState) {
			s.Idempotent, s.MayHaveRun, s.Attempts, s.HasUntried, s.Deadline = true, true, 1, false, start.Add(time.Second)
		}), leaving, VerdictRetry, 500 * time.Millisecond},
		{"idempotent, outcome unknown, no time left", request(func(s *RequestState) { s.Idempotent, s.Deadline = true, start }), unknown, VerdictUnknown, 0},
		{"idempotent, outcome unknown, last attempt", request(func(s *RequestState) { s.Idempotent, s.Attempts = true, 2 }), unknown, VerdictUnknown, 0},
		{"idempotent, outcome unknown, no budget", request(func(s *RequestState) { s.Idempotent, s.Budget = true, nil }), unknown, VerdictUnknown, 0},
		{"refused after an attempt with an unknown outcome", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts = true, true, 2 }), full, VerdictUnknown, 0},
		{"refused after an attempt with an unknown outcome, attempts left", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts, s.HasUntried = true, true, 1, false }), full, VerdictRetry, time.Second},
		{"refused without Retry-After, after an attempt with an unknown outcome", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts, s.HasUntried = true, true, 1, false }), noMemory, VerdictRetry, minRetryAfter},
		{"refused after an attempt with an unknown outcome, no budget", request(func(s *RequestState) {
			s.Idempotent, s.MayHaveRun, s.Attempts, s.HasUntried, s.Budget = true, true, 1, false, nil
		}), full, VerdictUnknown, 0},
		{"two-step, refused after an attempt that may have run", request(func(s *RequestState) { s.MayHaveRun, s.Attempts, s.HasUntried = true, 1, false }), full, VerdictUnknown, 0},
		{"two-step, failed before the commit", request(nil), unknown, VerdictRetry, 0},
		{"two-step, failed before the commit, no untried candidate", request(func(s *RequestState) { s.HasUntried = false }), unknown, VerdictRefuse, 0},
		{"two-step, outcome unknown after the commit", request(nil), committed, VerdictUnknown, 0},
		{"two-step, confirmed not run after the commit", request(nil), Attempt{Outcome: OutcomeFailedNotRun, Committed: true}, VerdictRetry, 0},
		{"queue full", request(nil), full, VerdictRetry, 0},
		{"queue full, no budget", request(func(s *RequestState) { s.Budget = nil }), full, VerdictRefuse, 0},
		{"queue full, no untried candidate", request(func(s *RequestState) { s.HasUntried = false }), full, VerdictRefuse, 0},
		{"leaving, no budget", request(func(s *RequestState) { s.Budget = nil }), leaving, VerdictRetry, 0},
		{"leaving, no untried candidate", request(func(s *RequestState) { s.HasUntried = false }), leaving, VerdictRetry, time.Second},
		{"leaving, no untried candidate, too little time to wait", request(func(s *RequestState) { s.HasUntried, s.Deadline = false, start.Add(time.Second) }), leaving, VerdictRefuse, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Decide(start, c.attempt, &c.state)
			if got.Kind != c.want || got.Wait != c.wait {
				t.Errorf("verdict %+v, want kind %d with wait %v", got, c.want, c.wait)
			}
			if got.Kind == VerdictRefuse && got.RetryAfter < minRetryAfter {
				t.Errorf("refused with a Retry-After below the minimum: %+v", got)
			}
		})
	}
}

// emptyBudget returns a budget that has used all its retries and regains one each second.
func emptyBudget(now time.Time) *RetryBudget {
	b := NewRetryBudget(BudgetOptions{Burst: 1, FloorPerSecond: 1})
	b.Spend(now)
	return b
}

// For any sequence of attempts: a request that must run only once is never retried after it may have run, no request is
// answered as not run after it may have run, and the attempts stay within their limit and the deadline.
func TestDecideOverAnyRowOfAttempts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260105)
	parameters.MinSuccessfulTests = 20_000
	properties := gopter.NewProperties(parameters)
	properties.Property("holds", prop.ForAll(func(seed uint64) (bool, error) {
		err := checkRandomAttempts(rand.New(rand.NewPCG(seed, 0)))
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func checkRandomAttempts(random *rand.Rand) error {
	s := &RequestState{
		Idempotent: random.IntN(2) == 0, Deadline: start.Add(3 * time.Second), MaxAttempts: 1 + random.IntN(5),
		Budget: NewRetryBudget(BudgetOptions{}),
	}
	mayHaveRun := false
	now := start
	for attempts := 1; ; attempts++ {
		a := Attempt{
			Outcome:    Outcome(1 + random.IntN(5)),
			Reason:     wirepb.RefusalReason(random.IntN(12)),
			RetryAfter: time.Duration(random.IntN(2000)) * time.Millisecond,
			Committed:  !s.Idempotent && random.IntN(2) == 0,
		}
		mayHaveRun = mayHaveRun || (a.Outcome == OutcomeUnknown || a.Outcome == OutcomeTruncated) && (s.Idempotent || a.Committed)
		now = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
		s.HasUntried = random.IntN(3) > 0
		s.AnswerBegun = a.Outcome == OutcomeTruncated
		verdict := Decide(now, a, s)
		switch {
		case verdict.Kind == VerdictUnknown && s.Idempotent && attempts < s.MaxAttempts && now.Before(s.Deadline):
			return fmt.Errorf("ended as unknown with %v and %d attempts left: %+v", s.Deadline.Sub(now), s.MaxAttempts-attempts, a)
		case verdict.Kind == VerdictRefuse && mayHaveRun:
			return fmt.Errorf("answered \"not run\" after it may have run: %+v", a)
		case verdict.Kind != VerdictRetry:
			return nil
		case mayHaveRun && !s.Idempotent:
			return fmt.Errorf("retried after it may have run: %+v", a)
		case attempts >= s.MaxAttempts || !now.Add(verdict.Wait).Before(s.Deadline):
			return fmt.Errorf("retry after attempt %d of %d, %v after the start", attempts, s.MaxAttempts, now.Sub(start))
		}
	}
}

// If every endpoint fails, each request could be sent three times. The budget must stop retries except for the floor,
// and must allow a retry for each failure while nine of ten requests succeed.
func TestRetryBudgetFollowsTheSuccesses(t *testing.T) {
	cases := []struct {
		name                   string
		successes              int
		minRetries, maxRetries int
	}{
		{"all fail", 0, 28, 30},
		{"half succeed", 1, 45, 50},
		{"nine of ten succeed", 9, 95, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewRetryBudget(BudgetOptions{})
			retries := 0
			for i := range 100 {
				for range c.successes {
					b.Success()
				}
				if b.Spend(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
					retries++
				}
			}
			if retries < c.minRetries || retries > c.maxRetries {
				t.Errorf("%d retries for 100 failures, want %d to %d", retries, c.minRetries, c.maxRetries)
			}
		})
	}
}

func TestStageTimeout(t *testing.T) {
	cases := []struct {
		name           string
		stage          Stage
		left, expected time.Duration
		want           time.Duration
	}{
		{"no reply, long deadline", StageOffered, time.Hour, 0, time.Second},
		{"no reply, medium deadline", StageOffered, 5 * time.Second, 0, 500 * time.Millisecond},
		{"no reply, short deadline", StageOffered, 200 * time.Millisecond, 0, 100 * time.Millisecond},
		{"queued with an estimate", StageAccepted, time.Minute, 5 * time.Second, 10 * time.Second},
		{"queued without an estimate", StageAccepted, time.Minute, 0, time.Second},
		{"limited by the time left", StageAccepted, time.Second, 5 * time.Second, time.Second},
		{"no time left", StageOffered, -time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := StageTimeout(c.stage, c.left, c.expected); got != c.want {
				t.Errorf("timeout %v, want %v", got, c.want)
			}
		})
	}
}
