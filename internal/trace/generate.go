package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	day = 24 * time.Hour
	// offHoursDemand is the relative demand at night and on holidays for a model that is not used around the clock.
	offHoursDemand = 0.08
	// aroundTheClockShare is the share of demand for models used around the clock. It makes total demand at night and on
	// holidays about half of that in the shift.
	aroundTheClockShare = 0.45
	// cachedShare is the share of loads that find the checkpoint cached on the host; cachedSpeedup is their speedup.
	cachedShare   = 0.3
	cachedSpeedup = 4
	// morningBurstShare is the share of models not used around the clock that get requests when the shift begins.
	morningBurstShare = 0.85
	// gapSigma and serviceTimeSigma are the sigmas of the log-normal gaps and service times.
	gapSigma, serviceTimeSigma = 0.9, 0.5
	medianServiceTime          = 4 * time.Second
	interactiveDeadline        = time.Minute
)

// generator holds the state of generating one trace.
type generator struct {
	profile Profile
	rng     *rand.Rand
	trace   *Trace
}

// Generate returns a trace of the given number of days. The same seed gives the same trace.
func Generate(p Profile, days int, seed uint64) *Trace {
	g := &generator{
		profile: p,
		rng:     rand.New(rand.NewPCG(seed, uint64(p.Models))),
		trace:   &Trace{Profile: p, Length: time.Duration(days) * day},
	}
	g.models()
	for m := range g.trace.Models {
		for d := range days {
			g.sessions(m, d)
			g.morning(m, d)
			g.batch(m, d)
		}
	}
	g.trace.Requests = slices.DeleteFunc(g.trace.Requests, func(r Request) bool { return r.At >= g.trace.Length })
	slices.SortStableFunc(g.trace.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return g.trace
}

// models generates the models. Their demand follows Zipf's law.
func (g *generator) models() {
	p := g.profile
	total := 0.0
	for i := range p.Models {
		total += 1 / float64(i+1)
	}
	alwaysActiveShare := 0.0
	for i, rank := range g.rng.Perm(p.Models) {
		share := 1 / float64(rank+1) / total
		alwaysActive := alwaysActiveShare+share <= aroundTheClockShare
		if alwaysActive {
			alwaysActiveShare += share
		}
		g.trace.Models = append(g.trace.Models, Model{
			Name:           fmt.Sprintf("model-%03d@1", i),
			ColdStart:      g.logUniform(p.ColdStart),
			MemoryShare:    p.MemoryShareFrom + g.rng.Float64()*(p.MemoryShareTo-p.MemoryShareFrom),
			AroundTheClock: alwaysActive,
			Rate:           float64(p.Sessions) * share,
			Gap:            g.logUniform(p.Gap),
		})
	}
}

// sessions generates a model's sessions of one day as a Poisson process with a time-dependent rate.
func (g *generator) sessions(m, d int) {
	p := g.profile
	rate := g.trace.Models[m].Rate / float64(p.DayEnds-p.DayBegins)
	for at := g.exponential(1 / rate); at < day; at += g.exponential(1 / rate) {
		if g.rng.Float64() < g.demand(m, d, at) {
			g.session(m, time.Duration(d)*day+at)
		}
	}
}

// demand returns a model's demand at a time of day, relative to its demand in the shift.
func (g *generator) demand(m, d int, at time.Duration) float64 {
	p := g.profile
	night := at < p.DayBegins || at >= p.DayEnds
	if g.trace.Models[m].AroundTheClock || !(night || p.Weekend[d%7]) {
		return 1
	}
	return offHoursDemand
}

// morning generates the first session of the shift for a model that is not used around the clock.
func (g *generator) morning(m, d int) {
	if g.trace.Models[m].AroundTheClock || g.profile.Weekend[d%7] || g.rng.Float64() >= morningBurstShare {
		return
	}
	g.session(m, time.Duration(d)*day+g.profile.DayBegins+g.exponential(float64(g.profile.MorningSpread)))
}

// session generates the requests of one session, which starts with nearly simultaneous requests of one to three callers.
func (g *generator) session(m int, at time.Duration) {
	callers := 1 + g.rng.IntN(3)
	for range callers {
		g.interactive(m, at+time.Duration(g.rng.Int64N(int64(2*time.Second))))
	}
	for g.rng.Float64() < 1-1/g.profile.SessionLength {
		at += g.logNormal(g.trace.Models[m].Gap, gapSigma)
		g.interactive(m, at)
	}
}

// interactive adds an interactive request.
func (g *generator) interactive(m int, at time.Duration) {
	g.add(Request{At: at, Model: m, Interactive: true, Deadline: interactiveDeadline})
}

// batch generates a model's batch requests of one night.
func (g *generator) batch(m, d int) {
	if g.rng.Float64() >= g.profile.BatchShare {
		return
	}
	for range 3 + g.rng.IntN(8) {
		at := time.Duration(d)*day + g.profile.BatchBegins + time.Duration(g.rng.Int64N(int64(g.profile.BatchWithin)))
		g.add(Request{At: at, Model: m, Deadline: g.uniform(g.profile.BatchDeadline)})
	}
}

// add sets the remaining fields of a request at random and appends it to the trace.
func (g *generator) add(r Request) {
	r.Adapter = g.rng.IntN(max(1, g.profile.Adapters))
	r.ServiceTime = g.logNormal(medianServiceTime, serviceTimeSigma)
	r.Cached = g.rng.Float64() < cachedShare
	g.trace.Requests = append(g.trace.Requests, r)
}

func (g *generator) uniform(s Span) time.Duration {
	return s.From + time.Duration(g.rng.Int64N(int64(s.To-s.From)+1))
}

func (g *generator) logUniform(s Span) time.Duration {
	return time.Duration(float64(s.From) * math.Pow(float64(s.To)/float64(s.From), g.rng.Float64()))
}

func (g *generator) logNormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*g.rng.NormFloat64()))
}

func (g *generator) exponential(mean float64) time.Duration {
	return time.Duration(mean * g.rng.ExpFloat64())
}
