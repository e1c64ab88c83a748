package app

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamsail/internal/clock"
	"balsamsail/internal/control"
	"balsamsail/internal/crashes"
	"balsamsail/internal/watch"
	"balsamsail/platform"
)

const (
	// blameCheckInterval is the time between two checks for parts whose row is to be written or removed.
	blameCheckInterval = 500 * time.Millisecond
	// blameBackoff is the pause after a write that has failed.
	blameBackoff = time.Second
	// removalSpread is the time over which the gateways begin to remove a row whose ends count no longer, so that mostly one of them
	// does.
	removalSpread = 10 * time.Minute
)

// blamedParts keeps the parts of prompts that end endpoints in the store: if all gateways end at once, the ones that start after
// them know of no end, and would lose as many endpoints again.
type blamedParts struct {
	parts   *crashes.Parts
	replica *watch.Replica
	logger  *slog.Logger
	// removeAfter is how long this gateway has known a row when it removes it. The row's own times are of other hosts' clocks, which
	// may step.
	removeAfter time.Duration
	oddRows     *watch.OddRows

	mu sync.Mutex
	// stored holds the rows in the store, by their keys.
	stored map[string]storedRow
}

// storedRow is a part's row in the store: the number of its ends, and when this gateway first knew of as many.
type storedRow struct {
	part  crashes.Part
	ends  int
	since time.Time
}

func newBlamedParts(parts *crashes.Parts, m *watch.Metrics, logger *slog.Logger) *blamedParts {
	b := &blamedParts{
		parts:       parts,
		logger:      logger,
		removeAfter: crashes.MaxPartHold + rand.N(removalSpread),
		oddRows:     watch.NewOddRows(platform.BlamedPartTable, "bad_blamed_part", m, logger),
		stored:      make(map[string]storedRow),
	}
	b.replica = watch.NewReplica(platform.BlamedPartTable, b)
	return b
}

// Replace implements watch.Sink.
func (b *blamedParts) Replace(rows []watch.Row) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	b.mu.Lock()
	maps.DeleteFunc(b.stored, func(key string, _ storedRow) bool { return !listed[key] })
	b.mu.Unlock()
	b.Apply(rows)
}

// Apply implements watch.Sink.
func (b *blamedParts) Apply(rows []watch.Row) {
	now := time.Now()
	for _, row := range rows {
		if row.Deleted {
			b.forgetStored(row.Key)
			continue
		}
		ends, err := control.DecodeBlamedRow(now, row.Key, row.Value)
		if err != nil {
			b.oddRows.Record(now, row, err)
			b.forgetStored(row.Key)
			continue
		}
		if len(ends) > 0 {
			b.setStored(now, row.Key, ends[0].Part, len(ends))
		}
		for _, e := range ends {
			b.parts.AddEnd(now, e.PartEnd, e.At)
		}
	}
}

// Unavailable implements watch.Sink.
func (b *blamedParts) Unavailable(error) {}

// Available implements watch.Sink.
func (b *blamedParts) Available() {}

func (b *blamedParts) setStored(now time.Time, key string, part crashes.Part, ends int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stored[key].ends != ends {
		b.stored[key] = storedRow{part: part, ends: ends, since: now}
	}
}

func (b *blamedParts) forgetStored(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.stored, key)
}

// storedRows returns a copy of what is known of the rows in the store.
func (b *blamedParts) storedRows() map[string]storedRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.stored)
}

// run writes and removes rows until ctx ends.
func (b *blamedParts) run(ctx context.Context, store *platform.Store) {
	for ctx.Err() == nil {
		if err := b.sync(ctx, store); err != nil {
			b.logger.Warn("cannot store the parts that end endpoints; trying again", "event", "blame_not_stored", "error", err)
			clock.Pause(ctx, blameBackoff)
		}
		clock.Pause(ctx, blameCheckInterval)
	}
}

// sync writes the row of each part to whose blame this gateway has added an end, and removes those of parts that it has cleared or
// whose ends count no longer.
func (b *blamedParts) sync(ctx context.Context, store *platform.Store) error {
	now, stored := time.Now(), b.storedRows()
	for part, ends := range b.parts.OwnBlames(now) {
		key := control.BlamedKey(part)
		if len(ends) <= stored[key].ends || !stillCount(now, ends) {
			continue
		}
		value, err := control.EncodeBlamedRow(now, ends)
		if err != nil {
			return err
		}
		if err := store.Put(ctx, platform.BlamedPartTable, key, value); err != nil {
			return err
		}
		b.setStored(now, key, part, len(ends))
		b.logger.Info("part of prompts ends endpoints", "event", "part_blamed", "part", key, "ends", len(ends))
	}
	for key, row := range stored {
		cleared := b.parts.IsClearedHere(row.part)
		if !cleared && now.Sub(row.since) < b.removeAfter {
			continue
		}
		if err := store.Remove(ctx, platform.BlamedPartTable, key); err != nil {
			return err
		}
		b.forgetStored(key)
		b.logger.Info("part of prompts no longer blamed", "event", "part_cleared", "part", key, "answered", cleared)
	}
	return nil
}

// stillCount reports whether one of some ends at least counts against its part.
func stillCount(now time.Time, ends []crashes.TimedEnd) bool {
	return slices.ContainsFunc(ends, func(e crashes.TimedEnd) bool { return now.Sub(e.At) < crashes.MaxPartHold })
}
