package timeline

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/cuttest"
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
