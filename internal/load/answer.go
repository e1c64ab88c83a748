package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits for reading responses.
const (
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 64 << 10
	maxEventBytes  = 1 << 20
	eventBuffer    = 4 << 10
)

// The parts of a stream of server-sent events.
const (
	dataField = "data:"
	doneEvent = "[DONE]"
)

// errTruncated reports that a response ended before it was complete.
var errTruncated = errors.New("load: truncated response")

// responseContent is the text and timing read from a whole response or a stream.
type responseContent struct {
	text strings.Builder
	// firstToken and lastToken are the arrival times of the first and latest token, and gaps the times between tokens.
	firstToken, lastToken time.Time
	gaps                  []time.Duration
}

// addToken records a token that has just arrived.
func (a *responseContent) addToken(text string) {
	now := time.Now()
	if a.firstToken.IsZero() {
		a.firstToken = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.lastToken))
	}
	a.lastToken = now
	a.text.WriteString(text)
}

// completion holds the fields used of a chat completion or of one event of its stream.
type completion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// readStream reads server-sent events up to the final event of a complete response. It calls onFirstToken at the first
// token.
func (a *responseContent) readStream(body io.Reader, onFirstToken func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, eventBuffer), maxEventBytes)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte(dataField))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			if !scanner.Scan() || len(scanner.Bytes()) > 0 {
				return errors.Wrap(errTruncated, "the stream ended inside its final event")
			}
			return drain(body)
		}
		var event completion
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		if a.firstToken.IsZero() {
			onFirstToken()
		}
		a.addToken(event.Choices[0].Delta.Content)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	return errors.Wrap(errTruncated, "the stream ended without the final event")
}

// drain reads to the end of the body: a response is complete only if the body ends without an error.
func drain(body io.Reader) error {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	return nil
}

// readCompletion reads a whole chat completion.
func (a *responseContent) readCompletion(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	var whole completion
	if err := json.Unmarshal(data, &whole); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	if len(whole.Choices) == 0 {
		return errors.Wrap(errTruncated, "no choices")
	}
	a.addToken(whole.Choices[0].Message.Content)
	return nil
}

// readPlain reads the response to a plain call.
func (a *responseContent) readPlain(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	a.addToken(string(data))
	return nil
}

// read reads a response of the kind that the call requested.
func (a *responseContent) read(call Call, body io.Reader, onFirstToken func()) error {
	switch {
	case call.Target.Model == "":
		return a.readPlain(body)
	case call.Target.Stream:
		return a.readStream(body, onFirstToken)
	default:
		return a.readCompletion(body)
	}
}

// errorBody is an error response, in either of the supported formats.
type errorBody struct {
	Code  string `json:"code"`
	Error struct {
		Code string `json:"code"`
		Type string `json:"type"`
	} `json:"error"`
}

// errorCode returns the code in an error response's body, or "" if there is none.
func errorCode(response *http.Response) string {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return ""
	}
	var body errorBody
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	for _, code := range []string{body.Error.Code, body.Code, body.Error.Type} {
		if code != "" {
			return code
		}
	}
	return ""
}
