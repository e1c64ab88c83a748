package app

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"balsamsail/internal/settings"
)

// reloadSignals receives SIGHUP, which the platform sends after the settings file has changed. Without a handler SIGHUP
// terminates the process.
type reloadSignals struct{ signals chan os.Signal }

// notifyReloadSignals starts receiving SIGHUP.
func notifyReloadSignals() reloadSignals {
	s := reloadSignals{signals: make(chan os.Signal, 1)}
	signal.Notify(s.signals, syscall.SIGHUP)
	return s
}

// stop ignores further SIGHUPs, so that a late one cannot terminate the process during a graceful shutdown.
func (s reloadSignals) stop() { signal.Ignore(syscall.SIGHUP) }

// handle calls reload for each signal until ctx ends.
func (s reloadSignals) handle(ctx context.Context, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.signals:
			reload()
		}
	}
}

// reloadSettings reads a role's settings again and logs which sections changed and which sections the role applies without
// a restart. If the new settings are invalid, it logs the error and returns nil; the current settings then stay in force.
func reloadSettings[S any](current *S, load func() (*S, error), logger *slog.Logger, immediate ...string) *S {
	next, err := load()
	if err != nil {
		logger.Error("invalid settings; keeping the current ones", "event", "reload_failed", "error", err)
		return nil
	}
	logger.Info("settings reloaded", "event", "reloaded", "changed", settings.ChangedSections(current, next), "at_once", immediate)
	return next
}
