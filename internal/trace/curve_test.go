package trace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// The cold start weights of the two deployments: the number of idle accelerator seconds that cost as much as one second of
// waiting for a load.
const (
	hashemiteWeight = 15
	tsagaanWeight   = 60
)

var deployments = []struct {
	profile Profile
	weight  float64
}{{Hashemite(), hashemiteWeight}, {Tsagaan(), tsagaanWeight}}

var seeds = []uint64{1, 2, 3, 4, 5}

// fixed is the baseline policy with a fixed keep-alive time, the same for all models.
type fixed time.Duration

func (fixed) Observe(string, time.Time) {}

func (f fixed) Keep(string, time.Time, time.Duration, float64) time.Duration { return time.Duration(f) }

// alwaysOn never unloads a model after its first request.
const alwaysOn = fixed(1000 * day)

var fixedTTLs = []fixed{
	0, fixed(time.Minute), fixed(2 * time.Minute), fixed(5 * time.Minute), fixed(10 * time.Minute), fixed(15 * time.Minute), fixed(20 * time.Minute),
	fixed(30 * time.Minute), fixed(45 * time.Minute), fixed(time.Hour), fixed(90 * time.Minute), fixed(2 * time.Hour), fixed(4 * time.Hour), alwaysOn,
}

// policyPerEngine gives each engine its own policy instance, because agents do not share learned state.
type policyPerEngine struct {
	policies []*idle.Policy
	engineOf map[string]int
}

func newPolicyPerEngine(t *Trace, opts idle.Options) policyPerEngine {
	p := policyPerEngine{engineOf: map[string]int{}}
	for range t.Profile.Engines {
		p.policies = append(p.policies, idle.NewPolicy(opts))
	}
	for i, m := range t.Models {
		p.engineOf[m.Name] = i % t.Profile.Engines
	}
	return p
}

func (p policyPerEngine) Observe(model string, now time.Time) {
	p.policies[p.engineOf[model]].Observe(model, now)
}

func (p policyPerEngine) Keep(model string, now time.Time, coldStart time.Duration, share float64) time.Duration {
	return p.policies[p.engineOf[model]].Keep(model, now, coldStart, share)
}

// weightedPolicy returns the adaptive policy with the given cold start weight.
func weightedPolicy(t *Trace, weight float64) loading.IdlePolicy {
	return newPolicyPerEngine(t, idle.Options{ColdStartWeight: weight, IdleWeight: 1})
}

// batchHold returns the time until which a batch request is held.
func batchHold(model string, now, deadline time.Time, coldStart time.Duration) time.Time {
	return idle.HoldUntil(model, now, deadline, coldStart, idle.HoldOptions{})
}

// coldWaits returns the result with only the waits of the requests that waited for a load.
func coldWaits(r Result) Result {
	r.Waits = r.Waits[len(r.Waits)-r.ColdRequests:]
	return r
}

func policyName(f fixed) string {
	if f == alwaysOn {
		return "always on"
	}
	return "fixed " + time.Duration(f).String()
}

// logRow logs one point of the curve.
func logRow(t *testing.T, tr *Trace, weight float64, name string, r Result) {
	t.Helper()
	days := tr.Length.Hours() / 24
	s := func(p float64) float64 { return r.Percentile(p).Seconds() }
	t.Logf("%-18s | %6.2f | %5.1f %5.1f %5.1f | %5.1f %5.1f | %7.1f | %6.0f %5.0f %3d | %9.0f", name,
		100*float64(r.ColdRequests)/float64(len(r.Waits)), s(0.50), s(0.95), s(0.99), coldWaits(r).Percentile(0.50).Seconds(), coldWaits(r).Percentile(0.95).Seconds(),
		r.IdleSeconds/3600/days, float64(r.Loads)/days, float64(r.BatchLoads)/days, r.BatchLate, r.Cost(weight, 1)/days)
}

const tableHeader = "policy             | cold % | p50 p95 p99 first tok s | cold p50 p95 | idle h/d | wakes/d of batch late | cost/day"

// weightSweep lists cold start weights, from a low one to one that makes idle time almost free.
var weightSweep = []float64{2, 5, 15, 60, 240, 1000}

// bestFixed returns the result with the lowest cost among those of fixedTTLs, and its name.
func bestFixed(results []Result, weight float64) (Result, string) {
	best := 0
	for i, r := range results {
		if r.Cost(weight, 1) < results[best].Cost(weight, 1) {
			best = i
		}
	}
	return results[best], policyName(fixedTTLs[best])
}

// replayFixed replays a trace with each fixed keep-alive time.
func replayFixed(tr *Trace) []Result {
	results := make([]Result, len(fixedTTLs))
	for i, f := range fixedTTLs {
		results[i] = Replay(tr, epoch, f, batchHold)
	}
	return results
}

// logCurve logs all points of the curve of one trace.
func logCurve(t *testing.T, tr *Trace, weight float64, results []Result) {
	t.Helper()
	t.Logf("%s, %s, %d requests, 1 s of waiting costs %g idle accelerator seconds", tr.Profile.Name, tr.Length, len(tr.Requests), weight)
	t.Log(tableHeader)
	for i, r := range results {
		logRow(t, tr, weight, policyName(fixedTTLs[i]), r)
	}
	for _, w := range weightSweep {
		logRow(t, tr, weight, fmt.Sprintf("policy weight %g", w), Replay(tr, epoch, weightedPolicy(tr, w), batchHold))
	}
	logRow(t, tr, weight, "policy, no hold", Replay(tr, epoch, weightedPolicy(tr, weight), nil))
}

