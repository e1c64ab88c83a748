package process

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/timeline"
)

// The paths that every process serves.
const (
	HealthPath   = "/healthz"
	ReadyPath    = "/readyz"
	MetricsPath  = "/metrics"
	TimelinePath = timeline.Path
)

// ReadyFunc returns the reasons why a process is not ready; none means ready. It must not block.
type ReadyFunc func() []string

// Readiness is the response body of ReadyPath.
type Readiness struct {
	Process string   `json:"process"`
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// Options are the settings of a Server.
type Options struct {
	// Name is the process name in responses.
	Name string
	// Ready reports the readiness; nil means always ready.
	Ready ReadyFunc
	// Metrics is served under MetricsPath, for example from NewRegistry; nil disables the path.
	Metrics prometheus.Gatherer
	// Timeline is served under TimelinePath; nil disables the path.
	Timeline *timeline.Recorder
	// Logger receives errors; nil discards them.
	Logger *slog.Logger
}

// Server serves the operational HTTP paths of one process. It implements http.Handler.
type Server struct {
	options Options
	router  chi.Router
}

// NewServer returns a server with the paths that every process serves.
func NewServer(options Options) *Server {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Ready == nil {
		options.Ready = func() []string { return nil }
	}
	s := &Server{options: options, router: chi.NewRouter()}
	s.router.Get(HealthPath, s.health)
	s.router.Get(ReadyPath, s.ready)
	if options.Metrics != nil {
		s.router.Method(http.MethodGet, MetricsPath, MetricsHandler(options.Metrics, options.Logger))
	}
	if options.Timeline != nil {
		s.router.Method(http.MethodGet, TimelinePath, timeline.NewHandler(options.Timeline))
	}
	return s
}

// Router returns the router, to which a process may add its own paths before it starts serving.
func (s *Server) Router() chi.Router { return s.router }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// health reports that the process is alive.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write([]byte("ok\n")); err != nil {
		s.options.Logger.Debug("writing response failed", "path", HealthPath, "error", err)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := s.options.Ready()
	answer := Readiness{Process: s.options.Name, Ready: len(reasons) == 0, Reasons: reasons}
	status := http.StatusOK
	if !answer.Ready {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		s.options.Logger.Debug("writing response failed", "path", ReadyPath, "error", err)
	}
}
