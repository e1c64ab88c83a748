package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/inbound"
	"balsamsail/internal/wire"
)

// unreadBodyTimeout bounds how long the server reads the remaining body of a request that has been answered, so that
// the caller can read the response before the connection is closed.
const unreadBodyTimeout = 500 * time.Millisecond

// callerBody is a caller's request body, limited in length and time.
//
// Before it sends the response headers, the HTTP server reads the remaining request body, unless the connection closes
// with the response. That would discard parts of a body that is still being forwarded, so that the endpoint would take
// the remainder for the whole, and it would delay the refusal of a caller that sends slowly. A response that starts
// before its request body has arrived completely therefore closes the connection.
type callerBody struct {
	source  io.Reader
	control *http.ResponseController
	limit   int64
	// length is the Content-Length, -1 when the caller sends none.
	length int64
	atEOF  atomic.Bool
}

// newCallerBody returns the body of a request and the writer for its response. setLimits must be called before the body
// is read, and finish after the response.
func newCallerBody(w http.ResponseWriter, r *http.Request) (*callerBody, http.ResponseWriter) {
	b := &callerBody{source: r.Body, control: http.NewResponseController(w), length: r.ContentLength}
	if r.ContentLength == 0 {
		b.atEOF.Store(true)
		return b, w
	}
	return b, earlyResponseWriter{ResponseWriter: w, body: b}
}

// earlyResponseWriter writes a response that may start before the request body has arrived completely; in that case it
// closes the connection after the response.
type earlyResponseWriter struct {
	http.ResponseWriter
	body *callerBody
}

// WriteHeader implements http.ResponseWriter.
func (w earlyResponseWriter) WriteHeader(status int) {
	if !w.body.atEOF.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap supports http.ResponseController.
func (w earlyResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setLimits sets the body's maximum size in bytes and its read deadline, so that a slow caller cannot hold a connection
// forever. The server clears the deadline at the end of the body.
func (b *callerBody) setLimits(limit int64, deadline time.Time) {
	b.limit = limit
	// MaxBytesReader gets no ResponseWriter, because it would modify it from the goroutine that forwards the body.
	b.source = http.MaxBytesReader(nil, io.NopCloser(b.source), limit)
	if !b.atEOF.Load() {
		_ = b.control.SetReadDeadline(deadline)
	}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEOF.Store(true)
	}
	return n, err
}

// finish bounds how long the server reads the remaining body.
func (b *callerBody) finish() {
	if !b.atEOF.Load() {
		_ = b.control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// checkLength refuses a body whose Content-Length is over the limit, before reading any of it.
func (b *callerBody) checkLength() *apiError {
	if b.length > b.limit {
		return b.readError(&http.MaxBytesError{Limit: b.limit})
	}
	return nil
}

// readError returns the error response for a body that could not be read.
func (b *callerBody) readError(err error) *apiError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body is over " + strconv.FormatInt(b.limit, 10) + " bytes"
		return notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, message, 0)
	}
	return badRequest("the body ended early")
}

// readAll reads the whole body of a request.
func (b *callerBody) readAll(r *http.Request) ([]byte, *apiError) {
	if refusal := b.checkLength(); refusal != nil {
		return nil, refusal
	}
	body, err := inbound.ReadBody(r, b, 0)
	switch {
	case errors.Is(err, inbound.ErrNoRoom), errors.Is(err, inbound.ErrYielded):
		return nil, noRoom(inbound.RetryAfter())
	case err != nil:
		return nil, b.readError(err)
	}
	return body, nil
}

// noRoom returns the error response to a request that has no room beside those of other callers.
func noRoom(retryAfter time.Duration) *apiError {
	return notRun(http.StatusTooManyRequests, CodeOverloaded, "no room for the request beside those of other callers", retryAfter)
}

// RefuseForRoom refuses a request that has no room beside those of other callers. It implements inbound.RefuseFunc.
func (e *Entry) RefuseForRoom(w http.ResponseWriter, _ *http.Request, retryAfter time.Duration) {
	e.writeError(w, e.newRequestID(), noRoom(retryAfter))
}

// readFirst reads the first part of the body; rest is nil when there is no more.
func (b *callerBody) readFirst() (first []byte, rest io.Reader, refusal *apiError) {
	if refusal := b.checkLength(); refusal != nil {
		return nil, nil, refusal
	}
	// One extra byte shows whether the body continues.
	part := make([]byte, wire.ChunkBytes+1)
	n, last, err := readChunk(b, part)
	switch {
	case err != nil:
		return nil, nil, b.readError(err)
	case last:
		return part[:n], nil, nil
	default:
		return part, b, nil
	}
}

// readChunk fills the buffer or reads up to the end of the body; last reports whether the end was reached.
//
// It does not use io.ReadFull, which returns io.ErrUnexpectedEOF when the body ends within the buffer. The HTTP server
// returns the same error when the caller's connection breaks within its body, so a truncated body would pass for a
// complete one.
func readChunk(r io.Reader, buffer []byte) (n int, last bool, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = r.Read(buffer[n:])
		n += read
	}
	if errors.Is(err, io.EOF) {
		return n, true, nil
	}
	return n, false, err
}
