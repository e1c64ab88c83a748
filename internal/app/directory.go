package app

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/hubs"
	"balsamsail/internal/watch"
	"balsamsail/platform"
)

const (
	// settleDelay is the time that a gateway which registers for the first time leaves the others to do the same: the hosts
	// of a site start within 0.3 s of each other. A gateway that restarts finds its registration and does not wait.
	settleDelay = 500 * time.Millisecond
	// registerBackoff is the longest pause between two attempts to register.
	registerBackoff = time.Second
)

// errNotListed means that the list of gateways does not have this one after its registration.
var errNotListed = errors.New("the list of gateways does not have this one")

// directory is the list of gateways in the store, and this gateway's entry in it.
type directory struct {
	self    hubs.Gateway
	replica *watch.Replica
	sink    *directorySink
	logger  *slog.Logger
}

func newDirectory(self hubs.Gateway, m *watch.Metrics, logger *slog.Logger) *directory {
	sink := &directorySink{self: self.Address, ownRowLost: make(chan struct{}, 1), rows: make(map[string]hubs.Gateway), oddRows: watch.NewOddRows(platform.GatewayTable, "bad_gateway", m, logger)}
	return &directory{self: self, replica: watch.NewReplica(platform.GatewayTable, sink), sink: sink, logger: logger}
}

// register registers this gateway and reads the list of gateways. It tries until it succeeds or ctx ends.
func (d *directory) register(ctx context.Context, store *platform.Store) {
	backoff := registerBackoff / 8
	for ctx.Err() == nil {
		err := d.tryRegister(ctx, store)
		if err == nil {
			return
		}
		d.logger.Warn("cannot register this gateway; trying again", "event", "register_failed", "error", err)
		clock.Pause(ctx, backoff)
		backoff = min(2*backoff, registerBackoff)
	}
}

// keepRegistered registers this gateway again when its row has been overwritten or removed, until ctx ends.
func (d *directory) keepRegistered(ctx context.Context, store *platform.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.sink.ownRowLost:
		}
		d.register(ctx, store)
		clock.Pause(ctx, registerBackoff)
	}
}

func (d *directory) tryRegister(ctx context.Context, store *platform.Store) error {
	registered, err := d.read(ctx, store, true)
	if err != nil || registered {
		return err
	}
	value, err := hubs.EncodeRow(d.self)
	if err != nil {
		return err
	}
	if err := store.Put(ctx, platform.GatewayTable, d.self.Address, value); err != nil {
		// The others are hubs for this gateway all the same.
		if _, readErr := d.read(ctx, store, false); readErr != nil {
			d.logger.Debug("cannot read the list of gateways", "error", readErr)
		}
		return err
	}
	d.logger.Info("gateway registered", "event", "registered", "address", d.self.Address, "processor", d.self.Processor)
	clock.Pause(ctx, settleDelay)
	if registered, err = d.read(ctx, store, false); err == nil && !registered {
		err = errNotListed
	}
	return err
}

// read reads the list of gateways and reports whether this one is registered as it is now. It passes the list on, unless
// only a complete one is wanted and this gateway is not in it.
func (d *directory) read(ctx context.Context, store *platform.Store, onlyIfRegistered bool) (registered bool, err error) {
	started := time.Now()
	rows, revision, err := store.List(ctx, platform.GatewayTable)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		if g, err := hubs.DecodeRow(row.Key, row.Value); err == nil && g == d.self {
			registered = true
		}
	}
	if registered || !onlyIfRegistered {
		d.replica.Apply(watch.Change{Replace: true, Rows: rows, Revision: revision, ConfirmedAt: started})
	}
	return registered, nil
}

// directorySink receives the rows of the list of gateways.
type directorySink struct {
	// self is the key of this gateway's row, and ownRowLost is signaled when the row has been overwritten or removed.
	self       string
	ownRowLost chan struct{}
	rows       map[string]hubs.Gateway
	// onChange is called with each new list.
	onChange func([]hubs.Gateway)
	oddRows  *watch.OddRows
}

// Replace implements watch.Sink.
func (s *directorySink) Replace(rows []watch.Row) {
	clear(s.rows)
	s.Apply(rows)
}

// Apply implements watch.Sink.
func (s *directorySink) Apply(rows []watch.Row) {
	for _, row := range rows {
		s.apply(row)
		if _, listed := s.rows[row.Key]; row.Key == s.self && !listed {
			select {
			case s.ownRowLost <- struct{}{}:
			default:
			}
		}
	}
	list := make([]hubs.Gateway, 0, len(s.rows))
	for _, g := range s.rows {
		list = append(list, g)
	}
	s.onChange(list)
}

// apply applies one row to the list.
func (s *directorySink) apply(row watch.Row) {
	delete(s.rows, row.Key)
	if row.Deleted {
		return
	}
	g, err := hubs.DecodeRow(row.Key, row.Value)
	if err != nil {
		s.oddRows.Record(time.Now(), row, err)
		return
	}
	s.rows[row.Key] = g
}

// Unavailable implements watch.Sink.
func (s *directorySink) Unavailable(error) {}

// Available implements watch.Sink.
func (s *directorySink) Available() {}
