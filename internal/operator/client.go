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
)

// The bounds of one exchange with one entry.
const (
	// readTimeout bounds a read, after which the next entry is asked.
	readTimeout = 5 * time.Second
	// answerTimeout bounds an edit; it leaves the entry time to answer after EditTimeout.
	answerTimeout = EditTimeout + 5*time.Second
)

// Client speaks the API to one of several entries.
type Client struct {
	entries []string
	http    *http.Client
	// readTimeout and answerTimeout are the constants of these names, but in tests.
	readTimeout   time.Duration
	answerTimeout time.Duration
}

// NewClient returns a client of the entries with the given base URLs ("http://127.0.0.1:8080"), which it asks in turn:
// a read goes to the next entry after any failure to answer, an edit only while none of it was sent.
func NewClient(entries []string, httpClient *http.Client) *Client {
	once := *httpClient
	once.CheckRedirect = keepRedirect
	return &Client{entries: entries, http: &once, readTimeout: readTimeout, answerTimeout: answerTimeout}
}

// keepRedirect keeps net/http from sending an edit again to where a 307 or 308 answer points.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Apply puts and deletes declarations. Its errors are those of Backend, ErrUnreachable and ErrAnswer; after
// *OutcomeUnknownError the edit may have been applied.
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

// Operation looks an edit up by its identifier.
func (c *Client) Operation(ctx context.Context, id string) (Operation, error) {
	return read[Operation](ctx, c, operationPath, url.Values{paramID: {id}})
}

// Objects reads declarations.
func (c *Client) Objects(ctx context.Context, query ObjectQuery) (Objects, error) {
	return read[Objects](ctx, c, objectsPath, url.Values{paramKind: {query.Kind}, paramName: {query.Name}})
}

// Status reads the state of models and endpoints.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return read[Status](ctx, c, statusPath, nil)
}

// InForce reads where a revision is in force; 0 asks for the newest accepted one.
func (c *Client) InForce(ctx context.Context, revision uint64) (InForce, error) {
	return read[InForce](ctx, c, inForcePath, url.Values{paramRevision: {strconv.FormatUint(revision, 10)}})
}

// Processes lists the live processes.
func (c *Client) Processes(ctx context.Context) (ProcessList, error) {
	return read[ProcessList](ctx, c, processesPath, nil)
}

// edit sends an edit to the first entry that can be reached.
//
// An edit that was sent, even in part, is never sent again by itself: its first copy may yet be applied. It ends in
// *OutcomeUnknownError instead, with the identifier that tells later.
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
		sent, err := c.do(ctx, c.answerTimeout, http.MethodPost, entry+path, body, &accepted)
		if err == nil {
			return accepted, nil
		}
		if sent {
			return Accepted{}, unknownUnlessDefinite(common.OperationID, err)
		}
		failure = errors.Wrap(ErrUnreachable, err.Error())
	}
	return Accepted{}, failure
}

// unknownUnlessDefinite keeps an error that an entry gave and makes any other one "outcome unknown".
func unknownUnlessDefinite(id string, err error) error {
	var broken *brokenError
	if errors.As(err, &broken) || errors.Is(err, ErrAnswer) {
		return &OutcomeUnknownError{OperationID: id, Reason: err.Error()}
	}
	return err
}

// read asks the entries in turn until one answers.
func read[A any](ctx context.Context, c *Client, path string, query url.Values) (A, error) {
	var none A
	failure := error(ErrUnreachable)
	for _, entry := range c.entries {
		var answer A
		_, err := c.do(ctx, c.readTimeout, http.MethodGet, entry+path+"?"+query.Encode(), nil, &answer)
		if err == nil {
			return answer, nil
		}
		var broken *brokenError
		if !errors.As(err, &broken) {
			return none, err
		}
		failure = errors.Wrap(ErrUnreachable, err.Error())
	}
	return none, failure
}

// brokenError says that an exchange ended without an answer.
type brokenError struct{ reason string }

func (e *brokenError) Error() string { return e.reason }

// do makes one exchange. It reports whether any of the request may have been sent.
//
// The timeout guards against an entry that is frozen: it takes the connection and never answers, and the command would
// hang although the other entries work.
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
		return sent.Load(), &brokenError{reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // Only read from: closing cannot lose anything.
	return true, readAnswer(response, answer)
}

func readAnswer(response *http.Response, answer any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return &brokenError{reason: err.Error()}
	}
	if response.StatusCode == http.StatusOK {
		return unmarshalAnswer(data, answer)
	}
	var failure ErrorAnswer
	if err := unmarshalAnswer(data, &failure); err != nil {
		return errors.WithMessagef(err, "status %d", response.StatusCode)
	}
	return answerError(failure, response.Header.Get("Retry-After"))
}

func unmarshalAnswer(data []byte, answer any) error {
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrap(ErrAnswer, err.Error())
	}
	return nil
}

// newOperationID returns an identifier that no other edit has.
func newOperationID() string { return strings.ToLower(rand.Text()) }
