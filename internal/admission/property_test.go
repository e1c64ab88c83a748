package admission

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	propertySeed  = 20260105
	propertyRuns  = 2000
	propertySteps = 120
)

// forAllSeeds runs check with random seeds from a generator that has a fixed seed itself.
func forAllSeeds(t *testing.T, check func(seed uint64) error) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("holds", prop.ForAll(func(seed uint64) (bool, error) {
		err := check(seed)
		return err == nil, err
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// harness calls one queue at random and tracks the state of each request.
type harness struct {
	random  *rand.Rand
	now     time.Time
	queue   *Queue
	bounds  Options
	waiting map[string]Request
	ended   map[string]bool
	offered int
	// interactiveRun counts the consecutive interactive starts of a target while its batch requests wait.
	interactiveRun map[Target]int
}

func newHarness(seed uint64) *harness {
	random := rand.New(rand.NewPCG(seed, 1))
	bounds := Options{
		MaxWaiting:   1 + random.IntN(12),
		MaxPerTarget: 1 + random.IntN(8),
		MaxPerCaller: random.IntN(5),
		BatchEvery:   1 + random.IntN(4),
		Seed:         seed,
	}
	return &harness{
		random: random, now: start, queue: NewQueue(bounds), bounds: bounds,
		waiting: map[string]Request{}, ended: map[string]bool{}, interactiveRun: map[Target]int{},
	}
}

var targets = []Target{{Model: "m"}, {Model: "m", Adapter: "a"}, {Model: "n"}, {Service: "ledger"}}

func (h *harness) step() error {
	h.now = h.now.Add(time.Duration(h.random.IntN(400)) * time.Millisecond)
	target := targets[h.random.IntN(len(targets))]
	switch h.random.IntN(10) {
	case 0:
		return h.recordLeft(h.queue.Expire(h.now, func(Target) Estimate { return h.estimate() }), "expire")
	case 1:
		return h.remove()
	case 2, 3, 4:
		return h.next(target)
	case 5:
		r, refused, ok := h.queue.NextAny(h.now, func(Target) (Estimate, bool) { return steady, h.random.IntN(3) > 0 })
		return cmp.Or(h.recordLeft(refused, "next any"), h.checkStart(r, ok))
	default:
		return h.offer(target)
	}
}

// estimate returns a random estimate, unrelated to the previous one.
func (h *harness) estimate() Estimate {
	return Estimate{
		Ready:           h.random.IntN(2) == 0,
		ReadyIn:         time.Duration(h.random.IntN(3000)) * time.Millisecond,
		MeanServiceTime: time.Duration(1+h.random.IntN(2000)) * time.Millisecond,
		Concurrency:     h.random.IntN(4),
		Running:         h.random.IntN(4),
	}
}

func (h *harness) offer(target Target) error {
	h.offered++
	r := newRequest(fmt.Sprint(h.offered), fmt.Sprint("caller", h.random.IntN(4)), interactive, 0)
	r.Target = target
	r.Stream = h.random.IntN(2) == 0
	if h.random.IntN(3) == 0 {
		r.Class = batch
	}
	r.Deadline = h.now.Add(time.Duration(h.random.IntN(10_000)) * time.Millisecond)
	displaced, refused := h.queue.Offer(h.now, r, steady)
	h.waiting[r.ID] = r
	if refused != nil {
		return h.recordLeft([]Refusal{*refused}, "offer")
	}
	return h.recordLeft(displaced, "displaced")
}

func (h *harness) remove() error {
	if len(h.waiting) > 0 {
		id := slices.Sorted(maps.Keys(h.waiting))[h.random.IntN(len(h.waiting))]
		if !h.queue.Remove(id) {
			return fmt.Errorf("waiting request %s was not removed", id)
		}
		h.ended[id] = true
		delete(h.waiting, id)
	}
	if h.queue.Remove("none") {
		return fmt.Errorf("removed a request that was not waiting")
	}
	return nil
}

func (h *harness) next(target Target) error {
	before := h.waitingFor(target)
	r, refused, ok := h.queue.Next(h.now, target, steady)
	if err := h.recordLeft(refused, "next"); err != nil {
		return err
	}
	if ok {
		if err := h.checkOrder(before, refused, r); err != nil {
			return err
		}
	}
	return h.checkStart(r, ok)
}

// checkOrder compares the choice of Next with a linear search.
func (h *harness) checkOrder(before []Request, refused []Refusal, chosen Request) error {
	before = slices.DeleteFunc(before, func(r Request) bool {
		return slices.ContainsFunc(refused, func(f Refusal) bool { return f.ID == r.ID })
	})
	for _, r := range before {
		if r.Class == chosen.Class && r.Stream == chosen.Stream && r.Deadline.Before(chosen.Deadline) {
			return fmt.Errorf("%s started before %s, whose deadline is earlier", chosen.ID, r.ID)
		}
	}
	batchWaits := slices.ContainsFunc(before, func(r Request) bool { return r.Class == batch })
	if chosen.Class == batch || !batchWaits {
		h.interactiveRun[chosen.Target] = 0
		return nil
	}
	h.interactiveRun[chosen.Target]++
	if h.interactiveRun[chosen.Target] > h.bounds.BatchEvery {
		return fmt.Errorf("%d interactive starts in a row while a batch request waits", h.interactiveRun[chosen.Target])
	}
	return nil
}

func (h *harness) checkStart(r Request, ok bool) error {
	if !ok {
		return nil
	}
	if h.now.Add(steady.requiredTime(r.Stream)).After(r.Deadline) {
		return fmt.Errorf("%s started too late", r.ID)
	}
	return h.recordLeft([]Refusal{{ID: r.ID, RetryAfter: minRetryAfter}}, "start")
}

// recordLeft records requests that left the queue, and checks that each was waiting and leaves only once.
func (h *harness) recordLeft(refused []Refusal, how string) error {
	for _, r := range refused {
		if _, ok := h.waiting[r.ID]; !ok || h.ended[r.ID] {
			return fmt.Errorf("%s: %s left the queue but was not waiting", how, r.ID)
		}
		if r.RetryAfter < minRetryAfter || r.RetryAfter > defaultMaxRetryAfter {
			return fmt.Errorf("%s: retry delay %v is out of bounds", how, r.RetryAfter)
		}
		h.ended[r.ID] = true
		delete(h.waiting, r.ID)
	}
	return nil
}

func (h *harness) waitingFor(target Target) []Request {
	var found []Request
	for _, r := range h.waiting {
		if r.Target == target {
			found = append(found, r)
		}
	}
	return found
}

// checkCounts checks the queue's counts and bounds.
func (h *harness) checkCounts() error {
	if h.queue.Len() != len(h.waiting) || h.queue.Len() > h.bounds.MaxWaiting {
		return fmt.Errorf("%d requests waiting, want %d and at most %d", h.queue.Len(), len(h.waiting), h.bounds.MaxWaiting)
	}
	perCaller := map[string]int{}
	for _, r := range h.waiting {
		perCaller[r.Caller]++
		if h.bounds.MaxPerCaller > 0 && perCaller[r.Caller] > h.bounds.MaxPerCaller {
			return fmt.Errorf("caller %s has %d requests waiting", r.Caller, perCaller[r.Caller])
		}
	}
	for _, target := range targets {
		n := len(h.waitingFor(target))
		if n == 0 {
			h.interactiveRun[target] = 0
		}
		if h.queue.Waiting(target) != n || n > h.bounds.MaxPerTarget {
			return fmt.Errorf("%d requests waiting for %v, want %d and at most %d", h.queue.Waiting(target), target, n, h.bounds.MaxPerTarget)
		}
	}
	return nil
}

// A waiting request must be started or refused in time and never be lost: for any sequence of offers, starts,
// cancellations and expiries, each request leaves the queue exactly once, none starts too late, and the bounds and the
// order hold.
func TestQueueNeverDropsARequest(t *testing.T) {
	forAllSeeds(t, func(seed uint64) error {
		h := newHarness(seed)
		for range propertySteps {
			if err := cmp.Or(h.step(), h.checkCounts()); err != nil {
				return err
			}
		}
		if err := h.recordLeft(h.queue.Drain(0), "drain"); err != nil {
			return err
		}
		if len(h.waiting) > 0 || len(h.ended) != h.offered {
			return fmt.Errorf("%d of %d requests never left the queue", len(h.waiting), h.offered)
		}
		return nil
	})
}

// The treap must agree with a sorted slice on order, rank and the first infeasible waiter.
func TestTreapAgreesWithASortedSlice(t *testing.T) {
	forAllSeeds(t, func(seed uint64) error {
		random := rand.New(rand.NewPCG(seed, 2))
		set := treap{random: random}
		var sorted []*waiter
		for i := range 60 {
			if len(sorted) > 0 && random.IntN(3) == 0 {
				j := random.IntN(len(sorted))
				set.remove(sorted[j])
				sorted = slices.Delete(sorted, j, j+1)
			} else {
				w := &waiter{deadline: time.Duration(random.IntN(100)), sequence: uint64(i)}
				set.insert(w)
				sorted = append(sorted, w)
				slices.SortFunc(sorted, byDeadline)
			}
			if random.IntN(4) == 0 {
				set.setSpacing(time.Duration(random.IntN(20)))
			}
			if err := checkTreap(&set, sorted, time.Duration(random.IntN(100))); err != nil {
				return err
			}
		}
		return nil
	})
}

func byDeadline(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.sequence, b.sequence))
}

func checkTreap(set *treap, sorted []*waiter, now time.Duration) error {
	if set.len() != len(sorted) {
		return fmt.Errorf("length %d, want %d", set.len(), len(sorted))
	}
	var infeasible *waiter
	for rank, w := range sorted {
		if got := set.rank(w); got != rank {
			return fmt.Errorf("rank %d, want %d", got, rank)
		}
		if rank > 0 && set.lastBefore(w) != sorted[rank-1] {
			return fmt.Errorf("wrong waiter before rank %d", rank)
		}
		if infeasible == nil && w.deadline-time.Duration(rank)*set.spacing < now {
			infeasible = w
		}
	}
	if got := set.firstInfeasible(now); got != infeasible {
		return fmt.Errorf("first infeasible waiter %+v, want %+v", got, infeasible)
	}
	if len(sorted) > 0 && (set.first() != sorted[0] || set.last() != sorted[len(sorted)-1]) {
		return fmt.Errorf("wrong first or last waiter")
	}
	return nil
}
