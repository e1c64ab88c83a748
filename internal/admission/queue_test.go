package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

var (
	start  = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)
	target = Target{Model: "narrator@1"}
	steady = Estimate{Ready: true, MeanServiceTime: time.Second, Concurrency: 1, TimeToFirstToken: 200 * time.Millisecond}
)

const (
	interactive = wirepb.Class_INTERACTIVE
	batch       = wirepb.Class_BATCH
)

// newRequest returns a request whose deadline is the given time after start.
func newRequest(id, caller string, class wirepb.Class, left time.Duration) Request {
	return Request{ID: id, Target: target, Class: class, Caller: caller, Arrived: start, Deadline: start.Add(left)}
}

// drainInOrder calls Next until no request is left and returns the IDs in order.
func drainInOrder(q *Queue) []string {
	var ids []string
	for {
		r, _, ok := q.Next(start, target, steady)
		if !ok {
			return ids
		}
		ids = append(ids, r.ID)
	}
}

func TestNextStartsInteractiveByDeadlineAndKeepsBatchMoving(t *testing.T) {
	cases := []struct {
		name   string
		offers []Request
		want   []string
	}{
		{"earliest deadline first", []Request{
			newRequest("late", "a", interactive, time.Minute), newRequest("early", "b", interactive, 10*time.Second),
		}, []string{"early", "late"}},
		{"order of arrival among equals", []Request{
			newRequest("1", "a", interactive, time.Minute), newRequest("2", "a", interactive, time.Minute),
		}, []string{"1", "2"}},
		{"interactive before batch whatever the deadline", []Request{
			newRequest("audit", "a", batch, 20*time.Second), newRequest("chat", "b", interactive, time.Minute),
		}, []string{"chat", "audit"}},
		{"batch after a run of two", []Request{
			newRequest("audit", "a", batch, time.Minute), newRequest("1", "b", interactive, time.Minute),
			newRequest("2", "b", interactive, time.Minute), newRequest("3", "b", interactive, time.Minute),
		}, []string{"1", "2", "audit", "3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue(Options{MaxWaiting: 10, BatchEvery: 2})
			for _, r := range c.offers {
				if _, refused := q.Offer(start, r, steady); refused != nil {
					t.Fatalf("%s refused: %+v", r.ID, refused)
				}
			}
			if got := drainInOrder(q); !slices.Equal(got, c.want) {
				t.Errorf("started %v, want %v", got, c.want)
			}
		})
	}
}

// One caller sends far more requests than the endpoint can serve, another sends few. Without fair shares the first
// caller's requests take up the whole queue, or all the time before the deadline, and the second caller is always
// refused.
func TestOfferKeepsPlacesForOthers(t *testing.T) {
	cases := []struct {
		name     string
		options  Options
		waiting  []Request
		offer    Request
		refused  wirepb.RefusalReason
		displace string
	}{
		{"room left", Options{MaxWaiting: 4}, []Request{newRequest("1", "a", interactive, time.Minute)},
			newRequest("x", "a", interactive, time.Minute), 0, ""},
		{"full of one caller's requests", Options{MaxWaiting: 2},
			[]Request{newRequest("1", "flood", interactive, time.Minute), newRequest("2", "flood", interactive, time.Minute)},
			newRequest("x", "b", interactive, time.Minute), 0, "2"},
		{"full and the caller itself has the largest share", Options{MaxWaiting: 2},
			[]Request{newRequest("1", "a", interactive, time.Minute), newRequest("2", "a", interactive, time.Minute)},
			newRequest("x", "a", interactive, time.Minute), wirepb.RefusalReason_QUEUE_FULL, ""},
		{"full with equal shares", Options{MaxWaiting: 2},
			[]Request{newRequest("1", "a", interactive, time.Minute), newRequest("2", "b", interactive, time.Minute)},
			newRequest("x", "c", interactive, time.Minute), wirepb.RefusalReason_QUEUE_FULL, ""},
		{"interactive displaces batch", Options{MaxPerTarget: 2},
			[]Request{newRequest("1", "a", batch, time.Minute), newRequest("2", "a", interactive, time.Minute)},
			newRequest("x", "b", interactive, time.Minute), 0, "1"},
		{"batch does not displace interactive", Options{MaxPerTarget: 1},
			[]Request{newRequest("1", "a", interactive, time.Minute)},
			newRequest("x", "b", batch, time.Minute), wirepb.RefusalReason_QUEUE_FULL, ""},
		{"caller at its bound", Options{MaxWaiting: 9, MaxPerCaller: 1},
			[]Request{newRequest("1", "a", interactive, time.Minute)},
			newRequest("x", "a", interactive, time.Minute), wirepb.RefusalReason_QUEUE_FULL, ""},
		{"too late behind a caller with a larger share", Options{MaxWaiting: 9},
			[]Request{newRequest("1", "flood", interactive, 2500*time.Millisecond), newRequest("2", "flood", interactive, 2500*time.Millisecond)},
			newRequest("x", "b", interactive, 2500*time.Millisecond), 0, "2"},
		{"too late behind a caller with an equal share", Options{MaxWaiting: 9},
			[]Request{newRequest("1", "a", interactive, time.Second)},
			newRequest("x", "b", interactive, time.Second), wirepb.RefusalReason_DEADLINE, ""},
		{"deadline shorter than the service time", Options{MaxWaiting: 9}, nil,
			newRequest("x", "a", interactive, time.Second-1), wirepb.RefusalReason_DEADLINE, ""},
		{"identifier in use", Options{MaxWaiting: 9}, []Request{newRequest("x", "a", interactive, time.Minute)},
			newRequest("x", "a", interactive, time.Minute), wirepb.RefusalReason_CANCELLED, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue(c.options)
			for _, r := range c.waiting {
				q.Offer(start, r, steady)
			}
			displaced, refused := q.Offer(start, c.offer, steady)
			checkRefused(t, refused, c.refused)
			if c.displace == "" && len(displaced) > 0 || c.displace != "" && (len(displaced) != 1 || displaced[0].ID != c.displace) {
				t.Errorf("displaced %+v, want %q", displaced, c.displace)
			}
		})
	}
}

