// Package endpoint holds the clients of the back ends beside which an agent runs: model engines and plain services.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnreachable says that no connection could be made; the call had no effect.
	ErrUnreachable = errors.New("endpoint: unreachable")
	// ErrOutcomeUnknown says that the call was sent and no definite answer came; it may have had or may still have its
	// effect.
	ErrOutcomeUnknown = errors.New("endpoint: outcome unknown")
	// ErrFenced says that the engine refused an order carrying an old fencing number; it had no effect.
	ErrFenced = errors.New("endpoint: order fenced off")
	// ErrNoMemory says that the engine refused a load for lack of memory; it had no effect.
	ErrNoMemory = errors.New("endpoint: out of memory")
	// ErrLoadFailed says that a load ended in a definite failure and the engine holds nothing of it.
	ErrLoadFailed = errors.New("endpoint: load failed")
	// ErrUnauthorized says that the endpoint refused the credentials of an order.
	ErrUnauthorized = errors.New("endpoint: unauthorized")
	// ErrUnavailable says that the endpoint refused to take the call just now; it had no effect.
	ErrUnavailable = errors.New("endpoint: unavailable")
	// ErrInvalid says that the endpoint found the call malformed; it had no effect.
	ErrInvalid = errors.New("endpoint: invalid call")
	// ErrWrongAnswer says that an answer carried another request's identifier.
	ErrWrongAnswer = errors.New("endpoint: answer to another request")
)

// OrderKind names what an order does.
type OrderKind string

// The orders that an engine takes.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is one command to an engine. It returns when it is carried out or has failed.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Model is "name@version".
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Fence is the fencing number; it rises with each order that an agent gives, and over agents.
	Fence uint64 `json:"fence"`
	// MemoryBytes is what the load is declared to take.
	MemoryBytes int64 `json:"memory_bytes"`
}

// LoadedModel is one model version that an engine holds, loads or drops.
type LoadedModel struct {
	Model string `json:"model"`
	// State is "loading", "loaded" or "unloading".
	State       string   `json:"state"`
	MemoryBytes int64    `json:"memory_bytes"`
	Adapters    []string `json:"adapters,omitempty"`
	Fence       uint64   `json:"fence"`
}

// The states of a LoadedModel.
const (
	EngineLoading   = "loading"
	EngineLoaded    = "loaded"
	EngineUnloading = "unloading"
)

// EngineState is what an engine says of itself when asked; it is current, not lagging.
type EngineState struct {
	// Incarnation changes when the engine process restarts; a restarted engine holds nothing.
	Incarnation string        `json:"incarnation"`
	MemoryBytes int64         `json:"memory_bytes"`
	UsedBytes   int64         `json:"used_bytes"`
	Models      []LoadedModel `json:"models"`
	// Cached lists model versions whose checkpoint is in host memory ("memory") or on local disk ("disk").
	Cached map[string]string `json:"cached,omitempty"`
	// HighestFence is the highest fencing number seen; 0 where the engine ignores them.
	HighestFence uint64 `json:"highest_fence"`
}

// LoadReport is an engine's lagging report of its load.
type LoadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	KVUsed     float64   `json:"kv_used"`
	ReportedAt time.Time `json:"reported_at"`
}

// Engine is a model engine.
type Engine interface {
	// Do gives an order and waits for its end.
	Do(ctx context.Context, order Order) error
	// State reads the engine's real state.
	State(ctx context.Context) (EngineState, error)
	// Report reads the engine's lagging load report.
	Report(ctx context.Context) (LoadReport, error)
}

// Caller sends requests to an endpoint, engine or plain service. It never repeats one by itself.
type Caller interface {
	// Call sends one request. The request's URL holds path and query only. ErrUnreachable means that not a byte was
	// sent; any other error means that the endpoint may have run it.
	Call(req *http.Request) (*http.Response, error)
}
