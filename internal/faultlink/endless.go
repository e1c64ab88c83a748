package faultlink

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Endless is a server that answers each request with bytes that do not end until the caller closes.
type Endless struct {
	// Head is sent once, and then Chunk again and again, with a Pause before each.
	Head, Chunk string
	Pause       time.Duration

	listener net.Listener
	sent     atomic.Int64
	handlers sync.WaitGroup
}

// sendBuffer is the size of the server's send buffers in bytes, so that Sent is close to what the callers have read.
const sendBuffer = 16 << 10

// Start listens on loopback.
func (e *Endless) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = l
	e.handlers.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.handlers.Go(func() { e.serve(conn) })
		}
	})
	return nil
}

// Address returns the address at which the server listens.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Sent returns the number of bytes that the server has sent.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Close stops listening and waits until all callers have closed.
func (e *Endless) Close() {
	_ = e.listener.Close()
	e.handlers.Wait()
}

func (e *Endless) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for text := e.Head; ; text = e.Chunk {
		n, err := conn.Write([]byte(text))
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.Pause)
	}
}

// EndlessAnswers are answers without end, by name: in the head, in a body of known and unknown length, and as a stream of whole
// events. Header fields that callers require come first.
func EndlessAnswers(fields string) map[string]*Endless {
	chunked := "Transfer-Encoding: chunked\r\n"
	ok := "HTTP/1.1 200 OK\r\n" + fields
	line := func(n int) string { return strings.Repeat("x", n) }
	events := strings.Repeat("id: 1\ndata: abc\n\n", 240)
	return map[string]*Endless{
		"one header field":         {Head: ok + "X: ", Chunk: line(4096)},
		"many header fields":       {Head: ok, Chunk: "X: " + line(1000) + "\r\n"},
		"interim responses":        {Head: "HTTP/1.1 103 Early Hints\r\n\r\n", Chunk: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"bytes that are no HTTP":   {Head: line(100), Chunk: line(4096)},
		"body in chunks":           {Head: ok + chunked + "\r\n", Chunk: "1000\r\n" + line(4096) + "\r\n"},
		"body without length":      {Head: ok + "\r\n", Chunk: line(4096)},
		"body longer than said":    {Head: ok + "Content-Length: 1000000000000\r\n\r\n", Chunk: line(4096)},
		"slow body":                {Head: ok + chunked + "\r\n", Chunk: "1\r\nx\r\n", Pause: 50 * time.Millisecond},
		"events":                   {Head: ok + chunked + "\r\n", Chunk: fmt.Sprintf("%x\r\n%s\r\n", len(events), events)},
		"one event without an end": {Head: ok + chunked + "\r\n6\r\ndata: \r\n", Chunk: "1000\r\n" + line(4096) + "\r\n"},
	}
}
