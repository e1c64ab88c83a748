package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const chatPath = "/v1/chat/completions"

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// newRequest builds the HTTP request of a call with the given time remaining until its deadline.
func newRequest(ctx context.Context, options *Options, call Call, remaining time.Duration) (*http.Request, error) {
	method, path, body, err := content(call)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(options.URL, "/")+path, body)
	if err != nil {
		return nil, errors.Wrap(ErrOptions, err.Error())
	}
	for name, values := range options.Header {
		request.Header[name] = values
	}
	target := call.Target
	if target.Model != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	if target.Class != "" {
		request.Header.Set(options.ClassHeader, target.Class)
	}
	if target.Deadline > 0 {
		request.Header.Set(options.DeadlineHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	return request, nil
}

// content returns a call's method, path and body.
func content(call Call) (string, string, io.Reader, error) {
	target := call.Target
	if target.Model == "" {
		return target.Method, target.Path, strings.NewReader(plainBody(call)), nil
	}
	data, err := json.Marshal(chatRequest{
		Model:     target.Model,
		Messages:  []chatMessage{{Role: "user", Content: call.Message}},
		MaxTokens: target.MaxTokens,
		Stream:    target.Stream,
	})
	if err != nil {
		return "", "", nil, errors.Wrap(ErrOptions, err.Error())
	}
	return http.MethodPost, chatPath, bytes.NewReader(data), nil
}

// plainBody repeats the call's message up to the target's BodyBytes.
func plainBody(call Call) string {
	n := call.Target.BodyBytes
	if n == 0 {
		return ""
	}
	return strings.Repeat(call.Message+"\n", n/len(call.Message)+1)[:n]
}
