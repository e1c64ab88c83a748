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

// The bounds of what is read of an answer.
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

// errTruncated says that an answer ended before it was complete.
var errTruncated = errors.New("load: truncated answer")

// answer is what was read of a whole answer or a stream.
type answer struct {
	text strings.Builder
	// firstToken and lastToken are when text came, and gaps the times between tokens.
	firstToken, lastToken time.Time
	gaps                  []time.Duration
}

// token notes a piece of text that came now.
func (a *answer) token(text string) {
	now := time.Now()
	if a.firstToken.IsZero() {
		a.firstToken = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.lastToken))
	}
	a.lastToken = now
	a.text.WriteString(text)
}

// completion is the part of a chat completion, or of one event of its stream, that is looked at.
type completion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// readStream reads server-sent events up to the one that ends a complete answer; opened is called at the first token.
func (a *answer) readStream(body io.Reader, opened func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, eventBuffer), maxEventBytes)
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte(dataField))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			return drainRest(body)
		}
		var event completion
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		if a.firstToken.IsZero() {
			opened()
		}
		a.token(event.Choices[0].Delta.Content)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	return errors.Wrap(errTruncated, "the stream ended without its last event")
}

// drainRest reads to the end of the body: an answer is whole only if the connection says so too.
func drainRest(body io.Reader) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxAnswerBytes)); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	return nil
}

// readCompletion reads a whole chat completion.
func (a *answer) readCompletion(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	var whole completion
	if err := json.Unmarshal(data, &whole); err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	if len(whole.Choices) == 0 {
		return errors.Wrap(errTruncated, "no choice")
	}
	a.token(whole.Choices[0].Message.Content)
	return nil
}

// readPlain reads the answer to a plain call.
func (a *answer) readPlain(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	a.token(string(data))
	return nil
}

// read reads an answer of the kind that the call asked for.
func (a *answer) read(call Call, body io.Reader, opened func()) error {
	switch {
	case call.Target.Model == "":
		return a.readPlain(body)
	case call.Target.Stream:
		return a.readStream(body, opened)
	default:
		return a.readCompletion(body)
	}
}

// errorBody is an error answer, in either of the usual forms.
type errorBody struct {
	Code  string `json:"code"`
	Error struct {
		Code string `json:"code"`
		Type string `json:"type"`
	} `json:"error"`
}

// errorCode returns the code in an error answer's body, or "" when there is none.
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
