package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the commands that the coordinator sends and measures their load times.
type Metrics struct {
	commands   *prometheus.CounterVec
	loads      *prometheus.HistogramVec
	failed     *prometheus.CounterVec
	storeLoads *prometheus.GaugeVec
}

// NewMetrics registers the placement metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_placement_commands_total", Help: "Commands sent to engines, by source of the weights and purpose of the load."}, []string{"source", "reason"}),
		loads: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamsail_placement_load_seconds", Help: "Time from sending a command until its model is loaded, by source of the weights.", Buckets: []float64{.2, .5, 1, 2, 4, 6, 8, 12, 16, 24, 40},
		}, []string{"source"}),
		failed:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_placement_commands_failed_total", Help: "Commands whose model was not loaded, by source of the weights."}, []string{"source"}),
		storeLoads: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "balsamsail_placement_store_loads", Help: "Loads from the weight store: the number running, and the estimated number that run at full speed."}, []string{"what"}),
	}
	for _, c := range []prometheus.Collector{m.commands, m.loads, m.failed, m.storeLoads} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) commandSent(c Command, l *storeLimiter) {
	m.commands.WithLabelValues(c.Source.String(), c.Reason).Inc()
	m.storeLoads.WithLabelValues("running").Set(float64(len(l.running)))
	m.storeLoads.WithLabelValues("limit").Set(float64(l.limit))
}

func (m *Metrics) commandFinished(c Command, took time.Duration, succeeded bool) {
	if !succeeded {
		m.failed.WithLabelValues(c.Source.String()).Inc()
		return
	}
	m.loads.WithLabelValues(c.Source.String()).Observe(took.Seconds())
}
