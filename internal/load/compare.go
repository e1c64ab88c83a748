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
	// Via is the run through the system; its Duration is that of one round.
	Via Options
	// DirectURL is the base URL of the endpoint, with a loopback address. It is asked for each target's ServedAs.
	DirectURL string
	// DirectPrefix is taken off the paths of plain calls, where the system routes by a prefix that the endpoint does not
	// know.
	DirectPrefix string
	// Rounds is how often the load is sent each way.
	Rounds int
}

// DefaultRounds is the number of rounds of a comparison.
const DefaultRounds = 5

// Added is the time that the way through the system adds to one measure, in milliseconds: the difference of the
// quantiles over all rounds, and the least and greatest difference of single rounds.
type Added struct {
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
	Rounds int     `json:"rounds"`
	Added  []Added `json:"added"`
	Via    Report  `json:"via"`
	Direct Report  `json:"direct"`
}

// Compare sends the same load through the system and directly to an endpoint, in turn, so that what else the machine
// does in the meantime falls on both. It fails like Run.
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
		via:    leg{options: via, all: newRecording(via.Targets)},
		direct: leg{options: direct, all: newRecording(direct.Targets)},
	}
	for round := range rounds {
		c.round(ctx, round)
	}
	return Comparison{
		Rounds: rounds,
		Added:  c.added(),
		Via:    c.via.all.report(&c.via.options),
		Direct: c.direct.all.report(&c.direct.options),
	}, nil
}

func (o CompareOptions) check() (Options, Options, error) {
	if o.Rounds < 0 {
		return Options{}, Options{}, errors.Wrap(ErrOptions, "a number of rounds above 0 is wanted")
	}
	via, err := o.Via.check()
	if err != nil {
		return Options{}, Options{}, err
	}
	direct := via
	direct.URL = o.DirectURL
	direct.Targets = slices.Clone(via.Targets)
	for i := range direct.Targets {
		direct.Targets[i] = direct.Targets[i].direct(o.DirectPrefix)
	}
	direct, err = direct.check()
	return via, direct, err
}

// direct returns the target as the endpoint knows it.
func (t Target) direct(prefix string) Target {
	t.Model = t.ServedAs
	if t.Path != "" {
		t.Path = "/" + strings.TrimPrefix(strings.TrimPrefix(t.Path, prefix), "/")
	}
	return t
}

// leg is one of the two ways of a comparison.
type leg struct {
	options Options
	all     *recording
	rounds  []Part
}

// run sends one round.
func (l *leg) run(ctx context.Context, seed uint64) {
	options := l.options
	options.Seed = seed
	single := newRecording(options.Targets)
	run(ctx, &options, single)
	l.rounds = append(l.rounds, single.report(&options).Total)
	l.all.merge(single)
}

type comparer struct{ via, direct leg }

// round sends one round each way, in an order that changes from round to round.
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

// measure is one of the distributions that are compared.
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

func (c *comparer) added() []Added {
	via := c.via.all.report(&c.via.options).Total
	direct := c.direct.all.report(&c.direct.options).Total
	var added []Added
	for _, m := range measures {
		if m.of(via).Count == 0 || m.of(direct).Count == 0 {
			continue
		}
		a := Added{Measure: m.name, P50: m.of(via).P50 - m.of(direct).P50, P99: m.of(via).P99 - m.of(direct).P99}
		a.P50Min, a.P50Max = c.spread(m, func(q Quantiles) float64 { return q.P50 })
		a.P99Min, a.P99Max = c.spread(m, func(q Quantiles) float64 { return q.P99 })
		added = append(added, a)
	}
	return added
}

// spread returns the least and greatest difference of a quantile over the rounds.
func (c *comparer) spread(m measure, at func(Quantiles) float64) (float64, float64) {
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
	for _, a := range c.Added {
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
