package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of recorded times, in microseconds, and their precision.
const (
	lowestMicros  = 1
	highestMicros = int64(30 * time.Minute / time.Microsecond)
	digits        = 3
)

// series is the distribution of one measure.
type series struct{ histogram *hdrhistogram.Histogram }

func newSeries() series { return series{hdrhistogram.New(lowestMicros, highestMicros, digits)} }

// add records a time; one above the range counts as the highest.
func (s series) add(d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = s.histogram.RecordValue(micros) // Within the range by the line above.
}

// Quantiles sums a distribution up, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

func (s series) quantiles() Quantiles {
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

// refusal is what refusals are counted by.
type refusal struct {
	status  int
	code    string
	outcome string
}

// recorder gathers the outcomes of one target or of all.
type recorder struct {
	name     string
	counts   map[Result]int
	refusals map[refusal]int
	comeBack int
	late     int
	overrun  time.Duration
	tokens   int
	// mismatch is the first one.
	mismatch *Mismatch

	lag, firstByte, firstByteFromSend, firstToken, betweenTokens, whole, refused series
}

func newRecorder(name string) *recorder {
	return &recorder{
		name:              name,
		counts:            map[Result]int{},
		refusals:          map[refusal]int{},
		lag:               newSeries(),
		firstByte:         newSeries(),
		firstByteFromSend: newSeries(),
		firstToken:        newSeries(),
		betweenTokens:     newSeries(),
		whole:             newSeries(),
		refused:           newSeries(),
	}
}

// add records one call. Times of answers are recorded of served calls only, so that quick refusals cannot improve them.
func (r *recorder) add(o *outcome) {
	r.counts[o.result]++
	if o.result == ResultUnsent {
		return
	}
	r.lag.add(o.lag)
	r.addLate(o)
	switch o.result {
	case ResultRefused:
		r.refusals[refusal{o.status, o.code, o.outcome}]++
		r.refused.add(o.whole)
		if o.comeBack {
			r.comeBack++
		}
	case ResultWrong:
		r.mismatch = cmp.Or(r.mismatch, o.mismatch)
	case ResultServed, ResultHeld:
		r.addServed(o)
	}
}

// addLate counts a call that was answered, whatever the answer, after its deadline.
func (r *recorder) addLate(o *outcome) {
	overrun := o.answered() - o.target.Deadline
	if o.target.Deadline == 0 || overrun <= 0 || o.result == ResultHeld {
		return
	}
	r.late++
	r.overrun = max(r.overrun, overrun)
}

func (r *recorder) addServed(o *outcome) {
	r.firstByte.add(o.firstByte)
	r.firstByteFromSend.add(o.firstByte - o.lag)
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

// recording gathers the outcomes of a run, or of several that are summed up. It is safe for concurrent use.
type recording struct {
	mu      sync.Mutex
	total   *recorder
	targets []*recorder
	planned int
	elapsed time.Duration
}

// allTargets names the sum over all targets.
const allTargets = "all"

func newRecording(targets []Target) *recording {
	r := &recording{total: newRecorder(allTargets)}
	for _, target := range targets {
		r.targets = append(r.targets, newRecorder(target.Name))
	}
	return r
}

// add records the outcome of a call to the target with the given index.
func (r *recording) add(index int, o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.add(o)
	r.targets[index].add(o)
}

// plan counts a planned call.
func (r *recording) plan() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned++
}

// pass adds to the time that the runs took.
func (r *recording) pass(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed += d
}

// merge adds another recording of the same targets, which must have ended.
func (r *recording) merge(other *recording) {
	r.planned += other.planned
	r.elapsed += other.elapsed
	r.total.merge(other.total)
	for i, target := range r.targets {
		target.merge(other.targets[i])
	}
}

func (r *recorder) merge(other *recorder) {
	for result, n := range other.counts {
		r.counts[result] += n
	}
	for key, n := range other.refusals {
		r.refusals[key] += n
	}
	r.comeBack += other.comeBack
	r.late += other.late
	r.overrun = max(r.overrun, other.overrun)
	r.tokens += other.tokens
	r.mismatch = cmp.Or(r.mismatch, other.mismatch)
	from := other.all()
	for i, s := range r.all() {
		s.histogram.Merge(from[i].histogram)
	}
}

// all returns the recorder's distributions.
func (r *recorder) all() []series {
	return []series{
		r.lag, r.firstByte, r.firstByteFromSend, r.firstToken, r.betweenTokens, r.whole, r.refused,
	}
}

// sortedRefusals returns the refusals in order of status and code.
func (r *recorder) sortedRefusals() []CodeCount {
	var counts []CodeCount
	for key, n := range r.refusals {
		counts = append(counts, CodeCount{Status: key.status, Code: key.code, Outcome: key.outcome, Count: n})
	}
	slices.SortFunc(counts, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return counts
}
