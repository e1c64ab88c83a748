package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Register registers what a gateway's links know: how many agents it hears, how old the oldest of their words is, how many
// gateways there are, and whether this one coordinates.
func Register(r prometheus.Registerer, a *Agents, p *Peers) error {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "balsamsail_control_" + name, Help: help}, read)
	}
	for _, c := range []prometheus.Collector{
		gauge("agents_listed", "Agents to which there should be a link.", func() float64 { listed, _, _ := a.heard(time.Now()); return float64(listed) }),
		gauge("agents_heard", "Agents that were heard within the silence limit.", func() float64 { _, heard, _ := a.heard(time.Now()); return float64(heard) }),
		gauge("oldest_word_seconds", "Age of the oldest last word among the agents that are heard.", func() float64 { _, _, oldest := a.heard(time.Now()); return oldest.Seconds() }),
		gauge("gateways", "Gateways that are known, this one included.", func() float64 { return float64(p.Known()) }),
		gauge("coordinates", "1 while this gateway decides on placement.", func() float64 {
			if p.Coordinates(time.Now()) {
				return 1
			}
			return 0
		}),
	} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// heard counts the links to agents, those whose agent was heard within the silence limit, and the age of the oldest word of
// these.
func (a *Agents) heard(now time.Time) (listed, heard int, oldest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		listed++
		if age := now.Sub(l.heardAt); age <= a.options.SilenceLimit {
			heard++
			oldest = max(oldest, age)
		}
	}
	return listed, heard, oldest
}
