package watch

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the calls to the store, by table and result. A nil *Metrics records nothing.
type Metrics struct {
	calls        *prometheus.CounterVec
	listDuration *prometheus.HistogramVec
	silence      *prometheus.GaugeVec
	oddRows      *prometheus.CounterVec
	mu           sync.Mutex
	answeredAt   map[string]time.Time
}

// NewMetrics registers the metrics of watches.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_store_calls_total", Help: "Calls of the store, by table and result."}, []string{"table", "result"}),
		listDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "balsamsail_store_list_seconds", Help: "Time of the calls that read a whole table.", Buckets: []float64{.005, .02, .05, .1, .25, .5, 1, 2},
		}, []string{"table"}),
		silence:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "balsamsail_store_silence_seconds", Help: "Time since the store answered a watch last, by table, when it last failed or answered."}, []string{"table"}),
		oddRows:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_odd_rows_total", Help: "Rows read that cannot be used, by table."}, []string{"table"}),
		answeredAt: make(map[string]time.Time),
	}
	for _, c := range []prometheus.Collector{m.calls, m.listDuration, m.silence, m.oddRows} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Results of a call to the store.
const (
	resultAnswered    = "answered"
	resultHistoryGone = "history_gone"
	resultFailed      = "failed"
	resultIncomplete  = "incomplete"
	resultTooLong     = "too_long"
)

// recordCall counts a call and updates the time since the last answer.
func (m *Metrics) recordCall(table, result string, now time.Time) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(table, result).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if result != resultFailed && result != resultIncomplete || m.answeredAt[table].IsZero() {
		m.answeredAt[table] = now
	}
	m.silence.WithLabelValues(table).Set(now.Sub(m.answeredAt[table]).Seconds())
}

func (m *Metrics) recordList(table string, took time.Duration) {
	if m != nil {
		m.listDuration.WithLabelValues(table).Observe(took.Seconds())
	}
}

func (m *Metrics) recordOddRow(table string) {
	if m != nil {
		m.oddRows.WithLabelValues(table).Inc()
	}
}
