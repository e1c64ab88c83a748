// Package cuttest runs a client against servers that end their answers before they are whole.
package cuttest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// resetDelay is the time between the last byte of an answer and the reset of its connection.
	resetDelay = 2 * time.Millisecond
	// silentTimeout bounds a call to a server that falls silent.
	silentTimeout = 100 * time.Millisecond
)

// Client is a client under test.
type Client struct {
	// Head holds the header fields of its answers, each with its line end, and Body the body of a whole answer.
	Head, Body string
	// HeadSuffices is set if the status is the answer, so that a body that is cut may be a success.
	HeadSuffices bool
	// New returns a function that makes one call to the server at an address. The calls of one function share their connections.
	New func(t *testing.T, address string) func(ctx context.Context) error
}

// framing is one form of an answer.
type framing struct {
	name, head, body string
	// ends is set if the body ends with the connection.
	ends bool
}

func (c Client) framings() []framing {
	head := func(interim, fields string) string { return interim + "HTTP/1.1 200 OK\r\n" + c.Head + fields + "\r\n" }
	length := fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	half := len(c.Body) / 2
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	chunks := chunk(c.Body[:half]) + chunk(c.Body[half:])
	return []framing{
		{name: "length", head: head("", length), body: c.Body},
		{name: "chunks", head: head("", "Transfer-Encoding: chunked\r\n"), body: chunks + "0\r\n\r\n"},
		{name: "chunks and a trailer", head: head("", "Transfer-Encoding: chunked\r\n"), body: chunks + "0\r\nX: y\r\n\r\n"},
		{name: "no framing", head: head("", ""), body: c.Body, ends: true},
		{name: "after an interim answer", head: head("HTTP/1.1 103 Early Hints\r\n\r\n", length), body: c.Body},
	}
}

// ending is how the server ends an answer.
type ending string

const (
	closes      ending = "closes"
	resets      ending = "resets"
	fallsSilent ending = "falls silent"
)

// Run makes one call for each byte of an answer that may be its last one: with each framing, and with the connection closed in good
// order or reset, on a new connection and on one that has carried a whole answer. Servers that fall silent do so at a few places. A
// call must succeed if its answer is whole, and fail if it is not.
func Run(t *testing.T, c Client) {
	t.Helper()
	for _, f := range c.framings() {
		for _, end := range []ending{closes, resets, fallsSilent} {
			for _, kept := range []bool{false, true} {
				if kept && (f.ends || end == fallsSilent) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, kept connection %v", f.name, end, kept), func(t *testing.T) {
					t.Parallel()
					c.cutAtEachByte(t, f, end, kept)
				})
			}
		}
	}
}

func (c Client) cutAtEachByte(t *testing.T, f framing, end ending, kept bool) {
	s := start(t)
	whole := f.head + f.body
	call := c.New(t, s.listener.Addr().String())
	for cut := 0; cut <= len(whole); cut += step(end, len(whole)) {
		if !kept {
			call = c.New(t, s.listener.Addr().String())
		} else {
			s.set(whole, "")
			if err := call(t.Context()); err != nil {
				t.Fatalf("a whole answer failed: %v", err)
			}
		}
		s.set(whole[:cut], end)
		err := callWithin(t, call, end)
		complete, mayBe := f.complete(cut, end)
		if c.HeadSuffices && cut >= len(f.head) {
			complete, mayBe = false, true
		}
		switch {
		case err == nil && !complete && !mayBe:
			t.Errorf("an answer that ends after %q is a success", whole[:cut])
		case err != nil && complete:
			t.Errorf("a whole answer failed: %v", err)
		}
	}
}

// complete reports whether an answer of which a number of bytes are sent is whole, or may be: where the body ends with the
// connection, nothing tells that it was cut, the bytes of a reset connection may arrive or not, and the time for those of a silent
// server is short.
func (f framing) complete(cut int, end ending) (complete, mayBe bool) {
	all := cut == len(f.head)+len(f.body)
	switch {
	case f.ends && end == closes:
		return all, cut >= len(f.head)
	case f.ends:
		return false, false
	}
	return all && end == closes, all
}

// silentCuts is the number of places in an answer after which a server falls silent: these calls take long.
const silentCuts = 6

// step returns by how many bytes the next answer is longer.
func step(end ending, length int) int {
	if end == fallsSilent {
		return max(1, length/silentCuts)
	}
	return 1
}

func callWithin(t *testing.T, call func(ctx context.Context) error, end ending) error {
	ctx := t.Context()
	if end == fallsSilent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, silentTimeout)
		defer cancel()
	}
	return call(ctx)
}

// server sends a given text to each request and then ends the connection, or keeps it for the next request if there is no ending.
type server struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	text  string
	end   ending
	conns map[net.Conn]bool
}

func start(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, conns: make(map[net.Conn]bool)}
	t.Cleanup(s.close)
	s.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			s.serving.Go(func() { s.serve(conn.(*net.TCPConn)) })
		}
	})
	return s
}

func (s *server) set(text string, end ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.end = text, end
}

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *server) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.mu.Lock()
		text, end := s.text, s.end
		s.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		switch end {
		case closes:
			return
		case resets:
			time.Sleep(resetDelay)
			_ = conn.SetLinger(0)
			return
		case fallsSilent:
			_, _ = io.Copy(io.Discard, reader)
			return
		}
	}
}
