package permits

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"balsamsail/internal/wire/wirepb"
)

// ask returns a request for weights.
func ask(id string, slack time.Duration) *wirepb.PermitRequest {
	return &wirepb.PermitRequest{Id: id, Kind: wirepb.PermitKind_WEIGHTS, Model: "m@1", SlackMicros: slack.Microseconds()}
}

// granted returns the ids of the permits among the answers.
func granted(grants []Grant) []string {
	var ids []string
	for _, g := range grants {
		if g.Permit.GetValidMicros() > 0 {
			ids = append(ids, g.Permit.GetId())
		}
	}
	return ids
}

func TestBudget(t *testing.T) {
	opts := Options{LoadsAtOnce: 1, MaxAdapterLoads: 1, Lease: 10 * time.Second, StartWithin: 2 * time.Second}
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	oneSecondLoads := func(o *Options) { o.LoadsPerSecond = 1 }
	cases := []struct {
		name string
		opts func(*Options)
		// play drives the budget and returns the last answers; want are the ids of the permits among them.
		play func(*Budget) []Grant
		want []string
	}{
		{name: "least slack first", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Request(at(0), "e2", ask("b", time.Second))
			return b.Decide(at(0))
		}},
		{name: "a late request goes behind one that would become late", want: []string{"b"}, opts: oneSecondLoads, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", -time.Second))
			b.Request(at(0), "e2", ask("b", 1500*time.Millisecond))
			return b.Decide(at(0))
		}},
		{name: "a late request goes before one that can wait", want: []string{"a"}, opts: oneSecondLoads, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", -time.Second))
			b.Request(at(0), "e2", ask("b", 3*time.Second))
			return b.Decide(at(0))
		}},
		{name: "prefetch goes last", want: []string{"a"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Hour))
			prefetch := ask("b", time.Second)
			prefetch.Prefetch = true
			b.Request(at(0), "e2", prefetch)
			return b.Decide(at(0))
		}},
		{name: "Done frees the share of a load", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Request(at(0), "e2", ask("b", time.Hour))
			b.Decide(at(0))
			b.Done(at(1), "e1", "a")
			return b.Decide(at(1))
		}},
		{name: "the rate spaces the starts", want: nil, opts: func(o *Options) { o.LoadsAtOnce, o.LoadsPerSecond = 2, 2.5 }, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.Request(at(0.39), "e2", ask("b", time.Minute))
			return b.Decide(at(0.39))
		}},
		{name: "the rate allows the start at the time returned by Next", want: []string{"b"}, opts: func(o *Options) { o.LoadsAtOnce, o.LoadsPerSecond = 2, 2.5 }, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Request(at(0), "e2", ask("b", time.Minute))
			b.Decide(at(0))
			return b.Decide(b.Next())
		}},
		{name: "the permit of a vanished agent expires with its lease", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.Request(at(9), "e2", ask("b", time.Minute))
			b.Decide(at(9))
			return b.Decide(at(10))
		}},
		{name: "reports renew the lease", want: nil, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.InFlight(at(5), "e1", 1, 0)
			b.Request(at(12), "e2", ask("b", time.Minute))
			return b.Decide(at(12))
		}},
		{name: "Done ends a renewed permit at once", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.InFlight(at(5), "e1", 1, 0)
			b.Request(at(12), "e2", ask("b", time.Minute))
			b.Decide(at(12))
			b.Done(at(12), "e1", "a")
			return b.Decide(at(12))
		}},
		{name: "a report replaces a lost Done", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.InFlight(at(2.5), "e1", 0, 0)
			b.Request(at(3), "e2", ask("b", time.Minute))
			return b.Decide(at(3))
		}},
		{name: "a report older than the start does not end the permit", want: nil, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.InFlight(at(0.5), "e1", 0, 0)
			b.Request(at(1), "e2", ask("b", time.Minute))
			return b.Decide(at(1))
		}},
		{name: "a new issuer counts the loads in reports", want: nil, play: func(b *Budget) []Grant {
			b.InFlight(at(0), "e1", 1, 0)
			b.Request(at(0), "e2", ask("b", time.Minute))
			return b.Decide(at(0))
		}},
		{name: "a host that is gone frees its share", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.InFlight(at(0), "e1", 1, 0)
			b.Request(at(0), "e2", ask("b", time.Minute))
			b.Decide(at(0))
			b.AgentGone(at(1), "e1")
			return b.Decide(at(1))
		}},
		{name: "a lost permit is sent again", want: []string{"a"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Decide(at(0))
			b.Request(at(1), "e1", ask("a", time.Minute))
			return b.Decide(at(1))
		}},
		{name: "a request that is not repeated expires", want: nil, play: func(b *Budget) []Grant {
			b.InFlight(at(0), "e1", 1, 0)
			b.Request(at(0), "e2", ask("b", time.Minute))
			b.Decide(at(0))
			return b.Decide(at(14))
		}},
		{name: "a raised limit serves waiting requests", want: []string{"b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Request(at(0), "e2", ask("b", time.Hour))
			b.Decide(at(0))
			b.SetLimits(Options{LoadsAtOnce: 2, MaxAdapterLoads: 1})
			return b.Decide(at(1))
		}},
		{name: "an undeclared limit means unlimited", want: []string{"a", "b"}, opts: func(o *Options) { o.LoadsAtOnce = 0 }, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			b.Request(at(0), "e2", ask("b", time.Hour))
			return b.Decide(at(0))
		}},
		{name: "adapters have their own limit", want: []string{"a", "b"}, play: func(b *Budget) []Grant {
			b.Request(at(0), "e1", ask("a", time.Minute))
			adapter := ask("b", time.Minute)
			adapter.Kind = wirepb.PermitKind_ADAPTER
			b.Request(at(0), "e2", adapter)
			return b.Decide(at(0))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := opts
			if c.opts != nil {
				c.opts(&o)
			}
			got := granted(c.play(NewBudget(o)))
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("permits %v, want %v", got, c.want)
			}
		})
	}
}

