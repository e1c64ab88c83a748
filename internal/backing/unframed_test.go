package backing

import (
	"net/http"
	"testing"
	"time"

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
