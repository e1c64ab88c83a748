package timeline

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/unframedtest"
)

// Guards against a process whose answers end with their connection: a whole timeline is lost, or a cut one taken for whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	unframedtest.Check(t, "Content-Type: application/json\r\n", `{"process":"p"}`, func(t *testing.T, address string) error {
		if notes := NewCollector(&http.Client{}, Filter{}).Collect(t.Context(), []string{"http://" + address}).Notes; len(notes) > 0 {
			return errors.Errorf("%+v", notes[0])
		}
		return nil
	})
}
