package endpoint_test

import (
	"io"
	"net/http"
	"testing"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/faultlink/unframedtest"
)

// Guards against an endpoint whose answers end with their connection: whole ones are lost, or cut ones taken for whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	t.Run("state", func(t *testing.T) {
		unframedtest.Check(t, "Content-Type: application/json\r\n", `{"incarnation":"i","models":[]}`, func(t *testing.T, address string) error {
			_, err := endpoint.NewHTTPEngine("http://"+address, "", endpoint.Timeouts{}).State(t.Context())
			return err
		})
	})
	t.Run("request", func(t *testing.T) {
		unframedtest.Check(t, "", "answer", func(t *testing.T, address string) error {
			caller, err := endpoint.NewHTTPCaller("http://"+address, endpoint.CallerOptions{})
			if err != nil {
				t.Fatal(err)
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", http.NoBody)
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
		})
	})
}
