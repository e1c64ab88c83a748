package replicas

import (
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/replicas/replicaspb"
)

// The values of the result label.
const (
	resultOK          = "ok"
	resultCommitted   = "committed"
	resultConflict    = "conflict"
	resultUnavailable = "unavailable"
	resultUnknown     = "unknown"
	resultInvalid     = "invalid"
)

type metrics struct {
	slots        *prometheus.GaugeVec
	proposals    *prometheus.CounterVec
	steps        *prometheus.CounterVec
	slotRequests *prometheus.CounterVec
	reads        *prometheus.CounterVec
	decide       prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		slots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "balsamsail_replicas_slots",
			Help: "Slots in the rows of the table as last read, by state.",
		}, []string{"state"}),
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_replicas_proposals_total",
			Help: "Changes of rows proposed to the table, by result.",
		}, []string{"result"}),
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_replicas_steps_total",
			Help: "Slots granted, released and removed by this process, by action and reason.",
		}, []string{"action", "reason"}),
		slotRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_replicas_wants_total",
			Help: "Wishes of engines for another slot, by reason.",
		}, []string{"reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_replicas_table_reads_total",
			Help: "Reads of rows from the table, by result.",
		}, []string{"result"}),
		decide: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "balsamsail_replicas_decide_seconds",
			Help:    "Time that one decision over all model versions took.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
	}
	registerer.MustRegister(m.slots, m.proposals, m.steps, m.slotRequests, m.reads, m.decide)
	return m
}

// count sets the slot gauges from the rows.
func (m *metrics) count(rows map[string]RowView) {
	byState := map[replicaspb.SlotState]int{replicaspb.SlotState_GRANTED: 0, replicaspb.SlotState_RELEASING: 0}
	for _, view := range rows {
		for _, s := range view.Row.Slots {
			byState[s.State]++
		}
	}
	for state, n := range byState {
		m.slots.WithLabelValues(state.String()).Set(float64(n))
	}
}
