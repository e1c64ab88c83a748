// Package sendonce sends HTTP requests at most once and reports whether a failed request may have been sent.
package sendonce

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/httpstrict"
	"balsamsail/internal/netconn"
)

// ErrRepeated is the error of a request that net/http tried to send a second time.
var ErrRepeated = errors.New("sendonce: the connection failed after part of the request was written; the request is not sent again")

// errUnusable is the error of a request for which the transport chose a connection that must not carry it.
var errUnusable = errors.New("sendonce: the connection has carried the message before, or its last response was not accepted")

// Client sends each request at most once.
//
// http.Transport retries a request on its own if a reused connection fails before the first byte of the response and
// the method is GET, HEAD, OPTIONS or TRACE or the header contains an Idempotency-Key. http.Client repeats a request
// that is answered with a 307 or 308. The endpoint may have run the first one, so that the request takes effect twice
// without any error.
//
// Client prevents this as follows: for every attempt the transport has to obtain a connection, which it reports through
// httptrace.GotConn before it writes to the connection. If bytes were written to an earlier connection, the new one is
// closed at once. If none were written, the retry is allowed. Redirects are returned to the caller.
type Client struct {
	transport *httpstrict.Transport
	// traced is set if the transport is known to report its connections through httptrace.
	traced bool
}

// New returns a client that uses a copy of the given transport, or a default one if it is nil. A transport of a type
// other than *http.Transport is used as it is.
func New(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = NewTransport()
	}
	base, ok := transport.(*http.Transport)
	if !ok {
		return &Client{transport: httpstrict.Wrap(transport)}
	}
	clone := base.Clone()
	if clone.MaxResponseHeaderBytes == 0 {
		clone.MaxResponseHeaderBytes = MaxHeaderBytes
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = netconn.ReportResets(dial)
	clone.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(conn), nil
	}
	return &Client{transport: &httpstrict.Transport{Base: clone}, traced: true}
}

// CloseIdleConnections closes the connections that no request uses.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

// MaxHeaderBytes bounds the head of a response; those of endpoints have some 500 bytes. The default of net/http, 10 MB, is more
// than a process can hold for each of its calls when an endpoint sends bytes without end.
const MaxHeaderBytes = 32 << 10

const (
	maxIdleConns = 1024
	idleTimeout  = 30 * time.Second
	dialTimeout  = 2 * time.Second
)

// NewTransport returns a transport for calls between the hosts of a system: without proxies, HTTP/2 and automatic
// compression, and with as many idle connections as there may be concurrent calls.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}

// Result is the outcome of Do.
type Result struct {
	// Response is nil if Do failed.
	Response *http.Response
	// MaybeSent is false only if it is certain that no byte of the request was sent.
	MaybeSent bool
	// Connection is the connection over which the request was sent last.
	Connection Connection

	attempt *attempt
}

// Connection describes a connection to an endpoint; it is zero if there was none, or if the transport does not report it.
type Connection struct {
	// Number identifies the connection in this process.
	Number uint64
	// Carried is the number of requests that the connection was used for before.
	Carried int64
	// Skipped is the number of responses to other messages that arrived in place of the one to the message.
	Skipped int
}

// Discard closes the response's connection, so that no later request can read the data left on it. If the response was read to its end
// and another request uses the connection already, it stays open.
func (r Result) Discard() {
	if r.Response != nil {
		r.Response.Body.Close()
	}
	r.attempt.closeConn()
}

// Do sends the request at most once. The response's body must be closed.
func (c *Client) Do(req *http.Request) (Result, error) {
	return c.do(req, &Message{}, func(*http.Response, Connection) error { return nil })
}

// Message is a message that may be sent several times. It is not safe for concurrent use.
type Message struct {
	// ID is the value of a header field in the peer's responses to the message, if the peer echoes it in the usual form. It spares
	// calls of IsOther.
	ID string
	// IsOther reports whether a response is one to another message; nil if nothing tells. It must be safe for concurrent use.
	IsOther func(*http.Response) bool
	// conns are the connections over which the message was sent.
	conns []*countedConn
}

