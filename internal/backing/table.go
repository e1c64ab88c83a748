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
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// defaultTimeout bounds a call where Options.Timeout is zero.
const defaultTimeout = 5 * time.Second

// maxAnswer bounds an answer of the platform, in bytes.
const maxAnswer = 256 << 20

// service calls one of the platform's services.
type service struct {
	base    string
	timeout time.Duration
	client  *sendonce.Client
}

func newService(base string, o Options, client *http.Client) service {
	var transport http.RoundTripper
	if client != nil {
		transport = client.Transport
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return service{base: base, timeout: timeout, client: sendonce.New(transport)}
}

// answer is a complete answer of a service.
type answer struct {
	status int
	body   []byte
	// lost is what a status without a definite meaning stands for.
	lost error
}

// write calls a service with a side effect: of a lost answer the outcome is unknown.
func (s service) write(ctx context.Context, method, path string, body []byte) (answer, error) {
	return s.call(ctx, method, path, body, ErrOutcomeUnknown)
}

// read calls a service without side effect: a lost answer only means that nothing was read.
func (s service) read(ctx context.Context, path string) (answer, error) {
	a, err := s.call(ctx, http.MethodGet, path, nil, ErrUnavailable)
	if err != nil {
		return answer{}, err
	}
	return a, a.err()
}

// call sends one request and reads the whole answer, also a refusal. It fails with ErrUnavailable if not a byte was
// sent, and with lost if no complete answer came.
func (s service) call(ctx context.Context, method, path string, body []byte, lost error) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fail(ErrInvalid, err)
	}
	result, err := s.client.Do(req)
	if err != nil && !result.MaybeSent {
		return answer{}, fail(ErrUnavailable, err)
	}
	if err != nil {
		return answer{}, fail(lost, err)
	}
	defer result.Response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(result.Response.Body, maxAnswer))
	if err != nil {
		return answer{}, fail(lost, err)
	}
	return answer{status: result.Response.StatusCode, body: data, lost: lost}, nil
}

// errorDocument is the body of a refusal.
type errorDocument struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

const codeNotFound = "not_found"

// err returns the error that the answer's status stands for, nil for success.
func (a answer) err() error {
	if a.status >= 200 && a.status < 300 {
		return nil
	}
	var document errorDocument
	// A body that is no error document leaves the status alone to judge by.
	_ = json.Unmarshal(a.body, &document)
	cause := errors.Errorf("status %d %s", a.status, document.Error.Message)
	switch {
	case a.status == http.StatusNotFound && document.Error.Code == codeNotFound:
		return ErrNotFound
	case a.status == http.StatusTooManyRequests:
		return fail(ErrRateLimited, cause)
	case a.status == http.StatusServiceUnavailable:
		return fail(ErrUnavailable, cause)
	case a.status >= 400 && a.status < 500:
		return fail(ErrInvalid, cause)
	}
	return fail(a.lost, cause)
}

// fail joins one of the package's errors with its cause; errors.Is finds both.
func fail(kind, cause error) error { return fmt.Errorf("%w: %w", kind, cause) }

type httpTable struct{ service }

// NewHTTPTable returns a client of the table service. Of the HTTP client, which may be nil, only the transport is used:
// a commit is never repeated and no redirect is followed.
func NewHTTPTable(o Options, client *http.Client) Table {
	return &httpTable{newService(o.TableURL, o, client)}
}

// Get implements Table.
func (t *httpTable) Get(ctx context.Context, key string) (Row, error) {
	a, err := t.read(ctx, "/table/row?"+url.Values{"key": {key}}.Encode())
	if err != nil {
		return Row{}, err
	}
	var row Row
	if err := json.Unmarshal(a.body, &row); err != nil {
		return Row{}, fail(ErrUnavailable, err)
	}
	return row, nil
}

// List implements Table.
func (t *httpTable) List(ctx context.Context, prefix string, after uint64) (Listing, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	a, err := t.read(ctx, "/table/rows?"+query.Encode())
	if err != nil {
		return Listing{}, err
	}
	var listing Listing
	if err := json.Unmarshal(a.body, &listing); err != nil {
		return Listing{}, fail(ErrUnavailable, err)
	}
	return listing, nil
}

// Commit implements Table.
func (t *httpTable) Commit(ctx context.Context, txn Txn) (uint64, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return 0, fail(ErrInvalid, err)
	}
	a, err := t.write(ctx, http.MethodPost, "/table/commit", body)
	if err != nil {
		return 0, err
	}
	if a.status == http.StatusConflict {
		return 0, conflict(a)
	}
	if err := a.err(); err != nil {
		return 0, err
	}
	var committed struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(a.body, &committed); err != nil || committed.Revision == 0 {
		return 0, fail(ErrOutcomeUnknown, errors.New("a commit's answer without its revision"))
	}
	return committed.Revision, nil
}

// conflict reads the condition that failed. An answer that names none may come from elsewhere and proves nothing.
func conflict(a answer) error {
	var failed Condition
	if err := json.Unmarshal(a.body, &failed); err != nil || failed.Key == "" {
		return fail(ErrOutcomeUnknown, errors.New("a conflict's answer without its row"))
	}
	return &ConflictError{Key: failed.Key, Revision: failed.Revision}
}
