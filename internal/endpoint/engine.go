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
	// Order bounds an order from sending it to its result (15 minutes).
	Order time.Duration
	// Read bounds a read of the state, the load report or the events (2 seconds).
	Read time.Duration
}

const (
	defaultOrderTimeout = 15 * time.Minute
	defaultReadTimeout  = 2 * time.Second
	// maxAnswerBytes is the maximum size of an answer of the administration interface.
	maxAnswerBytes = 16 << 20
)

// EventSource is an engine that publishes the events of its prefix cache.
type EventSource interface {
	// Events returns the events with a sequence number above after.
	Events(ctx context.Context, after uint64) (CacheEvents, error)
}

// HTTPEngine is a client of an engine's HTTP administration interface. It implements Engine and EventSource. Each call has a new
// connection: nothing in an answer names its call, and a server may send an answer to an earlier call on the connection once more.
type HTTPEngine struct {
	base        string
	credentials string
	timeouts    Timeouts
	client      *sendonce.Client
}

// NewHTTPEngine returns a client of the engine at a base URL. Credentials, if any, are sent with each order as a bearer
// token and are never logged.
func NewHTTPEngine(baseURL, credentials string, timeouts Timeouts) *HTTPEngine {
	if timeouts.Order <= 0 {
		timeouts.Order = defaultOrderTimeout
	}
	if timeouts.Read <= 0 {
		timeouts.Read = defaultReadTimeout
	}
	transport := sendonce.NewTransport()
	transport.DisableKeepAlives = true
	return &HTTPEngine{base: baseURL, credentials: credentials, timeouts: timeouts, client: sendonce.New(transport)}
}

// Do implements Engine. Only an answer with an error code is a definite refusal: a status without one may come from a
// proxy between the agent and the engine and says nothing about the order.
func (e *HTTPEngine) Do(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeouts.Order)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return wrapKind(ErrInvalid, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+PathOrders, bytes.NewReader(body))
	if err != nil {
		return wrapKind(ErrInvalid, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if e.credentials != "" {
		req.Header.Set("Authorization", "Bearer "+e.credentials)
	}
	result, err := e.client.Do(req)
	if err != nil {
		return callError(result, err)
	}
	defer result.Response.Body.Close()
	if result.Response.StatusCode == http.StatusOK {
		return nil
	}
	return refusalError(result.Response)
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

// read reads a JSON document. A read has no effect, so every failure after the request may have been sent is
// ErrUnavailable.
func (e *HTTPEngine) read(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeouts.Read)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return wrapKind(ErrInvalid, err)
	}
	result, err := e.client.Do(req)
	if err != nil && !result.MaybeSent {
		return wrapKind(ErrUnreachable, err)
	}
	if err != nil {
		return wrapKind(ErrUnavailable, err)
	}
	defer result.Response.Body.Close()
	if result.Response.StatusCode != http.StatusOK {
		return wrapKind(ErrUnavailable, errors.Errorf("status %d", result.Response.StatusCode))
	}
	if err := decodeWhole(result.Response, into); err != nil {
		return wrapKind(ErrUnavailable, err)
	}
	return nil
}

// decodeWhole decodes the JSON document of a response. It reads to the end, because only there does a cut show.
func decodeWhole(resp *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// refusalError returns the error for an order that was not answered with success.
func refusalError(resp *http.Response) error {
	var document ErrorDocument
	if err := decodeWhole(resp, &document); err != nil {
		// An answer that is not a whole error document has no code and leaves the outcome unknown.
		document = ErrorDocument{}
	}
	cause := errors.Errorf("status %d %s", resp.StatusCode, document.Error.Message)
	// Credentials are checked before an order is processed, often by a proxy that does not use the error codes.
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden {
		return wrapKind(ErrUnauthorized, cause)
	}
	switch document.Error.Code {
	case CodeFenced:
		return wrapKind(ErrFenced, cause)
	case CodeNoMemory:
		return wrapKind(ErrNoMemory, cause)
	case CodeLoadFailed:
		return wrapKind(ErrLoadFailed, cause)
	case CodeUnauthorized:
		return wrapKind(ErrUnauthorized, cause)
	case CodeUnavailable:
		return wrapKind(ErrUnavailable, cause)
	case CodeInvalid:
		return wrapKind(ErrInvalid, cause)
	}
	return wrapKind(ErrOutcomeUnknown, cause)
}

// callError returns the error of a call that got no answer.
func callError(result sendonce.Result, err error) error {
	if !result.MaybeSent {
		return wrapKind(ErrUnreachable, err)
	}
	return wrapKind(ErrOutcomeUnknown, err)
}

// wrapKind combines one of the package's errors with its cause; errors.Is matches both.
func wrapKind(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }
