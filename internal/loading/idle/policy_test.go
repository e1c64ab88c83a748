package idle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// trainedPolicy returns a policy that has observed requests of a model with the given gaps, and the time of the last
// one.
func trainedPolicy(opts Options, model string, gaps ...time.Duration) (*Policy, time.Time) {
	p := NewPolicy(opts)
	now := epoch
	p.Observe(model, now)
	for _, gap := range gaps {
		now = now.Add(gap)
		p.Observe(model, now)
	}
	return p, now
}

// repeat returns n copies of a gap.
func repeat(gap time.Duration, n int) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}

func TestKeep(t *testing.T) {
	const coldStart, share = 20 * time.Second, 0.25
	weights := Options{ColdStartWeight: 15, IdleWeight: 1} // A cold start costs as much as 20 idle minutes.
	cases := []struct {
		name     string
		opts     Options
		gaps     []time.Duration
		after    time.Duration
		from, to time.Duration
	}{
		{name: "keeps through gaps that are cheaper than a cold start", opts: weights, gaps: repeat(5*time.Minute, 50), from: 5 * time.Minute, to: 10 * time.Minute},
		{name: "unloads at once if the gaps cost more", opts: weights, gaps: repeat(3*time.Hour, 50), from: 0, to: time.Minute},
		{name: "keeps through the gaps within a session but not between sessions", opts: weights,
			gaps: append(repeat(time.Minute, 100), repeat(4*time.Hour, 20)...), from: time.Minute, to: 3 * time.Minute},
		{name: "does not keep a model that only held requests have loaded", opts: weights, gaps: repeat(5*time.Minute, 50), after: 6 * time.Hour, from: 0, to: 0},
		{name: "zero cold start weight unloads at once", opts: Options{IdleWeight: 1}, gaps: repeat(5*time.Minute, 50), from: 0, to: 0},
		{name: "zero idle weight keeps for Max", opts: Options{ColdStartWeight: 1, Max: time.Hour}, gaps: repeat(5*time.Minute, 50), from: time.Hour, to: time.Hour},
		{name: "bounded by Min", opts: Options{IdleWeight: 1, Min: time.Minute}, gaps: repeat(5*time.Minute, 50), from: time.Minute, to: time.Minute},
		{name: "bounded by Max", opts: Options{ColdStartWeight: 1e9, IdleWeight: 1, Max: time.Minute}, gaps: repeat(5*time.Minute, 50), from: time.Minute, to: time.Minute},
		{name: "a model without gaps is kept for less than the cost of a cold start", opts: weights, from: time.Second, to: 20 * time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, last := trainedPolicy(c.opts, "m@1", c.gaps...)
			got := p.Keep("m@1", last.Add(c.after), coldStart, share)
			if got < c.from || got > c.to {
				t.Errorf("kept for %s, want %s to %s", got, c.from, c.to)
			}
		})
	}
}

// A slow load or a small model must be kept longer, and a model with few requests must use the gaps of all models.
func TestKeepFollowsCostAndNeighbours(t *testing.T) {
	weights := Options{ColdStartWeight: 15, IdleWeight: 1}
	p, last := trainedPolicy(weights, "m@1", repeat(12*time.Minute, 50)...)
	if fast, slow := p.Keep("m@1", last, 5*time.Second, 0.25), p.Keep("m@1", last, 40*time.Second, 0.25); fast >= slow {
		t.Errorf("kept for %s with a fast load, %s with a slow one", fast, slow)
	}
	if large, small := p.Keep("m@1", last, 10*time.Second, 1), p.Keep("m@1", last, 10*time.Second, 0.05); large >= small {
		t.Errorf("kept for %s with a large memory share, %s with a small one", large, small)
	}
	alone := NewPolicy(weights).Keep("new@1", last, 20*time.Second, 0.25)
	borrowed := p.Keep("new@1", last, 20*time.Second, 0.25)
	if alone >= 12*time.Minute || borrowed < 12*time.Minute {
		t.Errorf("a new model is kept for %s with other models' gaps of 12m, for %s without", borrowed, alone)
	}
}

