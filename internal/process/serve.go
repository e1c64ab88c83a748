package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/inbound"
)

// Default limits of Serve.
const (
	DefaultReadHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultDrainTimeout      = time.Minute
	DefaultMaxHeaderBytes    = 64 << 10
)

var (
	// ErrServe reports that the server could no longer accept connections or could not shut down.
	ErrServe = errors.New("process: serving failed")
	// ErrDrainTimeout reports that requests still running at the end of the drain timeout were aborted.
	ErrDrainTimeout = errors.New("process: requests aborted at the end of the drain timeout")
)

// ServeOptions are the settings of Serve. Zero values are replaced by the defaults.
type ServeOptions struct {
	// ReadHeaderTimeout bounds reading a request's header, so that slow clients cannot hold connections.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection is kept open between requests. It must exceed the idle timeout
	// of a load balancer in front; otherwise the balancer may send a request on a connection that is being closed.
	IdleTimeout time.Duration
	// LameDuck is the time for which a stopping server still accepts requests, so that a load balancer that checks
	// readiness can move traffic elsewhere first. Zero means none.
	LameDuck time.Duration
	// DrainTimeout bounds the wait for running requests after LameDuck.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// OnStop is called once when the shutdown begins, before LameDuck; a process reports not ready from then on.
	OnStop func()
	// Budget bounds what clients can make the process hold; nil means no bound. Listener are its settings for this listener, and
	// Refuse answers requests for which there is no room; nil means a plain answer.
	Budget   *inbound.Budget
	Listener inbound.Options
	Refuse   inbound.RefuseFunc
	// Logger receives the HTTP server's errors; nil discards them.
	Logger *slog.Logger
}

// Serve serves HTTP on the listener until ctx is done and then shuts down gracefully: it keeps accepting requests for
// LameDuck, with "Connection: close" on each response, and then waits for running requests. It closes the listener. It
// returns nil after a clean shutdown, ErrDrainTimeout if requests had to be aborted, or an error that wraps ErrServe.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, options ServeOptions) error {
	options = options.withDefaults()
	var accounted *inbound.Listener
	if options.Budget != nil {
		accounted = options.Budget.Listen(listener, options.Listener)
		listener, handler = accounted, inbound.Handler(handler, options.Refuse)
	}
	stopping, inFlight := &atomic.Bool{}, &atomic.Int64{}
	server := newHTTPServer(counted(inFlight, withConnectionClose(stopping, handler)), options)

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
	stopYielding := yieldStalledRequests(accounted)
	defer stopYielding()
	return drain(server, inFlight, options.DrainTimeout)
}

// yieldInterval is the time between two looks for clients that stand still during the drain.
const yieldInterval = 250 * time.Millisecond

// yieldStalledRequests keeps the drain from waiting for clients that stand still while they send a request, until the returned function
// is called.
func yieldStalledRequests(l *inbound.Listener) (stop func()) {
	if l == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			l.YieldStalledRequests()
			clock.Pause(ctx, yieldInterval)
		}
	}()
	return cancel
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
		ConnContext:       inbound.ConnContext,
		ConnState:         inbound.ConnState,
		ErrorLog:          slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
	}
}

// withConnectionClose adds "Connection: close" to responses while stopping is set.
//
// http.Server.Shutdown closes idle connections immediately, so a client that has just sent a request on one of them sees a
// reset. With "Connection: close" on the responses of the lame-duck period, clients stop reusing their connections before
// Shutdown runs.
func withConnectionClose(stopping *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// lameDuck waits for d while the server keeps accepting requests.
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

// counted counts the requests that a handler works on.
func counted(inFlight *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// drain waits for running requests and aborts those that remain after the timeout.
func drain(server *http.Server, inFlight *atomic.Int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	remaining := inFlight.Load()
	if closeErr := server.Close(); closeErr != nil {
		return errors.Wrap(ErrServe, closeErr.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// Shutdown looks for idle connections every half second, and so may have missed that the last request has ended.
		if remaining == 0 {
			return nil
		}
		return ErrDrainTimeout
	}
	return errors.Wrap(ErrServe, err.Error())
}
