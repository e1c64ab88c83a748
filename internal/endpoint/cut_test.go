package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/faultlink/cuttest"
)

// Guards against an endpoint that ends its connection in the middle of an answer, which counts as whole or as empty.
func TestAnswersThatAreCut(t *testing.T) {
	for name, client := range map[string]cuttest.Client{
		"state": {Body: `{"incarnation":"i","models":[]}`, New: func(_ *testing.T, address string) func(context.Context) error {
			engine := endpoint.NewHTTPEngine("http://"+address, "", endpoint.Timeouts{})
			return func(ctx context.Context) error { _, err := engine.State(ctx); return err }
		}},
		"events": {Body: `{"incarnation":"i","events":[]}`, New: func(_ *testing.T, address string) func(context.Context) error {
			engine := endpoint.NewHTTPEngine("http://"+address, "", endpoint.Timeouts{}).Events
			return func(ctx context.Context) error { _, err := engine(ctx, 1); return err }
		}},
		// The status is the answer to an order.
		"order": {Body: `{}`, HeadSuffices: true, New: func(_ *testing.T, address string) func(context.Context) error {
			engine := endpoint.NewHTTPEngine("http://"+address, "", endpoint.Timeouts{})
			return func(ctx context.Context) error { return engine.Do(ctx, load("m", 1, 1)) }
		}},
		"request": {Body: "answer", New: newRequestCall(http.MethodPost, "notice")},
		"read":    {Body: "answer", New: newRequestCall(http.MethodGet, "")},
	} {
		t.Run(name, func(t *testing.T) { cuttest.Run(t, client) })
	}
}

// newRequestCall returns a client that sends requests to an endpoint and reads their answers to the end.
func newRequestCall(method, body string) func(t *testing.T, address string) func(context.Context) error {
	return func(t *testing.T, address string) func(context.Context) error {
		caller, err := endpoint.NewHTTPCaller("http://"+address, endpoint.CallerOptions{})
		if err != nil {
			t.Fatal(err)
		}
		return func(ctx context.Context) error {
			request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/x", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := caller.Call(request)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			return err
		}
	}
}

// Guards against a refusal that is cut and counts as definite.
func TestRefusalThatIsCut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"code":"fenced"}}`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	err := endpoint.NewHTTPEngine(server.URL, "", endpoint.Timeouts{}).Do(t.Context(), load("m", 1, 1))
	if !errors.Is(err, endpoint.ErrOutcomeUnknown) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
}
