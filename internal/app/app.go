// Package app builds each role of the system from its settings with dig, a dependency injection container. Each role has a
// file of its own.
package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/process"
	"balsamsail/internal/settings"
	"balsamsail/internal/settings/inifile"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
)

var (
	// ErrListen reports that a listener could not be opened. For an agent's address it usually means that another agent
	// of the same endpoint is still running.
	ErrListen = errors.New("app: cannot listen")
	// ErrAssemble reports that a role could not be built from its settings.
	ErrAssemble = errors.New("app: cannot build the role")
)

// Output is the destination of a process's log.
type Output struct{ io.Writer }

// StandardOutput returns an Output that writes to standard error.
func StandardOutput() Output { return Output{os.Stderr} }

// Incarnation identifies one run of a process. A later run has a higher incarnation.
type Incarnation uint64

// newIncarnation returns the wall clock time in Unix microseconds as an incarnation.
func newIncarnation(c clock.Clock) Incarnation { return Incarnation(c.Now().UnixMicro()) }

// provideCommon registers the constructors that entries and agents share.
func provideCommon(container *dig.Container, name string, log settings.Log, t settings.Timeline, out Output) error {
	return provideAll(container,
		func() clock.Clock { return clock.Real{} },
		func(c clock.Clock) Incarnation { return newIncarnation(c) },
		func() (*slog.Logger, error) { return newLogger(log, out, name) },
		process.NewRegistry,
		func(r *prometheus.Registry) prometheus.Registerer { return r },
		func(c clock.Clock, r prometheus.Registerer) (*timeline.Recorder, error) {
			recorder := timeline.NewRecorder(name, t.Size, timeline.NewHybridClock(c.Now))
			return recorder, recorder.Register(r)
		},
	)
}

// provideAll registers constructors with a container.
func provideAll(container *dig.Container, constructors ...any) error {
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return errors.Wrap(ErrAssemble, err.Error())
		}
	}
	return nil
}

// invoke calls fn with its dependencies from the container. Errors of fn and of constructors are returned without dig's
// wrapping.
func invoke(container *dig.Container, fn any) error {
	return dig.RootCause(container.Invoke(fn))
}

func newLogger(log settings.Log, out Output, name string) (*slog.Logger, error) {
	logger, err := process.NewLogger(log.Level, process.LogFormat(log.Format), out)
	if err != nil {
		return nil, err
	}
	return logger.With("process", name), nil
}

// platformClients holds the clients of the platform's services.
type platformClients struct {
	dig.Out
	Table backing.Table
	Hosts backing.HostList
}

func newPlatformClients(p settings.Platform) platformClients {
	o := backing.Options{
		TableURL:   string(p.TableURL),
		ObjectsURL: string(p.ObjectsURL),
		HostsURL:   string(p.HostsURL),
		Timeout:    p.Timeout,
	}
	return platformClients{Table: backing.NewHTTPTable(o, nil), Hosts: backing.NewHTTPHosts(o, nil)}
}

func wireOptions(w settings.Wire) wire.Options {
	return wire.Options{
		DialTimeout:   w.DialTimeout,
		KeepAlive:     w.KeepAlive,
		WriteTimeout:  w.WriteTimeout,
		HeaderTimeout: w.HeaderTimeout,
	}
}

// listen opens a TCP listener. It returns nil if the address is empty.
func listen(address inifile.Address) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, errors.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return listener, nil
}

// serveHTTP runs an HTTP server in the group until ctx ends. It does nothing if the listener is nil.
func serveHTTP(ctx context.Context, group *errgroup.Group, l net.Listener, h http.Handler, o process.ServeOptions) {
	if l == nil {
		return
	}
	group.Go(func() error { return process.Serve(ctx, l, h, o) })
}

// recordListening logs the listen addresses of a process and records its start in the timeline.
func recordListening(logger *slog.Logger, recorder *timeline.Recorder, addresses ...any) {
	logger.Info("listening", addresses...)
	recorder.Record(timeline.Event{Kind: timeline.ProcessStarted, Detail: strings.TrimSpace(fmt.Sprintln(addresses...))})
}
