package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count what the gateway does.
type Metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	waited   prometheus.Histogram
	first    prometheus.Histogram
}

// NewMetrics registers the gateway's metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	buckets := []float64{.005, .02, .05, .1, .2, .5, 1, 2, 5, 10, 25}
	m := &Metrics{
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_answers_total", Help: "Answers of endpoints that clients got, by status."}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_refusals_total", Help: "Answers of the gateway's own, by status."}, []string{"status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_attempts_total", Help: "Sendings to endpoints, by outcome."}, []string{"outcome"}),
		waited:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "balsamsail_wait_seconds", Help: "Time that requests waited for an endpoint.", Buckets: buckets}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "balsamsail_first_byte_seconds", Help: "Time from arrival to the first byte of the answer.", Buckets: buckets}),
	}
	for _, c := range []prometheus.Collector{m.answers, m.refusals, m.attempts, m.waited, m.first} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) refused(status int) { m.refusals.WithLabelValues(strconv.Itoa(status)).Inc() }

func (m *Metrics) answered(status int, waited, first time.Duration) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.waited.Observe(waited.Seconds())
	m.first.Observe(first.Seconds())
}

func (m *Metrics) attempted(outcome string) { m.attempts.WithLabelValues(outcome).Inc() }
