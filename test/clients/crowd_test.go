package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// settle is how long a crowd stays before its effect is measured. What is judged does not depend on it.
	settle = 1500 * time.Millisecond
	// crowdTimeout bounds what one member of a crowd sends.
	crowdTimeout = 20 * time.Second
)

// dialer makes connections with a small buffer, so that each read of a member that reads slowly opens the window.
var dialer = net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
	const bytes = 8 << 10
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	if err != nil {
		return err
	}
	return sockErr
}}

// join opens n connections at once. Each writes what write says and stays open; what the other side closes is not opened again.
func join(t *testing.T, address string, n int, write func(conn net.Conn, i int)) {
	t.Helper()
	visit(t, address, n, write)
	time.Sleep(settle)
}

// visit is join without the time for its effect.
func visit(t *testing.T, address string, n int, write func(conn net.Conn, i int)) {
	t.Helper()
	var members sync.WaitGroup
	for i := range n {
		members.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			write(conn, i)
		})
	}
	members.Wait()
}

// say returns a function that writes a text.
func say(text func(i int) string) func(net.Conn, int) {
	return func(conn net.Conn, i int) { _, _ = io.WriteString(conn, text(i)) }
}

// distinctName returns a short field name, a different one for each n.
func distinctName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for {
		name += letters[n%len(letters) : n%len(letters)+1]
		if n /= len(letters); n == 0 {
			return "z" + name
		}
	}
}

// fill returns as many lines as so many bytes have room for.
func fill(size int, line func(n int) string) string {
	var b strings.Builder
	for n := 0; ; n++ {
		next := line(n)
		if b.Len()+len(next) > size {
			return b.String()
		}
		b.WriteString(next)
	}
}

// shortLines returns header lines of so many bytes at most, as many as there is room for.
func shortLines(size int) string {
	return fill(size, func(n int) string { return distinctName(n) + ":\n" })
}

// trailerLines returns short lines as a trailer may have them: each ends with a carriage return and a newline.
func trailerLines(size int) string {
	return fill(size, func(n int) string { return distinctName(n) + ":\r\n" })
}

// oddLines returns header lines of all odd kinds that a head may have, of so many bytes at most: names of symbols, repeated names,
// empty and long values, tabs, bare newlines and continued lines.
func oddLines(size int) string {
	kinds := []func(n int) string{
		func(int) string { return "!#$%&'*+-.^_`|~:\r\n" },
		func(int) string { return "x:\n" },
		func(n int) string { return distinctName(n) + ":\t \t\r\n" },
		func(n int) string { return distinctName(n) + ": \"" + strings.Repeat("\xff", 20) + "\"\r\n" },
		func(n int) string { return distinctName(n) + ":,,,;;=\n" },
		func(n int) string { return distinctName(n) + ":a\r\n b\r\n\tc\r\n" },
		func(int) string { return "Accept: *\r\n" },
	}
	return fill(size, func(n int) string { return kinds[n%len(kinds)](n) })
}

// headOf returns the whole head of a request that has size bytes with the given lines.
func (r *rig) headOf(method, path, framing string, lines func(size int) string, size int) string {
	head := r.requestHead(method, path) + framing
	return head + lines(size-len(head)-2) + "\r\n"
}

// wholeBody is a body at the limit.
var wholeBody = bytes.Repeat([]byte("b"), maxBodyBytes)

// chunked returns a body in chunks, without its last part.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n", n)
		b.Write(body[:n])
		b.WriteString("\r\n")
		body = body[n:]
	}
	return b.Bytes()
}
