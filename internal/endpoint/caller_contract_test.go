package endpoint_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/engine"
	"balsamsail/internal/standin/service"
)

func newCaller(t *testing.T, url string, o endpoint.CallerOptions) endpoint.Caller {
	t.Helper()
	caller, err := endpoint.NewHTTPCaller(url, o)
	if err != nil {
		t.Fatal(err)
	}
	return caller
}

func request(ctx context.Context, t *testing.T, method, path, id, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(endpoint.HeaderRequestID, id)
	return req
}

// A service runs a call over a reused connection and its answer is lost. The error must agree with whether the service
// ran the call, and the call must never run more than once: otherwise it would be executed twice, or not at all while
// the caller is told that it was.
func TestServiceCallFaults(t *testing.T) {
	cases := []struct {
		name       string
		faults     service.Faults
		timesOut   bool
		want       error
		status     int
		executions int
	}{
		{name: "no fault", status: http.StatusOK, executions: 1},
		{name: "refuses", faults: service.Faults{Refuse: true}, status: http.StatusServiceUnavailable},
		{name: "cut before it runs", faults: service.Faults{CutBefore: always}, want: endpoint.ErrOutcomeUnknown},
		{name: "cut after it ran", faults: service.Faults{CutAfter: always}, want: endpoint.ErrOutcomeUnknown, executions: 1},
		{name: "hangs before it runs", faults: service.Faults{HangBefore: always}, timesOut: true, want: endpoint.ErrOutcomeUnknown},
		{
			name:       "hangs after it ran",
			faults:     service.Faults{HangAfter: always},
			timesOut:   true,
			want:       endpoint.ErrOutcomeUnknown,
			executions: 1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := service.New(service.Options{})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			caller := newCaller(t, server.URL, endpoint.CallerOptions{EchoesRequestID: true})
			resp, err := caller.Call(request(t.Context(), t, http.MethodGet, "/warm", "r0", ""))
			if err != nil {
				t.Fatal(err)
			}
			readBody(t, resp)
			s.Faults().Update(func(f *service.Faults) { *f = c.faults })
			ctx := t.Context()
			if c.timesOut {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, shortTimeout)
				defer cancel()
			}
			req := request(ctx, t, http.MethodPost, "/notices?ward=7", "r1", `{"marker":"notice-1"}`)
			req.Header.Set("Idempotency-Key", "key-1")
			resp, err = caller.Call(req)
			checkError(t, err, c.want)
			if err == nil {
				readBody(t, resp)
				if resp.StatusCode != c.status {
					t.Errorf("status %d, want %d", resp.StatusCode, c.status)
				}
			}
			if got := executionCount(s, "notice-1"); got != c.executions {
				t.Errorf("ran %d times, want %d", got, c.executions)
			}
		})
	}
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func executionCount(s *service.Server, key string) int {
	for _, call := range s.Truth().Calls {
		if call.Key == key {
			return call.Executions
		}
	}
	return 0
}

func TestCallerUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := newCaller(t, server.URL, endpoint.CallerOptions{}).Call(request(t.Context(), t, http.MethodPost, "/echo", "r1", "x"))
	checkError(t, err, endpoint.ErrUnreachable)
}

func TestCallerRefusesBadBaseURL(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:80", "/path", "http://127.0.0.1/prefix", "http://%zz"} {
		_, err := endpoint.NewHTTPCaller(url, endpoint.CallerOptions{})
		checkError(t, err, endpoint.ErrInvalid)
	}
}

// Request and response bodies are streamed concurrently: the first byte of the answer arrives while the request's body
// is still open.
func TestCallerStreamsBothWays(t *testing.T) {
	server := httptest.NewServer(service.New(service.Options{}).Handler())
	defer server.Close()
	caller := newCaller(t, server.URL, endpoint.CallerOptions{EchoesRequestID: true})
	reader, writer := io.Pipe()
	req := request(t.Context(), t, http.MethodPost, "/echo", "r1", "")
	req.Body, req.ContentLength = reader, -1
	go io.WriteString(writer, "first")
	resp, err := caller.Call(req)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("first"))
	if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "first" {
		t.Fatalf("got %q, %v", got, err)
	}
	go func() {
		io.WriteString(writer, "second")
		writer.Close()
	}()
	if rest := readBody(t, resp); rest != "second" {
		t.Errorf("got %q", rest)
	}
}

const chatBody = `{"model":"m@1","max_tokens":8,"stream":%t,"messages":[{"role":"user","content":"crack at km 3"}]}`

