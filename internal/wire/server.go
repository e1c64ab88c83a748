package wire

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/wire/wirepb"
)

// server accepts sessions and streams.
type server struct {
	options Options
	logger  *slog.Logger
	handle  Handler
	active  sync.WaitGroup
}

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.active.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.active.Add(1)
			go s.serveConn(ctx, conn)
		case !isTemporaryAcceptError(err):
			return ignoreClosed(err)
		default:
			s.logger.Warn("accept failed; retrying", "error", err)
			clock.Pause(ctx, acceptRetryDelay)
		}
	}
}

// acceptRetryDelay is the delay before the next Accept after a temporary error.
const acceptRetryDelay = 20 * time.Millisecond

// isTemporaryAcceptError reports whether an Accept error concerns a single connection or a temporary lack of resources,
// such as file descriptors during a burst of connections. Stopping the server on such an error would abort all requests in
// flight.
func isTemporaryAcceptError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// serveConn runs one session. When ctx is done, the session and all its streams are closed.
func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.active.Done()
	mux, err := yamux.Server(conn, s.options.config(s.logger))
	if err != nil {
		_ = conn.Close()
		return
	}
	streams := newStreamSet(mux)
	stop := context.AfterFunc(ctx, func() {
		streams.expire()
		_ = mux.Close()
	})
	defer stop()
	defer func() { _ = mux.Close() }()
	for {
		raw, err := mux.AcceptStream()
		if err != nil {
			s.logger.Debug("session ended", "peer", conn.RemoteAddr(), "error", err)
			return
		}
		s.active.Add(1)
		go s.serveStream(ctx, newStream(raw, MaxFrameBytes, streams))
	}
}

// serveStream reads the header and passes the stream to the handler.
func (s *server) serveStream(ctx context.Context, stream *Stream) {
	defer s.active.Done()
	defer func() { _ = stream.Close() }()
	header := &wirepb.StreamHeader{}
	// A peer that opens streams without sending a header must not hold them indefinitely.
	_ = stream.SetReadDeadline(time.Now().Add(s.options.HeaderTimeout))
	if err := stream.Read(header); err != nil {
		s.logger.Warn("reading stream header failed", "error", err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.handle(ctx, header, stream)
}
