package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slownessRise and slownessFall are the weights of a sample above and below the slowness so far: trouble counts
	// sooner than recovery.
	slownessRise = 0.5
	slownessFall = 0.1
	// The memory of a slow endpoint fades, so that one that is never chosen is tried again. Its half-life is at least
	// minSlownessHalfLife, and longer where a trial is dear: trialShare times the first byte's time that was seen last.
	minSlownessHalfLife = time.Minute
	trialShare          = 20
	// maxSlowness bounds the factor that single samples may show.
	maxSlowness = 100.0
	// referenceStep is the share by which a sample moves the reference towards the median.
	referenceStep = 0.05
	// firstReference is the time to the first byte that is believed before any was seen.
	firstReference = 100 * time.Millisecond
	// probePatience is how long a probe without a report keeps others away.
	probePatience = 10 * time.Second
	// maxReferences bounds the targets with a reference of their own.
	maxReferences = 4096
)

// Observation is what the entry saw of one attempt. Attempts that ended because the caller went away are not reported.
type Observation struct {
	Endpoint string
	// Target names what was asked for; targets are compared only with themselves.
	Target  string
	Outcome Outcome
	// Expected is the wait that the candidate reported when it was picked, and FirstByte the time from the offer to the
	// first byte of the answer; 0 when none came.
	Expected, FirstByte time.Duration
	// Cold is set when the request waited for a load; its time says nothing of the endpoint's speed.
	Cold bool
}

// isFailure reports whether the outcome speaks against the endpoint. A refusal does not: the agent is there and says what
// it cannot do now.
func (o Outcome) isFailure() bool {
	return o == OutcomeNotSent || o == OutcomeBroken || o == OutcomeCut || o == OutcomeFailedClean
}

// health is what was observed of one endpoint.
type health struct {
	// slowness is how many times longer than told its first bytes take, as of observed; it fades with a half-life.
	slowness float64
	observed time.Time
	halfLife time.Duration
	// failures counts failures in a row; at the bound the endpoint is ejected until a time, each time for longer.
	failures     int
	ejectedUntil time.Time
	ejectFor     time.Duration
	// probed is when the one request was sent that tries an ejected endpoint.
	probed time.Time
}

// healthBook holds what was observed of all endpoints.
//
// An endpoint's reports may be wrong: an engine that is ten times slower than it says, or whose process hangs, reports
// little load and draws the traffic of every router that believes it. So its observed times to the first byte are
// compared with what it told and with what the others need, and its cost is multiplied by the ratio.
type healthBook struct {
	options    Options
	random     *rand.Rand
	endpoints  map[string]*health
	references map[string]time.Duration
	// typical is the reference over all targets.
	typical time.Duration
}

func newHealthBook(options Options, random *rand.Rand) healthBook {
	return healthBook{
		options:    options,
		random:     random,
		endpoints:  make(map[string]*health),
		references: make(map[string]time.Duration),
		typical:    firstReference,
	}
}

func (b *healthBook) of(endpoint string) *health {
	h := b.endpoints[endpoint]
	if h == nil {
		h = &health{slowness: 1, halfLife: minSlownessHalfLife}
		b.endpoints[endpoint] = h
	}
	return h
}

func (b *healthBook) forget(endpoint string) { delete(b.endpoints, endpoint) }

// slowness returns an endpoint's slowness, faded by the time since it was observed.
func (b *healthBook) slowness(now time.Time, endpoint string) float64 {
	h := b.endpoints[endpoint]
	if h == nil {
		return 1
	}
	age := max(0, now.Sub(h.observed))
	return math.Pow(h.slowness, math.Exp2(-float64(age)/float64(h.halfLife)))
}

func (b *healthBook) observe(now time.Time, o Observation) {
	h := b.of(o.Endpoint)
	h.probed = time.Time{}
	switch {
	case o.Outcome == OutcomeServed:
		h.failures, h.ejectFor = 0, 0
		h.ejectedUntil = time.Time{}
	case o.Outcome.isFailure():
		b.failed(now, h)
	}
	if o.FirstByte > 0 && !o.Cold {
		b.timed(now, h, o)
	}
}

// failed counts a failure, and ejects the endpoint at the bound. A hanging endpoint would otherwise cost each request its
// patience; ejected it costs one probe now and then.
func (b *healthBook) failed(now time.Time, h *health) {
	h.failures++
	if h.failures < b.options.FailuresToEject {
		return
	}
	h.ejectFor = min(max(2*h.ejectFor, b.options.EjectFor), b.options.MaxEjectFor)
	jitter := time.Duration(b.random.Int64N(int64(h.ejectFor)/4 + 1))
	h.ejectedUntil = now.Add(h.ejectFor + jitter)
}

// timed compares a time to the first byte with what was told and what the others need.
func (b *healthBook) timed(now time.Time, h *health, o Observation) {
	reference := b.refer(o)
	ratio := float64(o.FirstByte) / float64(o.Expected+reference)
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	current := b.slowness(now, o.Endpoint)
	weight := slownessFall
	if ratio > current {
		weight = slownessRise
	}
	h.slowness = current + weight*(ratio-current)
	h.observed = now
	h.halfLife = max(minSlownessHalfLife, trialShare*o.FirstByte)
}

// refer moves the references towards a sample and returns the target's. They follow the median, which a few slow
// endpoints do not move.
func (b *healthBook) refer(o Observation) time.Duration {
	sample := max(o.FirstByte-o.Expected, time.Microsecond)
	b.typical = towards(b.typical, sample)
	reference, ok := b.references[o.Target]
	switch {
	case ok:
		reference = towards(reference, sample)
	case len(b.references) >= maxReferences:
		return b.typical
	default:
		reference = sample
	}
	b.references[o.Target] = reference
	return reference
}

func towards(reference, sample time.Duration) time.Duration {
	step := max(time.Duration(float64(reference)*referenceStep), 1)
	if sample > reference {
		return reference + step
	}
	return max(reference-step, time.Microsecond)
}

// admits reports whether an endpoint may get a request: it is not ejected, or its time is over and no probe is under way.
func (b *healthBook) admits(now time.Time, endpoint string) bool {
	h := b.endpoints[endpoint]
	if h == nil || h.failures < b.options.FailuresToEject {
		return true
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	return h.probed.IsZero() || now.Sub(h.probed) >= probePatience
}

// picked notes a probe of an endpoint that was ejected.
func (b *healthBook) picked(now time.Time, endpoint string) {
	if h := b.endpoints[endpoint]; h != nil && h.failures >= b.options.FailuresToEject {
		h.probed = now
	}
}
