package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The default bounds of Serve.
const (
	DefaultReadHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultDrainTimeout      = time.Minute
	DefaultMaxHeaderBytes    = 64 << 10
)

var (
	// ErrServe says that the server could not go on accepting.
	ErrServe = errors.New("process: serving failed")
	// ErrDrainTimeout says that requests were still running when the time to drain was over, and were cut.
	ErrDrainTimeout = errors.New("process: requests were cut at the end of the drain timeout")
)

// ServeOptions are the settings of Serve. A zero value takes the default.
type ServeOptions struct {
	// ReadHeaderTimeout bounds the reading of one request's header, so that a slow sender holds no connection for long.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection is kept between requests. It must exceed the idle timeout of
	// the balancer in front, or the balancer may pick a connection that is being closed.
	IdleTimeout time.Duration
	// LameDuck is the time for which a stopping server still accepts requests, so that a balancer that checks readiness
	// sends elsewhere first. Zero means none.
	LameDuck time.Duration
	// DrainTimeout bounds the time after LameDuck for which running requests are awaited.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// OnStop is called once when the stop begins, before LameDuck; a process fails its readiness there.
	OnStop func()
	// Logger receives the server's own errors; nil discards them.
	Logger *slog.Logger
}

// Serve answers on the listener until ctx ends, then stops without cutting a request: it keeps accepting for LameDuck,
// with "Connection: close" on each answer, and then waits for running requests. It closes the listener. It returns nil
// after a clean stop, ErrDrainTimeout when requests had to be cut, or ErrServe.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, options ServeOptions) error {
	options = options.withDefaults()
	stopping := &atomic.Bool{}
	server := newHTTPServer(closeWhile(stopping, handler), options)

	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()

	select {
	case err := <-failed:
		return errors.Wrap(ErrServe, err.Error())
	case <-ctx.Done():
	}
	stopping.Store(true)
	if options.OnStop != nil {
		options.OnStop()
	}
	if err := lameDuck(options.LameDuck, failed); err != nil {
		return err
	}
	return drain(server, options.DrainTimeout)
}

func (o ServeOptions) withDefaults() ServeOptions {
	if o.ReadHeaderTimeout == 0 {
		o.ReadHeaderTimeout = DefaultReadHeaderTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = DefaultDrainTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

func newHTTPServer(handler http.Handler, options ServeOptions) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: options.ReadHeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
	}
}

// closeWhile asks clients to give up their connections while stopping is set.
//
// It guards against a request that is lost in a planned stop: http.Server.Shutdown closes idle connections at once, and
// a client that has just sent a request on one of them sees it reset. With "Connection: close" on the answers of the
// lame-duck time, clients have left those connections before Shutdown runs.
func closeWhile(stopping *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// lameDuck waits while the server goes on accepting.
func lameDuck(d time.Duration, failed <-chan error) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case err := <-failed:
		return errors.Wrap(ErrServe, err.Error())
	case <-timer.C:
		return nil
	}
}

// drain waits for running requests and cuts those that remain at the end.
func drain(server *http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	if closeErr := server.Close(); closeErr != nil {
		return errors.Wrap(ErrServe, closeErr.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrDrainTimeout
	}
	return errors.Wrap(ErrServe, err.Error())
}
