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

// Options are the settings of a Store. A zero field takes the default given in its comment.
type Options struct {
	// PollInterval is the time between reads of the newest revision (500 ms).
	PollInterval time.Duration
	// MaxBackoff is the maximum time between such reads while the table is unavailable (2 s).
	MaxBackoff time.Duration
	// EditTimeout bounds one edit (10 s).
	EditTimeout time.Duration
	// LogKeep is the number of revisions that the table's log keeps (1024). An edit that is retried after more than
	// that many others is applied twice, so the log must cover the period in which clients retry.
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

// Store keeps a process at the newest revision of the declarations in the platform's table and commits edits. It is
// safe for concurrent use.
type Store struct {
	options Options
	table   backing.Table
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics
	holder  *holder

	// refreshSem and editSem admit one refresh and one edit at a time, so that edits of one process do not conflict
	// with each other.
	refreshSem, editSem *semaphore.Weighted

	mu     sync.Mutex
	random *rand.Rand
	// headRowRevision is the table revision of the head row as last read, and headRevision is the declarations revision
	// that it names.
	headRowRevision, headRevision uint64
	// synced is set once the table has been read. outageSince is the start of the current table outage, zero if there
	// is none.
	synced      bool
	outageSince time.Time
}

// NewStore returns a store with the empty set; Run starts polling.
func NewStore(o Options, table backing.Table, c clock.Clock, logger *slog.Logger, registerer prometheus.Registerer) *Store {
	o = o.withDefaults()
	s := &Store{
		options:    o,
		table:      table,
		clock:      c,
		logger:     logger,
		holder:     newHolder(o.LogKeep),
		refreshSem: semaphore.NewWeighted(1),
		editSem:    semaphore.NewWeighted(1),
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.outageSince = c.Now()
	s.metrics = newMetrics(registerer, s)
	return s
}

// Run polls the table until the context is done and returns the context's error.
func (s *Store) Run(ctx context.Context) error {
	failures := 0
	for {
		if _, err := s.refresh(ctx); err != nil {
			failures++
			s.logger.Warn("declarations cannot be read from the table", "error", err, "failures", failures)
		} else {
			failures = 0
		}
		timer := s.clock.NewTimer(s.pollDelay(failures))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

// pollDelay returns the time until the next read. It is jittered, so that processes that started together, or detected
// the table's recovery together, spread their reads.
func (s *Store) pollDelay(failures int) time.Duration {
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

// Changed returns a channel that is closed at the next change of the set. Call it before Current to miss no change.
func (s *Store) Changed() <-chan struct{} { return s.holder.watch() }

// DeltasSince returns the deltas that lead from a revision to the current one; false if the store no longer has them
// and a snapshot is needed.
func (s *Store) DeltasSince(revision uint64) ([]*pb.Delta, bool) { return s.holder.since(revision) }

// Ready reports whether the store has read the table at least once.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// OutageSince returns the start of the current table outage, or the zero time if there is none.
func (s *Store) OutageSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outageSince
}

func (s *Store) outageSeconds() float64 {
	since := s.OutageSince()
	if since.IsZero() {
		return 0
	}
	return s.clock.Now().Sub(since).Seconds()
}

// ApplyFromPeer applies a peer's declarations if they are newer, so that a process that starts during a table outage
// gets the highest revision of its peers. Either argument may be nil. It returns an error that wraps ErrGap if the
// deltas do not follow the current revision, or ErrInvalid.
func (s *Store) ApplyFromPeer(snapshot *pb.Snapshot, deltas []*pb.Delta) error {
	if snapshot.GetRevision() > s.Current().Revision() {
		set, err := NewSet(snapshot)
		if err != nil {
			return err
		}
		if err := s.installSet(set); err != nil {
			return err
		}
	}
	return s.applyAll(deltas)
}

// installSet installs a whole set; a set that is not newer than the current one is ignored.
func (s *Store) installSet(set *Set) error {
	err := s.holder.replace(set)
	if err == nil {
		s.metrics.applied.WithLabelValues(appliedSnapshot).Inc()
	}
	return ignoreStale(err)
}

// applyAll applies deltas in the order of their revisions and ignores those already applied.
func (s *Store) applyAll(deltas []*pb.Delta) error {
	for _, delta := range deltas {
		err := s.holder.apply(delta)
		if err == nil {
			s.metrics.applied.WithLabelValues(appliedDelta).Inc()
		}
		if ignoreStale(err) != nil {
			return err
		}
	}
	return nil
}

func ignoreStale(err error) error {
	if errors.Is(err, ErrStaleRevision) {
		return nil
	}
	return err
}
