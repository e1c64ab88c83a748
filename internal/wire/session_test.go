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

// windowOf is how many bytes a stream's peer would still take.
func windowOf(s *Stream) uint32 {
	// The library does not tell; the test looks at its counter as the library itself does.
	field := reflect.ValueOf(s.raw).Elem().FieldByName("sendWindow")
	return atomic.LoadUint32((*uint32)(field.Addr().UnsafePointer()))
}

// Something that is no entry dials an agent, a port scanner or a process that hangs before its first byte, or an entry's
// stream brings no header. Neither may hold a connection or a goroutine for ever, or reach the handler, and the streams
// beside it go on.
func TestPeerThatSaysNothing(t *testing.T) {
	handled := make(chan string, 8)
	address := listen(t)
	serve(t, address, quick(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		handled <- h.Entry
		echo(ctx, h, s)
	})
	conn, err := net.Dial("tcp", address.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	within(t, drain(conn), "a silent connection is kept")

	session := dial(t, address.Addr().String(), quick())
	openers := []struct {
		name string
		send []byte
	}{
		{"no header", nil},
		{"half a header", []byte{20, 8, 1}},
		{"a header over the limit", []byte{0xff, 0xff, 0xff, 0x7f}},
		{"no header but noise", []byte{2, 0x0f, 0}},
	}
	for _, o := range openers {
		t.Run(o.name, func(t *testing.T) {
			raw, err := session.mux.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = raw.Write(o.send)
			stream := newStream(raw, MaxFrameBytes)
			if err := within(t, readOnce(stream), "a stream without a header is kept"); !errors.Is(err, ErrClosed) {
				t.Fatalf("got %v, want ErrClosed", err)
			}
			_ = stream.Close()
		})
	}
	stream := open(t, session)
	_ = stream.SetReadDeadline(time.Now().Add(2 * quick().HeaderTimeout))
	if err := stream.Read(&wirepb.ToAgent{}); !errors.Is(err, ErrTimeout) {
		t.Fatalf("a stream that brought its header and waits: got %v, want ErrTimeout", err)
	}
	ask(t, stream, "beside")
	_ = stream.Close()
	if len(handled) != 1 {
		t.Fatalf("%d streams reached the handler", len(handled))
	}
}

// An agent's host is frozen, or the link to it loses everything, and no connection is closed. All that wait on it at the
// entry must end within the time between two probes and the time to answer one, not when their deadlines do.
func TestLostPeerEndsAllStreams(t *testing.T) {
	cases := []struct {
		name string
		mode linkMode
	}{{"frozen", frozen}, {"vanished", vanishing}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener := listen(t)
			serve(t, listener, quick(), func(ctx context.Context, _ *wirepb.StreamHeader, _ *Stream) { <-ctx.Done() })
			link := newRelay(t, listener.Addr().String())
			session := dial(t, link.listener.Addr().String(), quick())
			var ended []<-chan error
			for range 3 {
				ended = append(ended, readOnce(open(t, session)))
				full := open(t, session)
				ended = append(ended, writeUntilError(full))
				filled(t, full)
			}
			link.set(c.mode)
			lost := time.Now()
			within(t, session.Closed(), "the session is kept")
			for _, e := range ended {
				if err := within(t, e, "a stream waits on"); !errors.Is(err, ErrBroken) && !errors.Is(err, ErrClosed) {
					t.Fatalf("got %v", err)
				}
			}
			// The bound is a tenth of a second; the rest is for a machine that is busy.
			if took := time.Since(lost); took > patience/2 {
				t.Fatalf("the loss was noticed after %v", took)
			}
			if _, err := session.Open(&wirepb.StreamHeader{}, MaxFrameBytes); !errors.Is(err, ErrBroken) {
				t.Fatalf("opened on a lost session: %v", err)
			}
		})
	}
}

