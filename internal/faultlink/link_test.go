package faultlink

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds each wait in these tests. quietPeriod is how long wantNoData waits for data that must not arrive.
const (
	waitTimeout = 5 * time.Second
	quietPeriod = 50 * time.Millisecond
)

// startEcho runs an echo server that closes a connection when its client closes it.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startLink(t *testing.T) *Link {
	t.Helper()
	l, err := New("127.0.0.1:0", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dialLink(t *testing.T, l *Link) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", l.address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func wantText(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

func wantNoData(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(quietPeriod))
	n, err := c.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v; want no data", n, err)
	}
}

func wantReset(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read: %v; want a reset", err)
	}
}

func heal(t *testing.T, l *Link) {
	t.Helper()
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
}

func TestLinkFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, l *Link)
	}{
		{"data and end of file are forwarded", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			send(t, c, "hello")
			wantText(t, c, "hello")
			_ = c.CloseWrite()
			if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
				t.Fatalf("read %q, %v; want end of file", rest, err)
			}
		}},
		{"cut resets and refuses until healed", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			send(t, c, "hello")
			wantText(t, c, "hello")
			l.Cut()
			wantReset(t, c)
			if _, err := net.Dial("tcp", l.address); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatalf("dial: %v; want connection refused", err)
			}
			heal(t, l)
			c = dialLink(t, l)
			send(t, c, "again")
			wantText(t, c, "again")
		}},
		{"hold delivers late", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.Block(ToClient, Hold)
			send(t, c, "late")
			wantNoData(t, c)
			heal(t, l)
			wantText(t, c, "late")
		}},
		{"bytes of one direction are dropped and the connection is reset when healed", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.Block(ToServer, Drop)
			send(t, c, "lost")
			wantNoData(t, c)
			heal(t, l)
			wantReset(t, c)
		}},
		{"the end of file is dropped too", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.Block(ToServer, Drop)
			_ = c.CloseWrite()
			wantNoData(t, c)
		}},
		{"freeze accepts connections and sends nothing", func(t *testing.T, l *Link) {
			old := dialLink(t, l)
			send(t, old, "a")
			wantText(t, old, "a")
			l.Freeze(Hold)
			fresh := dialLink(t, l)
			send(t, fresh, "x")
			send(t, old, "b")
			wantNoData(t, fresh)
			wantNoData(t, old)
			heal(t, l)
			wantText(t, old, "b")
			wantReset(t, fresh)
		}},
		{"slow link delays each direction", func(t *testing.T, l *Link) {
			l.SetThrottle(Throttle{Delay: 20 * time.Millisecond, BytesPerSecond: 1000})
			c := dialLink(t, l)
			began := time.Now()
			send(t, c, "0123456789")
			wantText(t, c, "0123456789")
			// Each direction takes 20 ms plus 1 ms for each of 10 bytes.
			if took := time.Since(began); took < 60*time.Millisecond {
				t.Fatalf("took %v; want at least 60ms", took)
			}
		}},
		{"cut after a number of bytes, once", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.CutAfter(ToClient, 4)
			send(t, c, "abcdef")
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			got, err := io.ReadAll(c)
			if !errors.Is(err, syscall.ECONNRESET) || len(got) > 4 {
				t.Fatalf("read %q, %v; want at most 4 bytes and a reset", got, err)
			}
			c = dialLink(t, l)
			send(t, c, "abcdef")
			wantText(t, c, "abcdef")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.run(t, startLink(t))
		})
	}
}
