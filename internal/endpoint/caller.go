package endpoint

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// CallerOptions are the settings of a Caller. A zero takes the default that is given with it.
type CallerOptions struct {
	// EchoesRequestID says that the endpoint sends each request's HeaderRequestID back; an answer with another one, or
	// with none, is then ErrWrongAnswer.
	EchoesRequestID bool
	// DialTimeout bounds the making of a connection (2 seconds).
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept (30 seconds). Below the endpoint's own it keeps calls from
	// meeting a connection that the endpoint is just closing, whose outcome would be unknown.
	IdleTimeout time.Duration
	// FreshConnections makes a new connection for each call, which rules that meeting out.
	FreshConnections bool
}

type httpCaller struct {
	base   *url.URL
	echoes bool
	client *sendonce.Client
}

// NewHTTPCaller returns a caller of the endpoint at a base URL. Redirects are answers like any other. It fails with
// ErrInvalid if the URL is not a scheme and a host.
func NewHTTPCaller(baseURL string, o CallerOptions) (Caller, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, fail(ErrInvalid, err)
	}
	if base.Host == "" || (base.Path != "" && base.Path != "/") {
		return nil, fail(ErrInvalid, errors.Errorf("base URL %q: need scheme and host, and no path", baseURL))
	}
	transport := sendonce.NewTransport()
	if o.DialTimeout > 0 {
		transport.DialContext = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.IdleTimeout > 0 {
		transport.IdleConnTimeout = o.IdleTimeout
	}
	transport.DisableKeepAlives = o.FreshConnections
	return &httpCaller{base: base, echoes: o.EchoesRequestID, client: sendonce.New(transport)}, nil
}

// Call implements Caller. ErrUnreachable is also returned where a kept connection broke before a byte went out. The
// sender of a request may not get another one's answer: one whose identifier differs is dropped with its connection.
func (c *httpCaller) Call(req *http.Request) (*http.Response, error) {
	target := *req.URL
	target.Scheme = c.base.Scheme
	target.Host = c.base.Host
	out := req.WithContext(req.Context())
	out.URL = &target
	out.RequestURI = ""
	result, err := c.client.Do(out)
	if err != nil {
		return nil, lost(result, err)
	}
	id := req.Header.Get(HeaderRequestID)
	if got := result.Response.Header.Get(HeaderRequestID); c.echoes && id != "" && got != id {
		result.Discard()
		return nil, fail(ErrWrongAnswer, errors.Errorf("request %q was answered as %q", id, got))
	}
	return result.Response, nil
}
