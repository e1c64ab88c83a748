package declarations

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const subsystem = "declarations"

type metrics struct {
	polls        *prometheus.CounterVec
	edits        *prometheus.CounterVec
	editDuration prometheus.Histogram
	applied      *prometheus.CounterVec
}

// Label values; each group lists all values of its label.
const (
	resultOK     = "ok"
	resultFailed = "failed"

	appliedDelta    = "delta"
	appliedSnapshot = "snapshot"

	outcomeMade        = "made"
	outcomeUnchanged   = "unchanged"
	outcomeConflict    = "conflict"
	outcomeInvalid     = "invalid"
	outcomeUnavailable = "unavailable"
	outcomeUnknown     = "unknown"
)

func newMetrics(registerer prometheus.Registerer, s *Store) *metrics {
	m := &metrics{
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "balsamsail", Subsystem: subsystem, Name: "polls_total",
			Help: "Reads of the newest revision from the table, by result.",
		}, []string{"result"}),
		edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "balsamsail", Subsystem: subsystem, Name: "edits_total",
			Help: "Edits asked of this process, by outcome.",
		}, []string{"outcome"}),
		editDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "balsamsail", Subsystem: subsystem, Name: "edit_duration_seconds",
			Help: "Time from an edit's request to its outcome.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}),
		applied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "balsamsail", Subsystem: subsystem, Name: "applied_total",
			Help: "Changes of the held declarations, by the form in which they came.",
		}, []string{"form"}),
	}
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "balsamsail", Subsystem: subsystem, Name: "revision",
		Help: "Revision of the declarations that is in force in this process.",
	}, func() float64 { return float64(s.Current().Revision()) })
	outage := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "balsamsail", Subsystem: subsystem, Name: "table_outage_seconds",
		Help: "Time since the table last answered a read; 0 while it answers.",
	}, s.outageSeconds)
	registerer.MustRegister(m.polls, m.edits, m.editDuration, m.applied, revision, outage)
	return m
}

// outcomeOf returns the outcome label of an edit.
func outcomeOf(result EditResult, err error) string {
	var conflict *ConflictError
	switch {
	case err == nil && len(result.Changed) == 0:
		return outcomeUnchanged
	case err == nil:
		return outcomeMade
	case errors.As(err, &conflict):
		return outcomeConflict
	case errors.Is(err, ErrOutcomeUnknown):
		return outcomeUnknown
	case errors.Is(err, ErrUnavailable):
		return outcomeUnavailable
	default:
		return outcomeInvalid
	}
}