func checkRefused(t *testing.T, refused *Refusal, want wirepb.RefusalReason) {
	t.Helper()
	switch {
	case refused == nil && want != 0:
		t.Errorf("accepted, want refused with %v", want)
	case refused != nil && refused.Reason != want:
		t.Errorf("refused with %v, want %v", refused.Reason, want)
	case refused != nil && refused.RetryAfter < minRetryAfter:
		t.Errorf("refused with a retry delay of %v, below the minimum", refused.RetryAfter)
	}
}

// A request waits for a model that is being loaded, and the load takes longer than expected. As soon as the due time of
// the request has passed it must be refused, not only at its deadline.
func TestExpireRefusesAtOnceWhatCannotStartInTime(t *testing.T) {
	cold := Estimate{ReadyIn: 2 * time.Second, MeanServiceTime: time.Second, Concurrency: 4}
	cases := []struct {
		name     string
		at       time.Duration
		estimate Estimate
		want     []string
	}{
		{"still in time", 5 * time.Second, Estimate{Ready: true, MeanServiceTime: time.Second}, nil},
		{"due time has passed", 7*time.Second + 1, cold, []string{"1", "2"}},
		{"load takes too long", time.Second, Estimate{ReadyIn: 9 * time.Second, MeanServiceTime: time.Second}, []string{"1", "2"}},
		{"too far back in the queue", 0, Estimate{Ready: true, MeanServiceTime: 10 * time.Second, TotalTime: time.Second, Running: 1}, []string{"2"}},
		{"due time became later", 9*time.Second + 1, Estimate{Ready: true, MeanServiceTime: time.Millisecond}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue(Options{MaxWaiting: 10})
			q.Offer(start, newRequest("1", "a", interactive, 10*time.Second), cold)
			q.Offer(start, newRequest("2", "b", interactive, 10*time.Second), cold)
			var got []string
			for _, r := range q.Expire(start.Add(c.at), func(Target) Estimate { return c.estimate }) {
				got = append(got, r.ID)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("expired %v, want %v", got, c.want)
			}
			if q.Len() != 2-len(c.want) {
				t.Errorf("%d requests waiting, want %d", q.Len(), 2-len(c.want))
			}
		})
	}
}

func TestWakeIsTheFirstMomentAtWhichExpireRefuses(t *testing.T) {
	q := NewQueue(Options{MaxWaiting: 10})
	if !q.NextExpiry().IsZero() {
		t.Fatal("NextExpiry of an empty queue is not the zero time")
	}
	q.Offer(start, newRequest("1", "a", interactive, 10*time.Second), steady)
	estimate := func(Target) Estimate { return steady }
	if early := q.Expire(q.NextExpiry().Add(-1), estimate); len(early) > 0 {
		t.Errorf("refused before NextExpiry: %+v", early)
	}
	if refused := q.Expire(q.NextExpiry(), estimate); len(refused) != 1 {
		t.Errorf("Expire at NextExpiry refused %d, want 1", len(refused))
	}
}

