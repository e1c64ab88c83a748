package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guptarohit/asciigraph"
	"github.com/pkg/errors"

	"balsamsail/internal/placement"
	"balsamsail/internal/settings"
	"balsamsail/internal/texttable"
)

// Outcome is what a policy reached on one day.
type Outcome struct {
	Seed uint64
	// Worth is the part of all worth that was served; OnTime, Late and Unserved are shares of the requests.
	Worth, OnTime, Late, Unserved float64
	// ByKind is Worth of each kind of request.
	ByKind map[string]float64
	// Loads are counted by where the weights were.
	Loads map[placement.Source]int
	// ColdStart is how long 99 of 100 requests waited for their first event whose model no engine held; those that got none count
	// with the time that their clients waited.
	ColdStart time.Duration
	// IdleHours are the hours that engines held models and ran nothing, for each hour of the site.
	IdleHours float64
}

// Comparison holds the outcomes of policies on the same days.
type Comparison struct {
	Policies []string
	Outcomes map[string][]Outcome
}

// Compare plays the days of an experiment with each of its policies, several at once.
func Compare(x *settings.Experiment, workers int) (*Comparison, error) {
	c := &Comparison{Policies: x.Run.Policies, Outcomes: make(map[string][]Outcome)}
	for _, name := range x.Run.Policies {
		if policies[name] == nil {
			return nil, errors.Wrapf(ErrPolicy, "%q", name)
		}
		c.Outcomes[name] = make([]Outcome, x.Run.Seeds)
	}
	var failed error
	var mu sync.Mutex
	var playing sync.WaitGroup
	turns := make(chan struct{}, max(1, workers))
	for _, name := range x.Run.Policies {
		for i := range x.Run.Seeds {
			turns <- struct{}{}
			playing.Go(func() {
				defer func() { <-turns }()
				outcome, err := playDay(x, uint64(x.Run.First+i), policies[name])
				mu.Lock()
				defer mu.Unlock()
				c.Outcomes[name][i] = outcome
				if err != nil {
					failed = err
				}
			})
		}
	}
	playing.Wait()
	return c, failed
}

func playDay(x *settings.Experiment, seed uint64, policy func(*site) placement.Policy) (Outcome, error) {
	s, err := newSite(x, seed, drawDay(x, seed), policy)
	if err != nil {
		return Outcome{}, err
	}
	s.play()
	return s.outcome(seed), nil
}

// outcome sums up a day.
func (s *site) outcome(seed uint64) Outcome {
	o := Outcome{Seed: seed, Loads: s.loads, ByKind: make(map[string]float64)}
	owed := make(map[string]float64)
	var cold []time.Duration
	for _, r := range s.day {
		owed[r.kind.Name] += r.kind.Worth
		switch {
		case r.done && r.first-r.at <= r.kind.Aim && r.worst <= r.kind.PauseAim:
			o.OnTime++
			o.ByKind[r.kind.Name] += r.kind.Worth
		case r.done:
			o.Late++
			o.ByKind[r.kind.Name] += r.kind.LateWorth
		default:
			o.Unserved++
		}
		if r.cold {
			cold = append(cold, s.waitOf(r))
		}
	}
	total, earned := 0.0, 0.0
	for kind, worth := range owed {
		total += worth
		earned += o.ByKind[kind]
		o.ByKind[kind] /= worth
	}
	n := float64(max(1, len(s.day)))
	o.OnTime, o.Late, o.Unserved = o.OnTime/n, o.Late/n, o.Unserved/n
	o.Worth = earned / math.Max(total, 1e-9)
	o.ColdStart = percentile(cold, 0.99)
	for _, e := range s.engines {
		o.IdleHours += e.idle.Seconds() / s.x.Run.Length.Seconds()
	}
	return o
}

// waitOf is how long a request waited for its first event.
func (s *site) waitOf(r *request) time.Duration {
	if r.first > 0 {
		return r.first - r.at
	}
	return min(r.kind.Deadline, max(leastPatience, patienceTargets*r.kind.Aim))
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// mean is the mean of a figure over the days.
func mean(outcomes []Outcome, figure func(Outcome) float64) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += figure(o)
	}
	return sum / float64(max(1, len(outcomes)))
}

// Write writes a table of the policies and a plot of their worth by day.
func (c *Comparison) Write(w io.Writer, kinds []string) error {
	header := []string{"POLICY", "WORTH", "ON TIME", "LATE", "UNSERVED", "STORE", "DISK", "MEMORY", "COLD P99", "IDLE H/H"}
	header = append(header, kinds...)
	table := texttable.New(w)
	table.Row("%s", strings.Join(header, "\t"))
	for _, name := range c.Policies {
		days := c.Outcomes[name]
		share := func(figure func(Outcome) float64) string { return fmt.Sprintf("%.3f", mean(days, figure)) }
		loads := func(source placement.Source) string {
			return fmt.Sprintf("%.1f", mean(days, func(o Outcome) float64 { return float64(o.Loads[source]) }))
		}
		row := []string{
			name, share(func(o Outcome) float64 { return o.Worth }), share(func(o Outcome) float64 { return o.OnTime }),
			share(func(o Outcome) float64 { return o.Late }), share(func(o Outcome) float64 { return o.Unserved }),
			loads(placement.FromStore), loads(placement.FromDisk), loads(placement.FromMemory),
			fmt.Sprintf("%.2fs", mean(days, func(o Outcome) float64 { return o.ColdStart.Seconds() })),
			fmt.Sprintf("%.2f", mean(days, func(o Outcome) float64 { return o.IdleHours })),
		}
		for _, kind := range kinds {
			row = append(row, share(func(o Outcome) float64 { return o.ByKind[kind] }))
		}
		table.Row("%s", strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", c.plot())
	return err
}

// plot draws the worth of each policy by day.
func (c *Comparison) plot() string {
	const height, leastWidth = 12, 40
	colors := []asciigraph.AnsiColor{asciigraph.Green, asciigraph.Red, asciigraph.Blue, asciigraph.Yellow, asciigraph.Magenta}
	var series [][]float64
	for _, name := range c.Policies {
		var line []float64
		for _, o := range c.Outcomes[name] {
			line = append(line, o.Worth)
		}
		if len(line) == 1 {
			line = append(line, line[0])
		}
		series = append(series, line)
	}
	return asciigraph.PlotMany(series,
		asciigraph.Height(height), asciigraph.Width(leastWidth), asciigraph.Precision(2), asciigraph.LowerBound(0), asciigraph.UpperBound(1),
		asciigraph.SeriesColors(colors[:min(len(colors), len(series))]...), asciigraph.SeriesLegends(c.Policies...),
		asciigraph.Caption("worth by day"))
}
