// Package sendonce sends HTTP requests that must not be sent twice, and tells whether a failed one was sent at all.
package sendonce

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrRepeated is the cause of the failure of a request that net/http was about to send a second time.
var ErrRepeated = errors.New("sendonce: the connection broke after bytes of the request went out; it is not sent again")

// Client sends each request at most once.
//
// The failure that it guards against: http.Transport repeats a request on its own when a kept connection breaks before
// the first byte of the answer, if the method is GET, HEAD, OPTIONS or TRACE or the header holds an Idempotency-Key,
// and http.Client repeats a request that is answered with a 307 or 308. The endpoint may have run the first one: a
// penalty notice goes out twice and nobody sees an error. The guard holds because every attempt must first obtain a
// connection, which the transport reports through httptrace.GotConn before it writes to it: the second connection
// after a byte went out over the first is closed there and then. An attempt of which no byte went out may be
// followed by another. Redirects are handed to the caller as they are.
type Client struct {
	transport http.RoundTripper
	// traced says that the transport is known to report its connections.
	traced bool
}

// New returns a client over a copy of the given transport, or over a default one if it is nil. A transport of a type
// other than *http.Transport is used as it is.
func New(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = NewTransport()
	}
	base, ok := transport.(*http.Transport)
	if !ok {
		return &Client{transport: transport}
	}
	counted := base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	counted.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &Client{transport: counted, traced: true}
}

const (
	maxIdleConns = 1024
	idleTimeout  = 30 * time.Second
	dialTimeout  = 2 * time.Second
)

// NewTransport returns a transport for calls between hosts of one system: no proxy, no HTTP/2, no compression of its
// own, and as many kept connections as there may be calls at once.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Result is the outcome of Do.
type Result struct {
	// Response is nil if Do failed.
	Response *http.Response
	// MaybeSent is false only if it is certain that not a byte of the request went out.
	MaybeSent bool

	attempt *attempt
}

// Discard closes the connection of the answer, so that no later request can read what is left on it.
func (r Result) Discard() {
	if r.Response != nil {
		r.Response.Body.Close()
	}
	r.attempt.closeConn()
}

// Do sends the request at most once. The response's body must be closed.
func (c *Client) Do(req *http.Request) (Result, error) {
	if err := req.Context().Err(); err != nil {
		return Result{attempt: &attempt{}}, err
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	a := &attempt{cancel: cancel}
	trace := &httptrace.ClientTrace{GetConn: a.getConn, GotConn: a.gotConn}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		sent := a.maybeSent(c.traced)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return Result{MaybeSent: sent, attempt: a}, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return Result{Response: resp, MaybeSent: true, attempt: a}, nil
}

// attempt follows the connections that the transport obtains for one request.
type attempt struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	asked  bool
	conn   net.Conn
	before int64
}

func (a *attempt) getConn(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = true
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.wrote() {
		a.cancel(ErrRepeated)
		info.Conn.Close()
		return
	}
	a.conn = info.Conn
	if counted, ok := info.Conn.(*countedConn); ok {
		a.before = counted.written.Load()
	}
}

// wrote says whether a byte may have gone out over the connection. It closes the connection first, after which no
// write begins, so that the count is final.
func (a *attempt) wrote() bool {
	a.conn.Close()
	counted, ok := a.conn.(*countedConn)
	return !ok || counted.written.Load() != a.before
}

func (a *attempt) maybeSent(traced bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		return a.wrote()
	}
	return !traced && !a.asked
}

func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Close()
	}
}

// countedConn counts the bytes that writes were begun with.
type countedConn struct {
	net.Conn
	written atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// Write implements net.Conn. It counts before it writes: a write that fails may have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.RLock()
	closed := c.closed
	if !closed {
		c.written.Add(int64(len(p)))
	}
	c.mu.RUnlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// cancelBody frees the request's context with the body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
