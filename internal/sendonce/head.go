package sendonce

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrFraming is the error of a response with a Transfer-Encoding whose version has none. In one of HTTP/1.0, net/http ignores the
// field and takes the chunks, or what arrived of them, for the body.
var ErrFraming = errors.New("sendonce: a response of another version than HTTP/1.1 has a Transfer-Encoding")

const usualVersion = "HTTP/1.1"

// responseHead keeps the head of a response as it arrives, unless it is one of HTTP/1.1.
type responseHead struct {
	data []byte
	done bool
}

// add adds bytes of the response.
func (h *responseHead) add(p []byte) {
	if h.done {
		return
	}
	h.data = append(h.data, p...)
	switch {
	case bytes.HasPrefix(h.data, []byte(usualVersion)):
		h.data, h.done = nil, true
	case len(h.data) > MaxHeaderBytes, bytes.Contains(h.data, []byte("\n\r\n")), bytes.Contains(h.data, []byte("\n\n")):
		h.done = true
	}
}

// hasTransferEncoding reports whether the response has a field that its version does not have.
func (h *responseHead) hasTransferEncoding() bool {
	for line := range bytes.Lines(h.data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}
