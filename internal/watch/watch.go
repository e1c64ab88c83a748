// Package watch follows a table of the store: it reads the whole table once and then applies changes. It reads the
// whole table again when the store no longer has the change history since the last revision it read, and when it has
// missed so much that the table is likely smaller than its changes.
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
	// ErrUnavailable means that the store did not answer or rejected the call.
	ErrUnavailable = errors.New("watch: the store is unavailable")
	// ErrIncomplete means that the store answered, but the answer did not arrive in full in time.
	ErrIncomplete = errors.New("watch: the answer of the store did not arrive in full")
	// ErrTooLong means that the answer is longer than the caller takes.
	ErrTooLong = errors.New("watch: the answer of the store is longer than the limit")
	// ErrHistoryGone means that the store no longer has the requested changes.
	ErrHistoryGone = errors.New("watch: the store has dropped this part of its history")
)

// Row is a row of a table, or a tombstone if Deleted is set.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Source reads tables of the store.
type Source interface {
	// List returns all rows of a table and the revision at which they were read.
	List(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows that changed after a revision, in order, as soon as there are any, and the revision to
	// continue from. It returns no rows if none changed within wait, and ErrTooLong if the rows have more than limit bytes; 0 is no
	// limit.
	Changes(ctx context.Context, table string, after int64, wait time.Duration, limit int) ([]Row, int64, error)
}

// Sink receives what a watch reads. Its methods are never called concurrently.
type Sink interface {
	// Replace receives a whole table.
	Replace(rows []Row)
	// Apply receives changed rows.
	Apply(rows []Row)
	// Unavailable is called when the store becomes unavailable, and Available when it is available again.
	Unavailable(err error)
	Available()
}

// Options are the settings of a watch.
type Options struct {
	// Wait returns the long-poll timeout of the next call for changes.
	Wait func() time.Duration
	// CoalesceDelay is the delay between receiving changes and the next call, so that a series of changes takes fewer
	// calls.
	CoalesceDelay time.Duration
	// MinBackoff and MaxBackoff bound the jittered backoff after a failed call.
	MinBackoff, MaxBackoff time.Duration
	// Metrics records the calls; nil records nothing.
	Metrics *Metrics
}

// maxReplayAge is the age of a replica up to which a watch asks for the changes that it has missed. The store returns
// every version of a row, so the answer grows with the time missed; a table does not. On a link that cannot carry the
// answer within a call's time limit, a watch that asked again would never catch up.
const maxReplayAge = 2 * time.Second

// Changes are read up to replayFactor times the bytes of the whole table, which is read in their place if there are more: in a series of
// changes each answer has the versions that were written during the one before, and falls behind on a link that carries them more slowly
// than they are written. Up to minReplayBytes it is not worth another call.
const (
	replayFactor   = 2
	minReplayBytes = 64 << 10
)

// Run keeps a replica up to date from the store until ctx ends. It continues at the replica's revision, so that a process
// that had the table from another one reads only what has changed since.
func Run(ctx context.Context, source Source, replica *Replica, options Options, logger *slog.Logger) {
	f := follower{source: source, replica: replica, table: replica.Table(), options: options, logger: logger, backoff: options.MinBackoff}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			clock.Pause(ctx, f.nextBackoff())
		}
	}
}

// follower is the state of a watch.
type follower struct {
	source  Source
	replica *Replica
	table   string
	options Options
	logger  *slog.Logger

	// relist is set if the changes since the replica's revision cannot be had: the whole table is read next.
	relist bool
	// answeredAt is when the store last answered. An answer older than the replica, which a hub may feed as well, does not
	// confirm the replica; without answeredAt, the table would be read again and again without a pause.
	answeredAt time.Time
	// listedBytes is the size of the whole table when it was last read.
	listedBytes int
	// failure is how the last call failed; empty while the store is available.
	failure string
	backoff time.Duration
}

// step makes one call to the store.
func (f *follower) step(ctx context.Context) error {
	base, known := f.replica.position()
	if !known || f.relist || time.Since(later(f.replica.ConfirmedAt(), f.answeredAt)) > maxReplayAge {
		return f.list(ctx)
	}
	rows, revision, err := f.source.Changes(ctx, f.table, base, f.wait(), max(minReplayBytes, replayFactor*f.listedBytes))
	switch {
	case errors.Is(err, ErrTooLong):
		f.options.Metrics.recordCall(f.table, resultTooLong, time.Now())
		f.relist = true
		if err := f.list(ctx); err != nil {
			return err
		}
		clock.Pause(ctx, f.options.CoalesceDelay)
		return nil
	case errors.Is(err, ErrHistoryGone):
		f.options.Metrics.recordCall(f.table, resultHistoryGone, time.Now())
		f.logger.Info("store no longer has the change history; reading the whole table", "event", "watch_restart", "table", f.table, "revision", base)
		f.relist = true
		// Without a delay, a store that always lacks the history would be called in a tight loop.
		clock.Pause(ctx, f.options.CoalesceDelay)
		return nil
	case errors.Is(err, ErrIncomplete):
		f.relist = true
		return err
	case err != nil:
		return err
	}
	f.recordSuccess()
	f.replica.Apply(Change{Rows: rows, Base: base, Revision: max(base, revision), ConfirmedAt: time.Now()})
	if len(rows) > 0 {
		clock.Pause(ctx, f.options.CoalesceDelay)
	}
	return nil
}

// wait returns the long-poll timeout. It is zero after a failure, so that a recovery of the store is noticed quickly.
func (f *follower) wait() time.Duration {
	if f.failure != "" {
		return 0
	}
	return f.options.Wait()
}

func (f *follower) list(ctx context.Context) error {
	start := time.Now()
	rows, revision, err := f.source.List(ctx, f.table)
	if err != nil {
		return err
	}
	f.options.Metrics.recordList(f.table, time.Since(start))
	f.recordSuccess()
	f.relist, f.listedBytes = false, size(rows)
	f.replica.Apply(Change{Replace: true, Rows: rows, Revision: revision, ConfirmedAt: start})
	return nil
}

func size(rows []Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
	}
	return n
}

func (f *follower) recordSuccess() {
	f.answeredAt = time.Now()
	f.options.Metrics.recordCall(f.table, resultAnswered, f.answeredAt)
	f.backoff = f.options.MinBackoff
	if f.failure != "" {
		f.failure = ""
		revision, _ := f.replica.position()
		f.logger.Info("store is available again", "event", "store_back", "table", f.table, "revision", revision)
	}
}

func (f *follower) recordFailure(err error) {
	result := resultFailed
	if errors.Is(err, ErrIncomplete) || errors.Is(err, ErrTooLong) {
		result = resultIncomplete
	}
	f.options.Metrics.recordCall(f.table, result, time.Now())
	revision, _ := f.replica.position()
	switch f.failure {
	case result:
	case "":
		f.logger.Warn("store is unavailable", "event", "store_lost", "table", f.table, "revision", revision, "error", err)
		f.replica.setUnavailable(err)
	default:
		f.logger.Warn("store is still unavailable, for another reason", "event", "store_lost", "table", f.table, "revision", revision, "error", err)
	}
	f.failure = result
}

// nextBackoff returns a backoff that doubles with each failure up to MaxBackoff, half of it random.
func (f *follower) nextBackoff() time.Duration {
	d := f.backoff
	f.backoff = min(2*f.backoff, f.options.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
