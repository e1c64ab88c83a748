package endpoint_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/faultlink/repeattest"
)

// Guards against an order or a read of an engine's state that takes a late copy of the answer to an earlier call for its own answer.
func TestEngineCallsAreNotAnsweredByEarlierAnswers(t *testing.T) {
	const state = `{"incarnation":"i","memory_bytes":100,"models":[{"model":"m@1","state":"loaded"}]}`
	done := repeattest.Answer(http.StatusOK, "", "{}")
	refused := repeattest.Answer(http.StatusConflict, "", `{"error":{"code":"no_memory"}}`)
	t.Run("order after an order that was carried out", func(t *testing.T) {
		client := startRepeating(t, done, refused)
		checkError(t, client.Do(t.Context(), load("m@1", 1, 1)), nil)
		checkError(t, client.Do(t.Context(), load("n@1", 2, 1)), endpoint.ErrNoMemory)
	})
	t.Run("order after an order that was refused", func(t *testing.T) {
		client := startRepeating(t, refused, done)
		checkError(t, client.Do(t.Context(), load("m@1", 1, 1)), endpoint.ErrNoMemory)
		checkError(t, client.Do(t.Context(), load("n@1", 2, 1)), nil)
	})
	for name, before := range map[string]string{
		"report": `{"running":1,"waiting":0,"kv_used":0.5}`,
		"events": `{"incarnation":"i","events":[]}`,
	} {
		t.Run("state after "+name, func(t *testing.T) {
			client := startRepeating(t, repeattest.Answer(http.StatusOK, "", before), repeattest.Answer(http.StatusOK, "", state))
			var err error
			if name == "report" {
				_, err = client.Report(t.Context())
			} else {
				_, err = client.Events(t.Context(), 0)
			}
			checkError(t, err, nil)
			if got, err := client.State(t.Context()); err != nil || len(got.Models) != 1 {
				t.Errorf("state %+v, error %v; want one model", got, err)
			}
		})
	}
}

func startRepeating(t *testing.T, answers ...string) *endpoint.HTTPEngine {
	t.Helper()
	return endpoint.NewHTTPEngine("http://"+repeattest.Start(t, answers...), "", endpoint.Timeouts{})
}

// Guards against a call that takes a late copy of an earlier refusal for its own answer and is sent to another replica while it runs.
func TestCallIsNotAnsweredByAnEarlierRefusal(t *testing.T) {
	for _, echoes := range []bool{false, true} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound} {
			t.Run(fmt.Sprintf("echoes %v/%d", echoes, status), func(t *testing.T) {
				const id = endpoint.HeaderRequestID + ": r\r\n"
				address := repeattest.Start(t, repeattest.Answer(status, id, "{}"), repeattest.Answer(http.StatusOK, id, "{}"))
				caller, err := endpoint.NewHTTPCaller("http://"+address, endpoint.CallerOptions{EchoesRequestID: echoes})
				if err != nil {
					t.Fatal(err)
				}
				for _, want := range []int{status, http.StatusOK} {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/x", http.NoBody)
					if err != nil {
						t.Fatal(err)
					}
					request.Header.Set(endpoint.HeaderRequestID, "r")
					response, err := caller.Call(request)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, response.Body); err != nil {
						t.Error(err)
					}
					response.Body.Close()
					if response.StatusCode != want {
						t.Errorf("status %d, want %d", response.StatusCode, want)
					}
				}
			})
		}
	}
}
