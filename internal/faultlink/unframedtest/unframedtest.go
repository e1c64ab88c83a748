// Package unframedtest runs a client against servers whose answers have neither a length nor chunks, and end with their connection.
package unframedtest

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// resetDelay is the time between the last byte of an answer and the reset of its connection.
const resetDelay = 20 * time.Millisecond

// Answer is what a server sends before its connection ends.
type Answer struct {
	// Version is the HTTP version, and Status the rest of the status line; HTTP/1.1 and 200 OK if they are empty.
	Version, Status string
	// Head holds the header fields, each with its line end, and Body the body.
	Head, Body string
	// Reset makes the connection end with a reset once the body is sent.
	Reset bool
	// Early makes the server answer when it has read the head of the request. It reads no more of it before a reset.
	Early bool
}

// Start starts a server that sends the answer to each request and then ends the connection. It returns the server's address.
func Start(t *testing.T, a Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { a.serve(conn.(*net.TCPConn)) })
		}
	})
	return listener.Addr().String()
}

func (a Answer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if !a.Early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if _, err := io.WriteString(conn, cmp.Or(a.Version, "HTTP/1.1")+" "+cmp.Or(a.Status, "200 OK")+"\r\n"+a.Head+"Connection: close\r\n\r\n"+a.Body); err != nil {
		return
	}
	if !a.Reset {
		_ = conn.CloseWrite()
		// The client closes the connection when it has the answer.
		_, _ = io.Copy(io.Discard, reader)
		return
	}
	// The client reads the head before the connection is reset.
	time.Sleep(resetDelay)
	_ = conn.SetLinger(0)
}

// Check makes a call to a server that sends the whole body and one that resets the connection in the middle of it: the first must
// succeed and the second must not.
func Check(t *testing.T, head, body string, call func(t *testing.T, address string) error) {
	t.Helper()
	t.Run("whole", func(t *testing.T) {
		if err := call(t, Start(t, Answer{Head: head, Body: body})); err != nil {
			t.Errorf("a whole answer failed: %v", err)
		}
	})
	t.Run("reset", func(t *testing.T) {
		if err := call(t, Start(t, Answer{Head: head, Body: body[:len(body)/2], Reset: true})); err == nil {
			t.Error("an answer that was reset on its way counts as whole")
		}
	})
}

const (
	// UploadBytes is the size of a request that is still being sent when the server answers: more than the buffers of a connection hold.
	UploadBytes = 4 << 20
	// uploads is the number of calls for each answer. It varies whether the sender or the reader of the caller meets the reset first.
	uploads = 20
)

// EarlyAnswers calls check for each form of an answer to a request that is still being sent: with the whole body, and with a reset in
// the middle of it.
func EarlyAnswers(t *testing.T, head, body string, check func(t *testing.T, a Answer)) {
	t.Helper()
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run("whole, "+version, func(t *testing.T) {
			check(t, Answer{Version: version, Head: head, Body: body, Early: true})
		})
		t.Run("reset, "+version, func(t *testing.T) {
			check(t, Answer{Version: version, Head: head, Body: body[:len(body)/2], Early: true, Reset: true})
		})
	}
}

// CheckUpload makes calls that send UploadBytes to servers that answer before they have read them.
func CheckUpload(t *testing.T, head, body string, call func(t *testing.T, address string) error) {
	t.Helper()
	EarlyAnswers(t, head, body, func(t *testing.T, a Answer) {
		address := Start(t, a)
		failed := 0
		for range uploads {
			err := call(t, address)
			if err != nil {
				failed++
			}
			if err != nil && !a.Reset {
				t.Fatalf("a whole answer failed: %v", err)
			}
		}
		if a.Reset && failed < uploads {
			t.Errorf("%d of %d answers that were reset on their way count as whole", uploads-failed, uploads)
		}
	})
}
