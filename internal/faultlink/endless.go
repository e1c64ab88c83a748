package faultlink

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

const (
	// longHeadBytes and longEventBytes are just under what callers accept of a head and of an event.
	longHeadBytes  = 30 << 10
	longEventBytes = 60 << 10
)

// shortHeaderFields returns as many fields with names of their own as so many bytes have room for.
func shortHeaderFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return b.String()
}

// EndlessAnswers are answers without end, by name: in the head, in a body of known and unknown length, and as a stream of whole
// events. Header fields that callers require come first.
func EndlessAnswers(fields string) map[string]*Endless {
	chunked := "Transfer-Encoding: chunked\r\n"
	ok := "HTTP/1.1 200 OK\r\n" + fields
	line := func(n int) string { return strings.Repeat("x", n) }
	longField := "X: " + line(longHeadBytes-len(ok)-len(chunked)) + "\r\n"
	shortLines := shortHeaderFields(longHeadBytes - len(ok) - len(chunked))
	events := strings.Repeat("id: 1\ndata: abc\n\n", 240)
	return map[string]*Endless{
		"one header field":               {Head: ok + "X: ", Chunk: line(4096)},
		"many header fields":             {Head: ok, Chunk: "X: " + line(1000) + "\r\n"},
		"interim responses":              {Head: "HTTP/1.1 103 Early Hints\r\n\r\n", Chunk: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"bytes that are no HTTP":         {Head: line(100), Chunk: line(4096)},
		"body in chunks":                 {Head: ok + chunked + "\r\n", Chunk: "1000\r\n" + line(4096) + "\r\n"},
		"body without length":            {Head: ok + "\r\n", Chunk: line(4096)},
		"body longer than said":          {Head: ok + "Content-Length: 1000000000000\r\n\r\n", Chunk: line(4096)},
		"slow body":                      {Head: ok + chunked + "\r\n", Chunk: "1\r\nx\r\n", Pause: 50 * time.Millisecond},
		"events":                         {Head: ok + chunked + "\r\n", Chunk: fmt.Sprintf("%x\r\n%s\r\n", len(events), events)},
		"slow head of short fields":      {Head: ok + shortLines, Chunk: "x", Pause: 500 * time.Millisecond},
		"slow body after short fields":   {Head: ok + chunked + shortLines + "\r\n", Chunk: "1\r\nx\r\n", Pause: 500 * time.Millisecond},
		"long head and long event, slow": {Head: ok + chunked + longField + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n", longEventBytes, line(longEventBytes)), Chunk: "1\r\nx\r\n", Pause: 500 * time.Millisecond},
		"long event that goes on slowly": {Head: ok + chunked + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n", longEventBytes, line(longEventBytes)), Chunk: "1\r\nx\r\n", Pause: 500 * time.Millisecond},
		"one event without an end":       {Head: ok + chunked + "\r\n6\r\ndata: \r\n", Chunk: "1000\r\n" + line(4096) + "\r\n"},
	}
}
