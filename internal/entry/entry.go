// Package entry is the process on the entry hosts: it takes callers' requests, chooses an endpoint for each, passes the
// answer back once and whole, and shares the deciding work (grants, permits) with the other entries.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
)

// Options are the settings of an Entry.
type Options struct {
	ID            string
	FailureDomain string
	// Incarnation rises with each start of the entry.
	Incarnation uint64
	// MaxDeadline bounds the deadline that a request may ask for.
	MaxDeadline time.Duration
	// MaxBody bounds the body of a chat completion in bytes, and of a service call where nothing else is declared.
	MaxBody int64
	Limiter admission.LimiterOptions
	Router  routing.Options
	Budget  routing.BudgetOptions
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
	// CandidatePatience is how long a request waits for an endpoint that may take it.
	CandidatePatience time.Duration
	// MaxAnswer bounds the time of one answer once begun.
	MaxAnswer time.Duration
	Permits   permits.Options
}

// Dependencies are what an Entry works with.
type Dependencies struct {
	Members    *membership.Manager
	Store      *declarations.Store
	Claims     *atmostonce.Claims
	Clock      clock.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	Recorder   *timeline.Recorder
}

// Entry is the process on an entry host.
type Entry struct {
	options     Options
	members     *membership.Manager
	store       *declarations.Store
	claims      *atmostonce.Claims
	clock       clock.Clock
	logger      *slog.Logger
	recorder    *timeline.Recorder
	metrics     *metrics
	coordinator *coordinator
	grants      *replicas.Manager
	changes     *broadcaster
	sent        *counts
	sequence    atomic.Uint64
	draining    atomic.Bool
	// settling are the records of claims under way whose requests have ended.
	settling sync.WaitGroup

	// mu guards the deciding state below.
	mu      sync.Mutex
	router  *routing.Router
	budget  *routing.RetryBudget
	limiter *admission.Limiter
}

// New returns an entry. Its grants are wired with SetGrants, because they take the entry's view as input.
func New(o Options, d Dependencies) *Entry {
	e := &Entry{
		options:  o,
		members:  d.Members,
		store:    d.Store,
		claims:   d.Claims,
		clock:    d.Clock,
		logger:   d.Logger,
		recorder: d.Recorder,
		metrics:  newMetrics(d.Registerer),
		changes:  newBroadcaster(),
		sent:     newCounts(),
		router:   routing.NewRouter(o.Router),
		budget:   routing.NewRetryBudget(o.Budget),
		limiter:  admission.NewLimiter(o.Limiter),
	}
	e.coordinator = newCoordinator(e)
	d.Members.Observe(e.coordinator)
	return e
}

// SetGrants sets the manager of grants; it must be called before Run.
func (e *Entry) SetGrants(m *replicas.Manager) { e.grants = m }

// Ready returns what is missing before the entry can serve; nothing means that it is ready.
func (e *Entry) Ready() []string {
	var missing []string
	if e.draining.Load() {
		missing = append(missing, "the entry is stopping")
	}
	if !e.store.Ready() && !e.learned() {
		missing = append(missing, "the declarations are not known yet")
	}
	select {
	case <-e.members.Listed():
	default:
		missing = append(missing, "the host list was not read yet")
	}
	return missing
}

// learned reports whether an entry that cannot read the table holds the highest revision that the agents it reaches hold.
// Those that it cannot reach may hold a higher one; it is then learned when they are reached, and never given up.
func (e *Entry) learned() bool {
	revision := e.store.Current().Revision()
	if revision == 0 {
		return false
	}
	for _, ep := range e.members.Endpoints() {
		if ep.Connected && ep.Status.GetDeclarationsRevision() > revision {
			return false
		}
	}
	return true
}

// Run does the entry's share of the deciding work until ctx ends, and then waits a bounded time for the claims of ended
// requests to be recorded. It must outlast the callers' requests.
func (e *Entry) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = e.store.Run(ctx) })
	tasks.Go(func() { _ = e.members.Run(ctx) })
	tasks.Go(func() { _ = e.grants.Run(ctx) })
	tasks.Go(func() { _ = e.claims.Run(ctx) })
	tasks.Go(func() { e.coordinator.run(ctx) })
	tasks.Wait()
	e.settling.Wait()
	return nil
}

// StartDrain makes the readiness fail, so that the balancer sends callers elsewhere. The entry goes on serving.
func (e *Entry) StartDrain() {
	if !e.draining.Swap(true) {
		e.recorder.Record(timeline.Event{Kind: timeline.DrainStarted})
	}
}

// newRequestID returns an identifier that no other request of any entry has: the peers key their state by it, so a
// caller's own identifier would not do.
func (e *Entry) newRequestID() string {
	return e.options.ID + "-" + strconv.FormatUint(e.options.Incarnation, 36) + "-" + strconv.FormatUint(e.sequence.Add(1), 36)
}

func (e *Entry) record(kind timeline.Kind, rq *request, endpoint, detail string) {
	e.recorder.Record(timeline.Event{
		Kind:     kind,
		Request:  rq.id,
		Model:    rq.target.Model,
		Endpoint: endpoint,
		Detail:   detail,
	})
}

// Handler returns the callers' HTTP handler.
func (e *Entry) Handler() http.Handler { return e.routes() }
