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

// selfPatience bounds each wait of the proxy's own tests, and silence is how long nothing must come.
const (
	selfPatience = 5 * time.Second
	silence      = 50 * time.Millisecond
)

// startEcho runs a server that sends back what it gets and ends when its client ends.
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
	conn, err := net.DialTimeout("tcp", l.address, selfPatience)
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
	_ = c.SetReadDeadline(time.Now().Add(selfPatience))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

func wantSilence(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(silence))
	n, err := c.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v; want silence", n, err)
	}
}

func wantReset(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(selfPatience))
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
		{"pass and end", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			send(t, c, "hello")
			wantText(t, c, "hello")
			_ = c.CloseWrite()
			if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
				t.Fatalf("read %q, %v; want a clean end", rest, err)
			}
		}},
		{"cut resets and refuses until healed", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			send(t, c, "hello")
			wantText(t, c, "hello")
			l.Cut()
			wantReset(t, c)
			if _, err := net.Dial("tcp", l.address); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatalf("dial: %v; want a refusal", err)
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
			wantSilence(t, c)
			heal(t, l)
			wantText(t, c, "late")
		}},
		{"vanish loses one direction and resets when healed", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.Block(ToServer, Vanish)
			send(t, c, "lost")
			wantSilence(t, c)
			heal(t, l)
			wantReset(t, c)
		}},
		{"vanish swallows the end too", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.Block(ToServer, Vanish)
			_ = c.CloseWrite()
			wantSilence(t, c)
		}},
		{"freeze accepts and says nothing", func(t *testing.T, l *Link) {
			old := dialLink(t, l)
			send(t, old, "a")
			wantText(t, old, "a")
			l.Freeze(Hold)
			fresh := dialLink(t, l)
			send(t, fresh, "x")
			send(t, old, "b")
			wantSilence(t, fresh)
			wantSilence(t, old)
			heal(t, l)
			wantText(t, old, "b")
			wantReset(t, fresh)
		}},
		{"slow takes its time", func(t *testing.T, l *Link) {
			l.SetSlow(Slowness{Delay: 20 * time.Millisecond, BytesPerSecond: 1000})
			c := dialLink(t, l)
			began := time.Now()
			send(t, c, "0123456789")
			wantText(t, c, "0123456789")
			// Each way 20 ms and 10 bytes at 1 ms.
			if took := time.Since(began); took < 60*time.Millisecond {
				t.Fatalf("took %v; want at least 60ms", took)
			}
		}},
		{"cut after a number of bytes, once", func(t *testing.T, l *Link) {
			c := dialLink(t, l)
			l.CutAfter(ToClient, 4)
			send(t, c, "abcdef")
			_ = c.SetReadDeadline(time.Now().Add(selfPatience))
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
