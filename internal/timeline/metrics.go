package timeline

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrMetrics reports that the metrics could not be registered.
var ErrMetrics = errors.New("timeline: registering metrics failed")

// Register registers the recorder's metrics. Its errors wrap ErrMetrics.
func (r *Recorder) Register(registerer prometheus.Registerer) error {
	for _, collector := range r.collectors() {
		if err := registerer.Register(collector); err != nil {
			return errors.Wrap(ErrMetrics, err.Error())
		}
	}
	return nil
}

func (r *Recorder) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		counter("recorded_events_total", "Events recorded.", func() float64 {
			_, latest := r.bounds()
			return float64(latest)
		}),
		counter("evicted_events_total", "Events dropped from the ring for lack of room.", func() float64 {
			oldest, _ := r.bounds()
			return float64(oldest - 1)
		}),
		counter("rejected_clock_readings_total",
			"Clock readings of other processes that were too far ahead; the merged order is then wrong for them.",
			func() float64 { return float64(r.clock.Rejected()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "balsamsail", Subsystem: "timeline", Name: "kept_bytes",
			Help: "Memory that the kept events take.",
		}, func() float64 { return float64(r.Bytes()) }),
	}
}

func counter(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "balsamsail", Subsystem: "timeline", Name: name, Help: help,
	}, read)
}

// bounds returns the sequences of the oldest and the latest stored event.
func (r *Recorder) bounds() (uint64, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest, r.latest
}