// savingPercent returns by how many percent the policy costs less than the best fixed keep-alive time.
func savingPercent(policy Result, results []Result, weight float64) float64 {
	best, _ := bestFixed(results, weight)
	return 100 * (1 - policy.Cost(weight, 1)/best.Cost(weight, 1))
}

// compareWithFixed logs the policy's result and that of the best fixed keep-alive time. It checks that the policy costs no
// more and that no batch request misses its deadline.
func compareWithFixed(t *testing.T, tr *Trace, seed uint64, weight float64, results []Result) float64 {
	t.Helper()
	policy := Replay(tr, epoch, weightedPolicy(tr, weight), batchHold)
	best, bestName := bestFixed(results, weight)
	dominating := 0
	for _, r := range results {
		if r.IdleSeconds <= policy.IdleSeconds && r.Percentile(0.99) <= policy.Percentile(0.99) {
			dominating++
		}
	}
	percent := savingPercent(policy, results, weight)
	t.Logf("%s, %s, seed %d: policy costs %.1f%% less than %s; idle hours %.1f vs %.1f, p95 %.1f vs %.1f s, p99 %.1f vs %.1f s; fixed keep-alive times at least as good in both idle hours and p99: %d",
		tr.Profile.Name, tr.Length, seed, percent, bestName, policy.IdleSeconds/3600, best.IdleSeconds/3600,
		policy.Percentile(0.95).Seconds(), best.Percentile(0.95).Seconds(), policy.Percentile(0.99).Seconds(), best.Percentile(0.99).Seconds(), dominating)
	if percent < 0 {
		t.Errorf("%s, %s, seed %d: %s costs %.1f%% less than the policy", tr.Profile.Name, tr.Length, seed, bestName, -percent)
	}
	if policy.BatchLate > 0 {
		t.Errorf("%s, %s, seed %d: %d batch requests missed their deadline", tr.Profile.Name, tr.Length, seed, policy.BatchLate)
	}
	return percent
}

// TestDayCurve logs tail latency and idle accelerator hours for fixed keep-alive times and for the policy. It checks for
// each seed that the policy's cost at the deployment's weight is at most that of the best fixed keep-alive time. The policy
// starts without history; batch requests are held with fixed keep-alive times too.
func TestDayCurve(t *testing.T) {
	for _, d := range deployments {
		for _, days := range []int{1, 7} {
			t.Run(fmt.Sprintf("%s, %d days", d.profile.Name, days), func(t *testing.T) {
				t.Parallel()
				testCurve(t, d.profile, d.weight, days)
			})
		}
	}
}

// testCurve compares the policy with the fixed keep-alive times for all seeds, at the deployment's weight and at each
// weight of weightSweep.
func testCurve(t *testing.T, profile Profile, weight float64, days int) {
	var savings []float64
	bySweep := make([][]float64, len(weightSweep))
	for i, seed := range seeds {
		tr := Generate(profile, days, seed)
		results := replayFixed(tr)
		if i == 0 {
			logCurve(t, tr, weight, results)
		}
		savings = append(savings, compareWithFixed(t, tr, seed, weight, results))
		for j, w := range weightSweep {
			percent := savings[i]
			if w != weight {
				percent = savingPercent(Replay(tr, epoch, weightedPolicy(tr, w), batchHold), results, w)
			}
			bySweep[j] = append(bySweep[j], percent)
		}
	}
	t.Logf("%s, %d days, %d seeds: saving %.1f%% to %.1f%%", profile.Name, days, len(seeds), slices.Min(savings), slices.Max(savings))
	for j, w := range weightSweep {
		t.Logf("%s, %d days, weight %g: saving %.1f%% to %.1f%%", profile.Name, days, w, slices.Min(bySweep[j]), slices.Max(bySweep[j]))
	}
}

// TestGenerate checks that a trace is deterministic for a seed and ordered by arrival time, that demand is halved at night
// and on holidays, and that there is a burst at the start of the shift.
func TestGenerate(t *testing.T) {
	for _, d := range deployments {
		for _, seed := range seeds {
			p := d.profile
			tr := Generate(p, 14, seed)
			if again := Generate(p, 14, seed); !slices.Equal(tr.Requests, again.Requests) || !slices.Equal(tr.Models, again.Models) {
				t.Fatalf("%s: seed %d generates different traces", p.Name, seed)
			}
			var working, night, holiday, burst float64
			for i, r := range tr.Requests {
				if i > 0 && r.At < tr.Requests[i-1].At {
					t.Fatalf("%s: request %d is out of order", p.Name, i)
				}
				at, weekend := r.At%day, p.Weekend[int(r.At/day)%7]
				switch {
				case !r.Interactive:
				case weekend:
					holiday++
				case at < p.DayBegins || at >= p.DayEnds:
					night++
				case at < p.DayBegins+30*time.Minute:
					burst++
				default:
					working++
				}
			}
			shift := (p.DayEnds - p.DayBegins - 30*time.Minute).Hours()
			perHour := working / 10 / shift
			nightRatio := night / 10 / (24 - shift - 0.5) / perHour
			holidayRatio := holiday / 4 / 24 / perHour
			burstRatio := burst / 10 / 0.5 / perHour
			t.Logf("%s seed %d: demand relative to the shift: night %.2f, holidays %.2f, first half hour %.2f", p.Name, seed, nightRatio, holidayRatio, burstRatio)
			if nightRatio < 0.35 || nightRatio > 0.65 || holidayRatio < 0.35 || holidayRatio > 0.65 || burstRatio < 1.2 {
				t.Errorf("%s seed %d: demand is not halved at night and on holidays, or there is no morning burst", p.Name, seed)
			}
		}
	}
}