// check verifies the budget's totals against its parts and against the bounds.
func check(b *Budget) error {
	var used [numKinds]int
	for _, a := range b.accounts {
		for k := range numKinds {
			used[k] += a.used(k)
		}
	}
	waiting := len(b.queues[weights].items) + len(b.queues[adapters].items)
	switch {
	case used != b.used:
		return fmt.Errorf("total %v, sum of the accounts %v", b.used, used)
	case waiting != len(b.requests):
		return fmt.Errorf("%d requests in the queues, %d in the map", waiting, len(b.requests))
	case len(b.requests) > b.opts.MaxPending:
		return fmt.Errorf("%d requests wait, bound %d", len(b.requests), b.opts.MaxPending)
	case len(b.durations.byModel) > b.opts.MaxPending:
		return fmt.Errorf("%d models remembered, bound %d", len(b.durations.byModel), b.opts.MaxPending)
	}
	return nil
}

// randomEvent applies one random event to the budget and returns the key if it was a request, zero otherwise.
func randomEvent(b *Budget, rng *rand.Rand, now time.Time) requestKey {
	key := requestKey{fmt.Sprintf("e%d", rng.IntN(12)), fmt.Sprint(rng.IntN(6))}
	switch rng.IntN(10) {
	case 0, 1, 2, 3, 4:
		req := ask(key.id, time.Duration(rng.IntN(60)-10)*time.Second)
		req.Model = fmt.Sprint("m", rng.IntN(100))
		req.Kind = wirepb.PermitKind(rng.IntN(3))
		req.Prefetch = rng.IntN(4) == 0
		b.Request(now, key.agent, req)
		return key
	case 5, 6:
		b.Done(now, key.agent, key.id)
	case 7, 8:
		b.InFlight(now, key.agent, rng.IntN(3), rng.IntN(5))
	case 9:
		b.AgentGone(now, key.agent)
	}
	return requestKey{}
}

// held returns the keys of the permits of one kind.
func held(b *Budget, k kind) map[requestKey]bool {
	keys := map[requestKey]bool{}
	for agent, a := range b.accounts {
		for _, p := range a.permits[k] {
			keys[requestKey{agent, p.id}] = true
		}
	}
	return keys
}

// decideAndCheck calls Decide and verifies the answers; asked is the request that must be answered, or zero.
func decideAndCheck(b *Budget, now time.Time, lastStart *time.Time, asked requestKey) error {
	before := [numKinds]map[requestKey]bool{held(b, weights), held(b, adapters)}
	answered := asked == requestKey{}
	for _, g := range b.Decide(now) {
		answered = answered || asked == requestKey{g.Agent, g.Permit.GetId()}
		if (g.Permit.GetValidMicros() > 0) == (g.Permit.GetRetryAfterMicros() > 0) {
			return fmt.Errorf("answer is not exactly one of a permit and a retry delay: %v", g.Permit)
		}
	}
	if !answered {
		return fmt.Errorf("request %v got no answer", asked)
	}
	for k := range numKinds {
		after := held(b, k)
		maps.DeleteFunc(after, func(key requestKey, _ bool) bool { return before[k][key] })
		if len(after) > 0 && b.used[k] > b.limit(k) {
			return fmt.Errorf("granted above the limit: kind %d, %d of %d", k, b.used[k], b.limit(k))
		}
		if k == adapters || len(after) == 0 {
			continue
		}
		if len(after) > 1 || now.Sub(*lastStart) < b.opts.spacing() {
			return fmt.Errorf("%d starts at %s, the one before at %s", len(after), now, *lastStart)
		}
		*lastStart = now
	}
	return check(b)
}

// The properties hold after each step of a random history, and once everything has expired no state is left.
func TestBudgetProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260105)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("limits, answers, expiry and bounds", prop.ForAll(func(seed uint64) (bool, error) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := NewBudget(Options{LoadsPerSecond: 2.5, LoadsAtOnce: 4, MaxAdapterLoads: 6, MaxPending: 20})
		now, lastStart := epoch, time.Time{}
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
			asked := randomEvent(b, rng, now)
			if err := decideAndCheck(b, now, &lastStart, asked); err != nil {
				return false, err
			}
			if next := b.Next(); !next.IsZero() && next.Before(now) {
				return false, fmt.Errorf("next %s is before now %s", next, now)
			}
		}
		for next := b.Next(); !next.IsZero(); next = b.Next() {
			b.Decide(next)
		}
		if len(b.requests)+len(b.accounts) > 0 {
			return false, fmt.Errorf("after all expiries %d requests and %d agents are left", len(b.requests), len(b.accounts))
		}
		return true, nil
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func BenchmarkBudget(b *testing.B) {
	for _, pending := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("pending=", pending), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			budget := NewBudget(Options{LoadsPerSecond: 1e6, LoadsAtOnce: 4, MaxAdapterLoads: 30, MaxPending: pending + 8, Lease: time.Hour})
			keys := make([]string, pending)
			for i := range keys {
				keys[i] = fmt.Sprintf("engine-%05d", i)
				budget.Request(epoch, keys[i], ask("1", time.Duration(rng.IntN(3600))*time.Second))
			}
			budget.Decide(epoch)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				agent := keys[i%pending]
				budget.Done(now, agent, "1")
				budget.Request(now, agent, ask("1", time.Duration(rng.IntN(3600))*time.Second))
				budget.Decide(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(pending), "B/pending")
		})
	}
}
