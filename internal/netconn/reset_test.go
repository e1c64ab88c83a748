package netconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

const (
	uploadBytes = 4 << 20
	answer      = "part of an answer"
	// settleTime is how long the other side has to read or write before the connection ends.
	settleTime = 5 * time.Millisecond
	// resetTries varies whether a read or a write meets the reset first.
	resetTries = 30
)

// serve accepts one connection, reads a little of what arrives, answers, and ends the connection.
func serve(t *testing.T, l net.Listener, end func(c *net.TCPConn)) (done chan struct{}) {
	t.Helper()
	done = make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 512)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		time.Sleep(settleTime)
		end(conn.(*net.TCPConn))
	}()
	return done
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// upload writes to a connection while it reads the answer.
func upload(t *testing.T, address string, readAfter time.Duration) (string, error) {
	t.Helper()
	conn, err := ReportResets(Dialer().DialContext)(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), uploadBytes))
	}()
	time.Sleep(readAfter)
	data, err := io.ReadAll(conn)
	_ = conn.Close()
	<-written
	return string(data), err
}

// Guards against a connection that is reset while it is written to, whose reads end as if the peer had closed it in good order.
func TestReadsReportResets(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		// whole is set if the peer ends what it sends in good order.
		whole bool
	}{
		{"reset", reset, false},
		{"closed with unread data", func(*net.TCPConn) {}, false},
		{"half closed", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
		{"half closed, nothing read", func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(2 * settleTime) }, true},
		{"half closed, then reset", func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(settleTime); reset(c) }, true},
	} {
		// What arrives late is read after the end of the connection.
		for name, readAfter := range map[string]time.Duration{"at once": 0, "late": 4 * settleTime} {
			t.Run(c.name+", read "+name, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				for range resetTries {
					done := serve(t, l, c.end)
					data, err := upload(t, l.Addr().String(), readAfter)
					<-done
					switch {
					case c.whole && (err != nil || data != answer):
						t.Fatalf("%q, %v; want all that was sent", data, err)
					case !c.whole && err == nil:
						t.Fatalf("%q without an error", data)
					}
				}
			})
		}
	}
}

// Guards against a read that waits for a write which a peer that has closed its side keeps waiting.
func TestReadEndsBesideABlockedWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	read := make(chan struct{})
	done := serve(t, l, func(c *net.TCPConn) { _ = c.CloseWrite(); <-read })
	began := time.Now()
	data, err := upload(t, l.Addr().String(), 0)
	took := time.Since(began)
	close(read)
	<-done
	if err != nil || data != answer || took > time.Second {
		t.Errorf("%q, %v after %v", data, err, took)
	}
}

// Guards against an end of the process's own that reads as the peer's.
func TestReadAfterClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := ReportResets(Dialer().DialContext)(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v, want %v", err, net.ErrClosed)
	}
}
