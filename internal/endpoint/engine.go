package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// Timeouts bound the calls to an engine.
type Timeouts struct {
	// Order bounds an order from sending it to its end (15 minutes).
	Order time.Duration
	// Read bounds a read of the state, the report or the events (2 seconds).
	Read time.Duration
}

const (
	defaultOrderTimeout = 15 * time.Minute
	defaultReadTimeout  = 2 * time.Second
	// maxAnswer bounds an answer of the administration interface, in bytes.
	maxAnswer = 16 << 20
)

// EventSource is an engine that publishes its prefix cache's events.
type EventSource interface {
	// Events returns the events with a sequence number above after.
	Events(ctx context.Context, after uint64) (CacheEvents, error)
}

// HTTPEngine is an engine behind its HTTP administration interface. It implements Engine and EventSource.
type HTTPEngine struct {
	base        string
	credentials string
	timeouts    Timeouts
	client      *sendonce.Client
}

// NewHTTPEngine returns a client of the engine at a base URL. Credentials, if any, go with each order as a bearer token
// and are never logged.
func NewHTTPEngine(baseURL, credentials string, timeouts Timeouts) *HTTPEngine {
	if timeouts.Order <= 0 {
		timeouts.Order = defaultOrderTimeout
	}
	if timeouts.Read <= 0 {
		timeouts.Read = defaultReadTimeout
	}
	return &HTTPEngine{base: baseURL, credentials: credentials, timeouts: timeouts, client: sendonce.New(nil)}
}

// Do implements Engine. Only an answer that names its code is a definite refusal: a bare status may come from
// something between the agent and the engine, and proves nothing about the order.
func (e *HTTPEngine) Do(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeouts.Order)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return fail(ErrInvalid, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+PathOrders, bytes.NewReader(body))
	if err != nil {
		return fail(ErrInvalid, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if e.credentials != "" {
		req.Header.Set("Authorization", "Bearer "+e.credentials)
	}
	result, err := e.client.Do(req)
	if err != nil {
		return lost(result, err)
	}
	defer result.Response.Body.Close()
	if result.Response.StatusCode == http.StatusOK {
		return nil
	}
	return refusal(result.Response)
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	err := e.read(ctx, PathState, &state)
	return state, err
}

// Report implements Engine.
func (e *HTTPEngine) Report(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := e.read(ctx, PathReport, &report)
	return report, err
}

// Events implements EventSource.
func (e *HTTPEngine) Events(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := e.read(ctx, PathEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// read reads a document. A read has no effect, so that each failure without a definite refusal is ErrUnavailable.
func (e *HTTPEngine) read(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeouts.Read)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return fail(ErrInvalid, err)
	}
	result, err := e.client.Do(req)
	if err != nil && !result.MaybeSent {
		return fail(ErrUnreachable, err)
	}
	if err != nil {
		return fail(ErrUnavailable, err)
	}
	defer result.Response.Body.Close()
	if result.Response.StatusCode != http.StatusOK {
		return fail(ErrUnavailable, errors.Errorf("status %d", result.Response.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(result.Response.Body, maxAnswer)).Decode(into); err != nil {
		return fail(ErrUnavailable, err)
	}
	return nil
}

// refusal returns the error of an order that was answered with something other than success.
func refusal(resp *http.Response) error {
	var document Refusal
	// An answer that is no refusal document has no code and leaves the outcome unknown.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&document)
	cause := errors.Errorf("status %d %s", resp.StatusCode, document.Error.Message)
	// Credentials are checked before an order is looked at, often by a layer that knows no codes.
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden {
		return fail(ErrUnauthorized, cause)
	}
	switch document.Error.Code {
	case CodeFenced:
		return fail(ErrFenced, cause)
	case CodeNoMemory:
		return fail(ErrNoMemory, cause)
	case CodeLoadFailed:
		return fail(ErrLoadFailed, cause)
	case CodeUnauthorized:
		return fail(ErrUnauthorized, cause)
	case CodeUnavailable:
		return fail(ErrUnavailable, cause)
	case CodeInvalid:
		return fail(ErrInvalid, cause)
	}
	return fail(ErrOutcomeUnknown, cause)
}

// lost returns the error of a call that got no answer.
func lost(result sendonce.Result, err error) error {
	if !result.MaybeSent {
		return fail(ErrUnreachable, err)
	}
	return fail(ErrOutcomeUnknown, err)
}

// fail joins one of the package's errors with its cause; errors.Is finds both.
func fail(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }
