package endpoint_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/faultlink/invalidtest"
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
			return call(t, address, http.NoBody)
		})
	})
}

// call sends a request with a body to the endpoint at an address and reads the answer.
func call(t *testing.T, address string, body io.Reader) error {
	t.Helper()
	caller, err := endpoint.NewHTTPCaller("http://"+address, endpoint.CallerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", body)
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

// Guards against an endpoint that answers an upload before it has read it and resets the connection: the sender learns of the reset,
// and the part of the answer that has arrived counts as whole.
func TestEarlyAnswersToUploads(t *testing.T) {
	unframedtest.CheckUpload(t, "", "answer", func(t *testing.T, address string) error {
		return call(t, address, bytes.NewReader(make([]byte, unframedtest.UploadBytes)))
	})
}

// Guards against an endpoint whose answers are not valid in HTTP, and that counts as sound or as having carried out an order.
func TestInvalidAnswers(t *testing.T) {
	engine := func(address string) *endpoint.HTTPEngine {
		return endpoint.NewHTTPEngine("http://"+address, "", endpoint.Timeouts{})
	}
	const (
		head = "Content-Type: application/json\r\n"
		body = `{"incarnation":"i","models":[]}`
	)
	t.Run("state", func(t *testing.T) {
		invalidtest.Run(t, head, body, func(t *testing.T, address string) error { _, err := engine(address).State(t.Context()); return err })
	})
	t.Run("request", func(t *testing.T) {
		invalidtest.Run(t, head, body, func(t *testing.T, address string) error { return call(t, address, http.NoBody) })
	})
	t.Run("order", func(t *testing.T) {
		// The status is the result of an order.
		invalidtest.RunHeads(t, head, body, func(t *testing.T, address string) error {
			return engine(address).Do(t.Context(), endpoint.Order{})
		})
	})
}
