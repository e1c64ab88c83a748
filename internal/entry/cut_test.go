package entry

import (
	"context"
	"testing"

	"balsamsail/internal/faultlink/cuttest"
)

// Guards against another entry that ends its connection in the middle of an answer, which counts as whole or as empty.
func TestPeerAnswersThatAreCut(t *testing.T) {
	cuttest.Run(t, cuttest.Client{Head: "Content-Type: application/json\r\n", Body: `{"revision":17}`, New: func(_ *testing.T, address string) func(context.Context) error {
		return func(ctx context.Context) error { _, err := fetchPeerRevision(ctx, address); return err }
	}})
}
