package timeline

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
)

// shortWriter is a connection on which only a number of writes succeed.
type shortWriter struct {
	*httptest.ResponseRecorder
	writes int
}

// Write implements http.ResponseWriter.
func (w *shortWriter) Write(data []byte) (int, error) {
	if w.writes--; w.writes < 0 {
		return 0, errors.Wrap(io.ErrShortWrite, "test")
	}
	return w.ResponseRecorder.Write(data)
}

// Guards against a timeline that could not be written whole and ends as if complete.
func TestTimelineThatCannotBeWritten(t *testing.T) {
	r := NewRecorder("p", 8, fixedClock())
	r.Record(Event{Kind: RequestReceived})
	r.Record(Event{Kind: RequestReceived})
	for writes := range 3 {
		func() {
			defer func() {
				if got := recover(); got != http.ErrAbortHandler {
					t.Errorf("%d lines: the handler ended with %v, not by aborting the connection", writes, got)
				}
			}()
			NewHandler(r).ServeHTTP(&shortWriter{httptest.NewRecorder(), writes}, httptest.NewRequest(http.MethodGet, Path, nil))
		}()
	}
}
