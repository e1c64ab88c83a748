package load

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/cuttest"
)

// Guards against a server that ends its connection in the middle of an answer, which counts as served.
func TestAnswersThatAreCut(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		target     Target
	}{
		"call":       {body: "answer", target: Target{Path: "/x"}},
		"completion": {body: `{"choices":[{"message":{"content":"a"}}]}`, target: Target{Model: "m"}},
		"stream":     {head: streamHead, body: token + "data: [DONE]\n\n", target: Target{Model: "m", Stream: true}},
	} {
		t.Run(name, func(t *testing.T) {
			cuttest.Run(t, cuttest.Client{Head: c.head, Body: c.body, New: func(t *testing.T, address string) func(context.Context) error {
				return func(ctx context.Context) error {
					report, err := Run(ctx, Options{URL: "http://" + address, Burst: 1, Duration: time.Millisecond, Timeout: 5 * time.Second, Targets: []Target{c.target}})
					if err != nil {
						t.Fatal(err)
					}
					if report.Total.Served == 0 {
						return errors.New("not served")
					}
					return nil
				}
			}})
		})
	}
}
