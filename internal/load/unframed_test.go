package load

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/faultlink/unframedtest"
)

const (
	streamHead = "Content-Type: text/event-stream\r\n"
	token      = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
)

// callServed makes one call and returns an error unless it counts as served.
func callServed(target Target) func(t *testing.T, address string) error {
	return func(t *testing.T, address string) error {
		report, err := Run(t.Context(), Options{URL: "http://" + address, Burst: 1, Duration: time.Millisecond, Timeout: time.Second, Targets: []Target{target}})
		if err != nil {
			t.Fatal(err)
		}
		if report.Total.Served == 0 {
			return errors.New("not served")
		}
		return nil
	}
}

// Guards against answers that end with their connection: whole ones count as not served, or cut ones as served.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	t.Run("call", func(t *testing.T) { unframedtest.Check(t, "", "answer", callServed(Target{Path: "/x"})) })
	t.Run("completion", func(t *testing.T) {
		unframedtest.Check(t, "", `{"choices":[{"message":{"content":"a"}}]}`, callServed(Target{Model: "m"}))
	})
	t.Run("stream", func(t *testing.T) {
		unframedtest.Check(t, streamHead, token+token+"data: [DONE]\n\n", callServed(Target{Model: "m", Stream: true}))
	})
}

// Guards against a stream that ends inside its last event and counts as served.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	for _, body := range []string{token + "data: [DONE]", token + "data: [DONE]\n", token + "data: {\"choi"} {
		address := unframedtest.Start(t, unframedtest.Answer{Head: streamHead, Body: body})
		if callServed(Target{Model: "m", Stream: true})(t, address) == nil {
			t.Errorf("%q counts as served", body)
		}
	}
}
