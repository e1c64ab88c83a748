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
	broken := Attempt{Outcome: OutcomeBroken}
	committed := Attempt{Outcome: OutcomeBroken, Committed: true}
	full := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_QUEUE_FULL, RetryAfter: time.Second}
	noMemory := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_NO_MEMORY}
	leaving := Attempt{Outcome: OutcomeRefused, Reason: wirepb.RefusalReason_LEAVING, RetryAfter: time.Second}
	request := func(change func(*RequestState)) RequestState {
		s := RequestState{Deadline: start.Add(10 * time.Second), Untried: true, MaxAttempts: 3, Budget: NewRetryBudget(BudgetOptions{})}
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
		{"cut within the answer", request(idempotent), Attempt{Outcome: OutcomeCut}, VerdictAbort, 0},
		{"broken after answer bytes", request(func(s *RequestState) { s.Idempotent, s.AnswerBegun = true, true }), broken, VerdictAbort, 0},
		{"idempotent broken", request(idempotent), broken, VerdictRetry, 0},
		{"idempotent broken, none left", request(func(s *RequestState) { s.Idempotent, s.Untried = true, false }), broken, VerdictUnknown, 0},
		{"idempotent broken, no time left", request(func(s *RequestState) { s.Idempotent, s.Deadline = true, start }), broken, VerdictUnknown, 0},
		{"idempotent broken, last attempt", request(func(s *RequestState) { s.Idempotent, s.Attempts = true, 2 }), broken, VerdictUnknown, 0},
		{"idempotent broken, no budget", request(func(s *RequestState) { s.Idempotent, s.Budget = true, nil }), broken, VerdictUnknown, 0},
		{"refused after an attempt that broke", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts = true, true, 2 }), full, VerdictUnknown, 0},
		{"refused after an attempt that broke, attempts left", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts, s.Untried = true, true, 1, false }), full, VerdictRetry, time.Second},
		{"refused without a time after an attempt that broke", request(func(s *RequestState) { s.Idempotent, s.MayHaveRun, s.Attempts, s.Untried = true, true, 1, false }), noMemory, VerdictRetry, minRetryAfter},
		{"refused after an attempt that broke, no budget", request(func(s *RequestState) {
			s.Idempotent, s.MayHaveRun, s.Attempts, s.Untried, s.Budget = true, true, 1, false, nil
		}), full, VerdictUnknown, 0},
		{"two steps refused after one that may have run", request(func(s *RequestState) { s.MayHaveRun, s.Attempts, s.Untried = true, 1, false }), full, VerdictUnknown, 0},
		{"two steps broken before the commit", request(nil), broken, VerdictRetry, 0},
		{"two steps broken before the commit, none left", request(func(s *RequestState) { s.Untried = false }), broken, VerdictRefuse, 0},
		{"two steps broken after the commit", request(nil), committed, VerdictUnknown, 0},
		{"two steps certainly not run after the commit", request(nil), Attempt{Outcome: OutcomeFailedClean, Committed: true}, VerdictRetry, 0},
		{"queue full", request(nil), full, VerdictRetry, 0},
		{"queue full, no budget", request(func(s *RequestState) { s.Budget = nil }), full, VerdictRefuse, 0},
		{"queue full, none left", request(func(s *RequestState) { s.Untried = false }), full, VerdictRefuse, 0},
		{"leaving, no budget", request(func(s *RequestState) { s.Budget = nil }), leaving, VerdictRetry, 0},
		{"leaving, none left", request(func(s *RequestState) { s.Untried = false }), leaving, VerdictRetry, time.Second},
		{"leaving, none left and no time", request(func(s *RequestState) { s.Untried, s.Deadline = false, start.Add(time.Second) }), leaving, VerdictRefuse, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Decide(start, c.attempt, &c.state)
			if got.Kind != c.want || got.Wait != c.wait {
				t.Errorf("verdict %+v, want kind %d after %v", got, c.want, c.wait)
			}
			if got.Kind == VerdictRefuse && got.RetryAfter < minRetryAfter {
				t.Errorf("refused without a time to come back: %+v", got)
			}
		})
	}
}

// Any row of attempts: a request that may run only once is never offered again after it may have run, no request is told
// "not run" after it may have run, and attempts stay within their bound and deadline.
func TestDecideOverAnyRowOfAttempts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260105)
	parameters.MinSuccessfulTests = 20_000
	properties := gopter.NewProperties(parameters)
	properties.Property("holds", prop.ForAll(func(seed uint64) (bool, error) {
		err := rowOfAttempts(rand.New(rand.NewPCG(seed, 0)))
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func rowOfAttempts(random *rand.Rand) error {
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
		mayHaveRun = mayHaveRun || (a.Outcome == OutcomeBroken || a.Outcome == OutcomeCut) && (s.Idempotent || a.Committed)
		now = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
		s.Untried = random.IntN(3) > 0
		s.AnswerBegun = a.Outcome == OutcomeCut
		verdict := Decide(now, a, s)
		switch {
		case verdict.Kind == VerdictRefuse && mayHaveRun:
			return fmt.Errorf("told not run after it may have run: %+v", a)
		case verdict.Kind != VerdictRetry:
			return nil
		case mayHaveRun && !s.Idempotent:
			return fmt.Errorf("offered again after it may have run: %+v", a)
		case attempts >= s.MaxAttempts || !now.Add(verdict.Wait).Before(s.Deadline):
			return fmt.Errorf("attempt %d of %d at %v", attempts, s.MaxAttempts, now.Sub(start))
		}
	}
}

// Every endpoint fails, so that each request would be sent three times. The budget must let the retries die out but for
// the floor; while nine of ten succeed it must allow a retry for each failure.
func TestRetryBudgetFollowsTheSuccesses(t *testing.T) {
	cases := []struct {
		name        string
		successes   int
		least, most int
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
			if retries < c.least || retries > c.most {
				t.Errorf("%d retries for 100 failures, want %d to %d", retries, c.least, c.most)
			}
		})
	}
}

func TestPatienceFor(t *testing.T) {
	cases := []struct {
		name           string
		stage          Stage
		left, expected time.Duration
		want           time.Duration
	}{
		{"silent agent, much time", StageOffered, time.Hour, 0, time.Second},
		{"silent agent, some time", StageOffered, 5 * time.Second, 0, 500 * time.Millisecond},
		{"silent agent, little time", StageOffered, 200 * time.Millisecond, 0, 100 * time.Millisecond},
		{"waiting as told", StageAccepted, time.Minute, 5 * time.Second, 10 * time.Second},
		{"waiting, nothing told", StageAccepted, time.Minute, 0, time.Second},
		{"no more than the time left", StageAccepted, time.Second, 5 * time.Second, time.Second},
		{"no time left", StageOffered, -time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := PatienceFor(c.stage, c.left, c.expected); got != c.want {
				t.Errorf("patience %v, want %v", got, c.want)
			}
		})
	}
}
