package app

import (
	"context"
	"log/slog"
	"time"

	"balsamsail/internal/watch"
	"balsamsail/platform"
)

const (
	// maxFeedAge is the time without a confirmation from the hub after which a gateway reads a table itself: the hub's wait,
	// its pause after changes, and half a second.
	maxFeedAge = 1600 * time.Millisecond
	// feedStartDelay is the time that a gateway which has just started leaves its hub to send the tables.
	feedStartDelay = 1200 * time.Millisecond
	// feedCheckInterval is the time between two checks of where a table comes from.
	feedCheckInterval = 100 * time.Millisecond
	// fallbackBackoffFactor makes the pauses of gateways longer that read the store only until their hub does again: in an
	// outage, a site's calls do not grow with its gateways' impatience.
	fallbackBackoffFactor = 4
)

// feedMode says where a gateway's copy of a table comes from.
type feedMode string

// The modes.
const (
	// feedHub: from the hub.
	feedHub feedMode = "hub"
	// feedOwn: from the store, because the gateway is its own hub.
	feedOwn feedMode = "store"
	// feedFallback: from the store, because the hub has nothing recent.
	feedFallback feedMode = "fallback"
)

// hubView is what a feed needs to know of the gateway's hub. Implemented by control.Upstream.
type hubView interface {
	IsOwnHub() bool
	// ConfirmedAt returns when the hub's copy of a table was last known to have all changes.
	ConfirmedAt(table string) time.Time
}

// feed keeps a replica of a table up to date: from the store where no hub does it.
type feed struct {
	replica  *watch.Replica
	source   watch.Source
	options  watch.Options
	upstream hubView
	logger   *slog.Logger
	started  time.Time
}

// run keeps the replica up to date until ctx ends.
func (f *feed) run(ctx context.Context) {
	ticker := time.NewTicker(feedCheckInterval)
	defer ticker.Stop()
	mode := feedHub
	stop := func() {}
	defer func() { stop() }()
	for {
		if next := f.mode(time.Now()); next != mode {
			f.logger.Info("source of a table changed", "event", "feed", "table", f.replica.Table(), "before", mode, "now", next)
			stop()
			mode = next
			stop = f.start(ctx, mode)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// mode returns where the table should come from now.
func (f *feed) mode(now time.Time) feedMode {
	confirmed := f.upstream.ConfirmedAt(f.replica.Table())
	switch {
	case f.upstream.IsOwnHub():
		return feedOwn
	case now.Sub(confirmed) <= maxFeedAge || now.Sub(f.started) <= feedStartDelay:
		return feedHub
	case f.replica.Table() == platform.GatewayTable || f.replica.Table() == platform.BlamedPartTable:
		// These tables change rarely; a later hub brings what is missing.
		return feedHub
	}
	return feedFallback
}

// start starts a watch of the store if the mode needs one. The returned function ends it.
func (f *feed) start(ctx context.Context, mode feedMode) (stop func()) {
	if mode == feedHub {
		return func() {}
	}
	options := f.options
	if mode == feedFallback {
		options.MaxBackoff *= fallbackBackoffFactor
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch.Run(ctx, f.source, f.replica, options, f.logger)
	}()
	return func() {
		cancel()
		<-done
	}
}
