package agent

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/endpoint"
)

// metrics are the agent's metrics.
type metrics struct {
	refused *prometheus.CounterVec
	failed  *prometheus.CounterVec
	orders  *prometheus.HistogramVec
	idle    *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_agent_refused_total",
			Help: "Requests refused as not run, by reason.",
		}, []string{"reason"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_agent_failed_total",
			Help: "Requests that failed after their start, by reason.",
		}, []string{"reason"}),
		orders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "balsamsail_agent_order_seconds",
			Help:    "Time from sending an order to its answer, by kind and result.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 13),
		}, []string{"kind", "result"}),
	}
	m.idle = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "balsamsail_agent_idle_replica_seconds_total",
		Help: "Time that loaded replicas spent without a request, by model version.",
	}, []string{"model"})
	r.MustRegister(m.refused, m.failed, m.orders, m.idle)
	return m
}

// The results of an order.
const (
	resultDone    = "done"
	resultFailed  = "failed"
	resultUnknown = "unknown"
)

func (m *metrics) observeOrder(kind endpoint.OrderKind, took time.Duration, err error) {
	result := resultDone
	switch {
	case errors.Is(err, endpoint.ErrOutcomeUnknown):
		result = resultUnknown
	case err != nil:
		result = resultFailed
	}
	m.orders.WithLabelValues(string(kind), result).Observe(took.Seconds())
}

func (m *metrics) addIdle(model string, seconds float64) { m.idle.WithLabelValues(model).Add(seconds) }
