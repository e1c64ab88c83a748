// Package app assembles the roles of the system from their settings: one file for each role, put together with dig.
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
	// ErrListen says that an address could not be listened on; on an agent's address this means that another agent of
	// the same endpoint still exists.
	ErrListen = errors.New("app: cannot listen")
	// ErrAssemble says that a role could not be put together.
	ErrAssemble = errors.New("app: cannot assemble")
)

// Output is where a process logs.
type Output struct{ io.Writer }

// StandardOutput returns the process's standard error.
func StandardOutput() Output { return Output{os.Stderr} }

// Incarnation tells one start of a process from an earlier one; it rises with time.
type Incarnation uint64

// newIncarnation returns an incarnation from the wall clock, in microseconds.
func newIncarnation(c clock.Clock) Incarnation { return Incarnation(c.Now().UnixMicro()) }

// common provides what every role needs.
func common(container *dig.Container, name string, log settings.Log, line settings.Timeline, out Output) error {
	return provideAll(container,
		func() clock.Clock { return clock.Real{} },
		func(c clock.Clock) Incarnation { return newIncarnation(c) },
		func() (*slog.Logger, error) { return newLogger(log, out, name) },
		process.NewRegistry,
		func(r *prometheus.Registry) prometheus.Registerer { return r },
		func(c clock.Clock, r prometheus.Registerer) (*timeline.Recorder, error) {
			recorder := timeline.NewRecorder(name, line.Size, timeline.NewHybridClock(c.Now))
			return recorder, recorder.Register(r)
		},
	)
}

// provideAll gives constructors to a container.
func provideAll(container *dig.Container, constructors ...any) error {
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return errors.Wrap(ErrAssemble, err.Error())
		}
	}
	return nil
}

// invoke runs a function on the assembled role; its errors come out as they went in.
func invoke(container *dig.Container, function any) error {
	return dig.RootCause(container.Invoke(function))
}

func newLogger(log settings.Log, out Output, name string) (*slog.Logger, error) {
	logger, err := process.NewLogger(log.Level, process.LogFormat(log.Format), out)
	if err != nil {
		return nil, err
	}
	return logger.With("process", name), nil
}

// platformClients are the clients of the platform's services.
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

// listen listens on an address; an empty address gives no listener.
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

// serveHTTP serves until ctx ends, as one of a group's tasks.
func serveHTTP(ctx context.Context, group *errgroup.Group, l net.Listener, h http.Handler, o process.ServeOptions) {
	if l == nil {
		return
	}
	group.Go(func() error { return process.Serve(ctx, l, h, o) })
}

// announce tells that a process listens.
func announce(logger *slog.Logger, recorder *timeline.Recorder, addresses ...any) {
	logger.Info("listening", addresses...)
	recorder.Record(timeline.Event{Kind: timeline.ProcessStarted, Detail: strings.TrimSpace(fmt.Sprintln(addresses...))})
}
