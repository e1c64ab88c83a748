package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/standin/control"
)

// chatRequest is the part of a chat completion request that the stand-in uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of parts; of a list the raw JSON is used as the text.
	Content json.RawMessage `json:"content"`
}

func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// answerInput is the request's ID and what the answer's text depends on: the model and the last message.
type answerInput struct {
	id, model, message string
}

func (r chatRequest) answerInput() answerInput {
	q := answerInput{model: r.Model}
	if len(r.Messages) > 0 {
		q.message = r.Messages[len(r.Messages)-1].text()
	}
	return q
}

// prefix returns the key of the request's first message in the prefix cache.
func (r chatRequest) prefix() string {
	if len(r.Messages) == 0 {
		return hash("")
	}
	return hash(r.Messages[0].text())
}

func (r chatRequest) tokens(fallback int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return fallback
}

func (r chatRequest) usage(tokens int) *usage {
	prompt := 0
	for _, message := range r.Messages {
		prompt += countWords(message.text())
	}
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

func hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Token returns one token of the answer to a last message. It depends on the model name in the request, the message and the
// token's index.
func Token(model, message string, index int) string {
	return hash(model + "\x00" + message + "\x00" + strconv.Itoa(index))[:8] + " "
}

// Answer returns the full text of the stand-in's answer to a last message, for tests to compare with.
func Answer(model, message string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(model, message, i))
	}
	return text.String()
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// finishLength is the finish reason of every answer, because each one ends at its token limit.
const finishLength = "length"

// answerWriter writes an answer, either streamed token by token or as one document.
type answerWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	request chatRequest
	input   answerInput
	created int64
	text    strings.Builder
	tokens  int
}

func newAnswerWriter(w http.ResponseWriter, g *generation) *answerWriter {
	a := &answerWriter{
		w:       w,
		flusher: http.NewResponseController(w),
		request: g.request,
		input:   g.input,
		created: g.begun.Unix(),
	}
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	return a
}

func (a *answerWriter) token(index int) {
	a.tokens++
	token := Token(a.input.model, a.input.message, index)
	if !a.request.Stream {
		a.text.WriteString(token)
		return
	}
	delta := &content{Content: token}
	if index == 0 {
		delta.Role = "assistant"
	}
	a.chunk([]choice{{Delta: delta}}, nil)
}

func (a *answerWriter) finish() {
	reason := finishLength
	if !a.request.Stream {
		message := &content{Role: "assistant", Content: a.text.String()}
		choices := []choice{{Message: message, FinishReason: &reason}}
		control.WriteJSON(a.w, http.StatusOK, a.document("chat.completion", choices, a.request.usage(a.tokens)))
		return
	}
	a.chunk([]choice{{Delta: &content{}, FinishReason: &reason}}, nil)
	if a.request.StreamOptions.IncludeUsage {
		a.chunk([]choice{}, a.request.usage(a.tokens))
	}
	io.WriteString(a.w, "data: [DONE]\n\n")
}

func (a *answerWriter) chunk(choices []choice, u *usage) {
	data, err := json.Marshal(a.document("chat.completion.chunk", choices, u))
	if err != nil {
		control.DropConnection()
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data)
	a.flusher.Flush()
}

func (a *answerWriter) document(object string, choices []choice, u *usage) completion {
	return completion{
		ID:      "chatcmpl-" + a.input.id,
		Object:  object,
		Created: a.created,
		Model:   a.input.model,
		Choices: choices,
		Usage:   u,
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func newModelList(names []string) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range names {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	return list
}
