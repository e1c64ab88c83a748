package timeline

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/cuttest"
	"balsamsail/internal/faultlink/invalidtest"
)

// Guards against a process that ends its connection in the middle of its timeline, which counts as whole.
func TestTimelinesThatAreCut(t *testing.T) {
	body := `{"process":"p","oldest":1,"latest":2}` + "\n" + `{"sequence":1}` + "\n" + `{"sequence":2}` + "\n"
	cuttest.Run(t, cuttest.Client{Body: body, New: func(_ *testing.T, address string) func(context.Context) error {
		client := &http.Client{Transport: &http.Transport{}}
		return func(ctx context.Context) error {
			for _, note := range NewCollector(client, Filter{}).Collect(ctx, []string{"http://" + address}).Notes {
				return errors.Errorf("%+v", note)
			}
			return nil
		}
	}})
}

// Guards against a process whose answers are not valid in HTTP, and whose timeline counts as read.
func TestInvalidAnswers(t *testing.T) {
	invalidtest.Run(t, "", `{"process":"p"}`+"\n", func(t *testing.T, address string) error {
		for _, note := range NewCollector(&http.Client{}, Filter{}).Collect(t.Context(), []string{"http://" + address}).Notes {
			return errors.Errorf("%+v", note)
		}
		return nil
	})
}
