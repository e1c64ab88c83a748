package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against an endpoint whose bytes never end: calls fail by their timeout and read no more than they may hold, and the
// caller of a request can end the body at any time.
func TestCallsEndWhereBytesDoNot(t *testing.T) {
	const timeout = 500 * time.Millisecond
	calls := map[string]func(t *testing.T, base string){
		"state": func(t *testing.T, base string) {
			_, err := endpoint.NewHTTPEngine(base, "", endpoint.Timeouts{Read: timeout}).State(t.Context())
			if err == nil {
				t.Error("a state was read")
			}
		},
		"order": func(t *testing.T, base string) {
			// The status is the answer to an order, so that an order whose body does not end may succeed.
			_ = endpoint.NewHTTPEngine(base, "", endpoint.Timeouts{Order: timeout}).Do(t.Context(), load("m", 1, 1))
		},
		"request": func(t *testing.T, base string) {
			caller, err := endpoint.NewHTTPCaller(base, endpoint.CallerOptions{})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := caller.Call(request)
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, response.Body, 1<<20); err == nil {
				_ = response.Body.Close()
			}
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			endlesstest.Run(t, endlesstest.Bounds{Time: timeout + time.Second, Bytes: 32 << 20}, func(t *testing.T, address string) {
				call(t, "http://"+address)
			})
		})
	}
}
