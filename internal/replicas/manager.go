package replicas

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

// Options are the settings of a Manager.
type Options struct {
	Policy Policy
	// Incarnation rises with each start of the process; it makes operation ids unique.
	Incarnation uint64
	// Interval is the time between reads of the changed rows, and FullInterval that between reads of all rows, which show
	// deletions.
	Interval, FullInterval time.Duration
	// Settle is how long inputs are gathered before a decision, and DecideShare the share of a processor that decisions may
	// take: a costly decision makes the next one wait.
	Settle      time.Duration
	DecideShare float64
	// TurnStep is how much longer each process waits than the one before it in the order of proposing.
	TurnStep time.Duration
	// WritesPerSecond and WriteBurst bound this process's writes to the table.
	WritesPerSecond float64
	WriteBurst      int
	// ParallelWrites bounds the writes in flight.
	ParallelWrites int
	// MinBackoff and MaxBackoff bound the wait after a call that the table did not answer.
	MinBackoff, MaxBackoff time.Duration
	// Seed seeds the jitter.
	Seed uint64
}

// DefaultOptions returns the settings for a few entries.
func DefaultOptions() Options {
	return Options{
		Policy:          DefaultPolicy(),
		Interval:        time.Second,
		FullInterval:    5 * time.Minute,
		Settle:          20 * time.Millisecond,
		DecideShare:     0.02,
		TurnStep:        500 * time.Millisecond,
		WritesPerSecond: 50,
		WriteBurst:      100,
		ParallelWrites:  8,
		MinBackoff:      200 * time.Millisecond,
		MaxBackoff:      5 * time.Second,
	}
}

// Manager follows the rows of the table, decides and proposes.
type Manager struct {
	options  Options
	table    backing.Table
	inputs   Inputs
	clock    clock.Clock
	log      *slog.Logger
	metrics  *metrics
	timeline *timeline.Recorder

	store  *store
	demand *demandBook
	wake   chan struct{}
	// operations counts the operation ids that were given out.
	operations atomic.Uint64

	// The following belong to Run.
	decider *Decider
	turns   *turns
	limiter *rate.Limiter
	random  *rand.Rand
	started time.Time
	// readAt and fullRead are when the last reads of changed rows and of all rows began.
	readAt, fullRead time.Time
	nextRead         time.Time
	// reading and writing hold up calls after failed ones.
	reading, writing backoff
	lastSeen         stamp
	decision         Decision
	// notBefore is when the next decision may be taken.
	notBefore time.Time
}

// NewManager returns a Manager; it does nothing before Run.
func NewManager(o Options, table backing.Table, in Inputs, c clock.Clock, log *slog.Logger,
	registerer prometheus.Registerer, recorder *timeline.Recorder) *Manager {
	random := rand.New(rand.NewPCG(o.Seed, o.Incarnation))
	return &Manager{
		options:  o,
		table:    table,
		inputs:   in,
		clock:    c,
		log:      log,
		metrics:  newMetrics(registerer),
		timeline: recorder,
		store:    newStore(),
		demand:   newDemandBook(o.Policy),
		wake:     make(chan struct{}, 1),
		decider:  NewDecider(o.Policy),
		turns:    newTurns(o.TurnStep, random.Float64),
		limiter:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		random:   random,
	}
}

// Notify tells the Manager that an input has changed; without it the change is seen at the next interval.
func (m *Manager) Notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Released takes in an engine's confirmation. Confirmations are kept in memory only: an agent repeats them to each
// process that connects for as long as a row that it sees has its slot RELEASING.
func (m *Manager) Released(r Release) {
	if m.demand.released(m.clock.Now(), r) {
		m.Notify()
	}
}

// Wanted takes in an engine's wish for a slot elsewhere; waiting is the number of requests that wait or were refused.
func (m *Manager) Wanted(engine, model string, reason wirepb.RefusalReason, waiting int) {
	m.metrics.wants.WithLabelValues(reason.String()).Inc()
	m.timeline.Record(timeline.Event{
		Kind: timeline.SlotWanted, Model: model, Endpoint: engine, Detail: reason.String(),
	})
	m.demand.wanted(m.clock.Now(), engine, model, reason, waiting)
	m.Notify()
}

// Complete reports whether all rows have been read at least once.
func (m *Manager) Complete() bool {
	_, complete := m.store.progress()
	return complete
}

// Row returns the row of a model version as last read, or nil. It must not be changed.
func (m *Manager) Row(model string) *replicaspb.Row { return m.store.row(model) }

// RowsOf returns the rows that name an engine, to be pushed to its agent. They must not be changed.
func (m *Manager) RowsOf(engine string) []*replicaspb.Row { return m.store.rowsOf(engine) }

// Changed returns the rows that changed after the given point (0: all), the model versions whose rows were deleted after
// it, and the point to ask from next. Points are this process's own. The rows must not be changed.
func (m *Manager) Changed(after uint64) (rows []*replicaspb.Row, deleted []string, next uint64) {
	return m.store.since(after)
}

// Watch returns a channel that receives after rows have changed, and a function that ends the watch.
func (m *Manager) Watch() (<-chan struct{}, func()) { return m.store.watch() }

func (m *Manager) operationID() string {
	return fmt.Sprintf("%s/%d/%d", m.inputs.Peers.Self(), m.options.Incarnation, m.operations.Add(1))
}
