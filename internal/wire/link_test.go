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

// testTimeout bounds each wait of a test; it is far above what any test needs.
const testTimeout = 20 * time.Second

// shortTimeouts returns the options of tests in which a peer becomes unresponsive.
func shortTimeouts() Options {
	return Options{
		DialTimeout:   testTimeout,
		KeepAlive:     20 * time.Millisecond,
		WriteTimeout:  100 * time.Millisecond,
		HeaderTimeout: 50 * time.Millisecond,
	}
}

// longTimeouts returns the options of tests in which no timeout may occur.
func longTimeouts() Options {
	return Options{DialTimeout: testTimeout, KeepAlive: testTimeout, WriteTimeout: testTimeout, HeaderTimeout: testTimeout}
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// serve serves on a listener until the test ends or stop is called; stop returns the result of Serve.
func serve(t *testing.T, listener net.Listener, o Options, handle Handler) (stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, o, discardLogger(), handle) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return receive(t, ended, "Serve did not return")
	})
	t.Cleanup(func() { _ = stop() })
	return stop
}

func dial(t *testing.T, address string, o Options) *Session {
	t.Helper()
	session, err := Dial(t.Context(), address, o, discardLogger())
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

// receive waits for a value and fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T, failure string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal(failure)
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

// roundTrip sends one message and waits for its echo.
func roundTrip(t *testing.T, s *Stream, id string) {
	t.Helper()
	if err := s.Write(&wirepb.ToAgent{RequestId: id}); err != nil {
		t.Fatal(err)
	}
	_ = s.SetReadDeadline(time.Now().Add(testTimeout))
	m := &wirepb.ToAgent{}
	if err := s.Read(m); err != nil || m.RequestId != id {
		t.Fatalf("%v: %v", m, err)
	}
	_ = s.SetReadDeadline(time.Time{})
}

// bodyMessage returns a message with one full body chunk.
func bodyMessage() *wirepb.ToAgent {
	chunk := &wirepb.BodyChunk{Data: make([]byte, ChunkBytes)}
	return &wirepb.ToAgent{RequestId: "bulk", Frame: &wirepb.ToAgent_Body{Body: chunk}}
}

// writeUntilError writes to a stream in the background until a write fails, and sends that error to the channel.
func writeUntilError(s *Stream) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			if err := s.Write(bodyMessage()); err != nil {
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

// waitForFullWindow waits until a stream's send window is exhausted, so that its writer blocks.
func waitForFullWindow(t *testing.T, s *Stream) {
	t.Helper()
	eventually(t, "the window did not fill up", func() bool { return sendWindow(s) == 0 })
}

// eventually polls until a condition holds.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// linkMode selects how a relay handles received data.
type linkMode int32

const (
	forwarding linkMode = iota
	// frozen stops reading, like a hung process.
	frozen
	// dropping reads and discards all data, like a link that loses all packets.
	dropping
)

// relay is a TCP proxy between two processes with faults injected by the test.
type relay struct {
	listener net.Listener
	mode     atomic.Int32
	copying  sync.WaitGroup
	done     chan struct{}
}

// newRelay starts a relay that forwards connections to an address.
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
			upstream, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			conns.Store(from, nil)
			conns.Store(upstream, nil)
			r.copying.Go(func() { r.copy(upstream, from) })
			r.copying.Go(func() { r.copy(from, upstream) })
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
		case forwarding:
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
			}
		case frozen:
			<-r.done
			return
		}
	}
}

// drain reads a connection to EOF in the background.
func drain(conn net.Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		ended <- err
	}()
	return ended
}
