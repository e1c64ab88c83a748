package app

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"balsamsail/internal/settings"
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

// readAgain reads a role's settings anew and says which sections have changed, and which of them the role puts into force at
// once. It returns nil where the new ones are not understood; those before stay in force then.
func readAgain[S any](before *S, again func() (*S, error), logger *slog.Logger, atOnce ...string) *S {
	next, err := again()
	if err != nil {
		logger.Error("settings not understood, those before stay in force", "event", "reload_failed", "error", err)
		return nil
	}
	logger.Info("settings read again", "event", "reloaded", "changed", settings.ChangedSections(before, next), "at_once", atOnce)
	return next
}