// An agent process ends, or an entry's does. Its peer's streams must all end at once, readers and writers, and Serve
// returns only when its handlers have, so that nothing works on behind the process's back.
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
			stop := serve(t, listener, calm(), func(_ context.Context, h *wirepb.StreamHeader, s *Stream) {
				running.Add(1)
				defer running.Add(-1)
				if h.Entry == "deaf" {
					<-writeUntilError(s)
					return
				}
				<-readOnce(s)
			})
			session := dial(t, listener.Addr().String(), calm())
			var ended []<-chan error
			for range pairs {
				ended = append(ended, readOnce(open(t, session)))
				deaf, err := session.Open(&wirepb.StreamHeader{Entry: "deaf"}, MaxFrameBytes)
				if err != nil {
					t.Fatal(err)
				}
				ended = append(ended, writeUntilError(deaf))
				filled(t, deaf)
			}
			eventually(t, "not all are handled", func() bool { return running.Load() == 2*pairs })
			c.end(stop, session)
			for _, e := range ended {
				within(t, e, "a stream waits on")
			}
			if err := stop(); err != nil || running.Load() != 0 {
				t.Fatalf("%v, %d handlers behind the end of Serve", err, running.Load())
			}
		})
	}
}

// One caller reads its answer slowly. Its stream fills and waits; the reports and the other answers on the same
// connection must not.
func TestSlowStreamDoesNotStallOthers(t *testing.T) {
	listener := listen(t)
	serve(t, listener, calm(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		if h.Kind == wirepb.StreamKind_CONTROL {
			echo(ctx, h, s)
			return
		}
		<-writeUntilError(s)
	})
	session := dial(t, listener.Addr().String(), calm())
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
		ask(t, control, "report")
	}
	for _, s := range slow {
		if err := s.Read(&wirepb.ToAgent{}); err != nil {
			t.Fatal(err)
		}
	}
}

// A burst of requests opens more streams at once than may wait to be taken up, while all handlers are busy. All must be
// taken up; a stream that was reset for the backlog would look like an agent that broke off.
func TestMoreStreamsThanTheBacklog(t *testing.T) {
	const streams = acceptBacklog + 200
	var here sync.WaitGroup
	here.Add(streams)
	release := make(chan struct{})
	listener := listen(t)
	serve(t, listener, calm(), func(ctx context.Context, h *wirepb.StreamHeader, s *Stream) {
		here.Done()
		<-release
		echo(ctx, h, s)
	})
	session := dial(t, listener.Addr().String(), calm())
	var opened [streams]*Stream
	for i := range opened {
		opened[i] = open(t, session)
		if err := opened[i].Write(&wirepb.ToAgent{RequestId: "burst"}); err != nil {
			t.Fatal(err)
		}
	}
	here.Wait()
	close(release)
	for _, s := range opened {
		if err := s.Read(&wirepb.ToAgent{}); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
	}
}

// A caller goes away while its answer waits for room in the stream: the entry closes the stream and reads nothing more.
// The agent's writer waited for the library's close timeout, a minute, and held a place at the engine for it.
func TestClosedStreamWakesItsWriter(t *testing.T) {
	cases := []struct {
		name string
		// end ends the exchange at the writer's stream or at its peer's.
		end func(writer, peer *Stream)
	}{
		{"the peer closes", func(_, peer *Stream) { _ = peer.Close() }},
		{"the writer's side closes", func(writer, _ *Stream) { _ = writer.Close() }},
		{"the writing is stopped", func(writer, _ *Stream) { writer.StopWriting() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			streams := make(chan *Stream, 1)
			listener := listen(t)
			serve(t, listener, calm(), func(ctx context.Context, _ *wirepb.StreamHeader, s *Stream) {
				streams <- s
				<-ctx.Done()
			})
			session := dial(t, listener.Addr().String(), calm())
			peer := open(t, session)
			writer := within(t, streams, "no stream")
			reading := readOnce(writer)
			writing := writeUntilError(writer)
			filled(t, writer)
			c.end(writer, peer)
			if err := within(t, writing, "the writer waits on"); !errors.Is(err, ErrBroken) {
				t.Fatalf("got %v", err)
			}
			_ = writer.Close()
			within(t, reading, "the reader waits on")
			_ = peer.Close()
		})
	}
}

