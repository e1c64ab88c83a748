package backing

import (
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against a service of the platform whose bytes never end: a call fails by its timeout and reads no more than it may hold.
func TestCallsEndWhereBytesDoNot(t *testing.T) {
	const timeout = 500 * time.Millisecond
	endlesstest.Run(t, endlesstest.Bounds{Time: timeout + time.Second, Bytes: maxResponseBytes + 8<<20}, func(t *testing.T, address string) {
		client := newServiceClient("http://"+address, Options{Timeout: timeout}, &http.Client{})
		if _, err := client.read(t.Context(), "/x"); err == nil {
			t.Error("the call succeeded")
		}
	})
}
