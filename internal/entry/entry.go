// Package entry implements the process that runs on the entry hosts. It accepts callers' requests, chooses an endpoint
// for each, returns the verified response exactly once, and shares the work of deciding grants and permits with the
// other entries.
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
	// MaxBody bounds, in bytes, the body of a chat completion, and of a service call whose service declares no limit.
	MaxBody int64
	Limiter admission.LimiterOptions
	Router  routing.Options
	Budget  routing.BudgetOptions
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
	// CandidateTimeout is how long a request waits for an endpoint that can take it.
	CandidateTimeout time.Duration
	// MaxResponseDuration bounds the duration of a response once it has started.
	MaxResponseDuration time.Duration
	Permits             permits.Options
}

// Dependencies are the components that an Entry uses.
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
	inFlight    *counts
	sequence    atomic.Uint64
	draining    atomic.Bool
	// settling tracks the background writes that record the result of claimed requests.
	settling sync.WaitGroup

	// mu guards the routing and admission state below.
	mu      sync.Mutex
	router  *routing.Router
	budget  *routing.RetryBudget
	limiter *admission.Limiter
}

// New returns an entry. SetGrants adds the grants manager afterwards, because that manager takes the entry's
// GrantInputs.
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
		inFlight: newCounts(),
		router:   routing.NewRouter(o.Router),
		budget:   routing.NewRetryBudget(o.Budget),
		limiter:  admission.NewLimiter(o.Limiter),
	}
	e.coordinator = newCoordinator(e)
	d.Members.Observe(e.coordinator)
	return e
}

// SetGrants sets the grants manager; it must be called before Run.
func (e *Entry) SetGrants(m *replicas.Manager) { e.grants = m }

// Ready returns the reasons why the entry cannot serve yet; an empty list means that it is ready.
func (e *Entry) Ready() []string {
	var missing []string
	if e.draining.Load() {
		missing = append(missing, "the entry is stopping")
	}
	if !e.store.Ready() && !e.hasNewestRevision() {
		missing = append(missing, "the declarations are not known yet")
	}
	select {
	case <-e.members.Listed():
	default:
		missing = append(missing, "the host list was not read yet")
	}
	return missing
}

// hasNewestRevision reports whether an entry that cannot read the table holds the highest declarations revision among
// the connected agents. A disconnected agent may hold a higher revision; the entry receives it when that agent
// connects, and never returns to a lower one.
func (e *Entry) hasNewestRevision() bool {
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

// Run runs the entry's background tasks until ctx ends, and then waits for the claims of finished requests to be
// recorded, which claimWriteTimeout bounds. It must outlast the callers' requests.
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

// StartDrain makes the readiness check fail, so that the load balancer sends callers elsewhere. The entry goes on
// serving.
func (e *Entry) StartDrain() {
	if !e.draining.Swap(true) {
		e.recorder.Record(timeline.Event{Kind: timeline.DrainStarted})
	}
}

// newRequestID returns an identifier that is unique across all entries. Agents key their state by it, so a caller's own
// identifier cannot be used.
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
