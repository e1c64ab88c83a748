package process

import (
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsInFlight bounds the scrapes that are answered at once; more are refused with 503, so that a stuck scraper does
// not pile up memory.
const metricsInFlight = 4

// NewRegistry returns a registry with the collectors of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// MetricsHandler serves what the gatherer holds. A collector that fails is logged and left out of the answer.
func MetricsHandler(gatherer prometheus.Gatherer, logger *slog.Logger) http.Handler {
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{
		ErrorLog:            slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: metricsInFlight,
	})
}
