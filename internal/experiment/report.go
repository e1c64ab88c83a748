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

// Outcome is the result of a policy on one day.
type Outcome struct {
	Seed uint64
	// Worth is the served fraction of the total worth; OnTime, Late and Unserved are fractions of the requests.
	Worth, OnTime, Late, Unserved float64
	// ByKind is the served fraction of the worth by kind of request.
	ByKind map[string]float64
	// Loads is the number of loads by source of the weights.
	Loads map[placement.Source]int
	// ColdStart is the 99th percentile of the wait for the first event, over requests whose model was not loaded on any
	// engine. A request without a first event counts with the time that its client waited.
	ColdStart time.Duration
	// IdleHours is the number of hours that engines had models loaded and ran no requests, per hour of simulated time.
	IdleHours float64
}

// Comparison holds the outcomes of policies on the same days.
type Comparison struct {
	Policies []string
	Outcomes map[string][]Outcome
}

// Compare simulates the days of an experiment with each of its policies, using the given number of workers.
func Compare(params *settings.Experiment, workers int) (*Comparison, error) {
	c := &Comparison{Policies: params.Run.Policies, Outcomes: make(map[string][]Outcome)}
	for _, name := range params.Run.Policies {
		if policies[name] == nil {
			return nil, errors.Wrapf(ErrPolicy, "%q", name)
		}
		c.Outcomes[name] = make([]Outcome, params.Run.Seeds)
	}
	var simulationErr error
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, workers))
	for _, name := range params.Run.Policies {
		for i := range params.Run.Seeds {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				outcome, err := simulateDay(params, uint64(params.Run.First+i), policies[name])
				mu.Lock()
				defer mu.Unlock()
				c.Outcomes[name][i] = outcome
				if err != nil {
					simulationErr = err
				}
			})
		}
	}
	wg.Wait()
	return c, simulationErr
}

func simulateDay(params *settings.Experiment, seed uint64, policy func(*site) placement.Policy) (Outcome, error) {
	s, err := newSite(params, seed, drawDay(params, seed), policy)
	if err != nil {
		return Outcome{}, err
	}
	s.simulate()
	return s.outcome(seed), nil
}

// outcome returns the result of the simulated day.
func (s *site) outcome(seed uint64) Outcome {
	o := Outcome{Seed: seed, Loads: s.loads, ByKind: make(map[string]float64)}
	offered := make(map[string]float64)
	var cold []time.Duration
	for _, r := range s.requests {
		offered[r.kind.Name] += r.kind.Worth
		switch {
		case r.done && r.firstEvent-r.at <= r.kind.Aim && r.longestPause <= r.kind.PauseAim:
			o.OnTime++
			o.ByKind[r.kind.Name] += r.kind.Worth
		case r.done:
			o.Late++
			o.ByKind[r.kind.Name] += r.kind.LateWorth
		default:
			o.Unserved++
		}
		if r.cold {
			cold = append(cold, s.firstEventWait(r))
		}
	}
	total, earned := 0.0, 0.0
	for kind, worth := range offered {
		total += worth
		earned += o.ByKind[kind]
		o.ByKind[kind] /= worth
	}
	n := float64(max(1, len(s.requests)))
	o.OnTime, o.Late, o.Unserved = o.OnTime/n, o.Late/n, o.Unserved/n
	o.Worth = earned / math.Max(total, 1e-9)
	o.ColdStart = percentile(cold, 0.99)
	for _, e := range s.engines {
		o.IdleHours += e.idleTime.Seconds() / s.params.Run.Length.Seconds()
	}
	return o
}

// firstEventWait returns the time that a request waited for its first event.
func (s *site) firstEventWait(r *request) time.Duration {
	if r.firstEvent > 0 {
		return r.firstEvent - r.at
	}
	return min(r.kind.Deadline, max(minPatience, patienceFactor*r.kind.Aim))
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// mean returns the mean of a metric over the days.
func mean(outcomes []Outcome, metric func(Outcome) float64) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += metric(o)
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
		share := func(metric func(Outcome) float64) string { return fmt.Sprintf("%.3f", mean(days, metric)) }
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

// plot returns a plot of the worth of each policy by day.
func (c *Comparison) plot() string {
	const height, minWidth = 12, 40
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
		asciigraph.Height(height), asciigraph.Width(minWidth), asciigraph.Precision(2), asciigraph.LowerBound(0), asciigraph.UpperBound(1),
		asciigraph.SeriesColors(colors[:min(len(colors), len(series))]...), asciigraph.SeriesLegends(c.Policies...),
		asciigraph.Caption("worth by day"))
}
