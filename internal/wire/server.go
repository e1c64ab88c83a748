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
	running sync.WaitGroup
}

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.running.Add(1)
			go s.serveConn(ctx, conn)
		case !passes(err):
			return ignoreClosed(err)
		default:
			s.logger.Warn("connection not accepted", "error", err)
			clock.Pause(ctx, acceptRetry)
		}
	}
}

// acceptRetry is the time between tries to accept while the process is short of something.
const acceptRetry = 20 * time.Millisecond

// passes reports whether an error of Accept concerns one connection or a shortage, as of file descriptors in a burst of
// connections. A server that took it for its end would cut all the requests that it runs.
func passes(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// serveConn runs one session. When ctx ends the session is closed and with it every stream.
func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.running.Done()
	mux, err := yamux.Server(conn, s.options.config(s.logger))
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	defer func() { _ = mux.Close() }()
	for {
		raw, err := mux.AcceptStream()
		if err != nil {
			s.logger.Debug("session ended", "peer", conn.RemoteAddr(), "error", err)
			return
		}
		s.running.Add(1)
		go s.serveStream(ctx, raw)
	}
}

// serveStream reads the header and hands the stream to the handler.
func (s *server) serveStream(ctx context.Context, raw *yamux.Stream) {
	defer s.running.Done()
	stream := newStream(raw, MaxFrameBytes)
	defer func() { _ = stream.Close() }()
	header := &wirepb.StreamHeader{}
	// A peer that opens streams and says nothing must not hold them for ever.
	_ = stream.SetReadDeadline(time.Now().Add(s.options.HeaderTimeout))
	if err := stream.Read(header); err != nil {
		s.logger.Warn("stream without a header", "error", err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.handle(ctx, header, stream)
}
