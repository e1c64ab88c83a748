package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of recorded times, in microseconds, and their precision in significant decimal digits.
const (
	lowestMicros  = 1
	highestMicros = int64(30 * time.Minute / time.Microsecond)
	digits        = 3
)

// timings is the distribution of one measured time.
type timings struct{ histogram *hdrhistogram.Histogram }

func newTimings() timings { return timings{hdrhistogram.New(lowestMicros, highestMicros, digits)} }

// add records a time, clamped to the range of the histogram.
func (s timings) add(d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = s.histogram.RecordValue(micros) // The clamped value is always within the range.
}

// Quantiles summarizes a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

func (s timings) quantiles() Quantiles {
	at := func(q float64) float64 { return millis(s.histogram.ValueAtQuantile(q)) }
	return Quantiles{
		Count: s.histogram.TotalCount(),
		Mean:  s.histogram.Mean() / float64(time.Millisecond/time.Microsecond),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   millis(s.histogram.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// refusalKey is the key by which refusals are counted.
type refusalKey struct {
	status  int
	code    string
	outcome string
}

// targetStats collects the outcomes of one target or of all targets.
type targetStats struct {
	name           string
	counts         map[Result]int
	refusals       map[refusalKey]int
	withRetryAfter int
	late           int
	worstOverrun   time.Duration
	tokens         int
	// mismatch is the first mismatch.
	mismatch *Mismatch

	sendLag, firstByte, firstByteFromSend, firstToken, betweenTokens, whole, refusedAfter timings
}

func newTargetStats(name string) *targetStats {
	return &targetStats{
		name:              name,
		counts:            map[Result]int{},
		refusals:          map[refusalKey]int{},
		sendLag:           newTimings(),
		firstByte:         newTimings(),
		firstByteFromSend: newTimings(),
		firstToken:        newTimings(),
		betweenTokens:     newTimings(),
		whole:             newTimings(),
		refusedAfter:      newTimings(),
	}
}

// add records one call. Response times are recorded only for served and held calls, so that fast refusals cannot improve
// them.
func (r *targetStats) add(o *outcome) {
	r.counts[o.result]++
	if o.result == ResultUnsent {
		return
	}
	r.sendLag.add(o.sendLag)
	r.addLate(o)
	switch o.result {
	case ResultRefused:
		r.refusals[refusalKey{o.status, o.code, o.outcome}]++
		r.refusedAfter.add(o.whole)
		if o.retryAfter {
			r.withRetryAfter++
		}
	case ResultWrong:
		r.mismatch = cmp.Or(r.mismatch, o.mismatch)
	case ResultServed, ResultHeld:
		r.addServed(o)
	}
}

// addLate counts a call that ended, with any result, after its deadline.
func (r *targetStats) addLate(o *outcome) {
	overrun := o.latency() - o.target.Deadline
	if o.target.Deadline == 0 || overrun <= 0 || o.result == ResultHeld {
		return
	}
	r.late++
	r.worstOverrun = max(r.worstOverrun, overrun)
}

func (r *targetStats) addServed(o *outcome) {
	r.firstByte.add(o.firstByte)
	r.firstByteFromSend.add(o.firstByte - o.sendLag)
	if o.firstToken > 0 {
		r.firstToken.add(o.firstToken)
		r.tokens++
	}
	for _, gap := range o.gaps {
		r.betweenTokens.add(gap)
	}
	r.tokens += len(o.gaps)
	if o.result == ResultServed {
		r.whole.add(o.whole)
	}
}

// runStats collects the outcomes of one run or of several merged runs. It is safe for concurrent use except for merge.
type runStats struct {
	mu      sync.Mutex
	total   *targetStats
	targets []*targetStats
	planned int
	elapsed time.Duration
}

// allTargets is the name of the total over all targets.
const allTargets = "all"

func newRunStats(targets []Target) *runStats {
	r := &runStats{total: newTargetStats(allTargets)}
	for _, target := range targets {
		r.targets = append(r.targets, newTargetStats(target.Name))
	}
	return r
}

// add records the outcome of a call to the target with the given index.
func (r *runStats) add(index int, o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.add(o)
	r.targets[index].add(o)
}

// addPlanned counts a planned call.
func (r *runStats) addPlanned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned++
}

// addElapsed adds to the total duration of the runs.
func (r *runStats) addElapsed(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed += d
}

// merge adds the statistics of another run with the same targets. Both runs must have ended.
func (r *runStats) merge(other *runStats) {
	r.planned += other.planned
	r.elapsed += other.elapsed
	r.total.merge(other.total)
	for i, target := range r.targets {
		target.merge(other.targets[i])
	}
}

func (r *targetStats) merge(other *targetStats) {
	for result, n := range other.counts {
		r.counts[result] += n
	}
	for key, n := range other.refusals {
		r.refusals[key] += n
	}
	r.withRetryAfter += other.withRetryAfter
	r.late += other.late
	r.worstOverrun = max(r.worstOverrun, other.worstOverrun)
	r.tokens += other.tokens
	r.mismatch = cmp.Or(r.mismatch, other.mismatch)
	from := other.allTimings()
	for i, s := range r.allTimings() {
		s.histogram.Merge(from[i].histogram)
	}
}

// allTimings returns all distributions in a fixed order.
func (r *targetStats) allTimings() []timings {
	return []timings{
		r.sendLag, r.firstByte, r.firstByteFromSend, r.firstToken, r.betweenTokens, r.whole, r.refusedAfter,
	}
}

// sortedRefusals returns the refusal counts sorted by status, code and outcome.
func (r *targetStats) sortedRefusals() []RefusalCount {
	var counts []RefusalCount
	for key, n := range r.refusals {
		counts = append(counts, RefusalCount{Status: key.status, Code: key.code, Outcome: key.outcome, Count: n})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return counts
}