// A streamed answer breaks off, is delayed, or belongs to another request. The caller must get the complete answer to
// its own request, or an error that shows that it did not.
func TestChatFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults engine.Faults
		// wantErr is Call's error; whole is whether the body then ends properly.
		wantErr error
		status  int
		whole   bool
	}{
		{name: "no fault", status: http.StatusOK, whole: true},
		{name: "slow and late", faults: engine.Faults{SlowFactor: 2, Late: always, LateSeconds: 0.01}, status: http.StatusOK, whole: true},
		{name: "refuses", faults: engine.Faults{Refuse: true}, status: http.StatusServiceUnavailable},
		{name: "another request's answer", faults: engine.Faults{SwapAnswer: always}, wantErr: endpoint.ErrWrongAnswer},
		{name: "cut in the middle", faults: engine.Faults{Cut: always, CutAfterTokens: 3}, status: http.StatusOK},
		{name: "cut after the last token", faults: engine.Faults{Cut: always, CutAfterTokens: 8}, status: http.StatusOK},
	}
	for _, c := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", c.name, stream), func(t *testing.T) {
				s, url := startEngine(t, fastEngine())
				if err := endpoint.NewHTTPEngine(url, "", endpoint.Timeouts{}).Do(t.Context(), load("m@1", 1, 1)); err != nil {
					t.Fatal(err)
				}
				caller := newCaller(t, url, endpoint.CallerOptions{EchoesRequestID: true})
				s.Faults().Update(func(f *engine.Faults) { *f = c.faults })
				body := fmt.Sprintf(chatBody, stream)
				resp, err := caller.Call(request(t.Context(), t, http.MethodPost, "/v1/chat/completions", "r1", body))
				if !stream && !c.whole && c.status == http.StatusOK {
					// An answer that is not streamed has not begun when it is cut.
					checkError(t, err, endpoint.ErrOutcomeUnknown)
					return
				}
				checkError(t, err, c.wantErr)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if resp.StatusCode != c.status {
					t.Fatalf("status %d, want %d", resp.StatusCode, c.status)
				}
				if c.status != http.StatusOK {
					return
				}
				text, whole := readChat(resp.Body, stream)
				want := engine.Answer("m@1", "crack at km 3", 8)
				if whole != c.whole || (whole && text != want) || !strings.HasPrefix(want, text) {
					t.Errorf("whole %t: %q, want %q", whole, text, want)
				}
			})
		}
	}
}

type chatChunk struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

// readChat returns the text of an answer and whether it ended properly.
func readChat(body io.Reader, stream bool) (string, bool) {
	var chunk chatChunk
	if !stream {
		err := json.NewDecoder(body).Decode(&chunk)
		if err != nil {
			return "", false
		}
		return chunk.Choices[0].Message.Content, true
	}
	text, done := "", false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, false
		}
		text += chunk.Choices[0].Delta.Content
	}
	return text, done && lines.Err() == nil
}

// A caller disconnects in the middle of a stream. The engine must be notified, otherwise it continues to generate the
// answer.
func TestCallerCancelsAtTheEngine(t *testing.T) {
	o := fastEngine()
	o.BetweenTokens = time.Hour
	s, url := startEngine(t, o)
	if err := endpoint.NewHTTPEngine(url, "", endpoint.Timeouts{}).Do(t.Context(), load("m@1", 1, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := request(ctx, t, http.MethodPost, "/v1/chat/completions", "r1", fmt.Sprintf(chatBody, true))
	resp, err := newCaller(t, url, endpoint.CallerOptions{}).Call(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	waitFor(t, "the cancellation", func() bool { return s.Truth().Cancelled == 1 })
}

// An endpoint that should echo identifiers answers without one, as a proxy in front of it might. The answer cannot be
// matched to its request and must be rejected. An endpoint that is not declared to echo identifiers is not checked.
func TestCallerChecksTheEcho(t *testing.T) {
	cases := []struct {
		name   string
		echoes bool
		hides  bool
		want   error
	}{
		{"declared and echoed", true, false, nil},
		{"declared and missing", true, true, endpoint.ErrWrongAnswer},
		{"not declared", false, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(service.New(service.Options{HidesRequestID: c.hides}).Handler())
			defer server.Close()
			caller := newCaller(t, server.URL, endpoint.CallerOptions{EchoesRequestID: c.echoes})
			resp, err := caller.Call(request(t.Context(), t, http.MethodGet, "/x", "r1", ""))
			checkError(t, err, c.want)
			if err == nil {
				readBody(t, resp)
			}
		})
	}
}

// The simulated endpoints must reject unknown fields in their fault settings: a misspelt fault would let a test pass
// without its failure.
func TestFaultsAreChecked(t *testing.T) {
	handlers := []http.Handler{engine.New(engine.Options{}).Handler(), service.New(service.Options{}).Handler()}
	for _, handler := range handlers {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(`{"refusse":true}`)))
		var refusal endpoint.ErrorDocument
		if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil || w.Code != http.StatusBadRequest {
			t.Fatalf("status %d, %s", w.Code, w.Body)
		}
		if !strings.Contains(refusal.Error.Message, "refusse") {
			t.Errorf("%q does not name the field", refusal.Error.Message)
		}
	}
}
