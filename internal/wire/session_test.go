package wire

import (
	"context"
	"net"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/wire/wirepb"
)

// sendWindow returns how many more bytes may be sent on a stream before the peer reads.
func sendWindow(s *Stream) uint32 {
	// yamux does not export the window, so its counter is read by reflection, atomically as yamux itself does.
	field := reflect.ValueOf(s.conn).Elem().FieldByName("sendWindow")
	return atomic.LoadUint32((*uint32)(field.Addr().UnsafePointer()))
}

// A port scanner or a hung process connects to an agent without sending anything, or an entry opens a stream without a
// valid header. Neither may hold a connection or a goroutine indefinitely or reach the handler, and other streams on the
// session must keep working.
func TestPeerThatSaysNothing(t *testing.T) {
	handled := make(chan string, 8)
	address := listen(t)
	serve(t, address, shortTimeouts(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		handled <- h.Entry
		echo(ctx, h, s)
	})
	conn, err := net.Dial("tcp", address.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	receive(t, drain(conn), "the idle connection was not closed")

	session := dial(t, address.Addr().String(), shortTimeouts())
	openers := []struct {
		name string
		send []byte
	}{
		{"no header", nil},
		{"a partial header", []byte{20, 8, 1}},
		{"a header over the limit", []byte{0xff, 0xff, 0xff, 0x7f}},
		{"an invalid header", []byte{2, 0x0f, 0}},
	}
	for _, o := range openers {
		t.Run(o.name, func(t *testing.T) {
			raw, err := session.mux.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = raw.Write(o.send)
			stream := newStream(raw, MaxFrameBytes, session.streams)
			if err := receive(t, readOnce(stream), "a stream without a header was not closed"); !errors.Is(err, ErrClosed) {
				t.Fatalf("got %v, want ErrClosed", err)
			}
			_ = stream.Close()
		})
	}
	stream := open(t, session)
	_ = stream.SetReadDeadline(time.Now().Add(2 * shortTimeouts().HeaderTimeout))
	if err := stream.Read(&wirepb.ToAgent{}); !errors.Is(err, ErrTimeout) {
		t.Fatalf("idle stream with a header: got %v, want ErrTimeout", err)
	}
	roundTrip(t, stream, "after")
	_ = stream.Close()
	if len(handled) != 1 {
		t.Fatalf("%d streams reached the handler, want 1", len(handled))
	}
}

// An agent's host hangs, or the link to it drops all packets, and no connection is closed. All streams to it must fail
// within the keepalive interval plus the write timeout, not only at their own deadlines.
func TestLostPeerEndsAllStreams(t *testing.T) {
	cases := []struct {
		name string
		mode linkMode
	}{{"hanging peer", frozen}, {"packet loss", dropping}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener := listen(t)
			serve(t, listener, shortTimeouts(), func(ctx context.Context, _ *wirepb.StreamHeader, _ *Stream) { <-ctx.Done() })
			link := newRelay(t, listener.Addr().String())
			session := dial(t, link.listener.Addr().String(), shortTimeouts())
			var ended []<-chan error
			for range 3 {
				ended = append(ended, readOnce(open(t, session)))
				full := open(t, session)
				ended = append(ended, writeUntilError(full))
				waitForFullWindow(t, full)
			}
			link.set(c.mode)
			lost := time.Now()
			receive(t, session.Closed(), "the session was not closed")
			for _, e := range ended {
				if err := receive(t, e, "a stream is still blocked"); !errors.Is(err, ErrBroken) && !errors.Is(err, ErrClosed) {
					t.Fatalf("got %v, want ErrBroken or ErrClosed", err)
				}
			}
			// The expected time is about 0.1 s; the rest allows for a busy machine.
			if took := time.Since(lost); took > testTimeout/2 {
				t.Fatalf("the lost peer was detected only after %v", took)
			}
			if _, err := session.Open(&wirepb.StreamHeader{}, MaxFrameBytes); !errors.Is(err, ErrBroken) {
				t.Fatalf("opening a stream on a lost session: got %v, want ErrBroken", err)
			}
		})
	}
}

