package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/httpstrict"
)

// Timeouts of one request to one entry.
const (
	// readTimeout bounds a read, after which the next entry is tried.
	readTimeout = 5 * time.Second
	// editResponseTimeout bounds an edit; it leaves the entry time to respond after EditTimeout.
	editResponseTimeout = EditTimeout + 5*time.Second
)

// Client is a client of the API with failover between several entries.
type Client struct {
	entries []string
	http    *http.Client
	// readTimeout and editResponseTimeout are the constants of the same names; tests override them.
	readTimeout         time.Duration
	editResponseTimeout time.Duration
}

// NewClient returns a client of the entries with the given base URLs ("http://127.0.0.1:8080"), which it tries in order. A
// read is retried at the next entry if an entry does not respond, an edit only if no part of it was sent.
func NewClient(entries []string, httpClient *http.Client) *Client {
	client := *httpClient
	client.CheckRedirect = disableRedirects
	client.Transport = httpstrict.Wrap(client.Transport)
	return &Client{entries: entries, http: &client, readTimeout: readTimeout, editResponseTimeout: editResponseTimeout}
}

// disableRedirects prevents net/http from sending an edit again to the target of a 307 or 308 response.
func disableRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Apply creates, replaces and deletes declarations. Its errors are those of Backend, ErrRequest, ErrInternal and
// ErrUnreachable; after *OutcomeUnknownError the edit may have been applied.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (Accepted, error) {
	return c.edit(ctx, applyPath, &request.Edit, &request)
}

// Label changes the labels of one declaration, with the errors of Apply.
func (c *Client) Label(ctx context.Context, request LabelRequest) (Accepted, error) {
	return c.edit(ctx, labelPath, &request.Edit, &request)
}

// Drain sets or ends the drain of one endpoint, with the errors of Apply.
func (c *Client) Drain(ctx context.Context, request DrainRequest) (Accepted, error) {
	return c.edit(ctx, drainPath, &request.Edit, &request)
}

// Operation looks up an edit by its identifier.
func (c *Client) Operation(ctx context.Context, id string) (Operation, error) {
	return read[Operation](ctx, c, operationPath, url.Values{paramID: {id}})
}

// Objects reads declarations.
func (c *Client) Objects(ctx context.Context, query ObjectQuery) (Objects, error) {
	return read[Objects](ctx, c, objectsPath, url.Values{paramKind: {query.Kind}, paramName: {query.Name}})
}

// Status returns the state of models and endpoints.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return read[Status](ctx, c, statusPath, nil)
}

// InForce returns the processes in which a revision is in force; 0 means the newest accepted one.
func (c *Client) InForce(ctx context.Context, revision uint64) (InForce, error) {
	return read[InForce](ctx, c, inForcePath, url.Values{paramRevision: {strconv.FormatUint(revision, 10)}})
}

// Processes lists the live processes.
func (c *Client) Processes(ctx context.Context) (ProcessList, error) {
	return read[ProcessList](ctx, c, processesPath, nil)
}

// edit sends an edit to the first reachable entry.
//
// An edit that was sent, even in part, is never retried automatically, because the first copy may still be applied.
// Instead it returns *OutcomeUnknownError with the identifier for a later lookup.
func (c *Client) edit(ctx context.Context, path string, common *Edit, request any) (Accepted, error) {
	if common.OperationID == "" {
		common.OperationID = newOperationID()
	}
	body, err := json.Marshal(request)
	if err != nil {
		return Accepted{}, errors.Wrap(ErrRequest, err.Error())
	}
	failure := error(ErrUnreachable)
	for _, entry := range c.entries {
		var accepted Accepted
		sent, err := c.do(ctx, c.editResponseTimeout, http.MethodPost, entry+path, body, &accepted)
		if err == nil {
			return accepted, nil
		}
		if sent {
			return Accepted{}, classifyEditError(common.OperationID, err)
		}
		failure = errors.Wrap(ErrUnreachable, err.Error())
	}
	return Accepted{}, failure
}

// classifyEditError returns an error reported by an entry unchanged and converts any other to *OutcomeUnknownError.
func classifyEditError(id string, err error) error {
	var broken *transportError
	if errors.As(err, &broken) || errors.Is(err, ErrResponse) {
		return &OutcomeUnknownError{OperationID: id, Reason: err.Error()}
	}
	return err
}

// read queries the entries in order until one responds.
func read[A any](ctx context.Context, c *Client, path string, query url.Values) (A, error) {
	var zero A
	failure := error(ErrUnreachable)
	for _, entry := range c.entries {
		var answer A
		_, err := c.do(ctx, c.readTimeout, http.MethodGet, entry+path+"?"+query.Encode(), nil, &answer)
		if err == nil {
			return answer, nil
		}
		var broken *transportError
		if !errors.As(err, &broken) {
			return zero, err
		}
		failure = errors.Wrap(ErrUnreachable, err.Error())
	}
	return zero, failure
}

// transportError reports that a request ended without a complete response.
type transportError struct{ reason string }

func (e *transportError) Error() string { return e.reason }

// do performs one request and decodes its response. It reports whether any part of the request may have been sent.
//
// The timeout covers an entry that hangs: it accepts the connection and never responds, and the command would block
// although other entries work.
func (c *Client) do(
	ctx context.Context, timeout time.Duration, method, target string, body []byte, answer any,
) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(ErrRequest, err.Error())
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sent.Load(), &transportError{reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // A close error cannot lose data that was read.
	return true, readResponse(response, answer)
}

func readResponse(response *http.Response, answer any) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, MaxResponseBytes))
	if err != nil {
		return &transportError{reason: err.Error()}
	}
	if response.StatusCode == http.StatusOK {
		return unmarshalResponse(data, answer)
	}
	var failure ErrorResponse
	if err := unmarshalResponse(data, &failure); err != nil {
		return errors.WithMessagef(err, "status %d", response.StatusCode)
	}
	return responseError(failure, response.Header.Get("Retry-After"))
}

func unmarshalResponse(data []byte, answer any) error {
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrap(ErrResponse, err.Error())
	}
	return nil
}

// newOperationID returns a random unique identifier.
func newOperationID() string { return strings.ToLower(rand.Text()) }
