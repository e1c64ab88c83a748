package sendonce

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// response returns a response to a message in the form of most endpoints.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunkedResponse(id string, chunks ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for _, c := range chunks {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(c), c)
	}
	return b.String() + "0\r\n\r\n"
}

// rawServer answers each request with the same bytes, one to pathWarm with a response to the message "warm".
type rawServer struct {
	url         string
	connections atomic.Int64
}

// newRawServer starts a server that writes its reply in pieces of a number of bytes, and then closes the connection if closes is set.
func newRawServer(t *testing.T, reply string, piece int, closes bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{url: "http://" + listener.Addr().String()}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if request.URL.Path == pathWarm {
				_, _ = io.WriteString(conn, response("warm", "warm"))
				continue
			}
			for rest := reply; rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				if rest = rest[n:]; rest != "" && piece < len(reply) {
					time.Sleep(100 * time.Microsecond)
				}
			}
			if closes {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go serve(conn)
		}
	}()
	return s
}

var errOther = errors.New("the response to another message")

// sendMessage sends a message to a path and returns the body of the response.
func sendMessage(t *testing.T, c *Client, method, url, id string, echoed bool) (string, Connection, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	m := &Message{IsOther: func(r *http.Response) bool { return r.Header.Get("Id") != id }}
	if echoed {
		m.ID = id
	}
	result, err := c.DoMatched(func() *http.Request { return newRequest(t, method, url, "", "").WithContext(ctx) }, m,
		func(r *http.Response, _ Connection) error {
			if r.Header.Get("Id") != id {
				return errOther
			}
			return nil
		})
	if err != nil {
		return "", result.Connection, err
	}
	defer result.Response.Body.Close()
	body, err := io.ReadAll(result.Response.Body)
	return string(body), result.Connection, err
}

// Guards against a message without an answer because its peer sent responses to others once more before it.
func TestResponseAfterThoseToOthers(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	own := response("a", "own")
	for _, c := range []struct {
		name, method, reply string
		skipped             int
	}{
		{"nothing before it", http.MethodPost, own, 0},
		{"a response with a length", http.MethodPost, response("b", "other") + own, 1},
		{"a response without a body", http.MethodPost, response("b", "") + own, 1},
		{"a response in chunks", http.MethodPost, chunkedResponse("b", "id: 1\n\n", "id: 2\n\n") + own, 1},
		{"a response without an ID", http.MethodPost, "HTTP/1.1 503 X\r\nContent-Length: 1\r\n\r\nx" + own, 1},
		{"several", http.MethodPost, response("b", "x") + chunkedResponse("c", "y") + response("d", "") + own, 3},
		{"one that is longer than the buffers", http.MethodPost, response("b", strings.Repeat("long", 1500)) + own, 1},
		{"an informational one before each", http.MethodPost, hint + response("b", "x") + hint + own, 1},
		{"one to a HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\n", 1},
		{"the field in another form", http.MethodPost, response("b", "x") + strings.Replace(own, "Id: ", "id:", 1), 1},
		{"its own in chunks", http.MethodPost, response("b", "x") + chunkedResponse("a", "o", "wn"), 1},
	} {
		for _, piece := range []int{1 << 20, 61} {
			for _, echoed := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, pieces of %d bytes, ID given %t", c.name, piece, echoed), func(t *testing.T) {
					s := newRawServer(t, c.reply, piece, false)
					client := New(nil)
					defer client.CloseIdleConnections()
					if _, _, err := sendMessage(t, client, http.MethodPost, s.url+pathWarm, "warm", true); err != nil {
						t.Fatal(err)
					}
					body, connection, err := sendMessage(t, client, c.method, s.url+pathCall, "a", echoed)
					want := "own"
					if c.method == http.MethodHead {
						want = ""
					}
					if body != want || err != nil || connection.Skipped != c.skipped {
						t.Errorf("body %q, %d responses skipped, error %v; want %q and %d", body, connection.Skipped, err, want, c.skipped)
					}
					if body, _, err := sendMessage(t, client, http.MethodPost, s.url+pathWarm, "warm", true); body != "warm" || err != nil || s.connections.Load() != 1 {
						t.Errorf("next message: body %q, error %v, %d connections; want the first one in use", body, err, s.connections.Load())
					}
				})
			}
		}
	}
}

// Guards against a response to another message, or a part of one, being taken for the awaited one where that does not follow.
func TestResponsesToOthersOnly(t *testing.T) {
	for _, c := range []struct {
		name, reply string
		closes      bool
		want        error
	}{
		{"a response", response("b", "other"), false, context.DeadlineExceeded},
		{"a response, then the end of the connection", response("b", "other"), true, nil},
		{"one that ends with the connection", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n" + response("a", "own"), true, nil},
		{"one that is cut by the awaited one", strings.TrimSuffix(response("b", strings.Repeat("x", 500)), strings.Repeat("x", 400)) + response("a", "own"), true, errOther},
		{"one that is cut", strings.TrimSuffix(response("b", "other"), "er"), true, errOther},
		{"more than is read", response("b", strings.Repeat("x", maxSkippedBytes)) + response("a", "own"), false, errOther},
		{"a head without end", "HTTP/1.1 200 OK\r\nId: b\r\nX: " + strings.Repeat("x", 3*maxSkippedBytes), false, nil},
		{"no response", "nonsense\r\n\r\n" + response("a", "own"), false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newRawServer(t, c.reply, 1<<20, c.closes)
			client := New(nil)
			defer client.CloseIdleConnections()
			if _, _, err := sendMessage(t, client, http.MethodPost, s.url+pathWarm, "warm", true); err != nil {
				t.Fatal(err)
			}
			body, _, err := sendMessage(t, client, http.MethodPost, s.url+pathCall, "a", true)
			if err == nil || c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("body %q, error %v, want %v", body, err, c.want)
			}
		})
	}
}

// Guards against waiting for an answer after one to another message on a connection that has carried no other: it is no copy.
func TestFirstResponseOfAConnectionIsNotSkipped(t *testing.T) {
	s := newRawServer(t, response("b", "other"), 1<<20, false)
	client := New(nil)
	defer client.CloseIdleConnections()
	if _, connection, err := sendMessage(t, client, http.MethodPost, s.url+pathCall, "a", true); !errors.Is(err, errOther) || connection.Skipped > 0 {
		t.Errorf("error %v, %d responses skipped, want an error at once", err, connection.Skipped)
	}
}
