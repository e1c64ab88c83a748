package operator

import (
	"net/http"
	"testing"

	"balsamsail/internal/faultlink/invalidtest"
	"balsamsail/internal/faultlink/unframedtest"
)

// Guards against an entry whose answers end with their connection: whole ones are lost, or cut ones taken for whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	unframedtest.Check(t, "Content-Type: application/json\r\n", `{}         `, func(t *testing.T, address string) error {
		_, err := NewClient([]string{"http://" + address}, http.DefaultClient).Status(t.Context())
		return err
	})
}

// Guards against an entry whose answers are not valid in HTTP.
func TestInvalidAnswers(t *testing.T) {
	invalidtest.Run(t, "Content-Type: application/json\r\n", `{}         `, func(t *testing.T, address string) error {
		_, err := NewClient([]string{"http://" + address}, http.DefaultClient).Status(t.Context())
		return err
	})
}
