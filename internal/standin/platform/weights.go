package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/standin/control"
)

// The kinds of transfers from the weight store.
const (
	FetchWeights = "weights"
	FetchAdapter = "adapter"
)

// FetchRequest asks the weight store for a checkpoint or an adapter.
type FetchRequest struct {
	// Kind is FetchWeights or FetchAdapter.
	Kind  string `json:"kind"`
	Model string `json:"model"`
	// Seconds is the duration of the transfer at full speed.
	Seconds float64 `json:"seconds"`
}

// WeightLimits are the limits within which transfers run at full speed. When one is exceeded, all transfers in progress that
// it applies to slow down in proportion.
type WeightLimits struct {
	// Loads is the number of concurrent checkpoint transfers (4).
	Loads int
	// LoadsPerSecond is the rate at which checkpoint transfers start (2.5), measured over the last RateWindow.
	LoadsPerSecond float64
	// Adapters is the number of concurrent adapter transfers (30).
	Adapters int
}

// RateWindow is the time over which the rate of transfer starts is measured.
const RateWindow = 2 * time.Second

// WeightFaults are the faults that can be injected into the weight store.
type WeightFaults struct {
	// Outage answers every new transfer with 503 and drops the connections of those in progress.
	Outage bool `json:"outage"`
	// SlowFactor makes every transfer that many times slower; 0 and 1 mean full speed.
	SlowFactor float64 `json:"slow_factor"`
}

// WeightTruth counts the transfers of the weight store.
type WeightTruth struct {
	Loads    TransferTruth `json:"loads"`
	Adapters TransferTruth `json:"adapters"`
}

// TransferTruth counts the transfers of one kind.
type TransferTruth struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Cut      int `json:"cut"`
	Refused  int `json:"refused"`
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak_in_flight"`
}

type weights struct {
	server *Server
	limits WeightLimits

	mu     sync.Mutex
	truth  WeightTruth
	starts []time.Time
}

const (
	defaultLoads          = 4
	defaultLoadsPerSecond = 2.5
	defaultAdapters       = 30
)

func newWeights(s *Server, limits WeightLimits) *weights {
	if limits.Loads == 0 {
		limits.Loads = defaultLoads
	}
	if limits.LoadsPerSecond == 0 {
		limits.LoadsPerSecond = defaultLoadsPerSecond
	}
	if limits.Adapters == 0 {
		limits.Adapters = defaultAdapters
	}
	return &weights{server: s, limits: limits}
}

func (w *weights) mount(r chi.Router) { r.Post("/weights/fetch", w.fetch) }

func (w *weights) fetch(rw http.ResponseWriter, r *http.Request) {
	var request FetchRequest
	if err := control.ReadJSON(r, &request); err != nil {
		control.WriteError(rw, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if request.Kind != FetchWeights && request.Kind != FetchAdapter {
		control.WriteError(rw, http.StatusBadRequest, "invalid", "kind is neither weights nor adapter")
		return
	}
	if w.server.faults.Get().Weights.Outage {
		w.count(request.Kind, func(t *TransferTruth) { t.Refused++ })
		control.WriteError(rw, http.StatusServiceUnavailable, "unavailable", "outage")
		return
	}
	w.recordStart(request.Kind)
	if !w.transfer(r, request) {
		w.count(request.Kind, func(t *TransferTruth) { t.Cut++; t.InFlight-- })
		control.DropConnection()
	}
	w.count(request.Kind, func(t *TransferTruth) { t.Finished++; t.InFlight-- })
	rw.WriteHeader(http.StatusNoContent)
}

const (
	minStep = time.Millisecond
	maxStep = 50 * time.Millisecond
	// A step takes 1/stepShare of the remaining time, so that the steps become shorter towards the end.
	stepShare = 8
)

// transfer waits until the transfer is complete, at a speed that depends on the load. It returns false if the transfer is
// interrupted by the client or an outage.
func (w *weights) transfer(r *http.Request, request FetchRequest) bool {
	remaining := control.Seconds(request.Seconds)
	last := w.server.clock.Now()
	for remaining > 0 {
		speed := w.speed(request.Kind)
		step := max(minStep, min(maxStep, remaining/stepShare))
		if !control.Sleep(r.Context(), w.server.clock, step) || w.server.faults.Get().Weights.Outage {
			return false
		}
		now := w.server.clock.Now()
		remaining -= time.Duration(float64(now.Sub(last)) * speed)
		last = now
	}
	return true
}

// speed returns the present speed of a transfer as a fraction of full speed.
func (w *weights) speed(kind string) float64 {
	slow := max(1, w.server.faults.Get().Weights.SlowFactor)
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == FetchAdapter {
		return speedShare(float64(w.limits.Adapters), float64(w.truth.Adapters.InFlight)) / slow
	}
	recent := float64(w.recentStarts()) / RateWindow.Seconds()
	speed := speedShare(float64(w.limits.Loads), float64(w.truth.Loads.InFlight))
	return min(speed, speedShare(w.limits.LoadsPerSecond, recent)) / slow
}

// speedShare returns the fraction of full speed at the given demand: 1 up to the limit, limit/demand beyond it.
func speedShare(limit, demand float64) float64 {
	if demand <= limit {
		return 1
	}
	return limit / demand
}

func (w *weights) recordStart(kind string) {
	w.count(kind, func(t *TransferTruth) {
		t.Started++
		t.InFlight++
		t.Peak = max(t.Peak, t.InFlight)
		if kind == FetchWeights {
			w.starts = append(w.starts, w.server.clock.Now())
		}
	})
}

// recentStarts drops the starts before the window and returns the number of the others.
func (w *weights) recentStarts() int {
	since := w.server.clock.Now().Add(-RateWindow)
	for len(w.starts) > 0 && w.starts[0].Before(since) {
		w.starts = w.starts[1:]
	}
	return len(w.starts)
}

func (w *weights) count(kind string, change func(*TransferTruth)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == FetchAdapter {
		change(&w.truth.Adapters)
		return
	}
	change(&w.truth.Loads)
}

func (w *weights) counts() WeightTruth {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.truth
}
