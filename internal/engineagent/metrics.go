package engineagent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of an agent's calls to its engine and of how the engine spends its time.
type Metrics struct {
	orders    *prometheus.CounterVec
	orderTime prometheus.Histogram
	reports   *prometheus.CounterVec
	seconds   *prometheus.CounterVec
	models    prometheus.Gauge
	gateways  prometheus.Gauge
	reportAge prometheus.Gauge

	lastReport time.Time
}

// NewMetrics registers an agent's metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_engine_agent_" + name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "balsamsail_engine_agent_" + name, Help: help})
	}
	m := &Metrics{
		orders: counter("orders_total", "Orders to the engine, by what they ask for and the result.", "kind", "result"),
		orderTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "balsamsail_engine_agent_order_seconds", Help: "Time until the engine answered an order.", Buckets: []float64{.001, .005, .02, .05, .1, .2},
		}),
		reports:   counter("reports_total", "Reads of the engine's report, by result.", "result"),
		seconds:   counter("engine_seconds_total", "Time of the engine by use: idle holds models and runs nothing, busy runs requests, empty holds no model, dark does not report.", "use"),
		models:    gauge("models", "Models that the engine holds."),
		gateways:  gauge("gateways", "Gateways that are connected."),
		reportAge: gauge("report_age_seconds", "Time between the last two reports that came."),
	}
	for _, c := range []prometheus.Collector{m.orders, m.orderTime, m.reports, m.seconds, m.models, m.gateways, m.reportAge} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) observeOrder(o Order, result Result, took time.Duration) {
	kind := "load_model"
	switch {
	case o.Kind == Unload && o.Adapter != "":
		kind = "unload_adapter"
	case o.Kind == Unload:
		kind = "unload_model"
	case o.Adapter != "":
		kind = "load_adapter"
	}
	m.orders.WithLabelValues(kind, result.String()).Inc()
	m.orderTime.Observe(took.Seconds())
}

// observeReport records a report, or nil if reading it failed, and attributes the time since the previous read to the
// engine's current use.
func (m *Metrics) observeReport(now time.Time, r *Report, gateways int) {
	use := "busy"
	switch {
	case r == nil:
		use = "dark"
	case len(r.Models) == 0:
		use = "empty"
	case r.Running+r.Queued == 0:
		use = "idle"
	}
	if !m.lastReport.IsZero() {
		m.seconds.WithLabelValues(use).Add(max(0, now.Sub(m.lastReport).Seconds()))
		m.reportAge.Set(now.Sub(m.lastReport).Seconds())
	}
	m.lastReport = now
	m.gateways.Set(float64(gateways))
	if r == nil {
		m.reports.WithLabelValues("failed").Inc()
		return
	}
	m.reports.WithLabelValues("answered").Inc()
	m.models.Set(float64(len(r.Models)))
}
