package operator

import (
	"context"
	"net/http"
	"testing"

	"balsamsail/internal/faultlink/cuttest"
)

// Guards against an entry that ends its connection in the middle of an answer, which counts as whole or as empty.
func TestAnswersThatAreCut(t *testing.T) {
	client := func(address string) *Client {
		return NewClient([]string{"http://" + address}, &http.Client{Transport: &http.Transport{}})
	}
	t.Run("read", func(t *testing.T) {
		cuttest.Run(t, cuttest.Client{Body: `{"entry":"entry-1"}`, New: func(_ *testing.T, address string) func(context.Context) error {
			c := client(address)
			return func(ctx context.Context) error { _, err := c.Status(ctx); return err }
		}})
	})
	t.Run("edit", func(t *testing.T) {
		cuttest.Run(t, cuttest.Client{Body: `{"revision":1}`, New: func(_ *testing.T, address string) func(context.Context) error {
			c := client(address)
			return func(ctx context.Context) error { _, err := c.Drain(ctx, DrainRequest{Endpoint: "e"}); return err }
		}})
	})
}
