package entry

import (
	"testing"

	"balsamsail/internal/faultlink/invalidtest"
	"balsamsail/internal/faultlink/unframedtest"
)

// Guards against another entry whose answers end with their connection: a whole one is lost, or a cut one taken for whole.
func TestPeerAnswersThatEndWithTheirConnection(t *testing.T) {
	unframedtest.Check(t, "Content-Type: application/json\r\n", `{"revision":17}`, func(t *testing.T, address string) error {
		_, err := fetchPeerRevision(t.Context(), address)
		return err
	})
}

// Guards against another entry whose answers are not valid in HTTP.
func TestInvalidPeerAnswers(t *testing.T) {
	invalidtest.Run(t, "Content-Type: application/json\r\n", `{"revision":17}`, func(t *testing.T, address string) error {
		_, err := fetchPeerRevision(t.Context(), address)
		return err
	})
}
