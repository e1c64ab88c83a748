package load

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/texttable"
)

// CompareOptions are the settings of Compare.
type CompareOptions struct {
	// Via are the options of the runs through the system; its Duration is that of one round.
	Via Options
	// DirectURL is the base URL of the endpoint, with a loopback address. Direct requests name each target's ServedAs.
	DirectURL string
	// DirectPrefix is removed from the paths of direct plain calls; it is the prefix by which the system routes to the
	// endpoint.
	DirectPrefix string
	// Rounds is the number of runs through the system and of direct runs.
	Rounds int
}

// DefaultRounds is the number of rounds of a comparison.
const DefaultRounds = 5

// Overhead is the latency that the system adds to one measure, in milliseconds: the difference of the quantiles over all
// rounds, and the minimum and maximum difference of single rounds.
type Overhead struct {
	Measure string  `json:"measure"`
	P50     float64 `json:"p50_ms"`
	P50Min  float64 `json:"p50_min_ms"`
	P50Max  float64 `json:"p50_max_ms"`
	P99     float64 `json:"p99_ms"`
	P99Min  float64 `json:"p99_min_ms"`
	P99Max  float64 `json:"p99_max_ms"`
}

// Comparison is the result of Compare.
type Comparison struct {
	Rounds    int        `json:"rounds"`
	Overheads []Overhead `json:"added"`
	Via       Report     `json:"via"`
	Direct    Report     `json:"direct"`
}

// Compare sends the same load alternately through the system and directly to an endpoint, so that other load on the machine
// affects both. Its errors are those of Run.
func Compare(ctx context.Context, options CompareOptions) (Comparison, error) {
	via, direct, err := options.check()
	if err != nil {
		return Comparison{}, err
	}
	rounds := options.Rounds
	if rounds == 0 {
		rounds = DefaultRounds
	}
	c := &comparer{
		via:    variant{options: via, combined: newRunStats(via.Targets)},
		direct: variant{options: direct, combined: newRunStats(direct.Targets)},
	}
	for round := range rounds {
		c.round(ctx, round)
	}
	return Comparison{
		Rounds:    rounds,
		Overheads: c.overheads(),
		Via:       c.via.combined.report(&c.via.options),
		Direct:    c.direct.combined.report(&c.direct.options),
	}, nil
}

func (o CompareOptions) check() (Options, Options, error) {
	if o.Rounds < 0 {
		return Options{}, Options{}, errors.Wrap(ErrOptions, "the number of rounds must not be negative")
	}
	via, err := o.Via.check()
	if err != nil {
		return Options{}, Options{}, err
	}
	direct := via
	direct.URL = o.DirectURL
	direct.Targets = slices.Clone(via.Targets)
	for i := range direct.Targets {
		direct.Targets[i] = direct.Targets[i].asDirect(o.DirectPrefix)
	}
	direct, err = direct.check()
	return via, direct, err
}

// asDirect returns the target with the model name and path that the endpoint expects.
func (t Target) asDirect(prefix string) Target {
	t.Model = t.ServedAs
	if t.Path != "" {
		t.Path = "/" + strings.TrimPrefix(strings.TrimPrefix(t.Path, prefix), "/")
	}
	return t
}

// variant is one side of a comparison: through the system or direct.
type variant struct {
	options  Options
	combined *runStats
	rounds   []Part
}

// run runs one round.
func (l *variant) run(ctx context.Context, seed uint64) {
	options := l.options
	options.Seed = seed
	single := newRunStats(options.Targets)
	run(ctx, &options, single)
	l.rounds = append(l.rounds, single.report(&options).Total)
	l.combined.merge(single)
}

type comparer struct{ via, direct variant }

// round runs one round of each variant; the order alternates between rounds.
func (c *comparer) round(ctx context.Context, round int) {
	seed := c.via.options.Seed + uint64(round)
	if round%2 == 0 {
		c.direct.run(ctx, seed)
		c.via.run(ctx, seed)
		return
	}
	c.via.run(ctx, seed)
	c.direct.run(ctx, seed)
}

// measure is one of the compared distributions.
type measure struct {
	name string
	of   func(Part) Quantiles
}

var measures = []measure{
	{"first byte from send", func(p Part) Quantiles { return p.FirstByteFromSend }},
	{"first byte", func(p Part) Quantiles { return p.FirstByte }},
	{"first token", func(p Part) Quantiles { return p.FirstToken }},
	{"between tokens", func(p Part) Quantiles { return p.BetweenTokens }},
	{"whole answer", func(p Part) Quantiles { return p.Whole }},
}

func (c *comparer) overheads() []Overhead {
	via := c.via.combined.report(&c.via.options).Total
	direct := c.direct.combined.report(&c.direct.options).Total
	var overheads []Overhead
	for _, m := range measures {
		if m.of(via).Count == 0 || m.of(direct).Count == 0 {
			continue
		}
		a := Overhead{Measure: m.name, P50: m.of(via).P50 - m.of(direct).P50, P99: m.of(via).P99 - m.of(direct).P99}
		a.P50Min, a.P50Max = c.differenceRange(m, func(q Quantiles) float64 { return q.P50 })
		a.P99Min, a.P99Max = c.differenceRange(m, func(q Quantiles) float64 { return q.P99 })
		overheads = append(overheads, a)
	}
	return overheads
}

// differenceRange returns the minimum and maximum difference of a quantile over the rounds.
func (c *comparer) differenceRange(m measure, at func(Quantiles) float64) (float64, float64) {
	differences := make([]float64, len(c.via.rounds))
	for i := range c.via.rounds {
		differences[i] = at(m.of(c.via.rounds[i])) - at(m.of(c.direct.rounds[i]))
	}
	return slices.Min(differences), slices.Max(differences)
}

// Write writes the comparison as text.
func (c Comparison) Write(w io.Writer) error {
	t := texttable.New(w)
	t.Row("time added by %s to %s, over %d rounds each way in turn", c.Via.URL, c.Direct.URL, c.Rounds)
	t.Row("milliseconds\tp50\t(rounds)\tp99\t(rounds)")
	for _, a := range c.Overheads {
		t.Row("%s\t%.3f\t%.3f to %.3f\t%.3f\t%.3f to %.3f", a.Measure, a.P50, a.P50Min, a.P50Max, a.P99, a.P99Min, a.P99Max)
	}
	t.Row("")
	if err := t.Flush(); err != nil {
		return outputError(err)
	}
	if err := c.Via.Write(w); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return outputError(err)
	}
	return c.Direct.Write(w)
}
