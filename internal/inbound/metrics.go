package inbound

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics on clients' connections. Label values are the names of listeners and reasons, a dozen in all.
type Metrics struct {
	refused     *prometheus.CounterVec
	connections *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_inbound_refused_total", Help: "Connections and requests that were refused or cut off because others needed their room, or over a limit, by listener and reason.",
		}, []string{"listener", "reason"}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "balsamsail_inbound_connections", Help: "Open connections, by listener.",
		}, []string{"listener"}),
	}
	for _, c := range []prometheus.Collector{m.refused, m.connections} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// RegisterBudget registers the metrics of a budget.
func RegisterBudget(r prometheus.Registerer, b *Budget) error {
	return r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "balsamsail_inbound_held_bytes", Help: "Memory that clients make the process hold beyond their connections.",
	}, func() float64 { return float64(b.Held()) }))
}
