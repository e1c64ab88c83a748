package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a connection to each other entry that stays open after an operator's query.
func TestPeerQueryKeepsNoConnection(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"revision":17}`) }))
	var idle atomic.Int32
	closed := make(chan struct{})
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			idle.Add(1)
		case http.StateClosed:
			close(closed)
		}
	}
	server.Start()
	defer server.Close()
	if got, err := fetchPeerRevision(t.Context(), strings.TrimPrefix(server.URL, "http://")); err != nil || got.Revision != 17 {
		t.Fatalf("%+v: %v", got, err)
	}
	receive(t, closed, "the connection stays open")
	if idle.Load() > 0 {
		t.Error("the connection was kept after the response")
	}
}
