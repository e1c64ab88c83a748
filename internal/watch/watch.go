// Package watch follows a table of the store: it reads the table once, then takes in changes, and starts anew when the store
// no longer has the history in between.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/clock"
)

var (
	// ErrUnavailable says that the store did not answer, or refused.
	ErrUnavailable = errors.New("watch: the store is unavailable")
	// ErrHistoryGone says that the store has dropped the changes that were asked for.
	ErrHistoryGone = errors.New("watch: the store has dropped this part of its history")
)

// Row is a row of a table, or the mark that it was deleted.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Source is the store.
type Source interface {
	// List returns all rows of a table and the store's revision as of which they are complete.
	List(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows that changed after a revision, in order, as soon as there are any, and the revision to go
	// on from. It returns no rows when none changed within wait.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}

// Sink takes in what a watch reads. Its methods are called one at a time.
type Sink interface {
	// Replace takes in a whole table.
	Replace(rows []Row)
	// Apply takes in changed rows.
	Apply(rows []Row)
	// Lost and Back tell that the store has stopped answering, and that it answers again.
	Lost(err error)
	Back()
}

// Options are the settings of a watch.
type Options struct {
	Table string
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Gather is the pause before the next call after changes came, so that a series of changes costs fewer calls.
	Gather time.Duration
	// MinBackoff and MaxBackoff bound the jittered pause after a failed call.
	MinBackoff, MaxBackoff time.Duration
	// Metrics count the calls; nil counts nothing.
	Metrics *Metrics
}

// Run follows a table until ctx ends.
func Run(ctx context.Context, source Source, sink Sink, options Options, logger *slog.Logger) {
	f := follower{source: source, sink: sink, options: options, logger: logger, backoff: options.MinBackoff}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			clock.Pause(ctx, f.nextBackoff())
		}
	}
}

// follower is the state of a watch.
type follower struct {
	source  Source
	sink    Sink
	options Options
	logger  *slog.Logger

	// listed is set once the table has been read whole, as of revision, where the next call goes on. An empty store is at
	// revision 0.
	listed   bool
	revision int64
	lost     bool
	backoff  time.Duration
}

// step makes one call of the store.
func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	rows, revision, err := f.source.Changes(ctx, f.options.Table, f.revision, f.wait())
	if errors.Is(err, ErrHistoryGone) {
		f.options.Metrics.called(f.options.Table, resultHistoryGone, time.Now())
		f.logger.Info("history of the store is gone, table is read whole", "event", "watch_restart", "table", f.options.Table, "revision", f.revision)
		f.listed = false
		// A store whose history is always too short would otherwise be asked without a pause.
		clock.Pause(ctx, f.options.Gather)
		return nil
	}
	if err != nil {
		return err
	}
	f.answered()
	f.revision = max(f.revision, revision)
	if len(rows) > 0 {
		f.sink.Apply(rows)
		clock.Pause(ctx, f.options.Gather)
	}
	return nil
}

// wait is short after a failure, so that the watch soon knows whether the store is back.
func (f *follower) wait() time.Duration {
	if f.lost {
		return 0
	}
	return f.options.Wait
}

func (f *follower) list(ctx context.Context) error {
	began := time.Now()
	rows, revision, err := f.source.List(ctx, f.options.Table)
	if err != nil {
		return err
	}
	f.options.Metrics.listed(f.options.Table, time.Since(began))
	f.answered()
	f.listed, f.revision = true, revision
	f.sink.Replace(rows)
	return nil
}

func (f *follower) answered() {
	f.options.Metrics.called(f.options.Table, resultAnswered, time.Now())
	f.backoff = f.options.MinBackoff
	if f.lost {
		f.lost = false
		f.logger.Info("store answers again", "event", "store_back", "table", f.options.Table, "revision", f.revision)
		f.sink.Back()
	}
}

func (f *follower) failed(err error) {
	f.options.Metrics.called(f.options.Table, resultFailed, time.Now())
	if !f.lost {
		f.lost = true
		f.logger.Warn("store does not answer", "event", "store_lost", "table", f.options.Table, "revision", f.revision, "error", err)
		f.sink.Lost(err)
	}
}

// nextBackoff returns a pause that doubles with each failure, with up to a half of jitter.
func (f *follower) nextBackoff() time.Duration {
	d := f.backoff
	f.backoff = min(2*f.backoff, f.options.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