// The sending of a large body is given up in the middle of a frame, and a withdrawal is sent after it. The agent would
// take the withdrawal's bytes for the missing end of the body and hand them to the service.
func TestNothingFollowsACutFrame(t *testing.T) {
	streams := make(chan *Stream, 1)
	listener := listen(t)
	serve(t, listener, calm(), func(ctx context.Context, _ *wirepb.StreamHeader, s *Stream) {
		streams <- s
		<-ctx.Done()
	})
	session := dial(t, listener.Addr().String(), calm())
	writer := open(t, session)
	peer := within(t, streams, "no stream")
	writing := writeUntilError(writer)
	filled(t, writer)
	writer.StopWriting()
	within(t, writing, "the writer waits on")

	read := make(chan error, 1)
	go func() {
		for {
			m := &wirepb.ToAgent{}
			if err := peer.Read(m); err != nil {
				read <- err
				return
			}
			if m.RequestId != "bulk" {
				read <- errors.Errorf("a frame of %q", m.RequestId)
				return
			}
		}
	}()
	eventually(t, "the window stays full", func() bool { return windowOf(writer) > 0 })
	if err := writer.Write(&wirepb.ToAgent{RequestId: "withdrawal"}); err == nil {
		t.Fatal("a frame was sent within another")
	}
	_ = writer.Close()
	if err := within(t, read, "the peer waits on"); !errors.Is(err, ErrBroken) {
		t.Fatalf("got %v, want ErrBroken", err)
	}
}

// A caller's header fields make an offer that the agent would not read. The sender must learn that it was not sent; the
// agent's cutting of the stream would count against a healthy engine, at one engine after the other.
func TestMessageOverTheLimitIsNotSent(t *testing.T) {
	listener := listen(t)
	serve(t, listener, calm(), echo)
	stream := open(t, dial(t, listener.Addr().String(), calm()))
	stream.SetLimit(testLimit)
	large := &wirepb.ToAgent{RequestId: strings.Repeat("x", testLimit)}
	if err := stream.Write(large); !errors.Is(err, ErrFrame) {
		t.Fatalf("got %v, want ErrFrame", err)
	}
	ask(t, stream, "small")
}

// Writers of many streams are at work when the session closes under them: each gets an error, none a panic or a wait.
func TestCloseDuringWrites(t *testing.T) {
	listener := listen(t)
	serve(t, listener, calm(), echo)
	for range 20 {
		session := dial(t, listener.Addr().String(), calm())
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
		eventually(t, "nothing is written", func() bool { return written.Load() > 8 })
		_ = session.Close()
		writers.Wait()
	}
}

// failingListener fails some of its Accepts.
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

// A burst of connections takes the agent's last file descriptors, so that Accept fails for a moment. The agent took it
// for the end of its listener and stopped, with all the answers that it had under way.
func TestServeOutlivesAShortage(t *testing.T) {
	cases := []struct {
		name    string
		failure error
		ends    bool
	}{
		{"no file descriptors", &net.OpError{Op: "accept", Err: syscall.EMFILE}, false},
		{"none in the system", &net.OpError{Op: "accept", Err: syscall.ENFILE}, false},
		{"connection gone again", &net.OpError{Op: "accept", Err: syscall.ECONNABORTED}, false},
		{"listener broken", &net.OpError{Op: "accept", Err: syscall.EINVAL}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener := failingListener{Listener: listen(t), failures: make(chan error, 1)}
			listener.failures <- c.failure
			stop := serve(t, listener, calm(), echo)
			if c.ends {
				if err := stop(); !errors.Is(err, ErrBroken) {
					t.Fatalf("got %v, want ErrBroken", err)
				}
				return
			}
			session := dial(t, listener.Addr().String(), calm())
			ask(t, open(t, session), "after")
			if err := stop(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestDialFailures(t *testing.T) {
	closed := listen(t)
	_ = closed.Close()
	if _, err := Dial(t.Context(), closed.Addr().String(), calm(), quiet()); !errors.Is(err, ErrBroken) {
		t.Fatalf("refused: got %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Dial(ended, listen(t).Addr().String(), calm(), quiet()); !errors.Is(err, ErrBroken) {
		t.Fatalf("context ended: got %v", err)
	}
	impossible := calm()
	impossible.KeepAlive = 0
	listener := listen(t)
	if _, err := Dial(t.Context(), listener.Addr().String(), impossible, quiet()); !errors.Is(err, ErrBroken) {
		t.Fatalf("settings that the session refuses: got %v", err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	within(t, drain(conn), "the connection is left open")
}