// When either end closes the session, all readers and writers of its streams must return at once, and Serve must return
// only after its handlers, so that no handler keeps running after shutdown.
func TestSessionEndWakesAll(t *testing.T) {
	cases := []struct {
		name string
		end  func(stop func() error, s *Session)
	}{
		{"server stops", func(stop func() error, _ *Session) { _ = stop() }},
		{"client closes", func(_ func() error, s *Session) { _ = s.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const pairs = 8
			var running atomic.Int32
			listener := listen(t)
			stop := serve(t, listener, longTimeouts(), func(_ context.Context, h *wirepb.StreamHeader, s *Stream) {
				running.Add(1)
				defer running.Add(-1)
				if h.Entry == "unread" {
					<-writeUntilError(s)
					return
				}
				<-readOnce(s)
			})
			session := dial(t, listener.Addr().String(), longTimeouts())
			var ended []<-chan error
			for range pairs {
				ended = append(ended, readOnce(open(t, session)))
				unread, err := session.Open(&wirepb.StreamHeader{Entry: "unread"}, MaxFrameBytes)
				if err != nil {
					t.Fatal(err)
				}
				ended = append(ended, writeUntilError(unread))
				waitForFullWindow(t, unread)
			}
			eventually(t, "not all streams reached the handler", func() bool { return running.Load() == 2*pairs })
			c.end(stop, session)
			for _, e := range ended {
				receive(t, e, "a stream is still blocked")
			}
			if err := stop(); err != nil || running.Load() != 0 {
				t.Fatalf("%v, %d handlers still running after Serve returned", err, running.Load())
			}
		})
	}
}

// A caller that reads its response slowly fills its stream's window. This must not block the other streams of the same
// connection (no head-of-line blocking).
func TestSlowStreamDoesNotStallOthers(t *testing.T) {
	listener := listen(t)
	serve(t, listener, longTimeouts(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		if h.Kind == wirepb.StreamKind_CONTROL {
			echo(ctx, h, s)
			return
		}
		<-writeUntilError(s)
	})
	session := dial(t, listener.Addr().String(), longTimeouts())
	var slow []*Stream
	for range 4 {
		s := open(t, session)
		defer s.Close()
		slow = append(slow, s)
	}
	control, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL}, MaxControlBytes)
	if err != nil {
		t.Fatal(err)
	}
	for range 64 {
		roundTrip(t, control, "report")
	}
	for _, s := range slow {
		if err := s.Read(&wirepb.ToAgent{}); err != nil {
			t.Fatal(err)
		}
	}
}

// A burst of requests opens more streams than the accept backlog holds while all handlers are busy. All must be accepted:
// a stream reset because of the backlog would look like a failed agent.
func TestMoreStreamsThanTheBacklog(t *testing.T) {
	const streams = acceptBacklog + 200
	var accepted sync.WaitGroup
	accepted.Add(streams)
	release := make(chan struct{})
	listener := listen(t)
	serve(t, listener, longTimeouts(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		accepted.Done()
		<-release
		echo(ctx, h, s)
	})
	session := dial(t, listener.Addr().String(), longTimeouts())
	var opened [streams]*Stream
	for i := range opened {
		opened[i] = open(t, session)
		if err := opened[i].Write(&wirepb.ToAgent{RequestId: "burst"}); err != nil {
			t.Fatal(err)
		}
	}
	accepted.Wait()
	close(release)
	for _, s := range opened {
		if err := s.Read(&wirepb.ToAgent{}); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
	}
}

// A caller disconnects while its response is blocked on a full window: the entry closes the stream and stops reading. The
// agent's writer must not block until yamux's close timeout of one minute, because it holds capacity at the engine.
func TestClosedStreamWakesItsWriter(t *testing.T) {
	cases := []struct {
		name string
		// end closes the writer's stream or its peer's.
		end func(writer, peer *Stream)
	}{
		{"the peer closes", func(_, peer *Stream) { _ = peer.Close() }},
		{"the writer's side closes", func(writer, _ *Stream) { _ = writer.Close() }},
		{"writing is stopped", func(writer, _ *Stream) { writer.AbortWrites() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			streams := make(chan *Stream, 1)
			listener := listen(t)
			serve(t, listener, longTimeouts(), func(ctx context.Context, _ *wirepb.StreamHeader, s *Stream) {
				streams <- s
				<-ctx.Done()
			})
			session := dial(t, listener.Addr().String(), longTimeouts())
			peer := open(t, session)
			writer := receive(t, streams, "no stream was accepted")
			reading := readOnce(writer)
			writing := writeUntilError(writer)
			waitForFullWindow(t, writer)
			c.end(writer, peer)
			if err := receive(t, writing, "the writer is still blocked"); !errors.Is(err, ErrBroken) {
				t.Fatalf("got %v, want ErrBroken", err)
			}
			_ = writer.Close()
			receive(t, reading, "the reader is still blocked")
			_ = peer.Close()
		})
	}
}

