package sendonce

import (
	"bytes"

	"github.com/pkg/errors"
)

var (
	// ErrFraming is the error of a response with a Transfer-Encoding whose version has none. In one of HTTP/1.0, net/http ignores the
	// field and takes the chunks, or what arrived of them, for the body.
	ErrFraming = errors.New("sendonce: a response of another version than HTTP/1.1 has a Transfer-Encoding")
	// ErrTooManyFields is the error of a response whose head has more than maxHeadLines lines.
	ErrTooManyFields = errors.New("sendonce: the head of the response has too many lines")
)

const usualVersion = "HTTP/1.1"

// maxHeadLines bounds the lines of a head. The parsed form of a line takes some 100 bytes beyond its text: a head of MaxHeaderBytes that
// consists of short lines would take 600 KB, in each of a process's calls.
const maxHeadLines = 256

// responseHead follows the head of a response as it arrives. It keeps it unless it is one of HTTP/1.1.
type responseHead struct {
	data []byte
	done bool

	// scanner is that of the present head; interim ones come before the final one.
	scanner headScanner
	final   bool
}

// add adds bytes of the response. It returns ErrTooManyFields.
func (h *responseHead) add(p []byte) error {
	h.keep(p)
	for len(p) > 0 && !h.final {
		n := h.scanner.scan(p)
		p = p[n:]
		switch {
		case h.scanner.lines > maxHeadLines:
			return ErrTooManyFields
		case h.scanner.ended && h.scanner.interim():
			h.scanner = headScanner{}
		case h.scanner.ended:
			h.final = true
		}
	}
	return nil
}

func (h *responseHead) keep(p []byte) {
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

// headScanner counts the lines of one head, which arrives in parts, and finds its end.
type headScanner struct {
	// lines is the number of lines that have ended.
	lines int
	// lineBytes is the number of bytes of the present line, of which endsWithCR says what the last one is.
	lineBytes  int
	endsWithCR bool
	// status is the beginning of the first line, of which statusBytes are known.
	status      [32]byte
	statusBytes int
	// ended is set once the blank line after the head has arrived.
	ended bool
}

// scan reads bytes up to the end of the head, or of too many lines, and returns their number.
func (s *headScanner) scan(p []byte) (n int) {
	for n < len(p) && !s.ended && s.lines <= maxHeadLines {
		line, _, whole := bytes.Cut(p[n:], []byte("\n"))
		n += len(line)
		s.addToLine(line)
		if !whole {
			break
		}
		n++
		s.ended = s.lineBytes == 0 || s.lineBytes == 1 && s.endsWithCR
		s.lines++
		s.lineBytes, s.endsWithCR = 0, false
	}
	return n
}

func (s *headScanner) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.lines == 0 {
		s.statusBytes += copy(s.status[s.statusBytes:], part)
	}
	s.lineBytes += len(part)
	s.endsWithCR = part[len(part)-1] == '\r'
}

// interim reports whether a final response follows. It does so too if the status is not where it usually is.
func (s *headScanner) interim() bool {
	fields := bytes.Fields(s.status[:s.statusBytes])
	if len(fields) < 2 {
		return true
	}
	return fields[1][0] == '1' && string(fields[1]) != "101"
}
