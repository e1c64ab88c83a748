package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/wire/wirepb"
)

// maxHeldBytes is how much of a response that is not streamed is held back until it is known to be complete, so that a
// failed attempt can still be retried.
const maxHeldBytes = 256 << 10

// maxStatus is the highest valid HTTP status of a response.
const maxStatus = 999

// errResponseMismatch means that a response's length or checksum differs from its trailer.
var errResponseMismatch = errors.New("entry: response does not match its trailer")

// errCallerGone means that the response could not be written to the caller's connection.
var errCallerGone = errors.New("entry: caller disconnected")

// response forwards one response to the caller. The caller's body is ended cleanly only after the trailer has been
// verified; in every other case the connection is aborted, so that a caller never takes a truncated response for a
// complete one.
type response struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	headSent  bool
	streamed  bool
	head      *wirepb.Head
	held      []byte
	length    uint64
	checksum  *xxhash.Digest
}

func newResponse(w http.ResponseWriter, requestID string) *response {
	return &response{w: w, control: http.NewResponseController(w), requestID: requestID, checksum: xxhash.New()}
}

// reset discards a response of which nothing has been sent, before the next attempt.
func (r *response) reset() {
	r.head = nil
	r.held = r.held[:0]
	r.length = 0
	r.checksum.Reset()
}

// setHead sets the head of the endpoint's response. A head with an invalid status is ignored, so that the frames after
// it fail verification.
func (r *response) setHead(head *wirepb.Head) {
	if head.Status < http.StatusOK || head.Status > maxStatus {
		return
	}
	r.head = head
	r.streamed = false
	for _, h := range head.Headers {
		if h.Name == "Content-Type" && strings.HasPrefix(h.Value, "text/event-stream") {
			r.streamed = true
		}
	}
}

// addBody adds a part of the body.
func (r *response) addBody(data []byte) error {
	if r.head == nil {
		return errResponseMismatch
	}
	r.length += uint64(len(data))
	_, _ = r.checksum.Write(data)
	if !r.headSent && !r.streamed && len(r.held)+len(data) <= maxHeldBytes {
		r.held = append(r.held, data...)
		return nil
	}
	if !r.headSent {
		r.sendHead(-1)
	}
	return r.send(data)
}

// sendHead sends the status and headers. length is the body's length in bytes, -1 when it is not known.
func (r *response) sendHead(length int) {
	r.headSent = true
	h := r.w.Header()
	for _, header := range r.head.Headers {
		if !hopByHop[http.CanonicalHeaderKey(header.Name)] {
			h.Add(header.Name, header.Value)
		}
	}
	h.Set(headerRequestID, r.requestID)
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	r.w.WriteHeader(int(r.head.Status))
}

// stallTimeout bounds each write to a caller that has stopped reading. Without it such a caller would occupy part of
// the engine's concurrency for up to MaxResponseDuration.
const stallTimeout = 30 * time.Second

// send writes data to the caller, after any held bytes.
func (r *response) send(data []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if len(r.held) > 0 {
		held := r.held
		r.held = nil
		if _, err := r.w.Write(held); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	if _, err := r.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := r.control.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// verify checks the response against its trailer.
func (r *response) verify(t *wirepb.Trailer) error {
	if r.head == nil || r.length != t.Length || r.checksum.Sum64() != t.Checksum {
		return errResponseMismatch
	}
	return nil
}

// finish sends a complete response that has been held back.
func (r *response) finish() error {
	if r.headSent {
		return nil
	}
	r.sendHead(len(r.held))
	_ = r.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := r.w.Write(r.held); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// hopByHop are the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// recordedResponse returns the response to record in a claim; Dropped is set unless its whole body was held back.
func (r *response) recordedResponse() atmostonce.Response {
	if r.head == nil {
		return atmostonce.Response{}
	}
	recorded := atmostonce.Response{Status: int(r.head.Status)}
	for _, h := range r.head.Headers {
		if h.Name == "Content-Type" {
			recorded.ContentType = h.Value
		}
	}
	recorded.Dropped = uint64(len(r.held)) != r.length
	recorded.Body = r.held
	return recorded
}