// DoMatched sends a message, which may have been sent before, at most once more, and returns the response only if match accepts it;
// otherwise it closes the connection and returns the error of match. newRequest is called again if no byte of the earlier request was
// sent.
//
// A peer may send a response a second time, where the next one on the connection is due. Responses that IsOther recognizes are skipped
// there, and match can tell those that remain from the response to this message by what they hold, unless they are responses to the
// same message; so a connection that has carried the message does not carry it again. A response without a body frees its connection
// before it is matched; another request waits until it is accepted.
func (c *Client) DoMatched(newRequest func() *http.Request, message *Message, match func(*http.Response, Connection) error) (Result, error) {
	for {
		result, err := c.do(newRequest(), message, match)
		// The connection is closed, so that each of the idle ones is met once at most.
		if !errors.Is(err, errUnusable) || result.MaybeSent {
			return result, err
		}
	}
}

func (c *Client) do(req *http.Request, message *Message, match func(*http.Response, Connection) error) (Result, error) {
	if err := req.Context().Err(); err != nil {
		return Result{attempt: &attempt{}}, err
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	a := &attempt{ctx: ctx, cancel: cancel, message: message}
	a.awaited = awaitedResponse{echo: message.ID, method: req.Method, isOther: message.IsOther}
	trace := &httptrace.ClientTrace{GetConn: a.getConn, GotConn: a.gotConn}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		maybeSent := a.maybeSent(c.traced)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return Result{MaybeSent: maybeSent, Connection: a.connection(), attempt: a}, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	result := Result{Response: resp, MaybeSent: true, Connection: a.connection(), attempt: a}
	if a.misframed() {
		result.Discard()
		return result, ErrFraming
	}
	if err := match(resp, result.Connection); err != nil {
		result.Discard()
		return result, err
	}
	a.release()
	return result, nil
}

// attempt tracks the connections that the transport obtains for one request.
type attempt struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	message *Message
	awaited awaitedResponse

	mu            sync.Mutex
	connRequested bool
	conn          net.Conn
	carriedBefore int64
	writtenBefore int64
}

func (a *attempt) getConn(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connRequested = true
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.wrote() {
		a.refuse(info.Conn, ErrRepeated)
		return
	}
	if counted, ok := info.Conn.(*countedConn); ok && !a.use(counted) {
		a.refuse(info.Conn, errUnusable)
		return
	}
	a.conn = info.Conn
}

// use makes the attempt the user of a connection, unless it must not carry the request.
func (a *attempt) use(c *countedConn) bool {
	if slices.Contains(a.message.conns, c) {
		return false
	}
	carried, ok := c.acquire(a.ctx, &a.awaited)
	if ok {
		a.writtenBefore, a.carriedBefore = c.written.Load(), carried
		a.message.conns = append(a.message.conns, c)
	}
	return ok
}

// refuse keeps the transport from sending the request over a connection.
func (a *attempt) refuse(conn net.Conn, cause error) {
	a.cancel(cause)
	conn.Close()
}

// release lets another request use the connection.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if counted, ok := a.conn.(*countedConn); ok {
		counted.release()
	}
}

func (a *attempt) connection() Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	counted, ok := a.conn.(*countedConn)
	if !ok {
		return Connection{}
	}
	return Connection{Number: counted.number, Carried: a.carriedBefore, Skipped: counted.skippedResponses()}
}

// wrote reports whether a byte may have been written to the connection. It first closes the connection, which prevents
// further writes, so that the count is final.
func (a *attempt) wrote() bool {
	a.conn.Close()
	counted, ok := a.conn.(*countedConn)
	return !ok || counted.written.Load() != a.writtenBefore
}

func (a *attempt) misframed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	counted, ok := a.conn.(*countedConn)
	return ok && counted.misframed()
}

func (a *attempt) maybeSent(traced bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		return a.wrote()
	}
	return !traced && !a.connRequested
}

func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch conn := a.conn.(type) {
	case nil:
	case *countedConn:
		conn.closeAfter(a.carriedBefore)
	default:
		conn.Close()
	}
}

// cancelBody cancels the request's context when the body is closed.
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