// Sending a large body is aborted in the middle of a frame, and a cancellation follows. It must not be sent: the agent
// would take its bytes for the missing end of the body and forward them to the service.
func TestNothingFollowsACutFrame(t *testing.T) {
	streams := make(chan *Stream, 1)
	listener := listen(t)
	serve(t, listener, longTimeouts(), func(ctx context.Context, _ *wirepb.StreamHeader, s *Stream) {
		streams <- s
		<-ctx.Done()
	})
	session := dial(t, listener.Addr().String(), longTimeouts())
	writer := open(t, session)
	peer := receive(t, streams, "no stream was accepted")
	writing := writeUntilError(writer)
	waitForFullWindow(t, writer)
	writer.AbortWrites()
	receive(t, writing, "the writer is still blocked")

	read := make(chan error, 1)
	go func() {
		for {
			m := &wirepb.ToAgent{}
			if err := peer.Read(m); err != nil {
				read <- err
				return
			}
			if m.RequestId != "bulk" {
				read <- errors.Errorf("unexpected frame of request %q", m.RequestId)
				return
			}
		}
	}()
	eventually(t, "the window remains full", func() bool { return sendWindow(writer) > 0 })
	if err := writer.Write(&wirepb.ToAgent{RequestId: "cancellation"}); err == nil {
		t.Fatal("a frame was sent after an incomplete one")
	}
	_ = writer.Close()
	if err := receive(t, read, "the peer is still blocked"); !errors.Is(err, ErrBroken) {
		t.Fatalf("got %v, want ErrBroken", err)
	}
}

// A caller's header fields make an offer larger than the agent accepts. Write must report that it was not sent: otherwise
// each agent would end the stream, and one healthy engine after another would be counted as failing.
func TestMessageOverTheLimitIsNotSent(t *testing.T) {
	listener := listen(t)
	serve(t, listener, longTimeouts(), echo)
	stream := open(t, dial(t, listener.Addr().String(), longTimeouts()))
	stream.SetLimit(testLimit)
	large := &wirepb.ToAgent{RequestId: strings.Repeat("x", testLimit)}
	if err := stream.Write(large); !errors.Is(err, ErrFrame) {
		t.Fatalf("got %v, want ErrFrame", err)
	}
	roundTrip(t, stream, "small")
}

// The session closes while many streams write: each writer must get an error and none may panic or block.
func TestCloseDuringWrites(t *testing.T) {
	listener := listen(t)
	serve(t, listener, longTimeouts(), echo)
	for range 20 {
		session := dial(t, listener.Addr().String(), longTimeouts())
		var writers sync.WaitGroup
		var written atomic.Int32
		for range 8 {
			stream := open(t, session)
			writers.Go(func() {
				for stream.Write(&wirepb.ToAgent{RequestId: "w"}) == nil {
					written.Add(1)
				}
				_ = stream.Close()
			})
		}
		eventually(t, "no messages were written", func() bool { return written.Load() > 8 })
		_ = session.Close()
		writers.Wait()
	}
}

// failingListener returns queued errors from Accept before it accepts connections.
type failingListener struct {
	net.Listener
	failures chan error
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.failures:
		return nil, err
	default:
		return l.Listener.Accept()
	}
}

// A burst of connections exhausts the file descriptors, so that Accept fails temporarily. Serve must not treat this as a
// failed listener and stop, which would abort all responses in flight.
func TestServeOutlivesAShortage(t *testing.T) {
	cases := []struct {
		name    string
		failure error
		ends    bool
	}{
		{"no file descriptors", &net.OpError{Op: "accept", Err: syscall.EMFILE}, false},
		{"no file descriptors system-wide", &net.OpError{Op: "accept", Err: syscall.ENFILE}, false},
		{"connection aborted", &net.OpError{Op: "accept", Err: syscall.ECONNABORTED}, false},
		{"listener broken", &net.OpError{Op: "accept", Err: syscall.EINVAL}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener := failingListener{Listener: listen(t), failures: make(chan error, 1)}
			listener.failures <- c.failure
			stop := serve(t, listener, longTimeouts(), echo)
			if c.ends {
				if err := stop(); !errors.Is(err, ErrBroken) {
					t.Fatalf("got %v, want ErrBroken", err)
				}
				return
			}
			session := dial(t, listener.Addr().String(), longTimeouts())
			roundTrip(t, open(t, session), "after")
			if err := stop(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestDialFailures(t *testing.T) {
	closed := listen(t)
	_ = closed.Close()
	if _, err := Dial(t.Context(), closed.Addr().String(), longTimeouts(), discardLogger()); !errors.Is(err, ErrBroken) {
		t.Fatalf("connection refused: got %v, want ErrBroken", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Dial(ended, listen(t).Addr().String(), longTimeouts(), discardLogger()); !errors.Is(err, ErrBroken) {
		t.Fatalf("context canceled: got %v, want ErrBroken", err)
	}
	impossible := longTimeouts()
	impossible.KeepAlive = 0
	listener := listen(t)
	if _, err := Dial(t.Context(), listener.Addr().String(), impossible, discardLogger()); !errors.Is(err, ErrBroken) {
		t.Fatalf("invalid yamux settings: got %v, want ErrBroken", err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	receive(t, drain(conn), "the connection was not closed")
}
