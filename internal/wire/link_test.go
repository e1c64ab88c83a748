package wire

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"balsamsail/internal/wire/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds what a test waits for; it is far above what any of them needs.
const patience = 20 * time.Second

// quick are the options of tests in which a peer is lost.
func quick() Options {
	return Options{
		DialTimeout:   patience,
		KeepAlive:     20 * time.Millisecond,
		WriteTimeout:  100 * time.Millisecond,
		HeaderTimeout: 50 * time.Millisecond,
	}
}

// calm are the options of tests in which none is.
func calm() Options {
	return Options{DialTimeout: patience, KeepAlive: patience, WriteTimeout: patience, HeaderTimeout: patience}
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// serve serves on a listener until the test ends or stop is called; stop returns what Serve did.
func serve(t *testing.T, listener net.Listener, o Options, handle Handler) (stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, o, quiet(), handle) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return within(t, ended, "Serve does not return")
	})
	t.Cleanup(func() { _ = stop() })
	return stop
}

func dial(t *testing.T, address string, o Options) *Session {
	t.Helper()
	session, err := Dial(t.Context(), address, o, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	return session
}

func open(t *testing.T, s *Session) *Stream {
	t.Helper()
	stream, err := s.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_REQUEST, Entry: "entry-1"}, MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// within waits for a value.
func within[T any](t *testing.T, c <-chan T, otherwise string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal(otherwise)
		panic("not reached")
	}
}

// echo sends each message back.
func echo(_ context.Context, _ *wirepb.StreamHeader, s *Stream) {
	for {
		m := &wirepb.ToAgent{}
		if s.Read(m) != nil || s.Write(m) != nil {
			return
		}
	}
}

// ask sends one message and waits for its echo.
func ask(t *testing.T, s *Stream, id string) {
	t.Helper()
	if err := s.Write(&wirepb.ToAgent{RequestId: id}); err != nil {
		t.Fatal(err)
	}
	_ = s.SetReadDeadline(time.Now().Add(patience))
	m := &wirepb.ToAgent{}
	if err := s.Read(m); err != nil || m.RequestId != id {
		t.Fatalf("%v: %v", m, err)
	}
	_ = s.SetReadDeadline(time.Time{})
}

// bulk is a message of one body frame.
func bulk() *wirepb.ToAgent {
	chunk := &wirepb.BodyChunk{Data: make([]byte, ChunkBytes)}
	return &wirepb.ToAgent{RequestId: "bulk", Frame: &wirepb.ToAgent_Body{Body: chunk}}
}

// writeUntilError fills a stream whose peer does not read, and returns the error that ends it.
func writeUntilError(s *Stream) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			if err := s.Write(bulk()); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// readOnce reads a message in the background.
func readOnce(s *Stream) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- s.Read(&wirepb.ToAgent{}) }()
	return ended
}

// filled returns once a stream's window is full, so that its writer waits.
func filled(t *testing.T, s *Stream) {
	t.Helper()
	eventually(t, "the window does not fill", func() bool { return windowOf(s) == 0 })
}

// eventually polls until a condition holds.
func eventually(t *testing.T, otherwise string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(otherwise)
		}
	}
}

// linkMode is what a relay does with what it is sent.
type linkMode int32

const (
	passing linkMode = iota
	// frozen takes nothing more, as a stopped process does.
	frozen
	// vanishing takes all and passes nothing on, as a cut link does.
	vanishing
)

// relay is a link between two processes whose faults the test sets.
type relay struct {
	listener net.Listener
	mode     atomic.Int32
	copying  sync.WaitGroup
	done     chan struct{}
}

// newRelay passes connections on to an address.
func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	r := &relay{listener: listen(t), done: make(chan struct{})}
	var conns sync.Map
	r.copying.Go(func() {
		for {
			from, err := r.listener.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			conns.Store(from, nil)
			conns.Store(onward, nil)
			r.copying.Go(func() { r.copy(onward, from) })
			r.copying.Go(func() { r.copy(from, onward) })
		}
	})
	t.Cleanup(func() {
		close(r.done)
		_ = r.listener.Close()
		conns.Range(func(conn, _ any) bool { return conn.(net.Conn).Close() == nil })
		r.copying.Wait()
	})
	return r
}

func (r *relay) set(m linkMode) { r.mode.Store(int32(m)) }

func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, ChunkBytes)
	for {
		if linkMode(r.mode.Load()) == frozen {
			<-r.done
			return
		}
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		switch linkMode(r.mode.Load()) {
		case passing:
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
			}
		case frozen:
			<-r.done
			return
		}
	}
}

// drain reads a connection to its end.
func drain(conn net.Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		ended <- err
	}()
	return ended
}
