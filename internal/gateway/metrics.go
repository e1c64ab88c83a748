package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets are the histogram buckets in seconds: from the response time of an idle endpoint to the longest client
// timeout.
var latencyBuckets = []float64{.005, .02, .05, .1, .2, .3, .5, 1, 2, 3, 5, 10, 25}

// Metrics are the gateway's metrics. Label values are status codes, reasons and outcomes, a few dozen in all; none is
// the name of a model, an adapter or a client.
type Metrics struct {
	answers      *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	clientsLeft  prometheus.Counter
	droppedLines prometheus.Counter
	waited       prometheus.Histogram
	cold         prometheus.Histogram
	first        prometheus.Histogram
	took         prometheus.Histogram
	gap          prometheus.Histogram
	// estimateError is the difference between the expected and the actual wait for an endpoint.
	estimateError prometheus.Histogram
}

// NewMetrics registers the gateway's metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "balsamsail_gateway_" + name, Help: help}, labels)
	}
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "balsamsail_gateway_" + name, Help: help, Buckets: latencyBuckets})
	}
	m := &Metrics{
		answers:       counter("answers_total", "Answers of endpoints that clients got, by status.", "status"),
		refusals:      counter("refusals_total", "Answers of the gateway's own, by status and reason.", "status", "reason"),
		attempts:      counter("attempts_total", "Sendings to endpoints, by outcome.", "outcome"),
		waited:        histogram("wait_seconds", "Time that answered requests had waited for an endpoint."),
		cold:          histogram("cold_wait_seconds", "The same of requests whose model no engine held when they came."),
		first:         histogram("first_byte_seconds", "Time from a request's arrival to the first byte of its answer."),
		took:          histogram("answer_seconds", "Time from a request's arrival to the end of its answer."),
		estimateError: histogram("wait_estimate_error_seconds", "Difference between the expected and the actual wait for an endpoint, of requests that were held."),
		gap:           histogram("longest_pause_seconds", "Longest pause within a stream."),
	}
	m.clientsLeft = prometheus.NewCounter(prometheus.CounterOpts{Name: "balsamsail_gateway_clients_left_total", Help: "Requests whose client left before the end of the answer."})
	m.droppedLines = prometheus.NewCounter(prometheus.CounterOpts{Name: "balsamsail_gateway_log_lines_left_out_total", Help: "Lines on requests that the budget of the log left out."})
	for _, c := range []prometheus.Collector{m.answers, m.refusals, m.attempts, m.clientsLeft, m.droppedLines, m.waited, m.cold, m.first, m.took, m.gap, m.estimateError} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Metrics) countRefusal(f refusal) {
	m.refusals.WithLabelValues(strconv.Itoa(f.status), string(f.reason)).Inc()
}

func (m *Metrics) countAnswer(status int, q *request) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.waited.Observe(q.waited.Seconds())
	if q.cold {
		m.cold.Observe(q.waited.Seconds())
	}
	took := time.Since(q.arrived)
	first := q.firstEvent
	if first == 0 {
		first = took
	}
	m.first.Observe(first.Seconds())
	m.took.Observe(took.Seconds())
	if q.route.Streaming {
		m.gap.Observe(q.longestGap.Seconds())
	}
}

func (m *Metrics) countAttempt(outcome string) { m.attempts.WithLabelValues(outcome).Inc() }
