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

// Options are the parameters of a Manager.
type Options struct {
	Policy Policy
	// Incarnation increases with each start of the process; it makes operation IDs unique.
	Incarnation uint64
	// Interval is the time between reads of the changed rows. FullInterval is the time between reads of all rows, which
	// reveal deletions.
	Interval, FullInterval time.Duration
	// BatchDelay is how long input changes are batched before a decision. DecideShare is the fraction of one CPU that
	// decisions may use: an expensive decision delays the next one.
	BatchDelay  time.Duration
	DecideShare float64
	// RankDelay is the additional delay of each process after the one ranked before it in the order of proposing.
	RankDelay time.Duration
	// WritesPerSecond and WriteBurst limit the rate of this process's writes to the table.
	WritesPerSecond float64
	WriteBurst      int
	// ParallelWrites limits the writes in flight.
	ParallelWrites int
	// MinBackoff and MaxBackoff bound the delay after a call that failed or that the table did not answer.
	MinBackoff, MaxBackoff time.Duration
	// Seed seeds the jitter.
	Seed uint64
}

// DefaultOptions returns the defaults for sites with a few entries.
func DefaultOptions() Options {
	return Options{
		Policy:          DefaultPolicy(),
		Interval:        time.Second,
		FullInterval:    5 * time.Minute,
		BatchDelay:      20 * time.Millisecond,
		DecideShare:     0.02,
		RankDelay:       500 * time.Millisecond,
		WritesPerSecond: 50,
		WriteBurst:      100,
		ParallelWrites:  8,
		MinBackoff:      200 * time.Millisecond,
		MaxBackoff:      5 * time.Second,
	}
}

// Manager follows the rows of the table, decides and proposes changes.
type Manager struct {
	options  Options
	table    backing.Table
	inputs   Inputs
	clock    clock.Clock
	log      *slog.Logger
	metrics  *metrics
	timeline *timeline.Recorder

	store  *rowStore
	demand *demandTracker
	wake   chan struct{}
	// operations counts the operation IDs issued.
	operations atomic.Uint64

	// The following fields are used by Run only.
	decider  *Decider
	schedule *proposalSchedule
	limiter  *rate.Limiter
	random   *rand.Rand
	started  time.Time
	// lastRead and lastFullRead are when the last reads of changed rows and of all rows began.
	lastRead, lastFullRead time.Time
	nextRead               time.Time
	// readBackoff and writeBackoff delay calls after failed ones.
	readBackoff, writeBackoff backoff
	lastVersions              inputVersions
	decision                  Decision
	// notBefore is the earliest time of the next decision.
	notBefore time.Time
}

// NewManager returns a Manager. It is inactive until Run is called.
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
		store:    newRowStore(),
		demand:   newDemandTracker(o.Policy),
		wake:     make(chan struct{}, 1),
		decider:  NewDecider(o.Policy),
		schedule: newProposalSchedule(o.RankDelay, random.Float64),
		limiter:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		random:   random,
	}
}

// Notify signals that an input has changed. A change without Notify takes effect in the next round.
func (m *Manager) Notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ConfirmRelease records an engine's confirmation of a release. Confirmations are kept in memory only: an agent repeats
// them to each process that connects for as long as its view of the row has its slot RELEASING.
func (m *Manager) ConfirmRelease(r Release) {
	if m.demand.addRelease(m.clock.Now(), r) {
		m.Notify()
	}
}

// RequestSlot records an engine's request for a slot elsewhere; waiting is the number of requests that wait or were
// refused.
func (m *Manager) RequestSlot(engine, model string, reason wirepb.RefusalReason, waiting int) {
	m.metrics.slotRequests.WithLabelValues(reason.String()).Inc()
	m.timeline.Record(timeline.Event{
		Kind: timeline.SlotWanted, Model: model, Endpoint: engine, Detail: reason.String(),
	})
	m.demand.addSlotRequest(m.clock.Now(), engine, model, reason, waiting)
	m.Notify()
}

// Synced reports whether all rows have been read at least once.
func (m *Manager) Synced() bool {
	_, complete := m.store.progress()
	return complete
}

// Row returns the row of a model version as last read, or nil. It must not be modified.
func (m *Manager) Row(model string) *replicaspb.Row { return m.store.row(model) }

// RowsOf returns the rows that contain a slot of an engine, to be pushed to its agent. They must not be modified.
func (m *Manager) RowsOf(engine string) []*replicaspb.Row { return m.store.rowsOf(engine) }

// ChangedSince returns the rows that changed after the given sequence number (0: all), the model versions whose rows
// were deleted after it, and the sequence number for the next call. Sequence numbers are local to this process. The
// rows must not be modified.
func (m *Manager) ChangedSince(after uint64) (rows []*replicaspb.Row, deleted []string, next uint64) {
	return m.store.since(after)
}

// Watch returns a channel that receives a value after rows have changed, and a function that ends the watch.
func (m *Manager) Watch() (<-chan struct{}, func()) { return m.store.watch() }

func (m *Manager) operationID() string {
	return fmt.Sprintf("%s/%d/%d", m.inputs.Peers.Self(), m.options.Incarnation, m.operations.Add(1))
}
