package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/wire"
)

// restPatience bounds how long the server reads on in a body whose request is answered, so that the caller can read the
// answer before the connection is closed.
const restPatience = 500 * time.Millisecond

// callerBody is a caller's body, bounded in length and time.
//
// The HTTP server reads what is left of a body before it sends an answer's head, unless the connection ends with the
// answer. That would take parts of a body that is still passed on away from the endpoint, which would get the rest as if it
// were whole, and would keep a caller that sends slowly from hearing why it is refused. So the connection ends with an
// answer that begins before its body has come whole.
type callerBody struct {
	source  io.Reader
	control *http.ResponseController
	limit   int64
	// length is what the caller says, -1 when it does not.
	length int64
	ended  atomic.Bool
}

// newCallerBody returns a request's body, and the writer of its answer. bound must be called before the body is read, and
// end when the request is answered.
func newCallerBody(w http.ResponseWriter, r *http.Request) (*callerBody, http.ResponseWriter) {
	b := &callerBody{source: r.Body, control: http.NewResponseController(w), length: r.ContentLength}
	if r.ContentLength == 0 {
		b.ended.Store(true)
		return b, w
	}
	return b, besideBody{ResponseWriter: w, body: b}
}

// besideBody writes an answer that may begin before the body has come whole, and then ends the connection with it.
type besideBody struct {
	http.ResponseWriter
	body *callerBody
}

// WriteHeader implements http.ResponseWriter.
func (w besideBody) WriteHeader(status int) {
	if !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (w besideBody) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// bound sets how many bytes the body may have and by when it must have come: a caller that sends slowly must not hold a
// connection for ever. The server takes the deadline back at the body's end.
func (b *callerBody) bound(limit int64, deadline time.Time) {
	b.limit = limit
	// The reader is not told of the answer's writer, which it would change from the goroutine that passes the body on.
	b.source = http.MaxBytesReader(nil, io.NopCloser(b.source), limit)
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(deadline)
	}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// end bounds the server's reading of what is left.
func (b *callerBody) end() {
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Now().Add(restPatience))
	}
}

// tooLong refuses a body that is declared too large before any of it is read.
func (b *callerBody) tooLong() *apiError {
	if b.length > b.limit {
		return b.refusal(&http.MaxBytesError{Limit: b.limit})
	}
	return nil
}

// refusal is the answer to a request whose body could not be read.
func (b *callerBody) refusal(err error) *apiError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body is over " + strconv.FormatInt(b.limit, 10) + " bytes"
		return notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, message, 0)
	}
	return badRequest("the body ended early")
}

// readAll reads the body whole.
func (b *callerBody) readAll() ([]byte, *apiError) {
	if refusal := b.tooLong(); refusal != nil {
		return nil, refusal
	}
	body, err := io.ReadAll(b)
	if err != nil {
		return nil, b.refusal(err)
	}
	return body, nil
}

// split takes the first part of the body; rest is nil when that was all.
func (b *callerBody) split() (first []byte, rest io.Reader, refusal *apiError) {
	if refusal := b.tooLong(); refusal != nil {
		return nil, nil, refusal
	}
	// One byte more than a part tells whether that was all.
	part := make([]byte, wire.ChunkBytes+1)
	n, last, err := readPart(b, part)
	switch {
	case err != nil:
		return nil, nil, b.refusal(err)
	case last:
		return part[:n], nil, nil
	default:
		return part, b, nil
	}
}

// readPart fills a buffer, or reads up to the body's end, which last tells.
//
// io.ReadFull would not do: it tells a body's end within the buffer with the error that the HTTP server has for a caller
// whose connection breaks within its body, and half a body would pass for the whole.
func readPart(r io.Reader, buffer []byte) (n int, last bool, err error) {
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
