package operator

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against an entry whose bytes never end: a read goes on to the next entry, and an edit ends as one that may have been
// applied, both in time and with no more memory than a response may take.
func TestCallsEndWhereBytesDoNot(t *testing.T) {
	const timeout = 500 * time.Millisecond
	calls := map[string]func(t *testing.T, c *Client){
		"read": func(t *testing.T, c *Client) {
			if _, err := c.Status(t.Context()); !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrResponse) {
				t.Errorf("got %v", err)
			}
		},
		"edit": func(t *testing.T, c *Client) {
			var unknown *OutcomeUnknownError
			if _, err := c.Apply(t.Context(), ApplyRequest{INI: "x"}); !errors.As(err, &unknown) {
				t.Errorf("got %v", err)
			}
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			endlesstest.Run(t, endlesstest.Bounds{Time: timeout + time.Second, Bytes: MaxResponseBytes + 8<<20}, func(t *testing.T, address string) {
				client := NewClient([]string{"http://" + address}, http.DefaultClient)
				client.readTimeout, client.editResponseTimeout = timeout, timeout
				call(t, client)
			})
		})
	}
}

// Guards against a response over the limit that is cut without an error and taken for whole, since its beginning is valid.
func TestResponseOverTheLimitIsNotWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
		blanks := bytes.Repeat([]byte(" "), 1<<20)
		for range MaxResponseBytes>>20 + 1 {
			_, _ = w.Write(blanks)
		}
	}))
	defer server.Close()
	if _, err := NewClient([]string{server.URL}, server.Client()).Status(t.Context()); err == nil {
		t.Error("the response counts as whole")
	}
}
