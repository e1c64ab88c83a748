package declarations

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	pb "balsamsail/internal/declarations/declarationspb"
)

// Options are the settings of a Store. A zero takes the default that is given with it.
type Options struct {
	// PollInterval is the time between reads of the newest revision (500 ms).
	PollInterval time.Duration
	// MaxBackoff bounds the time between such reads while the table doesn't answer (2 s).
	MaxBackoff time.Duration
	// EditTimeout bounds one edit (10 s).
	EditTimeout time.Duration
	// LogKeep is the number of revisions that the table's log keeps (1024). An edit that is repeated after more than that
	// many others is made twice, so it must cover the time in which clients repeat.
	LogKeep int
	// Seed seeds the jitter.
	Seed uint64
}

const (
	defaultPollInterval = 500 * time.Millisecond
	defaultMaxBackoff   = 2 * time.Second
	defaultEditTimeout  = 10 * time.Second
	defaultLogKeep      = 1024
)

func (o Options) withDefaults() Options {
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	setDefault(&o.EditTimeout, defaultEditTimeout)
	setDefault(&o.LogKeep, defaultLogKeep)
	o.MaxBackoff = max(o.MaxBackoff, o.PollInterval)
	return o
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

// Store keeps a process at the newest revision of the declarations in the platform's table, and makes edits. It is safe
// for concurrent use.
type Store struct {
	options Options
	table   backing.Table
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics
	holder  *holder

	// refreshing and editing let one refresh and one edit at a time through, so that edits of one process don't lose to
	// each other.
	refreshing, editing *semaphore.Weighted

	mu     sync.Mutex
	random *rand.Rand
	// headRow is the revision of the head's row as last read, and headRevision the declarations' revision in it.
	headRow, headRevision uint64
	// seen says that the table was read once, outageSince since when it hasn't answered.
	seen        bool
	outageSince time.Time
}

// NewStore returns a store that holds the empty set; Run starts it.
func NewStore(o Options, table backing.Table, c clock.Clock, logger *slog.Logger, registerer prometheus.Registerer) *Store {
	o = o.withDefaults()
	s := &Store{
		options:    o,
		table:      table,
		clock:      c,
		logger:     logger,
		holder:     newHolder(o.LogKeep),
		refreshing: semaphore.NewWeighted(1),
		editing:    semaphore.NewWeighted(1),
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.outageSince = c.Now()
	s.metrics = newMetrics(registerer, s)
	return s
}

// Run polls the table until the context is done, and returns its error.
func (s *Store) Run(ctx context.Context) error {
	failures := 0
	for {
		if _, err := s.refresh(ctx); err != nil {
			failures++
			s.logger.Warn("declarations cannot be read from the table", "error", err, "failures", failures)
		} else {
			failures = 0
		}
		timer := s.clock.NewTimer(s.pollAfter(failures))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

// pollAfter returns the time to the next read. It is jittered, so that processes which started together, or found the
// table back together, spread their reads.
func (s *Store) pollAfter(failures int) time.Duration {
	base := s.options.PollInterval
	for range min(failures, 10) {
		base = min(2*base, s.options.MaxBackoff)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return base*3/4 + time.Duration(s.random.Int64N(int64(base/2)+1))
}

// Current returns the newest set.
func (s *Store) Current() *Set { return s.holder.current.Load() }

// Changed returns a channel that is closed when the set changes next; take it before reading Current.
func (s *Store) Changed() <-chan struct{} { return s.holder.watch() }

// DeltasSince returns the deltas that lead from a revision to the current one; false when the store no longer has them
// and a snapshot is needed.
func (s *Store) DeltasSince(revision uint64) ([]*pb.Delta, bool) { return s.holder.since(revision) }

// Ready reports whether the store has had the table's revision once.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// Outage returns since when the table hasn't answered, or the zero time when it does.
func (s *Store) Outage() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outageSince
}

func (s *Store) outageSeconds() float64 {
	since := s.Outage()
	if since.IsZero() {
		return 0
	}
	return s.clock.Now().Sub(since).Seconds()
}

// Learn adopts what a peer holds if that is newer, so that a process which starts in an outage of the table gets the
// highest revision that its peers have. Either argument may be nil. It returns an error that wraps ErrGap when the
// deltas don't follow what is held, or ErrInvalid.
func (s *Store) Learn(snapshot *pb.Snapshot, deltas []*pb.Delta) error {
	if snapshot.GetRevision() > s.Current().Revision() {
		set, err := NewSet(snapshot)
		if err != nil {
			return err
		}
		if err := s.adopt(set); err != nil {
			return err
		}
	}
	return s.applyAll(deltas)
}

// adopt takes a whole set; an older one than is held is passed over.
func (s *Store) adopt(set *Set) error {
	err := s.holder.replace(set)
	if err == nil {
		s.metrics.applied.WithLabelValues(appliedSnapshot).Inc()
	}
	return unlessOld(err)
}

// applyAll takes deltas in the order of their revisions; those that are held already are passed over.
func (s *Store) applyAll(deltas []*pb.Delta) error {
	for _, delta := range deltas {
		err := s.holder.apply(delta)
		if err == nil {
			s.metrics.applied.WithLabelValues(appliedDelta).Inc()
		}
		if unlessOld(err) != nil {
			return err
		}
	}
	return nil
}

func unlessOld(err error) error {
	if errors.Is(err, ErrOldRevision) {
		return nil
	}
	return err
}
