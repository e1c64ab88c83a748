package process

import (
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxConcurrentScrapes bounds concurrent scrapes; further ones get status 503, so that stuck scrapers do not accumulate
// memory.
const maxConcurrentScrapes = 4

// NewRegistry returns a registry with the Go runtime and process collectors.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// MetricsHandler serves the gatherer's metrics. The error of a failed collector is logged and its metrics are omitted.
func MetricsHandler(gatherer prometheus.Gatherer, logger *slog.Logger) http.Handler {
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{
		ErrorLog:            slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: maxConcurrentScrapes,
	})
}
