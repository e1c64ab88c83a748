package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slownessRise and slownessFall are the weights of a sample above and below the current slowness: an increase takes
	// effect sooner than a recovery.
	slownessRise = 0.5
	slownessFall = 0.1
	// Slowness decays, so that an endpoint that is never chosen is tried again some time. Its half-life is
	// halfLifeFactor times the last time to the first byte, because trying a slower endpoint costs more, but at least
	// minSlownessHalfLife.
	minSlownessHalfLife = time.Minute
	halfLifeFactor      = 20
	// maxSlowness bounds the slowness ratio of a single sample.
	maxSlowness = 100.0
	// referenceStep is the relative step by which a sample moves a target's typical time to the first byte towards the
	// median.
	referenceStep = 0.05
	// initialReference is the assumed time to the first byte before the first sample.
	initialReference = 100 * time.Millisecond
	// probeTimeout is how long a probe without an outcome prevents another probe.
	probeTimeout = 10 * time.Second
	// maxReferences bounds the number of targets that have a reference of their own.
	maxReferences = 4096
)

// Observation is what the entry observed of one attempt. Attempts that ended because the caller disconnected are not
// reported.
type Observation struct {
	Endpoint string
	// Target identifies the model or service; times are only compared within a target.
	Target  string
	Outcome Outcome
	// Expected is the queueing time that the candidate reported when it was picked. FirstByte is the time from the
	// offer to the first byte of the answer; 0 if none arrived.
	Expected, FirstByte time.Duration
	// Cold is set if the request waited for a model load; its time then doesn't reflect the endpoint's speed.
	Cold bool
}

// isFailure reports whether the outcome counts as a failure of the endpoint. A refusal doesn't: the agent works and
// states what it cannot do at the moment.
func (o Outcome) isFailure() bool {
	return o == OutcomeNotSent || o == OutcomeUnknown || o == OutcomeTruncated || o == OutcomeFailedNotRun
}

// health holds the observations of one endpoint.
type health struct {
	// slowness is the ratio of the observed to the expected time to the first byte as of observedAt; it decays with
	// halfLife.
	slowness   float64
	observedAt time.Time
	halfLife   time.Duration
	// failures counts consecutive failures. At Options.FailuresToEject the endpoint is ejected until ejectedUntil;
	// ejectFor doubles with each failed probe.
	failures     int
	ejectedUntil time.Time
	ejectFor     time.Duration
	// probedAt is when the single probe request was sent to the ejected endpoint; zero if none is in flight.
	probedAt time.Time
}

// healthTracker holds the observations of all endpoints.
//
// An endpoint's load reports may be wrong: an engine that is ten times slower than it reports, or whose process hangs,
// reports little load and attracts the traffic of every router that relies on the report. Its observed times to the
// first byte are therefore compared with its reports and with the times of the other endpoints, and its cost is
// multiplied by the ratio.
type healthTracker struct {
	options   Options
	random    *rand.Rand
	endpoints map[string]*health
	// references holds the typical time to the first byte per target, without the expected queueing time.
	references map[string]time.Duration
	// typicalFirstByte is the reference over all targets.
	typicalFirstByte time.Duration
}

func newHealthTracker(options Options, random *rand.Rand) healthTracker {
	return healthTracker{
		options:          options,
		random:           random,
		endpoints:        make(map[string]*health),
		references:       make(map[string]time.Duration),
		typicalFirstByte: initialReference,
	}
}

func (t *healthTracker) getOrCreate(endpoint string) *health {
	h := t.endpoints[endpoint]
	if h == nil {
		h = &health{slowness: 1, halfLife: minSlownessHalfLife}
		t.endpoints[endpoint] = h
	}
	return h
}

func (t *healthTracker) forget(endpoint string) { delete(t.endpoints, endpoint) }

// slowness returns an endpoint's slowness, decayed since it was observed.
func (t *healthTracker) slowness(now time.Time, endpoint string) float64 {
	h := t.endpoints[endpoint]
	if h == nil {
		return 1
	}
	age := max(0, now.Sub(h.observedAt))
	return math.Pow(h.slowness, math.Exp2(-float64(age)/float64(h.halfLife)))
}

func (t *healthTracker) observe(now time.Time, o Observation) {
	h := t.getOrCreate(o.Endpoint)
	h.probedAt = time.Time{}
	switch {
	case o.Outcome == OutcomeServed:
		h.failures, h.ejectFor = 0, 0
		h.ejectedUntil = time.Time{}
	case o.Outcome.isFailure():
		t.recordFailure(now, h)
	}
	if o.FirstByte > 0 && !o.Cold {
		t.recordFirstByte(now, h, o)
	}
}

// recordFailure counts a failure and ejects the endpoint when the bound is reached. Otherwise each request sent to a
// hanging endpoint would run into its timeout; an ejected one costs only a probe now and then.
func (t *healthTracker) recordFailure(now time.Time, h *health) {
	h.failures++
	if h.failures < t.options.FailuresToEject {
		return
	}
	h.ejectFor = min(max(2*h.ejectFor, t.options.EjectFor), t.options.MaxEjectFor)
	jitter := time.Duration(t.random.Int64N(int64(h.ejectFor)/4 + 1))
	h.ejectedUntil = now.Add(h.ejectFor + jitter)
}

// recordFirstByte updates an endpoint's slowness from a time to the first byte, compared with the endpoint's report and
// with the reference.
func (t *healthTracker) recordFirstByte(now time.Time, h *health, o Observation) {
	reference := t.updateReference(o)
	ratio := float64(o.FirstByte) / float64(o.Expected+reference)
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	current := t.slowness(now, o.Endpoint)
	weight := slownessFall
	if ratio > current {
		weight = slownessRise
	}
	h.slowness = current + weight*(ratio-current)
	h.observedAt = now
	h.halfLife = max(minSlownessHalfLife, halfLifeFactor*o.FirstByte)
}

// updateReference moves the references towards a sample and returns the target's. They track the median, which a few
// slow endpoints don't move.
func (t *healthTracker) updateReference(o Observation) time.Duration {
	sample := max(o.FirstByte-o.Expected, time.Microsecond)
	t.typicalFirstByte = stepTowards(t.typicalFirstByte, sample)
	reference, ok := t.references[o.Target]
	switch {
	case ok:
		reference = stepTowards(reference, sample)
	case len(t.references) >= maxReferences:
		return t.typicalFirstByte
	default:
		reference = sample
	}
	t.references[o.Target] = reference
	return reference
}

func stepTowards(reference, sample time.Duration) time.Duration {
	step := max(time.Duration(float64(reference)*referenceStep), 1)
	if sample > reference {
		return reference + step
	}
	return max(reference-step, time.Microsecond)
}

// admits reports whether an endpoint may get a request: it is not ejected, or its ejection has expired and no probe is
// in flight.
func (t *healthTracker) admits(now time.Time, endpoint string) bool {
	h := t.endpoints[endpoint]
	if h == nil || h.failures < t.options.FailuresToEject {
		return true
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	return h.probedAt.IsZero() || now.Sub(h.probedAt) >= probeTimeout
}

// recordPick records the request as a probe if the endpoint was ejected.
func (t *healthTracker) recordPick(now time.Time, endpoint string) {
	if h := t.endpoints[endpoint]; h != nil && h.failures >= t.options.FailuresToEject {
		h.probedAt = now
	}
}