// Declared weights may arrive and change while the policy runs. Without them it must neither unload immediately nor
// keep models forever.
func TestSetWeights(t *testing.T) {
	p, last := trainedPolicy(Options{}, "m@1", repeat(12*time.Minute, 50)...)
	keep := func() time.Duration { return p.Keep("m@1", last, 20*time.Second, 0.25) }
	if got := keep(); got < 12*time.Minute || got > 20*time.Minute {
		t.Errorf("kept for %s without declared weights", got)
	}
	p.SetWeights(2, 1)
	if got := keep(); got > time.Minute {
		t.Errorf("kept for %s with a low cold start weight", got)
	}
	p.SetWeights(0, 0)
	if got := keep(); got < 12*time.Minute {
		t.Errorf("kept for %s after the weights were withdrawn", got)
	}
}

// After several half-lives a model must be judged by its recent gaps, even if older ones are far more numerous.
func TestKeepForgets(t *testing.T) {
	gaps := append(repeat(time.Minute, 2000), repeat(6*time.Hour, 120)...)
	p, last := trainedPolicy(Options{ColdStartWeight: 15, IdleWeight: 1, HalfLife: 24 * time.Hour}, "m@1", gaps...)
	if got := p.Keep("m@1", last, 20*time.Second, 0.25); got >= time.Minute {
		t.Errorf("kept for %s after a month of gaps of 6h", got)
	}
}

// The keep time stays within its bounds and is constant while the model is idle; the history stays within MaxModels.
func TestKeepProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260105)
	properties := gopter.NewProperties(parameters)
	properties.Property("bounded, stable while idle", prop.ForAll(func(seed uint64) (bool, error) {
		rng := rand.New(rand.NewPCG(seed, 3))
		opts := Options{ColdStartWeight: math.Exp(rng.Float64() * 8), IdleWeight: rng.Float64(), Min: time.Second, Max: 8 * time.Hour, MaxModels: 5}
		p := NewPolicy(opts)
		now := epoch
		for range 300 {
			now = now.Add(time.Duration(math.Exp(rng.Float64()*11) * float64(time.Second)))
			p.Observe(fmt.Sprint("m", rng.IntN(8)), now)
		}
		if len(p.models) > opts.MaxModels {
			return false, fmt.Errorf("%d models remembered", len(p.models))
		}
		for model, h := range p.models {
			keep := p.Keep(model, h.last, 20*time.Second, 0.3)
			if keep < opts.Min || keep > opts.Max {
				return false, fmt.Errorf("%s kept for %s", model, keep)
			}
			if again := p.Keep(model, h.last.Add(keep), 20*time.Second, 0.3); again != keep {
				return false, fmt.Errorf("%s kept for %s, then for %s", model, keep, again)
			}
		}
		return true, nil
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestHoldUntil(t *testing.T) {
	cases := []struct {
		name              string
		opts              HoldOptions
		deadline          time.Duration
		load              time.Duration
		earliest, longest time.Duration
	}{
		{name: "holds for 50% to 90% of the slack", deadline: 8 * time.Hour, load: 30 * time.Second, earliest: 230 * time.Minute, longest: 430 * time.Minute},
		{name: "leaves Margin before the deadline", deadline: 12 * time.Minute, load: time.Second, earliest: time.Minute, longest: 2 * time.Minute},
		{name: "leaves MarginLoads times a slow load", deadline: 20 * time.Minute, load: 3 * time.Minute, earliest: time.Minute, longest: 2 * time.Minute},
		{name: "a request with a short deadline is not held", deadline: 5 * time.Minute, load: time.Second},
		{name: "a request past its deadline is not held", deadline: -time.Minute, load: time.Second},
		{name: "bounded by MaxHold", opts: HoldOptions{MaxHold: time.Hour}, deadline: 8 * time.Hour, load: time.Second, earliest: time.Hour, longest: time.Hour},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range 100 {
				held := HoldUntil(fmt.Sprint("m", i), epoch, epoch.Add(c.deadline), c.load, c.opts).Sub(epoch)
				if held < c.earliest || held > c.longest {
					t.Errorf("held for %s, want %s to %s", held, c.earliest, c.longest)
				}
			}
		})
	}
}

func BenchmarkPolicy(b *testing.B) {
	for _, models := range []int{51, 500, 2_700} {
		b.Run(fmt.Sprint("models=", models), func(b *testing.B) {
			var before, after runtime.MemStats
			names := make([]string, models)
			for i := range names {
				names[i] = fmt.Sprintf("model-%04d@1", i)
			}
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := NewPolicy(Options{ColdStartWeight: 15, IdleWeight: 1})
			for _, name := range names {
				p.Observe(name, epoch)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Second)
				p.Observe(names[i%models], now)
				p.Keep(names[i%models], now, 20*time.Second, 0.25)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(models), "B/model")
		})
	}
}
