package backing

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// defaultTimeout is used if Options.Timeout is not set.
const defaultTimeout = 5 * time.Second

// maxResponseBytes bounds the body of a response from the platform; a table of 80,000 rows takes 24 MB.
const maxResponseBytes = 64 << 20

// serviceClient calls one of the platform's services.
type serviceClient struct {
	base    string
	timeout time.Duration
	client  *sendonce.Client
}

func newServiceClient(base string, o Options, client *http.Client) serviceClient {
	var transport http.RoundTripper
	if client != nil {
		transport = client.Transport
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return serviceClient{base: base, timeout: timeout, client: sendonce.New(transport)}
}

// response is a complete response of a service.
type response struct {
	status int
	body   []byte
	// ambiguousErr is the error for statuses that do not prove an outcome.
	ambiguousErr error
}

// write makes a call with a side effect. If the response is lost, the outcome is unknown.
func (s serviceClient) write(ctx context.Context, method, path string, body []byte) (response, error) {
	return s.call(ctx, method, path, body, ErrOutcomeUnknown)
}

// read makes a call without a side effect. A lost response only means that nothing was read.
func (s serviceClient) read(ctx context.Context, path string) (response, error) {
	resp, err := s.call(ctx, http.MethodGet, path, nil, ErrUnavailable)
	if err != nil {
		return response{}, err
	}
	return resp, resp.err()
}

// call sends one request and reads the whole response, including an error response. It fails with ErrUnavailable if
// nothing was sent, and with ambiguousErr if no complete response was received.
func (s serviceClient) call(ctx context.Context, method, path string, body []byte, ambiguousErr error) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, wrapError(ErrInvalid, err)
	}
	result, err := s.client.Do(req)
	if err != nil && !result.MaybeSent {
		return response{}, wrapError(ErrUnavailable, err)
	}
	if err != nil {
		return response{}, wrapError(ambiguousErr, err)
	}
	defer result.Response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(result.Response.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errors.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return response{}, wrapError(ambiguousErr, err)
	}
	return response{status: result.Response.StatusCode, body: data, ambiguousErr: ambiguousErr}, nil
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

const codeNotFound = "not_found"

// err returns the error for the response's status, nil for success.
func (r response) err() error {
	if r.status >= 200 && r.status < 300 {
		return nil
	}
	var document errorBody
	// If the body is not an error document, only the status is used.
	_ = json.Unmarshal(r.body, &document)
	cause := errors.Errorf("status %d %s", r.status, document.Error.Message)
	switch {
	case r.status == http.StatusNotFound && document.Error.Code == codeNotFound:
		return ErrNotFound
	case r.status == http.StatusTooManyRequests:
		return wrapError(ErrRateLimited, cause)
	case r.status == http.StatusServiceUnavailable:
		return wrapError(ErrUnavailable, cause)
	case r.status >= 400 && r.status < 500:
		return wrapError(ErrInvalid, cause)
	}
	return wrapError(r.ambiguousErr, cause)
}

// wrapError wraps both one of the package's errors and its cause; errors.Is finds both.
func wrapError(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }

// httpTable is a client of the table service. An answer names no call; what the calls ask for and the revisions, which increase with
// each commit, show that it may not be the one to a call.
type httpTable struct {
	serviceClient
	// seen is the highest revision that an answer has named.
	seen atomic.Uint64
}

// see records a revision that an answer has named.
func (t *httpTable) see(revision uint64) {
	for seen := t.seen.Load(); revision > seen && !t.seen.CompareAndSwap(seen, revision); {
		seen = t.seen.Load()
	}
}

// NewHTTPTable returns a client of the table service. Only the transport of the HTTP client is used; the client may be
// nil. Commits are never retried and redirects are not followed.
func NewHTTPTable(o Options, client *http.Client) Table {
	return &httpTable{serviceClient: newServiceClient(o.TableURL, o, client)}
}

// Get implements Table.
func (t *httpTable) Get(ctx context.Context, key string) (Row, error) {
	resp, err := t.read(ctx, "/table/row?"+url.Values{"key": {key}}.Encode())
	if err != nil {
		return Row{}, err
	}
	var row Row
	if err := json.Unmarshal(resp.body, &row); err != nil {
		return Row{}, wrapError(ErrUnavailable, err)
	}
	if row.Key != key {
		return Row{}, wrapError(ErrUnavailable, errors.Errorf("the response has row %.40q", row.Key))
	}
	t.see(row.Revision)
	return row, nil
}

