package operator

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
)

// unencodableBackend returns a declaration that is no JSON.
type unencodableBackend struct{ fakeBackend }

func (*unencodableBackend) Objects(context.Context, ObjectQuery) (Objects, error) {
	return Objects{Revision: 7, Objects: []Object{{Declaration: json.RawMessage(`{"cut`)}}}, nil
}

// Guards against a response that cannot be encoded and reaches the client as an empty success.
func TestResponseThatCannotBeEncoded(t *testing.T) {
	client, _ := startAPI(t, &unencodableBackend{})
	_, err := client.Objects(t.Context(), ObjectQuery{})
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want a broken connection", err)
	}
}
