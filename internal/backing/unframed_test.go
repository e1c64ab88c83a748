package backing

import (
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/faultlink/invalidtest"
	"balsamsail/internal/faultlink/unframedtest"
)

// Guards against a service of the platform whose answers end with their connection: whole ones are lost, or cut ones taken for whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	unframedtest.Check(t, "", `{"revision":1}`, func(t *testing.T, address string) error {
		_, err := newServiceClient("http://"+address, Options{Timeout: time.Second}, &http.Client{}).read(t.Context(), "/x")
		return err
	})
}

// Guards against a service of the platform that answers a write before it has read it and resets the connection.
func TestEarlyAnswersToWrites(t *testing.T) {
	unframedtest.CheckUpload(t, "", `{"revision":1}`, func(t *testing.T, address string) error {
		_, err := newServiceClient("http://"+address, Options{Timeout: 5 * time.Second}, &http.Client{}).write(t.Context(), http.MethodPut, "/x", make([]byte, unframedtest.UploadBytes))
		return err
	})
}

// Guards against a service of the platform whose answers are not valid in HTTP.
func TestInvalidAnswers(t *testing.T) {
	for name, call := range map[string]func(s serviceClient) error{
		"read": func(s serviceClient) error { _, err := s.read(t.Context(), "/x"); return err },
		"write": func(s serviceClient) error {
			_, err := s.write(t.Context(), http.MethodPut, "/x", []byte("x"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			invalidtest.Run(t, "", `{"revision":1}`, func(_ *testing.T, address string) error {
				return call(newServiceClient("http://"+address, Options{Timeout: time.Second}, &http.Client{}))
			})
		})
	}
}
