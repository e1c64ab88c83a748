package wire

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/netconn"
	"balsamsail/internal/wire/wirepb"
)

const (
	// acceptBacklog bounds the streams that a peer has opened and that have not been accepted yet.
	acceptBacklog = 1024
	// writeBytes is the number of bytes that are passed to the connection at once: WriteTimeout bounds how long they take, and a long
	// message may take longer on a small link.
	writeBytes = 16 << 10
	// streamWindowBytes is the flow-control window of a stream: the unread bytes that a peer may have sent.
	streamWindowBytes = 256 << 10
)

// Options are the settings of connections between the system's processes.
type Options struct {
	// DialTimeout bounds establishing a TCP connection.
	DialTimeout time.Duration
	// KeepAlive is the interval between keepalive probes. WriteTimeout bounds the response to a probe and each write to
	// the connection. An unresponsive peer is detected within the sum of both.
	KeepAlive, WriteTimeout time.Duration
	// HeaderTimeout bounds the wait for the first message of a stream.
	HeaderTimeout time.Duration
}

// DefaultOptions returns settings for links with a latency of a few milliseconds.
func DefaultOptions() Options {
	return Options{
		DialTimeout:   time.Second,
		KeepAlive:     time.Second,
		WriteTimeout:  2 * time.Second,
		HeaderTimeout: 2 * time.Second,
	}
}

// config returns the yamux configuration.
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
	mux     *yamux.Session
	streams *streamSet
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
	return &Session{mux: mux, streams: newStreamSet(mux)}, nil
}

// dialError distinguishes a connection attempt that timed out from one that failed.
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
	stream := newStream(raw, limit, s.streams)
	if err := stream.Write(header); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Closed returns a channel that is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error {
	s.streams.expire()
	return s.mux.Close()
}

// Stream is one ordered exchange of messages within a session. One goroutine may read while another writes.
type Stream struct {
	conn   *yamux.Stream
	reader *FrameReader
	// open is the set of the session's open streams, and expired is set once the session closes.
	open    *streamSet
	expired atomic.Bool
	// limit bounds written messages, in bytes.
	limit atomic.Int64
	// writeErr is the error of the first failed write.
	writeErr error
	// onProgress is called when bytes have arrived; nil for nothing.
	onProgress func()
}

// pastDeadline is a deadline in the past; setting it unblocks pending reads or writes.
var pastDeadline = time.Unix(1, 0)

func newStream(raw *yamux.Stream, limit int64, open *streamSet) *Stream {
	s := &Stream{conn: raw, open: open}
	s.reader = NewFrameReader(netconn.NotifyingReader{Reader: raw, OnBytes: s.noteProgress}, limit)
	s.limit.Store(limit)
	open.add(s)
	return s
}

func (s *Stream) noteProgress() {
	if s.onProgress != nil {
		s.onProgress()
	}
}

// OnProgress sets a function that Read calls whenever bytes have arrived, also those of a message that is not whole yet. Call
// OnProgress before the first Read.
func (s *Stream) OnProgress(call func()) { s.onProgress = call }

// expire makes pending and later reads fail because the session closes.
func (s *Stream) expire() {
	s.expired.Store(true)
	_ = s.conn.SetReadDeadline(pastDeadline)
}

// Read reads the next message into m.
//
// A peer that closes its stream stops both reading and writing. Writes to it would then fill the window and block for up
// to yamux's close timeout of one minute, with all resources that the writer holds. Therefore a clean end of the stream
// also unblocks the writer.
func (s *Stream) Read(m proto.Message) error {
	err := s.reader.Read(m)
	if errors.Is(err, ErrClosed) {
		s.AbortWrites()
	}
	if errors.Is(err, ErrTimeout) && s.expired.Load() {
		return errors.Wrap(ErrBroken, "the session is closed")
	}
	return err
}

// Write sends one message. Only one goroutine may write at a time. A message over the stream's limit fails with ErrFrame
// and no part of it is sent.
//
// After a partial write the peer would read the next frame as the rest of the incomplete one, for example as part of a
// request body. Therefore every write after a failed one returns the same error.
func (s *Stream) Write(m proto.Message) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	size := proto.Size(m)
	if int64(size) > s.limit.Load() {
		return errors.Wrapf(ErrFrame, "message of %d bytes exceeds the limit of %d bytes", size, s.limit.Load())
	}
	s.writeErr = writeFrame(portionWriter{s.conn}, m, size)
	return s.writeErr
}

// portionWriter passes bytes on in portions of writeBytes.
type portionWriter struct{ writer io.Writer }

// Write implements io.Writer.
func (w portionWriter) Write(p []byte) (int, error) {
	written := 0
	for portion := range slices.Chunk(p, writeBytes) {
		n, err := w.writer.Write(portion)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// AbortWrites makes a Write that is blocked on a full window fail, and later ones that would block.
func (s *Stream) AbortWrites() { _ = s.conn.SetWriteDeadline(pastDeadline) }

// SetLimit limits subsequent messages in both directions to limit bytes.
func (s *Stream) SetLimit(limit int64) {
	s.reader.SetLimit(limit)
	s.limit.Store(limit)
}

// SetReadDeadline sets the deadline of pending and later reads; the zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) error {
	if err := s.conn.SetReadDeadline(t); err != nil {
		return err
	}
	if s.expired.Load() {
		return s.conn.SetReadDeadline(pastDeadline)
	}
	return nil
}

// Close ends the stream. A pending or later Read or Write fails.
func (s *Stream) Close() error {
	s.open.remove(s)
	err := s.conn.Close()
	// The peer may never close its half of the stream; an expired deadline unblocks a local reader immediately.
	_ = s.conn.SetReadDeadline(pastDeadline)
	return err
}

// Handler serves one stream opened by a peer. The stream is closed when the handler returns.
type Handler func(ctx context.Context, header *wirepb.StreamHeader, stream *Stream)

// Serve accepts connections and streams until ctx is done or the listener fails. It returns after all handlers have
// returned.
func Serve(ctx context.Context, listener net.Listener, o Options, logger *slog.Logger, handle Handler) error {
	s := &server{options: o, logger: logger, handle: handle}
	return s.serve(ctx, listener)
}

// ignoreClosed returns nil for the error of a listener that was closed deliberately.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
		return nil
	}
	return errors.Wrap(ErrBroken, err.Error())
}