// List implements Table.
func (t *httpTable) List(ctx context.Context, prefix string, after uint64) (Listing, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	resp, err := t.read(ctx, "/table/rows?"+query.Encode())
	if err != nil {
		return Listing{}, err
	}
	listing, err := decodeListing(resp.body)
	if err != nil {
		return Listing{}, wrapError(ErrUnavailable, err)
	}
	if err := listing.check(prefix, after); err != nil {
		return Listing{}, wrapError(ErrUnavailable, err)
	}
	t.see(listing.Revision)
	return listing, nil
}

// decodeListing decodes a listing. A row with a field of another type is listed with an error, unless nothing tells which row it is: a
// listing without it would say that it does not exist.
func decodeListing(body []byte) (Listing, error) {
	var listing Listing
	if json.Unmarshal(body, &listing) == nil {
		return listing, nil
	}
	var rows struct {
		Revision uint64            `json:"revision"`
		Rows     []json.RawMessage `json:"rows"`
	}
	if err := json.Unmarshal(body, &rows); err != nil {
		return Listing{}, err
	}
	listing = Listing{Revision: rows.Revision}
	for _, raw := range rows.Rows {
		var row Row
		if err := json.Unmarshal(raw, &row); err != nil {
			var keyOnly struct {
				Key string `json:"key"`
			}
			if json.Unmarshal(raw, &keyOnly) != nil || keyOnly.Key == "" {
				return Listing{}, errors.Wrapf(err, "a row without a key: %.40q", raw)
			}
			row = Row{Key: keyOnly.Key, Err: errors.Wrapf(err, "row %.40q", keyOnly.Key)}
		}
		listing.Rows = append(listing.Rows, row)
	}
	return listing, nil
}

// check returns an error if a listing cannot be the one of a prefix after a revision.
func (l *Listing) check(prefix string, after uint64) error {
	if l.Revision < after {
		return errors.Errorf("the response is of revision %d", l.Revision)
	}
	for _, row := range l.Rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Err == nil && row.Revision <= after {
			return errors.Errorf("the response has row %.40q of revision %d", row.Key, row.Revision)
		}
	}
	return nil
}

// Commit implements Table.
func (t *httpTable) Commit(ctx context.Context, txn Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, wrapError(ErrInvalid, err)
	}
	before := t.seen.Load()
	resp, err := t.write(ctx, http.MethodPost, "/table/commit", body)
	if err != nil {
		return 0, err
	}
	if resp.status == http.StatusConflict {
		return 0, parseConflict(resp, txn.Conditions)
	}
	if err := resp.err(); err != nil {
		return 0, err
	}
	var committed struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(resp.body, &committed); err != nil || committed.Revision == 0 {
		return 0, wrapError(ErrOutcomeUnknown, errors.New("commit response has no revision"))
	}
	for _, c := range txn.Conditions {
		before = max(before, c.Revision)
	}
	if committed.Revision <= before {
		return 0, wrapError(ErrOutcomeUnknown, errors.Errorf("commit response names revision %d, which was known before", committed.Revision))
	}
	t.see(committed.Revision)
	return committed.Revision, nil
}

// parseConflict returns the error for a conflict response. A response that names no row whose condition may have failed may
// come from an intermediary, or belong to another call, and proves nothing.
func parseConflict(resp response, conditions []Condition) error {
	var failed Condition
	if err := json.Unmarshal(resp.body, &failed); err != nil || failed.Key == "" {
		return wrapError(ErrOutcomeUnknown, errors.New("conflict response names no row"))
	}
	for _, c := range conditions {
		if c.Key == failed.Key && c.Revision != failed.Revision {
			return &ConflictError{Key: failed.Key, Revision: failed.Revision}
		}
	}
	return wrapError(ErrOutcomeUnknown, errors.Errorf("conflict response names row %.40q at revision %d, on which no condition failed", failed.Key, failed.Revision))
}
