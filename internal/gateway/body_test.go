package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"balsamsail/internal/fleet"
)

// Guards against a part of a request's body being sent to an endpoint as the whole.
func TestBodyThatIsCut(t *testing.T) {
	const head = "POST /read/x HTTP/1.1\r\nHost: site\r\nId: a\r\nTimeout: 500\r\n"
	for name, sent := range map[string]string{
		"within its length":      head + "Content-Length: 10\r\n\r\nhello",
		"before its last chunk":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"within a chunk":         head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"within a chunk's size":  head + "Transfer-Encoding: chunked\r\n\r\n5",
		"by bytes after a chunk": head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX\r\n0\r\n\r\n",
		"by a chunk of no size":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nX\r\n\r\n",
	} {
		for _, closes := range []bool{true, false} {
			r := newRig(t, map[string]endpointScript{"plain-1": good})
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, sent); err != nil {
				t.Fatal(err)
			}
			if closes {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.StatusCode != http.StatusBadRequest {
				t.Errorf("%s, closed %t: status %d, want 400 or the end of the connection", name, closes, response.StatusCode)
			}
			if n := r.attempts("a"); n > 0 {
				t.Errorf("%s, closed %t: %d requests reached the endpoint, want none", name, closes, n)
			}
			_ = conn.Close()
		}
	}
}

// Guards against a refusal as not run that its client gets only once it has sent the whole request, if it ever does.
func TestRefusalDoesNotAwaitTheBody(t *testing.T) {
	unconfigured := newRig(t, nil)
	unconfigured.gateway.fleet = fleet.New("here", 1)
	full := newRig(t, nil)
	full.gateway.options.MaxPerService = 1
	full.gateway.inFlight["plain"] = 1
	for name, c := range map[string]struct {
		rig  *rig
		head string
	}{
		"without a configuration":   {unconfigured, "POST /plain/x HTTP/1.1\r\n"},
		"while the service is full": {full, "POST /plain/x HTTP/1.1\r\n"},
		"of an unknown model":       {newRig(t, nil), "POST /chat/x HTTP/1.1\r\nModel: unknown\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.rig.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, c.head+"Host: site\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
				t.Errorf("status %d, to be closed: %v", response.StatusCode, response.Close)
			}
		})
	}
}
