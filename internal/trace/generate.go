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
	// sleeping is the demand of a model at night and on holidays if it doesn't work around the clock.
	sleeping = 0.08
	// aroundTheClockShare is the share of the demand that doesn't sleep, so that nights and holidays halve the demand.
	aroundTheClockShare = 0.45
	// cachedShare is the share of loads that find the checkpoint on the host; cachedSpeedup is how much faster those are.
	cachedShare   = 0.3
	cachedSpeedup = 4
	// morningShare is the share of sleeping models that are asked for when the shift begins.
	morningShare = 0.85
	// gapSigma and workSigma spread the log-normal gaps and service times.
	gapSigma, workSigma = 0.9, 0.5
	medianWork          = 4 * time.Second
	interactiveDeadline = time.Minute
)

// generator holds the state of one generation.
type generator struct {
	profile Profile
	rng     *rand.Rand
	trace   *Trace
}

// Generate returns a trace of a number of days; the same seed gives the same trace.
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

// models draws the models; their demand follows Zipf's law.
func (g *generator) models() {
	p := g.profile
	total := 0.0
	for i := range p.Models {
		total += 1 / float64(i+1)
	}
	awakeShare := 0.0
	for i, rank := range g.rng.Perm(p.Models) {
		share := 1 / float64(rank+1) / total
		awake := awakeShare+share <= aroundTheClockShare
		if awake {
			awakeShare += share
		}
		g.trace.Models = append(g.trace.Models, Model{
			Name:           fmt.Sprintf("model-%03d@1", i),
			ColdStart:      g.logUniform(p.ColdStart),
			MemoryShare:    p.MemoryShareFrom + g.rng.Float64()*(p.MemoryShareTo-p.MemoryShareFrom),
			AroundTheClock: awake,
			Rate:           float64(p.Sessions) * share,
			Gap:            g.logUniform(p.Gap),
		})
	}
}

// sessions draws a model's sessions of one day as a Poisson process whose rate depends on the time.
func (g *generator) sessions(m, d int) {
	p := g.profile
	rate := g.trace.Models[m].Rate / float64(p.DayEnds-p.DayBegins)
	for at := g.exponential(1 / rate); at < day; at += g.exponential(1 / rate) {
		if g.rng.Float64() < g.demand(m, d, at) {
			g.session(m, time.Duration(d)*day+at)
		}
	}
}

// demand is a model's demand at a time of day as a share of its demand in the shift.
func (g *generator) demand(m, d int, at time.Duration) float64 {
	p := g.profile
	night := at < p.DayBegins || at >= p.DayEnds
	if g.trace.Models[m].AroundTheClock || !(night || p.Weekend[d%7]) {
		return 1
	}
	return sleeping
}

// morning draws the first session of a sleeping model at the beginning of a shift.
func (g *generator) morning(m, d int) {
	if g.trace.Models[m].AroundTheClock || g.profile.Weekend[d%7] || g.rng.Float64() >= morningShare {
		return
	}
	g.session(m, time.Duration(d)*day+g.profile.DayBegins+g.exponential(float64(g.profile.MorningSpread)))
}

// session draws the requests of one session; the first ones may come from several callers at once.
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

// interactive adds a request of a waiting caller.
func (g *generator) interactive(m int, at time.Duration) {
	g.add(Request{At: at, Model: m, Interactive: true, Deadline: interactiveDeadline})
}

// batch draws the files that one night hands in for a model.
func (g *generator) batch(m, d int) {
	if g.rng.Float64() >= g.profile.BatchShare {
		return
	}
	for range 3 + g.rng.IntN(8) {
		at := time.Duration(d)*day + g.profile.BatchBegins + time.Duration(g.rng.Int64N(int64(g.profile.BatchWithin)))
		g.add(Request{At: at, Model: m, Deadline: g.uniform(g.profile.BatchDeadline)})
	}
}

// add completes a request and appends it.
func (g *generator) add(r Request) {
	r.Adapter = g.rng.IntN(max(1, g.profile.Adapters))
	r.Work = g.logNormal(medianWork, workSigma)
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
