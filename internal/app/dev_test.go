package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/standin/engine"
)

// readyWriter closes ready at the first write, which is dev's ready message.
type readyWriter struct {
	once  sync.Once
	ready chan struct{}
}

func (w *readyWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.ready) })
	return len(p), nil
}

// devAddress returns a loopback address derived from the process ID, so that concurrent test runs use different addresses.
func devAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:18080", 100+pid>>16%100, pid>>8%256, pid%256)
}

// startDevSystem runs dev until the test ends and returns its base URL.
func startDevSystem(t *testing.T) string {
	t.Helper()
	address := devAddress()
	ctx, stop := context.WithCancel(t.Context())
	ready := &readyWriter{ready: make(chan struct{})}
	var log bytes.Buffer
	ended := make(chan error, 1)
	go func() {
		ended <- Dev(ctx, DevOptions{Listen: address, Out: ready, Log: Output{&log}, LogLevel: "error"})
	}()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("dev ended with error %v; log:\n%s", err, log.String())
		}
	})
	select {
	case <-ready.ready:
	case err := <-ended:
		ended <- err
		t.Fatalf("dev did not start: %v", err)
	case <-time.After(time.Minute):
		t.Fatal("dev was not ready within a minute")
	}
	return "http://" + address
}

// post sends a request and returns the response and its body.
func post(t *testing.T, url, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// claimRecordTimeout bounds the wait until the answer to a call under a key is recorded.
const claimRecordTimeout = 5 * time.Second

// TestDevServes sends the requests of dev's ready message. The first request loads an idle model, the second uses an
// adapter of the loaded model, and a call that is sent twice with the same idempotency key runs once.
func TestDevServes(t *testing.T) {
	base := startDevSystem(t)
	chat := base + "/v1/chat/completions"
	const message = `"messages":[{"role":"user","content":"layer 3 is loose"}],"max_tokens":4`

	t.Run("a cold model, streamed", func(t *testing.T) {
		response, body := post(t, chat, `{"model":"narrator","stream":true,`+message+`}`, http.Header{})
		if response.StatusCode != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
			t.Fatalf("status %d, body %q", response.StatusCode, body)
		}
	})
	t.Run("an adapter, not streamed", func(t *testing.T) {
		response, body := post(t, chat, `{"model":"narrator-zarqa",`+message+`}`, http.Header{})
		var completion struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(body), &completion); err != nil || len(completion.Choices) != 1 {
			t.Fatalf("status %d, body %q: %v", response.StatusCode, body, err)
		}
		if got, want := completion.Choices[0].Message.Content, engine.Answer("narrator-zarqa", "layer 3 is loose", 4); got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	})
	t.Run("an unknown model", func(t *testing.T) {
		response, body := post(t, chat, `{"model":"nobody",`+message+`}`, http.Header{})
		if response.StatusCode != http.StatusNotFound || response.Header.Get("X-Outcome") != "not_run" {
			t.Errorf("status %d, outcome %q, body %q", response.StatusCode, response.Header.Get("X-Outcome"), body)
		}
	})
	t.Run("a call under a key, twice", func(t *testing.T) {
		header := http.Header{"Idempotency-Key": {"notice-1"}}
		first, firstBody := post(t, base+"/ledger/notices", `{"amount":120}`, header)
		second, secondBody := post(t, base+"/ledger/notices", `{"amount":120}`, header)
		// The answer is recorded after the caller has it; until then the call counts as in progress.
		for end := time.Now().Add(claimRecordTimeout); second.StatusCode == http.StatusConflict && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
			second, secondBody = post(t, base+"/ledger/notices", `{"amount":120}`, header)
		}
		if first.StatusCode != http.StatusOK || second.StatusCode != http.StatusOK || firstBody != secondBody {
			t.Errorf("first answer: status %d, body %q; second answer: status %d, body %q", first.StatusCode, firstBody, second.StatusCode, secondBody)
		}
		if second.Header.Get("Idempotent-Replayed") != "true" {
			t.Error("the second answer is not marked as a replay")
		}
	})
}
