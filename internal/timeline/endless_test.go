package timeline

import (
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against a process whose bytes never end: reading its timeline fails in time and holds no more than it may.
func TestCollectionEndsWhereBytesDoNot(t *testing.T) {
	const timeout = 500 * time.Millisecond
	endlesstest.Run(t, endlesstest.Bounds{Time: timeout + time.Second, Bytes: maxAnswerBytes + 8<<20}, func(t *testing.T, address string) {
		collector := NewCollector(&http.Client{Timeout: timeout}, Filter{})
		if got := collector.Collect(t.Context(), []string{"http://" + address}); len(got.Notes) == 0 {
			t.Error("nothing says that the process was not read")
		}
	})
}
