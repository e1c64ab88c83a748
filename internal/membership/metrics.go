package membership

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the package.
type metrics struct {
	connected       prometheus.Gauge
	dialFailures    prometheus.Counter
	listFailures    prometheus.Counter
	batchesSent     prometheus.Counter
	batchesReceived prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		connected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "balsamsail_membership_connected_agents",
			Help: "Agents with a working control stream.",
		}),
		dialFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_membership_dial_failures_total",
			Help: "Failed tries to connect to an agent.",
		}),
		listFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_membership_host_list_failures_total",
			Help: "Failed reads of the host list.",
		}),
		batchesSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_membership_batches_sent_total",
			Help: "Control batches sent to agents.",
		}),
		batchesReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_membership_batches_received_total",
			Help: "Control batches received from agents.",
		}),
	}
	r.MustRegister(m.connected, m.dialFailures, m.listFailures, m.batchesSent, m.batchesReceived)
	return m
}
