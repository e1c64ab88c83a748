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

// holdBytes is how much of an answer that is not streamed is held back until it is known to be whole, so that an attempt
// that breaks can still be repeated.
const holdBytes = 256 << 10

// maxStatus is the highest status that an answer may have.
const maxStatus = 999

// errAnswerMismatch says that an answer's length or checksum is not what its trailer says.
var errAnswerMismatch = errors.New("entry: answer does not match its trailer")

// errCallerGone says that the caller's connection does not take the answer.
var errCallerGone = errors.New("entry: caller gone")

// answer passes one answer to the caller. The caller's body is ended cleanly only after the trailer has matched; in
// every other case the connection is cut, so that a caller never takes a part of an answer for the whole.
type answer struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	begun     bool
	streamed  bool
	head      *wirepb.Head
	held      []byte
	length    uint64
	checksum  *xxhash.Digest
}

func newAnswer(w http.ResponseWriter, requestID string) *answer {
	return &answer{w: w, control: http.NewResponseController(w), requestID: requestID, checksum: xxhash.New()}
}

// reset forgets an attempt's answer of which nothing was sent.
func (a *answer) reset() {
	a.head = nil
	a.held = a.held[:0]
	a.length = 0
	a.checksum.Reset()
}

// setHead takes the head of the endpoint's answer. One whose status is that of no answer is not taken, so that what
// follows does not match.
func (a *answer) setHead(head *wirepb.Head) {
	if head.Status < http.StatusOK || head.Status > maxStatus {
		return
	}
	a.head = head
	a.streamed = false
	for _, h := range head.Headers {
		if h.Name == "Content-Type" && strings.HasPrefix(h.Value, "text/event-stream") {
			a.streamed = true
		}
	}
}

// add takes a part of the body.
func (a *answer) add(data []byte) error {
	if a.head == nil {
		return errAnswerMismatch
	}
	a.length += uint64(len(data))
	_, _ = a.checksum.Write(data)
	if !a.begun && !a.streamed && len(a.held)+len(data) <= holdBytes {
		a.held = append(a.held, data...)
		return nil
	}
	if !a.begun {
		a.begin(-1)
	}
	return a.send(data)
}

// begin sends the head and what was held back. length is the body's length in bytes, -1 when it is not known.
func (a *answer) begin(length int) {
	a.begun = true
	h := a.w.Header()
	for _, header := range a.head.Headers {
		if !hopByHop[http.CanonicalHeaderKey(header.Name)] {
			h.Add(header.Name, header.Value)
		}
	}
	h.Set(headerRequestID, a.requestID)
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	a.w.WriteHeader(int(a.head.Status))
}

// stallTimeout bounds how long a caller may take no byte of an answer that is there. A caller that has stopped reading
// would otherwise hold a place at the engine for as long as an answer may last.
const stallTimeout = 30 * time.Second

// send writes to the caller, first what was held back.
func (a *answer) send(data []byte) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if len(a.held) > 0 {
		held := a.held
		a.held = nil
		if _, err := a.w.Write(held); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	if _, err := a.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := a.control.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// verify checks the answer against its trailer.
func (a *answer) verify(t *wirepb.Trailer) error {
	if a.head == nil || a.length != t.Length || a.checksum.Sum64() != t.Checksum {
		return errAnswerMismatch
	}
	return nil
}

// finish ends a whole answer.
func (a *answer) finish() error {
	if a.begun {
		return nil
	}
	a.begin(len(a.held))
	_ = a.control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := a.w.Write(a.held); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// hopByHop are the header fields that concern one connection only (RFC 9110, section 7.6.1).
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

// recorded is the answer as a claim records it: the body only when it was held whole.
func (a *answer) recorded() atmostonce.Answer {
	if a.head == nil {
		return atmostonce.Answer{}
	}
	recorded := atmostonce.Answer{Status: int(a.head.Status)}
	for _, h := range a.head.Headers {
		if h.Name == "Content-Type" {
			recorded.ContentType = h.Value
		}
	}
	recorded.Dropped = uint64(len(a.held)) != a.length
	recorded.Body = a.held
	return recorded
}
