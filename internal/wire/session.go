package wire

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/wire/wirepb"
)

const (
	// acceptBacklog bounds the streams that a peer has opened and the other side has not taken up yet.
	acceptBacklog = 1024
	// streamWindowBytes bounds what a peer may send on one stream ahead of the reader.
	streamWindowBytes = 256 << 10
)

// Options are the settings of connections between the system's processes.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// KeepAlive is the time between probes of an idle connection, and WriteTimeout the time within which a probe must be
	// answered and a write must be taken. A peer that is frozen or cut off costs at most their sum.
	KeepAlive, WriteTimeout time.Duration
	// HeaderTimeout bounds the wait for the first message of a stream.
	HeaderTimeout time.Duration
}

// DefaultOptions returns the settings that suit links of a few milliseconds.
func DefaultOptions() Options {
	return Options{
		DialTimeout:   time.Second,
		KeepAlive:     time.Second,
		WriteTimeout:  2 * time.Second,
		HeaderTimeout: 2 * time.Second,
	}
}

// config returns yamux's settings.
func (o Options) config(logger *slog.Logger) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = true
	c.KeepAliveInterval = o.KeepAlive
	c.ConnectionWriteTimeout = o.WriteTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamOpenTimeout = o.KeepAlive + o.WriteTimeout
	c.StreamCloseTimeout = time.Minute
	c.LogOutput = nil
	c.Logger = slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
	return c
}

// Session is one connection between an entry and an agent.
type Session struct {
	mux *yamux.Session
}

// Dial connects to an agent.
func Dial(ctx context.Context, address string, o Options, logger *slog.Logger) (*Session, error) {
	dialer := net.Dialer{Timeout: o.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, dialError(err)
	}
	mux, err := yamux.Client(conn, o.config(logger))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	return &Session{mux: mux}, nil
}

// dialError tells a peer that does not answer from one that refuses.
func dialError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Wrap(ErrTimeout, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// Open opens a stream and sends its header.
func (s *Session) Open(header *wirepb.StreamHeader, limit int64) (*Stream, error) {
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	stream := newStream(raw, limit)
	if err := stream.Write(header); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return stream, nil
}

// Closed is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Stream is one ordered exchange of messages within a session. One goroutine may read while another writes.
type Stream struct {
	raw    *yamux.Stream
	reader *FrameReader
	// limit bounds the messages that are written, in bytes.
	limit atomic.Int64
	// unsent is why a message was not written whole.
	unsent error
}

// expired is a deadline that has passed: it wakes whoever waits.
var expired = time.Unix(1, 0)

func newStream(raw *yamux.Stream, limit int64) *Stream {
	s := &Stream{raw: raw, reader: NewFrameReader(raw, limit)}
	s.limit.Store(limit)
	return s
}

// Read fills m with the next message.
//
// A peer closes its stream both ways at once and reads nothing more. What is written to it afterwards would fill the
// window and then wait, for up to yamux's close timeout of a minute, with whatever the writer holds. So a clean end wakes
// the writer.
func (s *Stream) Read(m proto.Message) error {
	err := s.reader.Read(m)
	if errors.Is(err, ErrClosed) {
		s.StopWriting()
	}
	return err
}

// Write sends one message. Only one goroutine may write at a time. A message over the stream's limit fails with ErrFrame
// and nothing of it is sent.
//
// A message that was sent in part leaves the peer within a frame, where the next one would be read as the rest of it, of a
// request's body perhaps. So after a failed write each further one fails.
func (s *Stream) Write(m proto.Message) error {
	if s.unsent != nil {
		return s.unsent
	}
	size := proto.Size(m)
	if int64(size) > s.limit.Load() {
		return errors.Wrapf(ErrFrame, "%d bytes are over the limit of %d", size, s.limit.Load())
	}
	s.unsent = writeFrame(s.raw, m, size)
	return s.unsent
}

// StopWriting fails a Write that waits for the peer to read, and later ones that would have to wait.
func (s *Stream) StopWriting() { _ = s.raw.SetWriteDeadline(expired) }

// SetLimit bounds the next messages, read and written, to limit bytes.
func (s *Stream) SetLimit(limit int64) {
	s.reader.SetLimit(limit)
	s.limit.Store(limit)
}

// SetReadDeadline bounds the next reads; the zero time removes the bound.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// Close ends the stream. A pending or later Read or Write fails.
func (s *Stream) Close() error {
	err := s.raw.Close()
	// The peer may never close its half; an expired deadline wakes a reader of ours at once.
	_ = s.raw.SetReadDeadline(expired)
	return err
}

// Handler serves one stream that a peer opened. The stream is closed when it returns.
type Handler func(ctx context.Context, header *wirepb.StreamHeader, stream *Stream)

// Serve accepts connections and streams until ctx ends or the listener fails. It returns after its handlers.
func Serve(ctx context.Context, listener net.Listener, o Options, logger *slog.Logger, handle Handler) error {
	s := &server{options: o, logger: logger, handle: handle}
	return s.serve(ctx, listener)
}

// ignoreClosed turns the error of a listener that was closed on purpose into nil.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
		return nil
	}
	return errors.Wrap(ErrBroken, err.Error())
}
