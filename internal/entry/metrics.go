package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/wire/wirepb"
)

// metrics are the entry's metrics.
type metrics struct {
	requests      *prometheus.CounterVec
	errors        *prometheus.CounterVec
	retries       prometheus.Counter
	mismatches    prometheus.Counter
	duration      *prometheus.HistogramVec
	coldFirstByte prometheus.Histogram
	warmFirstByte prometheus.Histogram
}

// latencyBuckets range from warm responses of milliseconds to cold starts of minutes.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 16)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_entry_requests_total",
			Help: "Requests by class and result.",
		}, []string{"class", "result"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamsail_entry_errors_total",
			Help: "Error answers by code.",
		}, []string{"code"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_entry_retries_total",
			Help: "Attempts after the first one.",
		}),
		mismatches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamsail_entry_answer_mismatches_total",
			Help: "Answers whose length or checksum did not match their trailer.",
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "balsamsail_entry_request_seconds",
			Help:    "Time from a request's arrival to the end of its answer, by class.",
			Buckets: latencyBuckets,
		}, []string{"class"}),
		coldFirstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "balsamsail_entry_cold_first_byte_seconds",
			Help:    "Time to the first byte of the answer of requests that waited for a load.",
			Buckets: latencyBuckets,
		}),
		warmFirstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "balsamsail_entry_warm_first_byte_seconds",
			Help:    "Time to the first byte of the answer of requests that waited for no load.",
			Buckets: latencyBuckets,
		}),
	}
	r.MustRegister(m.requests, m.errors, m.retries, m.mismatches, m.duration, m.coldFirstByte, m.warmFirstByte)
	return m
}

// Values of the label "result".
const (
	resultServed  = "served"
	resultNotRun  = "not_run"
	resultUnknown = "outcome_unknown"
	resultAborted = "cut"
)

func (m *metrics) observeRequest(rq *request, res result, took time.Duration) {
	label := resultServed
	switch {
	case res.abort:
		label = resultAborted
	case res.err != nil && res.err.outcome == OutcomeNotRun:
		label = resultNotRun
	case res.err != nil:
		label = resultUnknown
	}
	m.requests.WithLabelValues(className(rq.class), label).Inc()
	m.duration.WithLabelValues(className(rq.class)).Observe(took.Seconds())
}

func className(c wirepb.Class) string {
	if c == wirepb.Class_BATCH {
		return classBatch
	}
	return classInteractive
}

// observeFirstByte observes the time to the first byte of a response.
func (e *Entry) observeFirstByte(rq *request, cold bool) {
	took := e.clock.Now().Sub(rq.received).Seconds()
	if cold {
		e.metrics.coldFirstByte.Observe(took)
		return
	}
	e.metrics.warmFirstByte.Observe(took)
}
