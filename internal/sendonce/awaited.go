package sendonce

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"balsamsail/internal/httpstrict"
)

// maxSkippedBytes bounds the responses to other messages that are read while that to a message is awaited. The longest streams of
// endpoints have some 20 KB.
const maxSkippedBytes = 64 << 10

// awaitedResponse tells the response to a message from those to others, which a peer may send once more where the awaited one is due.
type awaitedResponse struct {
	// echo is the value of a header field that the response has; empty if that is not known.
	echo    string
	method  string
	isOther func(*http.Response) bool
}

var headEnd = []byte("\r\n\r\n")

// begins reports whether data begins with the head of the awaited response. It does not decode the head, and may miss one that is
// written in another way than usual.
func (a *awaitedResponse) begins(data []byte) bool {
	head, _, whole := bytes.Cut(data, headEnd)
	if !whole || a.echo == "" {
		return false
	}
	for line := range bytes.Lines(head) {
		_, value, _ := bytes.Cut(line, []byte(": "))
		if string(bytes.TrimRight(value, "\r\n")) == a.echo {
			return true
		}
	}
	return false
}

// find reads responses, of which the first bytes have arrived, up to the head of the first that is not one to another message. It
// returns what was read beginning with that response, and the number of those before it. What cannot be read as a response is left to
// the caller in the same way.
func (a *awaitedResponse) find(first []byte, rest io.Reader) (data []byte, skipped int) {
	var read bytes.Buffer
	limited := io.LimitReader(io.MultiReader(bytes.NewReader(first), rest), maxSkippedBytes)
	source := bufio.NewReaderSize(io.TeeReader(limited, &read), MaxHeaderBytes)
	request := &http.Request{Method: a.method}
	begin := 0
	for hasWholeHead(source) {
		response, err := http.ReadResponse(source, request)
		if err != nil || httpstrict.CheckHead(response) != nil {
			break
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			// The final response follows.
			continue
		}
		if !a.isOther(response) {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
		begin = read.Len() - source.Buffered()
		skipped++
	}
	return read.Bytes()[begin:], skipped
}

// hasWholeHead waits until a whole head is in the buffer of a reader. It reports false if the head has too many lines, or is too long or
// cut.
func hasWholeHead(source *bufio.Reader) bool {
	var scanner headScanner
	for scanned := 0; !scanner.ended; {
		if _, err := source.Peek(scanned + 1); err != nil {
			return false
		}
		buffered, _ := source.Peek(source.Buffered())
		scanned += scanner.scan(buffered[scanned:])
		if scanner.lines > maxHeadLines {
			return false
		}
	}
	return true
}
