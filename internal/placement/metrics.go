package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count the commands that the coordinator gives, and how long their loads take.
type Metrics struct {
	commands *prometheus.CounterVec
	loads    *prometheus.HistogramVec
	failed   *prometheus.CounterVec
	limit    *prometheus.GaugeVec
}

// NewMetrics registers the metrics of placement.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_placement_commands_total", Help: "Commands to engines, by where the weights are and what the load is for."}, []string{"source", "reason"}),
		loads: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamsail_placement_load_seconds", Help: "Time from a command to its model being there, by where the weights were.", Buckets: []float64{.2, .5, 1, 2, 4, 6, 8, 12, 16, 24, 40},
		}, []string{"source"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_placement_commands_failed_total", Help: "Commands whose model did not come, by where the weights were."}, []string{"source"}),
		limit:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "balsamsail_placement_store_loads", Help: "Loads from the weight store: those that run, and the most that are thought to run at full speed."}, []string{"what"}),
	}
	for _, c := range []prometheus.Collector{m.commands, m.loads, m.failed, m.limit} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) given(c Command, p *pipe) {
	m.commands.WithLabelValues(c.Source.String(), c.Reason).Inc()
	m.limit.WithLabelValues("running").Set(float64(len(p.running)))
	m.limit.WithLabelValues("limit").Set(float64(p.limit))
}

func (m *Metrics) ended(c Command, took time.Duration, succeeded bool) {
	if !succeeded {
		m.failed.WithLabelValues(c.Source.String()).Inc()
		return
	}
	m.loads.WithLabelValues(c.Source.String()).Observe(took.Seconds())
}
