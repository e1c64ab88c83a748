package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// hangups are the signals with which the platform tells a process that its settings file has changed. Without a handler the
// first one would end the process.
type hangups struct{ signals chan os.Signal }

// notifyHangups takes the signals from now on.
func notifyHangups() hangups {
	h := hangups{signals: make(chan os.Signal, 1)}
	signal.Notify(h.signals, syscall.SIGHUP)
	return h
}

// stop takes no more of them. A late one must not end a process that is ending in good order.
func (h hangups) stop() { signal.Ignore(syscall.SIGHUP) }

// follow calls reload at each signal until ctx ends.
func (h hangups) follow(ctx context.Context, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.signals:
			reload()
		}
	}
}
