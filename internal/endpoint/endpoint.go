// Package endpoint contains the clients for the back ends that agents run beside: model engines and plain services.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnreachable means that no connection could be made; the call had no effect.
	ErrUnreachable = errors.New("endpoint: unreachable")
	// ErrOutcomeUnknown means that the call was sent but got no definite answer; it may have taken effect or may still
	// do so.
	ErrOutcomeUnknown = errors.New("endpoint: outcome unknown")
	// ErrFenced means that the engine refused an order because its fencing token is outdated; the order had no effect.
	ErrFenced = errors.New("endpoint: order fenced off")
	// ErrNoMemory means that the engine refused a load for lack of memory; the order had no effect.
	ErrNoMemory = errors.New("endpoint: out of memory")
	// ErrLoadFailed means that a load definitely failed and the engine holds nothing of it.
	ErrLoadFailed = errors.New("endpoint: load failed")
	// ErrUnauthorized means that the endpoint rejected the credentials of an order.
	ErrUnauthorized = errors.New("endpoint: unauthorized")
	// ErrUnavailable means that the endpoint currently does not take the call; it had no effect.
	ErrUnavailable = errors.New("endpoint: unavailable")
	// ErrInvalid means that the endpoint rejected the call as malformed; it had no effect.
	ErrInvalid = errors.New("endpoint: invalid call")
	// ErrWrongAnswer means that an answer did not carry the request's identifier.
	ErrWrongAnswer = errors.New("endpoint: answer to another request")
)

// OrderKind is the operation of an order.
type OrderKind string

// The orders that an engine takes.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is one command to an engine. The engine answers when the command has completed or failed.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Model is "name@version".
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// FencingToken is the fencing token. It increases with each order of an agent and from each agent to the next.
	FencingToken uint64 `json:"fence"`
	// MemoryBytes is the declared memory demand of the load.
	MemoryBytes int64 `json:"memory_bytes"`
}

// LoadedModel is one model version that an engine holds, is loading or is unloading.
type LoadedModel struct {
	Model string `json:"model"`
	// State is "loading", "loaded" or "unloading".
	State        string   `json:"state"`
	MemoryBytes  int64    `json:"memory_bytes"`
	Adapters     []string `json:"adapters,omitempty"`
	FencingToken uint64   `json:"fence"`
}

// The states of a LoadedModel.
const (
	EngineLoading   = "loading"
	EngineLoaded    = "loaded"
	EngineUnloading = "unloading"
)

// EngineState is the present state of an engine, read from the engine itself.
type EngineState struct {
	// Incarnation changes when the engine process restarts; a restarted engine holds nothing.
	Incarnation string        `json:"incarnation"`
	MemoryBytes int64         `json:"memory_bytes"`
	UsedBytes   int64         `json:"used_bytes"`
	Models      []LoadedModel `json:"models"`
	// Cached lists model versions whose checkpoint is in host memory ("memory") or on local disk ("disk").
	Cached map[string]string `json:"cached,omitempty"`
	// HighestFencingToken is the highest fencing token seen; 0 if the engine ignores them.
	HighestFencingToken uint64 `json:"highest_fence"`
}

// LoadReport is an engine's report of its load. It lags behind the actual load.
type LoadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	KVUsed     float64   `json:"kv_used"`
	ReportedAt time.Time `json:"reported_at"`
}

// Engine is a model engine.
type Engine interface {
	// Do sends an order and waits for its result.
	Do(ctx context.Context, order Order) error
	// State reads the engine's present state.
	State(ctx context.Context) (EngineState, error)
	// Report reads the engine's load report, which lags.
	Report(ctx context.Context) (LoadReport, error)
}

// Caller sends requests to an endpoint, which may be an engine or a plain service. It never retries a request.
type Caller interface {
	// Call sends one request, whose URL holds only path and query. ErrUnreachable means that no byte was sent; after
	// any other error the endpoint may have run the request.
	Call(req *http.Request) (*http.Response, error)
}