func TestWakeFollowsTheEstimates(t *testing.T) {
	q := NewQueue(Options{MaxWaiting: 10})
	slower := newRequest("slower", "a", interactive, 11*time.Second)
	slower.Target = Target{Service: "ledger"}
	q.Offer(start, newRequest("1", "a", interactive, 10*time.Second), steady)
	q.Offer(start, slower, steady)
	q.Expire(start, func(t Target) Estimate {
		e := steady
		if t == slower.Target {
			e.MeanServiceTime = 5 * time.Second
		}
		return e
	})
	if want := start.Add(6*time.Second + 1); !q.NextExpiry().Equal(want) {
		t.Errorf("NextExpiry is %v, want %v", q.NextExpiry(), want)
	}
}

// Requests for all adapters of a model run on one replica. If each adapter's queue were judged alone, each of twenty
// queues would be planned with the capacity of the whole replica, and most of the accepted requests would be refused
// later.
func TestOfferCountsAllAdaptersOfTheReplica(t *testing.T) {
	q := NewQueue(Options{MaxWaiting: 100})
	accepted := 0
	for i := range 20 {
		r := newRequest(fmt.Sprint(i), fmt.Sprint("caller", i), interactive, 5*time.Second)
		r.Target.Adapter = fmt.Sprint("adapter", i)
		if _, refused := q.Offer(start, r, steady); refused == nil {
			accepted++
		}
	}
	if accepted != 4 {
		t.Errorf("accepted %d requests of 1 s each within 5 s, want 4", accepted)
	}
	cold := newRequest("cold", "a", interactive, 20*time.Second)
	cold.Target.Model = "other@1"
	if _, refused := q.Offer(start, cold, steady); refused != nil {
		t.Errorf("another model's request was refused: %+v", refused)
	}
	order := []string{}
	for r, _, ok := q.NextAny(start, allReady); ok; r, _, ok = q.NextAny(start, allReady) {
		order = append(order, r.ID)
	}
	if want := []string{"0", "1", "2", "3", "cold"}; !slices.Equal(order, want) {
		t.Errorf("NextAny started %v, want %v", order, want)
	}
}

func allReady(Target) (Estimate, bool) { return steady, true }

// An endpoint at five times its capacity refuses four of five requests. With equal retry delays they would all return
// at the same moment. No half second may get more retries than the target can serve in that time, with some slack for
// the jitter.
func TestRefusalsSpreadTheReturn(t *testing.T) {
	quick := Estimate{Ready: true, MeanServiceTime: 100 * time.Millisecond, Concurrency: 2}
	q := NewQueue(Options{MaxWaiting: 1, Seed: 7})
	q.Offer(start, newRequest("first", "a", interactive, time.Minute), quick)
	returning := map[time.Duration]int{}
	for i := range 400 {
		_, refused := q.Offer(start, newRequest(fmt.Sprint(i), "a", interactive, time.Minute), quick)
		returning[refused.RetryAfter.Truncate(time.Second/2)]++
	}
	for at, n := range returning {
		if n > 18 {
			t.Errorf("%d retries within 0.5 s from %v, capacity is 10", n, at)
		}
	}
}

func TestDrainTargetsRefusesOnlyThose(t *testing.T) {
	q := NewQueue(Options{MaxWaiting: 10})
	other := newRequest("other", "a", batch, time.Minute)
	other.Target = Target{Service: "ledger"}
	q.Offer(start, newRequest("1", "a", interactive, time.Minute), steady)
	q.Offer(start, other, steady)
	refused := q.DrainTargets(func(t Target) bool { return t == target }, wirepb.RefusalReason_LOAD_FAILED, time.Second, "")
	if len(refused) != 1 || refused[0].ID != "1" || refused[0].RetryAfter < time.Second {
		t.Errorf("refused %+v", refused)
	}
	if rest := q.Drain(wirepb.RefusalReason_LEAVING); len(rest) != 1 || q.Len() != 0 {
		t.Errorf("drained %+v, %d left", rest, q.Len())
	}
}

func TestIdleTargetQueuesAreDropped(t *testing.T) {
	q := NewQueue(Options{MaxWaiting: 10})
	for i := range 10 * maxIdleTargets {
		r := newRequest(fmt.Sprint(i), "a", interactive, time.Minute)
		r.Target.Adapter = fmt.Sprint(i)
		q.Offer(start, r, steady)
		if got, _, ok := q.Next(start, r.Target, steady); !ok || got.ID != r.ID {
			t.Fatalf("request %d did not start", i)
		}
	}
	if n := len(q.targets); n > maxIdleTargets || n != len(q.targetList) || n != len(q.pools[target.pool()].queues) {
		t.Errorf("%d target queues kept, %d in the list", n, len(q.targetList))
	}
}
