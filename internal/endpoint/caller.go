package endpoint

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// CallerOptions are the settings of a Caller. Zero values select the defaults given in parentheses.
type CallerOptions struct {
	// EchoesRequestID means that the endpoint returns each request's HeaderRequestID. An answer with a different or no
	// identifier is then rejected with ErrWrongAnswer.
	EchoesRequestID bool
	// DialTimeout bounds connection setup (2 seconds).
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept (30 seconds). It should be shorter than the endpoint's own
	// idle timeout: a call on a connection that the endpoint is just closing has an unknown outcome.
	IdleTimeout time.Duration
	// FreshConnections makes a new connection for each call, which rules out calls on a connection that is being
	// closed.
	FreshConnections bool
}

type httpCaller struct {
	base            *url.URL
	echoesRequestID bool
	client          *sendonce.Client
}

// NewHTTPCaller returns a caller of the endpoint at a base URL. Redirects are returned like any other answer. It fails
// with ErrInvalid if the URL does not consist of just a scheme and a host.
func NewHTTPCaller(baseURL string, o CallerOptions) (Caller, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, wrapKind(ErrInvalid, err)
	}
	if base.Host == "" || (base.Path != "" && base.Path != "/") {
		return nil, wrapKind(ErrInvalid, errors.Errorf("base URL %q: need scheme and host, and no path", baseURL))
	}
	transport := sendonce.NewTransport()
	if o.DialTimeout > 0 {
		transport.DialContext = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.IdleTimeout > 0 {
		transport.IdleConnTimeout = o.IdleTimeout
	}
	transport.DisableKeepAlives = o.FreshConnections
	return &httpCaller{base: base, echoesRequestID: o.EchoesRequestID, client: sendonce.New(transport)}, nil
}

// Call implements Caller. It also returns ErrUnreachable if a reused connection broke before a byte was sent. An answer
// with another request's identifier is discarded together with its connection, so that it cannot reach the wrong
// caller.
func (c *httpCaller) Call(req *http.Request) (*http.Response, error) {
	target := *req.URL
	target.Scheme = c.base.Scheme
	target.Host = c.base.Host
	out := req.WithContext(req.Context())
	out.URL = &target
	out.RequestURI = ""
	result, err := c.client.Do(out)
	if err != nil {
		return nil, callError(result, err)
	}
	id := req.Header.Get(HeaderRequestID)
	if got := result.Response.Header.Get(HeaderRequestID); c.echoesRequestID && id != "" && got != id {
		result.Discard()
		return nil, wrapKind(ErrWrongAnswer, errors.Errorf("request %q was answered as %q", id, got))
	}
	return result.Response, nil
}
